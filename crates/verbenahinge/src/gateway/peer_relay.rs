//! Hands requests over to another VM while this one is cut off from the servers of their service.
//!
//! The other VM handles such a request as if its caller had connected there, but does not hand it over
//! again. Its response is passed on as it arrives. See `docs/design/server-reach.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use verbenahinge_core::hash::mix64;
use verbenahinge_core::{FailureKind, ServerName, Verdict};
use verbenahinge_platform::http_headers;

use super::attempt::AttemptError;
use super::connection_pool::PooledConnection;
use super::frontend::Ingress;
use super::request_handler::RequestHandler;
use super::response::{CallerResponse, IncompleteResponse, ResponseBody};
use super::{peers, reach};
use crate::event_log::LogEvent;

/// VMs to which one request is offered.
const MAX_OFFERS: usize = 3;

/// Time by which the other VM has to end earlier than this one, so that its final response arrives.
const RELAY_MARGIN: Duration = Duration::from_millis(30);

/// Why a VM did not take a request over.
enum RelayError {
    /// The VM has not received the request.
    NotSent,
    /// The VM may have run the request.
    Lost(AttemptError),
}

/// Response of another VM whose head has arrived.
struct RelayedResponse {
    response: Response<Incoming>,
    connection: PooledConnection,
}

impl RelayedResponse {
    /// Whether the other VM has an older configuration, without the route or key of the request, and has not
    /// run it.
    fn is_unknown(&self) -> bool {
        let status = self.response.status();
        let headers = self.response.headers();
        matches!(status.as_u16(), 401 | 403 | 404)
            && !headers.contains_key(&http_headers::SIGNATURE)
    }

    /// Whether the other VM has not run the request.
    fn is_refusal(&self) -> bool {
        let headers = self.response.headers();
        self.response.status() == StatusCode::SERVICE_UNAVAILABLE
            && !headers.contains_key(&http_headers::SIGNATURE)
    }
}

impl RequestHandler {
    /// Whether the request has found no connection to a server, so that probes will tell whether it can be
    /// handed over.
    fn may_be_cut_off(&self) -> bool {
        self.request.ingress == Ingress::Callers
            && self.has_reached_no_server()
            && self.has_failed_to_connect()
    }

    /// Whether the request can be handed over: it has reached no server, and this VM reaches none.
    fn may_be_relayed(&self) -> bool {
        self.request.ingress == Ingress::Callers
            && self.has_reached_no_server()
            && self.is_cut_off()
    }

    /// Hands the request over to another VM if this one is cut off from its servers.
    ///
    /// # Errors
    ///
    /// Returns the handler if the request is to be handled here, as no other VM can run it.
    pub(crate) async fn relay_if_cut_off(mut self) -> Result<CallerResponse, Self> {
        if self.may_be_cut_off() {
            reach::wait_for_probes(&self.gateway, &self.call.service).await;
        }
        if !self.may_be_relayed() {
            return Err(self);
        }
        let mut offered = Vec::new();
        while let Some(address) = self.next_vm(&offered) {
            offered.push(address);
            LogEvent::RequestRelayed.log(&[
                ("request_id", &self.log_id()),
                ("peer", &address.ip()),
                ("service", &self.call.service),
                ("after_ms", &self.elapsed_ms()),
            ]);
            match self.send_to_vm(address).await {
                Ok(relayed) if relayed.is_unknown() => {
                    log::debug!("VM {address} does not know the route or key of a request yet");
                }
                Ok(relayed) if relayed.is_refusal() && self.is_cut_off_too(address) => {
                    log::debug!("VM {address} has found that it is cut off too");
                }
                Ok(relayed) => {
                    self.gateway.state.borrow_mut().forget_arrival(&self.call);
                    return Ok(self.pass_on(address, relayed));
                }
                Err(RelayError::NotSent) => {}
                Err(RelayError::Lost(error)) => {
                    self.verdict = Verdict::MayHaveRun;
                    return Ok(self.respond_failed(error));
                }
            }
        }
        Err(self)
    }

    /// VM to which the request is offered next, if there is one.
    fn next_vm(&self, offered: &[SocketAddr]) -> Option<SocketAddr> {
        if offered.len() >= MAX_OFFERS {
            return None;
        }
        let seed = mix64(self.call.fingerprint, self.call.id);
        let vms = peers::vms_in_reach(&self.gateway, &self.call.service, seed);
        vms.into_iter().find(|address| !offered.contains(address))
    }

    /// Whether a VM says by now that it is cut off from the servers too.
    fn is_cut_off_too(&self, address: SocketAddr) -> bool {
        !peers::vms_in_reach(&self.gateway, &self.call.service, 0).contains(&address)
    }

    async fn send_to_vm(&mut self, address: SocketAddr) -> Result<RelayedResponse, RelayError> {
        let gateway = Rc::clone(&self.gateway);
        let name: ServerName = format!("vm-{}", address.ip()).into();
        let mut needs_new_connection = false;
        loop {
            let acquired = if needs_new_connection {
                gateway.connections.connect(&name, address).await
            } else {
                gateway.connections.acquire(&name, address).await
            };
            let mut connection = acquired.map_err(|error| {
                log::debug!("failed to connect to VM {address}: {error}");
                RelayError::NotSent
            })?;
            let is_new = connection.is_new();
            let Some(sender) = connection.sender() else {
                return Err(RelayError::NotSent);
            };
            let timeout = self.response_deadline().saturating_sub(gateway.now());
            let outgoing = self.relayed_request();
            self.note_relayed();
            let response = sender.try_send_request(outgoing);
            connection.framing_limit().reset();
            match verbenahinge_http::timeout(timeout, response).await {
                Err(_) => return Err(RelayError::Lost(AttemptError::TimeUp)),
                Ok(Ok(response)) => {
                    connection.framing_limit().reset();
                    return Ok(RelayedResponse {
                        response,
                        connection,
                    });
                }
                Ok(Err(error)) if error.message().is_none() => {
                    let error = AttemptError::Failed(FailureKind::ConnectionLost);
                    return Err(RelayError::Lost(error));
                }
                Ok(Err(_)) if is_new => return Err(RelayError::NotSent),
                Ok(Err(_)) => needs_new_connection = true,
            }
        }
    }

    fn relayed_request(&self) -> Request<Full<Bytes>> {
        let request = &self.request;
        let time_left = self.call.time_left(self.gateway.now());
        let mut outgoing = Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.target.clone();
        *outgoing.headers_mut() = http_headers::encode_relayed_request(
            &request.headers,
            time_left.saturating_sub(RELAY_MARGIN),
        );
        outgoing
    }

    /// Passes the response of another VM on to the caller, as it arrives.
    fn pass_on(mut self, address: SocketAddr, relayed: RelayedResponse) -> CallerResponse {
        self.note_first_event();
        let (parts, body) = relayed.response.into_parts();
        let passing = PassingBody {
            handler: self,
            peer: address,
            status: parts.status,
            body,
            connection: Some(relayed.connection),
        };
        let chunks = stream::unfold(passing, |mut passing| async move {
            let chunk = passing.next_chunk().await?;
            Some((chunk, passing))
        });
        let mut response = Response::new(ResponseBody::Stream(Box::pin(chunks)));
        *response.status_mut() = parts.status;
        *response.headers_mut() = http_headers::without_hop_by_hop(&parts.headers);
        response
    }
}

/// Body of another VM's response on its way to the caller.
struct PassingBody {
    handler: RequestHandler,
    peer: SocketAddr,
    status: StatusCode,
    body: Incoming,
    /// `None` after the end.
    connection: Option<PooledConnection>,
}

impl PassingBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        loop {
            // `None` after an error, which ends the body.
            let connection = self.connection.as_ref()?;
            let time_left = self.handler.call.time_left(self.handler.gateway.now());
            match verbenahinge_http::timeout(time_left, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        connection.framing_limit().reset();
                        return Some(Ok(data));
                    }
                }
                Ok(Some(Err(error))) => {
                    self.connection = None;
                    self.record("broken_off", &error.to_string());
                    return Some(Err(IncompleteResponse));
                }
                // The other VM ends earlier, unless it stands still.
                Err(error) => {
                    self.connection = None;
                    self.record("broken_off", &error.to_string());
                    return Some(Err(IncompleteResponse));
                }
                Ok(None) => {
                    if let Some(connection) = self.connection.take() {
                        connection.release(None, false);
                    }
                    self.record("relayed", "");
                    return None;
                }
            }
        }
    }

    fn record(&mut self, outcome: &str, cause: &str) {
        let detail = format!("peer={} {cause}", self.peer.ip());
        self.handler
            .record_outcome(outcome, None, Some(self.status), &detail);
    }
}
