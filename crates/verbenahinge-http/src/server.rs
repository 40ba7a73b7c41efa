//! HTTP/1.1 server.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Extensions, HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;

use crate::HttpResponse;
use crate::gated_stream::GatedStream;
use crate::read_gate::ReadGate;
use crate::read_pace::ReadPace;
use crate::served_body::hold_served;

/// Incoming HTTP request.
pub type HttpRequest = Request;

/// Time within which a client has to send the request head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of connections that one server serves at a time by default.
const MAX_CONNECTIONS: usize = 1000;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and passes each request to a handler.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    head_timeout: Duration,
    keep_alive: Duration,
    max_connections: usize,
}

impl Default for Server {
    fn default() -> Self {
        Self::new()
    }
}

impl Server {
    /// Creates a server with the default timeouts.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            head_timeout: REQUEST_HEAD_TIMEOUT,
            keep_alive: KEEP_ALIVE_TIMEOUT,
            max_connections: MAX_CONNECTIONS,
        }
    }

    /// Sets the time after which an idle connection is closed.
    #[must_use]
    pub const fn keep_alive(mut self, keep_alive: Duration) -> Self {
        self.keep_alive = keep_alive;
        self
    }

    /// Sets the maximum number of connections, if it is lower than the default of 1,000.
    #[must_use]
    pub fn max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections.min(MAX_CONNECTIONS);
        self
    }

    /// Serves requests until the future is dropped; connections that are open by then are still
    /// served.
    pub async fn run<H, F>(self, listener: TcpListener, handler: H)
    where
        H: Fn(HttpRequest) -> F + Clone + 'static,
        F: Future<Output = HttpResponse> + 'static,
    {
        let service = fn_service(move |request: HttpRequest| {
            let served = request
                .conn_data::<Rc<ReadGate>>()
                .map(ReadGate::begin_request);
            let response = handler(request);
            async move { Ok::<_, Infallible>(hold_served(response.await, served)) }
        });
        let factory = HttpService::build()
            .keep_alive(KeepAlive::Timeout(self.keep_alive))
            .client_request_timeout(self.head_timeout)
            .on_connect_ext(|stream: &GatedStream, data: &mut Extensions| {
                data.insert(Rc::clone(stream.gate()));
            })
            .h1(service);
        let Ok(service) = factory.new_service(()).await else {
            return;
        };
        let service = Rc::new(service);
        let connections = Rc::new(());
        let pace = Rc::new(ReadPace::new());
        loop {
            let (stream, address) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::debug!("failed to accept a connection: {error}");
                    actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("failed to set TCP_NODELAY: {error}");
            }
            // Each open connection has a clone. A crowd that sends nothing is closed by the timeouts of
            // the server, and until then new connections are closed.
            if Rc::strong_count(&connections) > self.max_connections {
                log::debug!(
                    "closed a new connection, since there are {}",
                    self.max_connections
                );
                continue;
            }
            let connection =
                service.call((GatedStream::new(stream, Rc::clone(&pace)), Some(address)));
            let counted = Rc::clone(&connections);
            actix_rt::spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!("connection closed with an error: {error}");
                }
                drop(counted);
            });
        }
    }
}
