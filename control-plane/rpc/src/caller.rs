//! The calling side: sends one request and matches the response.
//!
//! A response is accepted only if its envelope repeats the call's id: caller, callee, service and number.
//! Anything else (a late response on a reused connection, another process on a reused address, an echo)
//! leaves the outcome unknown, and the connection pool is discarded, as further responses on its connections
//! may belong to earlier calls.
//!
//! The caller never retries a call, as only the layer above can determine whether a request is idempotent.
//! [`CallError`] indicates whether the request may have been executed.

use crate::envelope::{CallId, Direction, Envelope, Service};
use crate::frame::{decode, encode, Bytes, Message};
use crate::random::random_id;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Path of the URL to which every call is posted.
pub const PATH: &str = "/call";
/// Upper bound of the length of a response in bytes; a snapshot of a store's state must fit.
const MAX_MESSAGE_BYTES: u64 = 512 << 20;
/// Timeout for the connection to be established. Packets to a machine without power are lost without an
/// error.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of idle connections that are kept open to all callees together.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Maximum number of idle connections that are kept open to one callee.
const MAX_IDLE_CONNECTIONS_PER_CALLEE: usize = 4;
/// Time after which an idle connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);

quick_error! {
    /// The reason why a call has no response.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection was established, so the request was not executed.
        NotSent(cause: ureq::Error) {
            display("not sent: {cause}")
            source(cause)
        }
        /// The exchange failed after at least a part of the request was sent.
        Interrupted(cause: ureq::Error) {
            display("outcome unknown: {cause}")
            source(cause)
        }
        /// The response is not that of a successful call, or belongs to another call.
        UnexpectedResponse(status: ureq::http::StatusCode) {
            display("outcome unknown: status {status}, or a response to another call")
        }
    }
}

impl CallError {
    /// Classifies an error that occurred before the head of a response was read.
    fn from_send(cause: ureq::Error) -> CallError {
        let not_sent = match &cause {
            ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => true,
            ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        };
        if not_sent {
            CallError::NotSent(cause)
        } else {
            CallError::Interrupted(cause)
        }
    }

    /// Returns whether the called process may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        !matches!(self, CallError::NotSent(_))
    }
}

/// Calls the members of one service. Clones share the connection pool and the numbering of calls.
#[derive(Clone)]
pub struct Caller {
    service: Service,
    /// [`CallId::caller`] of all calls.
    id: u64,
    next_sequence: Arc<AtomicU64>,
    /// Contains the connection pool.
    agent: Arc<Mutex<ureq::Agent>>,
}

impl Caller {
    /// Creates a caller of one service.
    pub fn new(service: Service) -> Caller {
        Caller {
            service,
            id: random_id(),
            next_sequence: Arc::default(),
            agent: Arc::new(Mutex::new(new_agent())),
        }
    }

    /// Sends `request` once to `callee` and waits up to `timeout` for the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response to this call; see [`CallError::may_have_executed`].
    pub fn call<Q: Message, R: Message>(
        &self,
        callee: SocketAddr,
        request: &Q,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let call_id = CallId { caller: self.id, sequence, service: self.service, callee };
        let message = Bytes(encode(request));
        let envelope = Envelope { direction: Direction::Request, call_id, message };
        let (status, body) = self.post(callee, &encode(&envelope), timeout)?;
        let response = if status.as_u16() == 200 { read_response(&call_id, &body) } else { None };
        response.ok_or_else(|| {
            self.discard_connections();
            CallError::UnexpectedResponse(status)
        })
    }

    /// Posts a body and reads the complete response.
    fn post(
        &self,
        callee: SocketAddr,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(ureq::http::StatusCode, Vec<u8>), CallError> {
        let agent = self.agent.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let post = agent.post(format!("http://{callee}{PATH}"));
        let post = post.config().timeout_global(Some(timeout)).build();
        let mut response = post.send(body).map_err(CallError::from_send)?;
        let body = response.body_mut().with_config().limit(MAX_MESSAGE_BYTES).read_to_vec();
        Ok((response.status(), body.map_err(CallError::Interrupted)?))
    }

    /// Replaces the connection pool, as the next response on one of its connections may belong to another
    /// call.
    fn discard_connections(&self) {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = new_agent();
    }
}

fn new_agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_CALLEE)
        .max_idle_age(IDLE_CONNECTION_TIMEOUT)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .proxy(None)
        .build();
    config.into()
}

/// Returns the message of a response; `None` if it is not the response to this call.
fn read_response<R: Message>(call_id: &CallId, body: &[u8]) -> Option<R> {
    let envelope: Envelope = decode(body).ok()?;
    let matches = envelope.direction == Direction::Response && envelope.call_id == *call_id;
    matches.then(|| decode(&envelope.message.0).ok())?
}
