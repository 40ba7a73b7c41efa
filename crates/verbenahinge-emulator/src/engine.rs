//! Emulator of a model engine with a limited number of slots, request priorities and streams that
//! can be resumed and cancelled.

mod completion;
mod faults;
mod generation;
mod handlers;
mod options;
mod state;
mod stream;

use std::rc::Rc;

use tokio::net::TcpListener;
use verbenahinge_http::Server;

pub use self::completion::Completion;
pub use self::faults::EngineFaults;
pub use self::options::EngineOptions;
use self::state::EngineState;
pub use self::state::RunRecord;

/// Serves requests until the future is dropped.
pub async fn run(listener: TcpListener, options: EngineOptions) {
    let state = Rc::new(EngineState::new(options));
    let handler = move |request| handlers::handle(Rc::clone(&state), request);
    Server::new().run(listener, handler).await;
}
