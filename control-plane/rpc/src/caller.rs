//! One call: an HTTP POST with a message each way, each in an envelope that says whose it is.
//!
//! An answer counts only where its envelope repeats the call's: who asked, whom, and which call. Anything else (a late answer
//! on a kept connection, another process at an address that was used before, an echo) leaves the outcome unknown and ends
//! the connections on which it may have come. No call is sent again by itself.

use crate::frame::{decode, encode, Bytes, Message};
use crate::http::{self, Reply};
use musli::{Decode, Encode};
use quick_error::quick_error;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The path of every call.
pub const PATH: &str = "/call";
/// The longest message, in bytes: a snapshot of a store's whole state.
const MAX_MESSAGE_BYTES: u64 = 512 << 20;
/// Time in which a connection must come up. A machine without power says nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Status of the answer to a call that is for another process.
const MISDIRECTED_REQUEST: u16 = 421;

quick_error! {
    /// Why a call has no answer; it says whether the other side may have carried it out.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection came up, so nothing was carried out.
        NotSent(cause: String) {
            display("not sent: {cause}")
        }
        /// It was sent, at least in part; the other side may have carried it out.
        Unknown(cause: String) {
            display("outcome unknown: {cause}")
        }
    }
}

impl CallError {
    /// Whether the other side may have carried out the call.
    pub fn may_have_run(&self) -> bool {
        matches!(self, CallError::Unknown(_))
    }
}

/// The chains whose members are called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Service {
    Coordinators,
    Stores,
}

/// Names one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CallId {
    /// The process that asks; drawn when it starts.
    pub caller: u64,
    /// Counts its calls.
    pub sequence: u64,
    pub service: Service,
    /// Where the process that is asked listens.
    pub callee: SocketAddr,
}

/// Which way a message goes, so that an echo of a question is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Direction {
    Request,
    Response,
}

/// A message with the name of its call. The answer repeats the name.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Envelope {
    pub direction: Direction,
    pub call_id: CallId,
    pub message: Bytes,
}

/// A number that no other process draws.
pub fn random_id() -> u64 {
    // The standard library seeds its hashes from the system's source of randomness.
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

/// Makes calls; keeps connections for further ones.
#[derive(Clone)]
pub struct Caller {
    service: Service,
    identity: u64,
    next_number: Arc<AtomicU64>,
    agent: Arc<Mutex<ureq::Agent>>,
}

fn new_agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(16)
        .max_idle_connections_per_host(4)
        .max_idle_age(Duration::from_secs(4))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .proxy(None)
        .build();
    config.into()
}

fn classify_error(cause: &ureq::Error) -> CallError {
    let not_sent = match cause {
        ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => true,
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if not_sent {
        CallError::NotSent(cause.to_string())
    } else {
        CallError::Unknown(cause.to_string())
    }
}

impl Caller {
    /// Calls to members of one chain.
    pub fn new(service: Service) -> Caller {
        Caller {
            service,
            identity: random_id(),
            next_number: Arc::default(),
            agent: Arc::new(Mutex::new(new_agent())),
        }
    }

    /// Sends `request` once and waits for the reply, for `within` at most.
    pub fn call<Q: Message, R: Message>(
        &self,
        to: SocketAddr,
        request: &Q,
        within: Duration,
    ) -> Result<R, CallError> {
        let name = CallId {
            caller: self.identity,
            sequence: self.next_number.fetch_add(1, Ordering::Relaxed),
            service: self.service,
            callee: to,
        };
        let envelope =
            Envelope { direction: Direction::Request, call_id: name, message: Bytes(encode(request)) };
        let agent = self.agent.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let post = agent.post(format!("http://{to}{PATH}")).config().timeout_global(Some(within)).build();
        let sent = post.send(&encode(&envelope)[..]);
        let mut response = sent.map_err(|e| classify_error(&e))?;
        let body = response.body_mut().with_config().limit(MAX_MESSAGE_BYTES).read_to_vec();
        let body = body.map_err(|e| CallError::Unknown(e.to_string()))?;
        let answer = if response.status() == 200 { read_response(&name, &body) } else { None };
        answer.ok_or_else(|| {
            // What comes next on the same connection may be another call's.
            *self.agent.lock().unwrap_or_else(PoisonError::into_inner) = new_agent();
            CallError::Unknown(format!("status {}, or an answer to another call", response.status()))
        })
    }
}

/// The message of an answer; `None` where it is not the answer to this call.
fn read_response<R: Message>(name: &CallId, body: &[u8]) -> Option<R> {
    let envelope: Envelope = decode(body).ok()?;
    let is_answer = envelope.direction == Direction::Response && envelope.call_id == *name;
    is_answer.then(|| decode(&envelope.message.0).ok())?
}

/// Answers calls to this service on `listener`, each on a thread of its own, until the process ends. Calls for another
/// address or service are refused. A handler
/// without an answer leaves the outcome unknown.
pub fn serve<Q, R, F>(listener: TcpListener, service: Service, handler: F) -> io::Result<()>
where
    Q: Message,
    R: Message,
    F: Fn(Q) -> Option<R> + Send + Sync + 'static,
{
    let own = listener.local_addr()?;
    http::serve(listener, move |request| {
        let envelope: Envelope = match decode(&request.body) {
            Ok(envelope) => envelope,
            Err(e) => return Reply::text(400, &e.to_string()),
        };
        let name = envelope.call_id;
        if envelope.direction != Direction::Request || name.callee != own || name.service != service {
            return Reply::text(MISDIRECTED_REQUEST, "this call is for another process");
        }
        match decode(&envelope.message.0) {
            Ok(message) => match handler(message) {
                Some(reply) => {
                    let message = Bytes(encode(&reply));
                    let answer = Envelope { direction: Direction::Response, call_id: name, message };
                    Reply::bytes(200, encode(&answer))
                }
                None => Reply::text(500, "no answer in time"),
            },
            Err(e) => Reply::text(400, &e.to_string()),
        }
    })
}
