//! Accept loop, body reading and JSON answers on top of actix-http.
//!
//! The router and the emulator both speak plain HTTP/1.1 to their callers; what they share of
//! it is here, so that limits and error answers are the same everywhere.
//!
//! ```no_run
//! use verbenahinge_http::{Server, json};
//!
//! # fn main() -> std::io::Result<()> {
//! actix_rt::System::new().block_on(async {
//!     let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//!     Server::new().run(listener, |_request| async { json(200, &"ok") }).await;
//!     Ok(())
//! })
//! # }
//! ```

mod answer;
mod body;
mod connect;
mod headers;
mod server;

pub use self::answer::{HttpResponse, empty, json, text};
pub use self::body::{BodyError, read_body, read_json};
pub use self::connect::connect;
pub use self::headers::header_text;
pub use self::server::{HttpRequest, Server};
