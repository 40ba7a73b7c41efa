//! Emulator of the platform: table service, object store and a VM list that can be outdated.

mod faults;
mod handlers;
mod objects;
mod table;
mod vms;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::net::TcpListener;
use verbenahinge_http::Server;

pub use self::faults::{PlatformFaults, StoreMode};
use self::objects::ObjectStore;
use self::table::Table;
pub use self::table::{KeyValue, TableTransaction, TransactionResponse};
use self::vms::VmList;
pub use self::vms::{ListedState, ListedVm};

struct PlatformState {
    faults: Cell<PlatformFaults>,
    table: RefCell<Table>,
    objects: RefCell<ObjectStore>,
    vms: RefCell<VmList>,
    write_count: Cell<u64>,
    read_count: Cell<u64>,
}

/// Serves requests until the future is dropped.
pub async fn run(listener: TcpListener, vms: Vec<ListedVm>) {
    let state = Rc::new(PlatformState {
        faults: Cell::default(),
        table: RefCell::default(),
        objects: RefCell::default(),
        vms: RefCell::new(VmList::new(vms)),
        write_count: Cell::new(0),
        read_count: Cell::new(0),
    });
    let handler = move |request| handlers::handle(Rc::clone(&state), request);
    Server::new().run(listener, handler).await;
}
