//! One attempt of a request at one server, up to the head of the response.

use super::pool::{Connection, ConnectionPool};
use crate::headers::EXPECTED_INSTANCE;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use marblecroft_protocol::servers::Server;
use std::time::Duration;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A request to send to servers. Only its headers change between attempts.
#[derive(Clone)]
pub struct UpstreamRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Whether the request may be sent again after an attempt that may have executed it, such as one
    /// that ended with a reset or without a response.
    pub allows_reexecution: bool,
}

/// Reason why an attempt got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// Nothing was sent to the server.
    NotSent,
    /// The request was written at least in part and may have been executed.
    MayHaveExecuted,
}

/// Head of a response, with the connection on which its body arrives.
pub struct UpstreamResponse {
    /// The head, and the body that has not been read yet.
    pub response: Response<Incoming>,
    /// The connection. Dropping it ends the attempt.
    pub connection: Connection,
    /// Whether other requests were sent on the connection before.
    pub is_reused: bool,
}

impl ConnectionPool {
    /// Sends a request to a server and waits for the head of the response. Dropping the future
    /// cancels the attempt. `may_send` is evaluated just before anything is written, because the
    /// server may have begun to drain in the meantime.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`], which shows whether the request may have been executed.
    pub async fn send(
        &self,
        server: &Server,
        request: &UpstreamRequest,
        may_send: impl Fn() -> bool,
    ) -> Result<UpstreamResponse, AttemptError> {
        let mut http_request = to_http_request(server, request);
        // The error if nothing more can be sent; `MayHaveExecuted` once the request has been retried.
        let mut error_if_unsent = AttemptError::NotSent;
        loop {
            let (mut connection, is_reused) = match self.take(server, request.allows_reexecution) {
                Some(connection) => (connection, true),
                None => {
                    let opened =
                        Connection::connect(server.address, CONNECT_TIMEOUT, Some(self.open.clone()));
                    (opened.await.map_err(|_| error_if_unsent)?, false)
                }
            };
            if connection.ready().await {
                if !may_send() {
                    return Err(error_if_unsent);
                }
                match connection.try_send(http_request).await {
                    Ok(response) => return Ok(UpstreamResponse { response, connection, is_reused }),
                    Err(mut e) => match e.take_message() {
                        Some(unsent) => http_request = unsent,
                        None if is_reused
                            && request.allows_reexecution
                            && error_if_unsent == AttemptError::NotSent =>
                        {
                            // The server had probably closed the idle connection. Retries once at
                            // the same server.
                            error_if_unsent = AttemptError::MayHaveExecuted;
                            http_request = to_http_request(server, request);
                        }
                        None => return Err(AttemptError::MayHaveExecuted),
                    },
                }
            }
            // The connection was closed before anything was written. A reused connection is
            // replaced; for a new one this is a server fault.
            if !is_reused {
                return Err(error_if_unsent);
            }
        }
    }
}

/// Returns the HTTP request for one server. It contains the id of the server incarnation, so that
/// no other incarnation at the same address executes it.
fn to_http_request(server: &Server, request: &UpstreamRequest) -> Request<Full<Bytes>> {
    let mut http_request = Request::new(Full::new(request.body.clone()));
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = request.uri.clone();
    *http_request.headers_mut() = request.headers.clone();
    if let Ok(id) = HeaderValue::from_str(&server.id) {
        http_request.headers_mut().insert(EXPECTED_INSTANCE, id);
    }
    http_request
}

#[cfg(test)]
mod tests;
