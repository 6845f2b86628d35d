//! The operators' console: HTTP/1.1 with one command per connection. The status is 2xx on success, 4xx or 5xx
//! on failure.
//!
//! The number of connections is limited. When all slots are taken, the oldest connection is closed, so that
//! callers that never complete a command cannot lock out the operators.

use crate::commands::{Change, Command, CommandError, CommandOutput};
use crate::operations::Operations;
use crate::server::response::raw_rejection;
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

/// The maximum number of connections. When it is reached, the oldest connection is closed after
/// [`CLOSE_DELAY`].
pub const MAX_CONSOLE_CONNECTIONS: usize = 16;
/// The age from which the oldest connection may be closed; a complete command is read and answered sooner.
/// Further callers wait in the listener's queue meanwhile.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// The longest time in which a command must arrive and its response be written.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
/// The longest head, in bytes. No command needs a longer one.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// The longest body, in bytes. No command needs a body; a short one is read and ignored.
const MAX_BODY_BYTES: usize = 4 << 10;
/// The delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Observes the bytes that a caller sends, for conditions that hyper does not report.
#[derive(Default)]
struct Caller {
    heads: RefCell<HeadScanner>,
    has_sent: Cell<bool>,
}

impl SocketObserver for Caller {
    fn on_received(&self, bytes: &[u8]) {
        self.has_sent.set(true);
        self.heads.borrow_mut().scan(bytes);
    }
}

/// A connection.
struct Connection {
    accepted_at: Instant,
    task: AbortHandle,
}

/// The console.
pub struct Console {
    operations: Rc<Operations>,
    accepted_count: Cell<u64>,
    /// The open connections, numbered in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Connection>>,
    slot_freed: Notify,
}

impl Console {
    /// Creates a console without connections.
    pub fn new(operations: Rc<Operations>) -> Rc<Console> {
        Rc::new(Console {
            operations,
            accepted_count: Cell::new(0),
            connections: RefCell::default(),
            slot_freed: Notify::new(),
        })
    }

    /// Accepts connections, forever.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut has_logged_error = false;
        loop {
            self.wait_for_slot().await;
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_caller(stream),
                Err(e) => {
                    if !std::mem::replace(&mut has_logged_error, true) {
                        warn!(error = %e, "console: accept: {e}");
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    fn spawn_caller(self: &Rc<Self>, stream: TcpStream) {
        let number = self.accepted_count.replace(self.accepted_count.get() + 1);
        let console = self.clone();
        let task = spawn_local(async move {
            console.serve_caller(stream).await;
            console.connections.borrow_mut().remove(&number);
            console.slot_freed.notify_one();
        });
        let connection = Connection { accepted_at: Instant::now(), task: task.abort_handle() };
        self.connections.borrow_mut().insert(number, connection);
    }

    /// Waits until there is a slot for another connection, and closes the oldest one if necessary.
    async fn wait_for_slot(&self) {
        while self.connections.borrow().len() >= MAX_CONSOLE_CONNECTIONS {
            let oldest = self.connections.borrow().values().next().map(|oldest| oldest.accepted_at);
            let Some(accepted_at) = oldest else { return };
            let closable_at = accepted_at + CLOSE_DELAY;
            if closable_at > Instant::now() {
                // The loop checks the number again in either case.
                let _ = timeout_at(closable_at, self.slot_freed.notified()).await;
            } else if let Some((_, oldest)) = self.connections.borrow_mut().pop_first() {
                oldest.task.abort();
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
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(HyperIo(socket.clone()), service);
        // The result of the connection is not needed: hyper has responded to any request that it could not
        // parse.
        let is_late = timeout(COMMAND_TIMEOUT, connection).await.is_err();
        let last_bytes = (is_late && caller.has_sent.get())
            .then(|| raw_rejection(StatusCode::REQUEST_TIMEOUT, "the call did not come in time"));
        socket.shutdown(&last_bytes.unwrap_or_default());
        if !socket.has_no_input() {
            socket.linger().await;
        }
    }

    async fn handle(&self, request: Request<Incoming>, framing: Option<Framing>) -> Response<Full<Bytes>> {
        let command = read_command(request, framing).await;
        match command.and_then(|command| self.operations.perform(&command).map_err(CallError::Command)) {
            Ok(output) => success(output),
            Err(error) => failure(error),
        }
    }
}

/// Reads a command and its body, which is ignored but must be complete.
async fn read_command(request: Request<Incoming>, framing: Option<Framing>) -> Result<Command, CallError> {
    let (head, body) = request.into_parts();
    let command = parse_command(&head.method, head.uri.path(), head.uri.query())?;
    if framing.is_none_or(|framing| framing == Framing::Ambiguous) {
        return Err(CallError::Malformed("more than one length, or one beside a transfer-encoding"));
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(_) => Ok(command),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(CallError::TooLarge),
        Err(_) => Err(CallError::Malformed("a body that is cut off")),
    }
}

/// The response to a command that succeeded.
fn success(output: CommandOutput) -> Response<Full<Bytes>> {
    match output {
        CommandOutput::Done => line_response(StatusCode::OK, "yes"),
        CommandOutput::Text { body, content_type } => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            if let Ok(content_type) = HeaderValue::from_str(&content_type) {
                response.headers_mut().insert(CONTENT_TYPE, content_type);
            }
            response
        }
    }
}

/// The response to a command that failed.
fn failure(error: CallError) -> Response<Full<Bytes>> {
    match error {
        CallError::UnknownPath => line_response(StatusCode::NOT_FOUND, "no such call"),
        CallError::Method(allowed) => {
            let line = format!("this call takes {allowed}");
            let mut response = line_response(StatusCode::METHOD_NOT_ALLOWED, &line);
            if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
                response.headers_mut().insert(ALLOW, allowed);
            }
            response
        }
        CallError::Malformed(reason) => line_response(StatusCode::BAD_REQUEST, reason),
        CallError::TooLarge => line_response(StatusCode::PAYLOAD_TOO_LARGE, "no call has such a body"),
        CallError::Command(CommandError::NotReady) => {
            line_response(StatusCode::SERVICE_UNAVAILABLE, "takes no clients")
        }
        CallError::Command(CommandError::MetricsUnavailable) => {
            line_response(StatusCode::SERVICE_UNAVAILABLE, "no account is kept")
        }
        CallError::Command(CommandError::UnknownServer(name)) => {
            line_response(StatusCode::NOT_FOUND, &format!("no pay server {name:?} is known"))
        }
    }
}

/// The reason why a call failed.
#[derive(Debug, PartialEq, Eq)]
enum CallError {
    /// There is no such command.
    UnknownPath,
    /// The command requires this method.
    Method(Method),
    /// The request is malformed, for this reason.
    Malformed(&'static str),
    /// The body is too long.
    TooLarge,
    /// The command failed.
    Command(CommandError),
}

/// A response whose body is one line of text.
fn line_response(status: StatusCode, line: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response
}

/// Parses a command.
fn parse_command(method: &Method, path: &str, query: Option<&str>) -> Result<Command, CallError> {
    let takes = |allowed: Method| if *method == allowed { Ok(()) } else { Err(CallError::Method(allowed)) };
    match path {
        "/ready" => return takes(Method::GET).map(|()| Command::Ready),
        "/metrics" => return takes(Method::GET).map(|()| Command::Metrics),
        _ => {}
    }
    let change: fn(String) -> Change = match path {
        "/pay-servers/disable" => Change::Disable,
        "/pay-servers/enable" => Change::Enable,
        "/drain" => return takes(Method::PUT).map(|()| Command::Change(Change::Drain)),
        "/undrain" => return takes(Method::PUT).map(|()| Command::Change(Change::Undrain)),
        _ => return Err(CallError::UnknownPath),
    };
    takes(Method::PUT)?;
    let mut names = form_urlencoded::parse(query.unwrap_or_default().as_bytes())
        .filter(|(key, value)| key == "name" && !value.is_empty());
    match (names.next(), names.next()) {
        (Some((_, name)), None) => Ok(Command::Change(change(name.into_owned()))),
        (None, _) => Err(CallError::Malformed("name=ID is missing")),
        (Some(_), Some(_)) => Err(CallError::Malformed("name comes more than once")),
    }
}

#[cfg(test)]
mod tests;
