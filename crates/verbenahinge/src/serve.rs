//! The serving process: listeners, pollers and the order of shutdown.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::config_log::ConfigLog;
use verbenahinge_core::membership::{VmEntry, VmState};
use verbenahinge_core::{Event, ServerName};
use verbenahinge_http::Server;

use crate::event_log::LogEvent;
use crate::platform::{ListedState, ListedVm};
use crate::settings::Settings;
use crate::shell::Shell;
use crate::supervisor::supervise;
use crate::{front, operator, peers};

/// Time between two looks at the platform's list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two load polls; the backend servers take turns.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two rounds that drop the series of idle accounts.
const METRICS_INTERVAL: Duration = Duration::from_mins(1);

/// Time for which connections may end after the last request has.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// Serves until the process has been drained.
///
/// # Errors
///
/// Returns why a listener could not be opened.
pub(crate) async fn serve(settings: Settings) -> io::Result<()> {
    let listener = bind(settings.listen)?;
    let operator_listener = bind(settings.operator_listen)?;
    let peer_listener = bind(settings.peer_listen)?;
    let row = Arc::clone(ConfigLog::new().in_force());
    let (handle, receiver) = peers::start(
        peer_listener,
        settings.peer_listen,
        settings.peer_key.clone(),
        row,
    );
    let vm = rand::random();
    let shell = Shell::new(settings, vm, handle);
    LogEvent::Started.log(&[
        ("vm", &format!("{vm:016x}")),
        ("listen", &shell.settings.listen),
        ("operator_listen", &shell.settings.operator_listen),
    ]);
    let receiver = Rc::new(RefCell::new(Some(receiver)));
    start(&shell, "timers", Shell::run_timers);
    start(&shell, "peers", move |shell| {
        peers::receive_messages(shell, Rc::clone(&receiver))
    });
    start(&shell, "vm_list", poll_list);
    start(&shell, "load", poll_load);
    start(&shell, "metrics", drop_idle_series);
    start_listener(&shell, "callers", listener, front::handle);
    start_listener(&shell, "operators", operator_listener, operator::handle);
    wait_for_end(&shell).await;
    Ok(())
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let named = |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
    let listener = TcpListener::bind(address).map_err(named)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn start<F, T>(shell: &Rc<Shell>, name: &'static str, task: F)
where
    F: Fn(Rc<Shell>) -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let shell = Rc::clone(shell);
    supervise(name, move || task(Rc::clone(&shell)));
}

fn start_listener<H, T>(shell: &Rc<Shell>, name: &'static str, listener: TcpListener, handler: H)
where
    H: Fn(Rc<Shell>, verbenahinge_http::HttpRequest) -> T + Copy + 'static,
    T: Future<Output = verbenahinge_http::HttpResponse> + 'static,
{
    let shell = Rc::clone(shell);
    supervise(name, move || {
        // The original stays open, so that a handler that failed can be started again.
        let listener = listener
            .try_clone()
            .and_then(tokio::net::TcpListener::from_std);
        let shell = Rc::clone(&shell);
        async move {
            match listener {
                Ok(listener) => {
                    let handler = move |request| handler(Rc::clone(&shell), request);
                    Server::new().run(listener, handler).await;
                }
                Err(error) => log::error!("the listener cannot be used: {error}"),
            }
        }
    });
}

/// Waits for a signal, drains and waits for the last request.
async fn wait_for_end(shell: &Rc<Shell>) {
    tokio::select! {
        () = signalled() => {
            LogEvent::Draining.log(&[("cause", &"signal")]);
            shell.handle(Event::Drain);
            shell.drained.notified().await;
        }
        () = shell.drained.notified() => {}
    }
    actix_rt::time::sleep(CLOSE_GRACE).await;
}

async fn signalled() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn drop_idle_series(shell: Rc<Shell>) {
    loop {
        actix_rt::time::sleep(METRICS_INTERVAL).await;
        shell.metrics.remove_idle_accounts(shell.clock.now());
    }
}

async fn poll_list(shell: Rc<Shell>) {
    loop {
        if let Some(list) = shell.platform.list_vms().await {
            shell.handle(Event::VmList(own_vms(&list)));
            shell.handle(Event::ServersLeaving(leaving_servers(&shell, &list)));
        }
        actix_rt::time::sleep(LIST_INTERVAL).await;
    }
}

fn own_vms(list: &[ListedVm]) -> Vec<VmEntry> {
    let mut entries = Vec::new();
    for vm in list {
        if vm.backend {
            continue;
        }
        let state = match vm.state {
            ListedState::Live => VmState::Live,
            ListedState::Leaving => VmState::Leaving,
        };
        entries.push(VmEntry {
            address: vm.address,
            state,
        });
    }
    entries
}

fn leaving_servers(shell: &Shell, list: &[ListedVm]) -> Vec<ServerName> {
    let config = shell.config();
    let mut leaving = Vec::new();
    for pool in config.declaration.pools.values() {
        for (name, server) in &pool.servers {
            let listed = list.iter().find(|vm| vm.address == server.address);
            if listed.is_some_and(|vm| vm.state == ListedState::Leaving) {
                leaving.push(name.clone());
            }
        }
    }
    leaving
}

/// Asks the backend servers for their load, one after the other.
async fn poll_load(shell: Rc<Shell>) {
    let mut last: Option<ServerName> = None;
    loop {
        actix_rt::time::sleep(LOAD_INTERVAL).await;
        let config = shell.config();
        let servers = config
            .declaration
            .pools
            .values()
            .flat_map(|pool| &pool.servers);
        let mut next = None;
        let mut first = None;
        for (name, server) in servers {
            let candidate = (name.clone(), server.address);
            if last.as_ref().is_none_or(|last| name > last)
                && next.as_ref().is_none_or(|(other, _)| name < other)
            {
                next = Some(candidate.clone());
            }
            if first.as_ref().is_none_or(|(other, _)| name < other) {
                first = Some(candidate);
            }
        }
        let Some((name, address)) = next.or(first) else {
            continue;
        };
        last = Some(name.clone());
        let shell = Rc::clone(&shell);
        actix_rt::spawn(async move {
            if let Some(report) = shell.backend.load(name, address).await {
                shell.handle(Event::Report(report));
            }
        });
    }
}
