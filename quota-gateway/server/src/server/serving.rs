//! Drives one connection with hyper, from its first byte to its close.

use super::connection::{ClientConnection, Phase, TrackedBody, HEAD_TIMEOUT};
use super::response::{plain_response, raw_rejection, Rejection};
use super::{ClientServer, DrainState};
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use marblecroft_transport::framing::Framing;
use marblecroft_transport::socket::{HyperIo, Socket};
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep_until;

/// The longest head, in bytes, and the most that is read of a body at a time. Limits memory: hyper's own
/// limit is several hundred KiB per connection.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The largest number of header lines.
const MAX_HEADERS: usize = 64;
/// A connection that has timed out but has unread input is checked again after this time.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The socket of a connection from a client.
pub type ClientSocket = Socket<Rc<ClientConnection>>;

/// A last response, written outside hyper.
struct LastResponse {
    status: StatusCode,
    reason: &'static str,
}

/// How a connection that has timed out is handled.
enum Expiry {
    Close(Option<LastResponse>),
    /// hyper has not read all input yet. It is a request, which is served first, or the end of the stream.
    Recheck,
}

impl ClientServer {
    /// Serves a connection to its end.
    pub(super) async fn serve(self: &Rc<Self>, client: &Rc<ClientConnection>, stream: TcpStream) {
        let Ok(socket) = Socket::new(stream, client.clone()) else { return };
        let last_response = self.drive_connection(client, &socket).await;
        let has_unread_input =
            client.is_rejected.get() || last_response.is_some() || client.heads.borrow().is_in_body();
        let last_bytes =
            last_response.map(|last| raw_rejection(last.status, last.reason)).unwrap_or_default();
        socket.shutdown(&last_bytes);
        if has_unread_input || socket.would_reset_on_close() {
            socket.linger().await;
        }
    }

    /// Drives a connection until it ends or times out. Returns the last response that is still to be written.
    /// A request in flight has been reported as disconnected.
    async fn drive_connection(
        self: &Rc<Self>,
        client: &Rc<ClientConnection>,
        socket: &Rc<ClientSocket>,
    ) -> Option<LastResponse> {
        let service = service_fn(|request| {
            let (server, client, socket) = (self.clone(), client.clone(), socket.clone());
            async move { Ok::<_, Infallible>(server.on_request(client, &socket, request).await) }
        });
        let begun_at = Instant::now();
        let mut connection = pin!(http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(HyperIo(socket.clone()), service));
        let mut recheck_at: Option<Instant> = None;
        loop {
            let due = client.due().unwrap_or_else(|| Instant::now() + HEAD_TIMEOUT);
            let wake_at = due.max(recheck_at.unwrap_or(begun_at));
            tokio::select! {
                biased;
                ended = connection.as_mut() => return ended.err().and_then(|e| on_parse_error(client, &e)),
                () = client.close_changed.notified() => {}
                // Dropping the connection drops the request in flight.
                () = socket.peer_closed(|| matches!(client.phase.get(), Phase::InFlight)) => return None,
                () = sleep_until(wake_at.into()) => {
                    // The timer is not reset for each request, so the connection may not have timed out.
                    if client.due().is_none_or(|due| due > Instant::now()) {
                        recheck_at = None;
                        continue;
                    }
                    match on_expired(client, socket, recheck_at.is_some()) {
                        Expiry::Close(last_response) => return last_response,
                        Expiry::Recheck => recheck_at = Some(Instant::now() + RECHECK_INTERVAL),
                    }
                }
            }
        }
    }

    /// Answers one request, and decides whether its connection stays open.
    async fn on_request(
        &self,
        client: Rc<ClientConnection>,
        socket: &ClientSocket,
        request: Request<Incoming>,
    ) -> Response<TrackedBody> {
        client.has_sent_request.set(true);
        client.phase.set(Phase::InFlight);
        let framing = client.heads.borrow_mut().take_framing().unwrap_or(Framing::Ambiguous);
        let responded = AssertUnwindSafe(self.respond(request, framing, socket)).catch_unwind().await;
        // The panic hook has written to standard error.
        let result =
            responded.unwrap_or_else(|_| Ok(plain_response(StatusCode::INTERNAL_SERVER_ERROR, "panic")));
        client.is_rejected.set(result.is_err());
        let mut response =
            result.unwrap_or_else(|Rejection { status, reason }| plain_response(status, &reason));
        if self.drain_state.get() != DrainState::Open
            || self.is_over_limit.get()
            || client.is_close_requested()
            || framing == Framing::Ambiguous
        {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.phase.set(Phase::Writing(None));
        self.close_excess_idle();
        response.map(|body| TrackedBody::new(body, client))
    }
}

/// Returns the response to a request that hyper could not parse. Any other end of a connection needs no
/// response.
fn on_parse_error(client: &ClientConnection, error: &hyper::Error) -> Option<LastResponse> {
    if !error.is_parse() || client.idle_since().is_none() {
        return None;
    }
    Some(if error.is_parse_too_large() {
        LastResponse {
            status: StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            reason: "a head that is too long",
        }
    } else {
        LastResponse { status: StatusCode::BAD_REQUEST, reason: "a request that is unreadable" }
    })
}

/// Decides how a connection that has timed out is handled.
fn on_expired(client: &ClientConnection, socket: &ClientSocket, is_recheck: bool) -> Expiry {
    let is_idle = client.idle_since().is_some();
    if is_idle && !client.is_in_head() && !is_recheck && !socket.has_no_input() {
        return Expiry::Recheck;
    }
    let is_incomplete_head = is_idle && client.is_in_head();
    Expiry::Close(is_incomplete_head.then_some(LastResponse {
        status: StatusCode::REQUEST_TIMEOUT,
        reason: "the head did not come in time",
    }))
}
