//! HTTP/1.1 server, request body parsing and response helpers on top of actix-http.
//!
//! [`HttpClient`] sends requests, and the bodies that it reads end with an error unless they are whole.
//! [`connect()`] opens client connections with TCP keepalive, and [`timeout()`] waits for what arrives
//! on them.
//!
//! The router and the emulator share this code, so that both apply the same limits and return the
//! same error responses.
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

mod body;
mod connect;
mod gated_stream;
mod headers;
mod http_client;
mod read_gate;
mod read_pace;
mod request_body;
mod response;
mod served_body;
mod server;
mod timeout;

pub use self::body::{BodyError, read_body, read_json};
pub use self::connect::{connect, connect_from};
pub use self::headers::header_text;
pub use self::http_client::{HttpClient, HttpClientError};
pub use self::request_body::RequestBody;
pub use self::response::{HttpResponse, empty, json, text};
pub use self::server::{HttpRequest, Server};
pub use self::timeout::{TimeoutError, timeout};
