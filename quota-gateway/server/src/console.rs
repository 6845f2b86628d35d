//! The operators' address: HTTP/1.1, one call a connection, answered with yes (2xx) or no (4xx, 5xx).

use crate::operations::{Call, Change, Operations, Refusal, Reply};
use crate::server::raw_rejection;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use marblecroft_transport::framing::{Framing, HeadScanner};
use marblecroft_transport::socket::{HyperIo, Socket, SocketObserver};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::warn;

/// Callers at once. When there are as many, whoever has gone longest without a whole call makes room ...
pub const MAX_CALLERS: usize = 16;
/// ... once it has been here for this long: what is whole is read and answered sooner, so it is never that old.
/// Further callers wait in the listener's queue meanwhile.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// A call has this long to come, and its answer to go out.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// A head holds at most this much. Nothing that is asked here needs more ...
const MAX_HEAD: usize = 8 << 10;
/// ... or a body; a short one is read and passed over.
const MAX_BODY: usize = 4 << 10;
/// Pause after an accept that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Follows what a caller sends, for what hyper does not tell.
#[derive(Default)]
struct Caller {
    heads: RefCell<HeadScanner>,
    begun: Cell<bool>,
}

impl SocketObserver for Caller {
    fn on_received(&self, bytes: &[u8]) {
        self.begun.set(true);
        self.heads.borrow_mut().scan(bytes);
    }
}

pub struct Console {
    operations: Rc<Operations>,
    accepted: Cell<u64>,
    callers: RefCell<BTreeMap<u64, (Instant, AbortHandle)>>,
    caller_left: Notify,
}

impl Console {
    pub fn new(operations: Rc<Operations>) -> Rc<Console> {
        Rc::new(Console {
            operations,
            accepted: Cell::new(0),
            callers: RefCell::default(),
            caller_left: Notify::new(),
        })
    }

    /// Takes calls, for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut logged = false;
        loop {
            self.evict_oldest_caller().await;
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_caller(stream),
                Err(e) => {
                    if !std::mem::replace(&mut logged, true) {
                        warn!(error = %e, "console: accept: {e}");
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    fn spawn_caller(self: &Rc<Self>, stream: TcpStream) {
        let number = self.accepted.replace(self.accepted.get() + 1);
        let console = self.clone();
        let task = spawn_local(async move {
            console.serve_caller(stream).await;
            console.callers.borrow_mut().remove(&number);
            console.caller_left.notify_one();
        });
        self.callers.borrow_mut().insert(number, (Instant::now(), task.abort_handle()));
    }

    /// Waits until there is room for another caller.
    async fn evict_oldest_caller(&self) {
        while self.callers.borrow().len() >= MAX_CALLERS {
            let Some(settled) = self.callers.borrow().values().next().map(|(since, _)| *since + CLOSE_DELAY)
            else {
                return;
            };
            if settled > Instant::now() {
                drop(timeout_at(settled, self.caller_left.notified()).await);
            } else if let Some((_, (_, oldest))) = self.callers.borrow_mut().pop_first() {
                oldest.abort();
            }
        }
    }

    async fn serve_caller(self: &Rc<Self>, stream: TcpStream) {
        let caller = Rc::new(Caller::default());
        let Ok(socket) = Socket::new(stream, caller.clone()) else { return };
        let service = service_fn(|request| {
            let (console, framing) = (self.clone(), caller.heads.borrow_mut().take_framing());
            async move { Ok::<_, Infallible>(console.handle(request, framing).await) }
        });
        let connection = http1::Builder::new()
            .keep_alive(false)
            .half_close(true)
            .max_buf_size(MAX_HEAD)
            .serve_connection(HyperIo(socket.clone()), service);
        // How it ended is the caller's affair; what hyper could not read it has answered.
        let late = timeout(CALL_TIMEOUT, connection).await.is_err();
        let word = (late && caller.begun.get())
            .then(|| raw_rejection(StatusCode::REQUEST_TIMEOUT, "the call did not come in time"));
        socket.shutdown(&word.unwrap_or_default());
        if !socket.has_no_input() {
            socket.linger().await;
        }
    }

    async fn handle(&self, request: Request<Incoming>, framing: Option<Framing>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let call = match parse_call(&head.method, head.uri.path(), head.uri.query()) {
            Ok(_) if framing.is_none_or(|framing| framing == Framing::Ambiguous) => {
                Err(CallError::Malformed("more than one length, or one beside a transfer-encoding"))
            }
            // A call whose body is not whole is half a call.
            Ok(call) => match Limited::new(body, MAX_BODY).collect().await {
                Ok(_) => Ok(call),
                Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(CallError::TooLarge),
                Err(_) => Err(CallError::Malformed("a body that is cut off")),
            },
            Err(no) => Err(no),
        };
        match call.and_then(|call| self.operations.perform(&call).map_err(CallError::Refused)) {
            Ok(Reply::Yes) => reply(StatusCode::OK, "yes", None),
            Ok(Reply::Text(text, format)) => {
                let mut response = Response::new(Full::new(Bytes::from(text)));
                if let Ok(format) = HeaderValue::from_str(&format) {
                    response.headers_mut().insert(CONTENT_TYPE, format);
                }
                response
            }
            Err(CallError::UnknownPath) => reply(StatusCode::NOT_FOUND, "no such call", None),
            Err(CallError::Method(allowed)) => reply(
                StatusCode::METHOD_NOT_ALLOWED,
                &format!("this call takes {allowed}"),
                HeaderValue::from_str(allowed.as_str()).ok(),
            ),
            Err(CallError::Malformed(why)) => reply(StatusCode::BAD_REQUEST, why, None),
            Err(CallError::TooLarge) => reply(StatusCode::PAYLOAD_TOO_LARGE, "no call has such a body", None),
            Err(CallError::Refused(Refusal::NotReady)) => {
                reply(StatusCode::SERVICE_UNAVAILABLE, "takes no clients", None)
            }
            Err(CallError::Refused(Refusal::NoAccount)) => {
                reply(StatusCode::SERVICE_UNAVAILABLE, "no account is kept", None)
            }
            Err(CallError::Refused(Refusal::Unknown(name))) => {
                reply(StatusCode::NOT_FOUND, &format!("no pay server {name:?} is known"), None)
            }
        }
    }
}

/// Why a call is answered with no.
#[derive(Debug, PartialEq, Eq)]
enum CallError {
    UnknownPath,
    Method(Method),
    Malformed(&'static str),
    TooLarge,
    Refused(Refusal),
}

fn reply(status: StatusCode, line: &str, allow: Option<HeaderValue>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    if let Some(allow) = allow {
        response.headers_mut().insert(ALLOW, allow);
    }
    response
}

/// Reads a call.
fn parse_call(method: &Method, path: &str, query: Option<&str>) -> Result<Call, CallError> {
    let takes = |allowed: Method| if *method == allowed { Ok(()) } else { Err(CallError::Method(allowed)) };
    match path {
        "/ready" => return takes(Method::GET).map(|()| Call::Ready),
        "/metrics" => return takes(Method::GET).map(|()| Call::Metrics),
        _ => {}
    }
    let change: fn(String) -> Change = match path {
        "/pay-servers/disable" => Change::Disable,
        "/pay-servers/enable" => Change::Enable,
        "/drain" => return takes(Method::PUT).map(|()| Call::Change(Change::Drain)),
        "/undrain" => return takes(Method::PUT).map(|()| Call::Change(Change::Undrain)),
        _ => return Err(CallError::UnknownPath),
    };
    takes(Method::PUT)?;
    let mut names = form_urlencoded::parse(query.unwrap_or_default().as_bytes())
        .filter(|(key, value)| key == "name" && !value.is_empty());
    match (names.next(), names.next()) {
        (Some((_, name)), None) => Ok(Call::Change(change(name.into_owned()))),
        (None, _) => Err(CallError::Malformed("name=ID is missing")),
        (Some(_), Some(_)) => Err(CallError::Malformed("name comes more than once")),
    }
}

#[cfg(test)]
mod tests;
