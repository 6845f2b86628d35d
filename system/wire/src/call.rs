//! One call: an HTTP POST with a message each way.

use crate::frame::{decode, encode, Message};
use crate::http::{self, Reply};
use quick_error::quick_error;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// The path of every call.
pub const PATH: &str = "/call";
/// The longest message, in bytes: a snapshot of a store's whole state.
const MESSAGE_MOST: u64 = 512 << 20;
/// Time in which a connection must come up. A machine without power says nothing.
const CONNECT_MOST: Duration = Duration::from_millis(400);

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

/// Makes calls; keeps connections for further ones.
#[derive(Clone)]
pub struct Caller(ureq::Agent);

impl Default for Caller {
    fn default() -> Caller {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(16)
            .max_idle_connections_per_host(4)
            .max_idle_age(Duration::from_secs(4))
            .timeout_connect(Some(CONNECT_MOST))
            .proxy(None)
            .build();
        Caller(config.into())
    }
}

fn error(cause: &ureq::Error) -> CallError {
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
    /// Sends `request` and waits for the reply, for `within` at most.
    pub fn call<Q: Message, R: Message>(
        &self,
        to: SocketAddr,
        request: &Q,
        within: Duration,
    ) -> Result<R, CallError> {
        let post = self.0.post(format!("http://{to}{PATH}")).config().timeout_global(Some(within)).build();
        let sent = post.send(&encode(request)[..]);
        let mut response = sent.map_err(|e| error(&e))?;
        let body = response.body_mut().with_config().limit(MESSAGE_MOST).read_to_vec();
        let body = body.map_err(|e| CallError::Unknown(e.to_string()))?;
        if response.status() != 200 {
            return Err(CallError::Unknown(format!("status {}", response.status())));
        }
        decode(&body).map_err(|e| CallError::Unknown(e.to_string()))
    }
}

/// Answers calls on `listener`, each on a thread of its own, until the process ends.
pub fn serve<Q, R, F>(listener: TcpListener, handler: F) -> io::Result<()>
where
    Q: Message,
    R: Message,
    F: Fn(Q) -> R + Send + Sync + 'static,
{
    http::serve(listener, move |request| match decode(&request.body) {
        Ok(message) => Reply::bytes(200, encode(&handler(message))),
        Err(e) => Reply::text(400, &e.to_string()),
    })
}
