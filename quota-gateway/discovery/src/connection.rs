//! Connections: reads requests one after another, writes responses, and closes slow or idle connections.

use crate::service::{Service, SharedReply, Slot};
use marblecroft_discovery::http::{
    error_response, ok_response, parse_request, route, ApiRequest, HttpError, HttpRequest, ParseOutcome,
    MAX_BODY_BYTES, MAX_HEAD_BYTES,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::warn;

/// The time within which a request must arrive in full after its first byte.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// The idle time after which a connection is closed, so that half-open connections do not accumulate. It is
/// longer than the maximum wait of a watch.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// The time limit for writing a response. A client that reads nothing keeps at most one response in memory,
/// for this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The time limit for responses that are pending at SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum time for reading the rest of an invalid request before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The size of the read buffer, in bytes.
const READ_BYTES: usize = 2048;
/// The maximum number of buffered bytes per connection. A client of this service sends at most one request
/// and the beginning of the next.
const MAX_BUFFERED_BYTES: usize = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES + READ_BYTES;

/// The connections of a service.
pub struct Server {
    service: Rc<Service>,
    connection_closed: Notify,
}

impl Server {
    /// Returns a server without connections.
    pub fn new(service: Rc<Service>) -> Rc<Server> {
        Rc::new(Server { service, connection_closed: Notify::new() })
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut has_logged = false;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // The task ends when its connection closes.
                    spawn_local(self.clone().handle_connection(stream));
                }
                Err(e) => {
                    if !std::mem::replace(&mut has_logged, true) {
                        warn!(error = %e, "accept: {e}");
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Answers all watches, and waits for a bounded time until all connections are closed.
    pub async fn shut_down(&self) {
        self.service.closing.send_replace(true);
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while self.service.connections.get() > 0 && Instant::now() < deadline {
            // The loop's condition handles the timeout.
            let _ = timeout_at(deadline, self.connection_closed.notified()).await;
        }
    }

    async fn handle_connection(self: Rc<Self>, mut stream: TcpStream) {
        // An error is ignored: without the option, responses are only slower.
        let _ = stream.set_nodelay(true);
        let max = self.service.config.limits.connections;
        let Some(slot) = Slot::acquire(&self.service.connections, max) else {
            let busy = error_response(&HttpError::busy("too many connections"), false);
            // The result is ignored, since the connection is closed in any case.
            let _ = timeout(WRITE_TIMEOUT, stream.write_all(&busy)).await;
            return;
        };
        self.serve(&mut stream).await;
        drop(stream);
        drop(slot);
        self.connection_closed.notify_one();
    }

    /// Serves requests until the client or the service ends the connection.
    async fn serve(&self, stream: &mut TcpStream) {
        let mut received = Vec::new();
        let mut closing = self.service.closing.subscribe();
        loop {
            let request = match read_request(stream, &mut received, &mut closing).await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(e) => return self.reject(stream, &e).await,
            };
            let keep_alive = request.keep_alive && !*closing.borrow();
            let Some(reply) = self.reply(stream, &request, &mut closing).await else { return };
            let reply = reply.unwrap_or_else(|e| error_response(&e, true).into());
            let closes = !keep_alive || *closing.borrow();
            let headers = self.connection_headers(closes);
            let is_written = if headers.is_empty() {
                self.write(stream, &reply).await
            } else {
                self.write(stream, &with_headers(&reply, &headers)).await
            };
            if !is_written || closes {
                return;
            }
        }
    }

    /// Returns the response to a request; `None` if the client closes the connection first.
    async fn reply(
        &self,
        stream: &TcpStream,
        request: &HttpRequest,
        closing: &mut watch::Receiver<bool>,
    ) -> Option<Result<SharedReply, HttpError>> {
        match route(request) {
            Ok(ApiRequest::List(list)) => tokio::select! {
                reply = self.service.list(list, closing) => Some(reply),
                () = wait_for_close(stream) => None,
            },
            Ok(ApiRequest::Replicate(replication)) => tokio::select! {
                reply = self.service.replication_reply(replication, closing) => Some(reply),
                () = wait_for_close(stream) => None,
            },
            Ok(request) => Some(self.service.perform(request).map(|body| ok_response(&body, true).into())),
            Err(e) => Some(Err(e)),
        }
    }

    /// Answers an invalid request and closes the connection.
    async fn reject(&self, stream: &mut TcpStream, error: &HttpError) {
        self.write(stream, &error_response(error, false)).await;
        // Closing with unread bytes would reset the connection, and the client could lose the response.
        // Errors are ignored, since the connection is closed in any case.
        let _ = stream.shutdown().await;
        let _ = timeout(LINGER_TIMEOUT, tokio::io::copy(stream, &mut tokio::io::sink())).await;
    }

    /// Returns the header lines that are added to a shared response for this connection.
    fn connection_headers(&self, closes: bool) -> String {
        let lag = self.service.role.borrow().lag();
        let lag = lag.map(|lag| format!("X-List-Lag-Ms: {}\r\n", lag.as_millis())).unwrap_or_default();
        if closes {
            lag + "Connection: close\r\n"
        } else {
            lag
        }
    }

    /// Writes a response. Returns whether all of it was written in time.
    async fn write(&self, stream: &mut TcpStream, response: &[u8]) -> bool {
        let written = &self.service.bytes_written;
        written.set(written.get() + response.len() as u64);
        matches!(timeout(WRITE_TIMEOUT, stream.write_all(response)).await, Ok(Ok(())))
    }
}

/// Reads the next request and removes it from the received bytes. Returns `None` if the connection has ended
/// or is idle at shutdown.
async fn read_request(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    closing: &mut watch::Receiver<bool>,
) -> Result<Option<HttpRequest>, HttpError> {
    let mut deadline = Instant::now() + if received.is_empty() { IDLE_TIMEOUT } else { REQUEST_TIMEOUT };
    loop {
        match parse_request(received) {
            ParseOutcome::Complete(request, length) => {
                received.drain(..length);
                return Ok(Some(request));
            }
            ParseOutcome::Invalid(e) => return Err(e),
            ParseOutcome::Incomplete => {}
        }
        let mut chunk = [0; READ_BYTES];
        let has_begun = !received.is_empty();
        let read = tokio::select! {
            read = timeout_at(deadline, stream.read(&mut chunk)) => read,
            _ = closing.wait_for(|closing| *closing), if !has_begun => return Ok(None),
        };
        match read {
            Ok(Ok(0) | Err(_)) => return Ok(None),
            Ok(Ok(n)) => {
                if !has_begun {
                    deadline = Instant::now() + REQUEST_TIMEOUT;
                }
                received.extend_from_slice(&chunk[..n]);
                if received.len() > MAX_BUFFERED_BYTES {
                    return Err(HttpError::new(413, "more than one call at a time"));
                }
            }
            Err(_) if has_begun => return Err(HttpError::new(408, "the call did not come in time")),
            Err(_) => return Ok(None),
        }
    }
}

/// Returns a response with header lines added after its status line.
fn with_headers(response: &[u8], lines: &str) -> Vec<u8> {
    let status_line = response.windows(2).position(|end| end == b"\r\n").map_or(response.len(), |at| at + 2);
    [&response[..status_line], lines.as_bytes(), &response[status_line..]].concat()
}

/// Waits until the client closes its connection. Bytes that arrive meanwhile belong to its next request.
async fn wait_for_close(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // Peeking again would return the same bytes at once, so a close after them is not detected.
            Ok(_) => std::future::pending().await,
        }
    }
}
