//! Clients' connections: accepted, served, and ended without cutting a request off.

use crate::batch_api;
use crate::body::{full, ResponseBody};
use crate::gateway::Gateway;
use crate::live_request;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, HOST, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use marblecroft_configuration::{Configuration, RouteType};
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use tracing::info;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Heads of requests until a configuration says how long they may be and take.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// A body must come in this time.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// After SIGTERM connections are still accepted for so long: the platform looks twice, a second apart, before it sends no
/// more.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// The process ends this long before it would be killed, if requests are still open.
const KILL_MARGIN: Duration = Duration::from_millis(600);
/// Pause between two looks at whether all requests are answered.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Told to clients whose request was not carried out for want of something that comes back soon, in seconds.
const RETRY_AFTER_NOT_READY: &str = "0.2";

/// The operator's call that tells the configuration.
const CONFIGURATION_READ_PATH: &str = "/-/Config.Read";

/// A request that has come whole.
pub struct BufferedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When it had come.
    pub received_at: Instant,
}

impl BufferedRequest {
    /// A header's value, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The host that it names.
    pub fn host(&self) -> &str {
        self.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
    }
}

/// Listens on `address`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    let probes = TcpKeepalive::new().with_time(Duration::from_secs(5)).with_interval(Duration::from_secs(2));
    drop(socket.set_tcp_keepalive(&probes));
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// An answer of the gateway's own.
pub fn local_reply(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(full(format!("{text}\n")));
    *response.status_mut() = status;
    response
}

/// The promise that the request has not run and never will, and when to come back.
pub fn rejection(status: StatusCode, text: &str, retry_after: &str) -> Response<ResponseBody> {
    let mut response = local_reply(status, text);
    if let Ok(value) = HeaderValue::from_str(retry_after) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Counts a request that is open.
struct InFlightRequest(Rc<Gateway>);

impl InFlightRequest {
    fn new(gateway: &Rc<Gateway>) -> InFlightRequest {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        InFlightRequest(gateway.clone())
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Serves until `end` is ready and all requests are answered, or time is up.
pub async fn serve(gateway: &Rc<Gateway>, listener: TcpListener, end: impl Future<Output = ()>) {
    let (close, closing) = watch::channel(false);
    {
        let mut end = pin!(end);
        loop {
            tokio::select! {
                () = &mut end => break,
                accepted = listener.accept() => accept(gateway, accepted, &closing).await,
            }
        }
    }
    info!("ends: no new connections are asked for");
    gateway.state.terminate();
    let ends_at = Instant::now() + gateway.settings.bounds.grace_period.saturating_sub(KILL_MARGIN);
    let accept_until = Instant::now() + DRAIN_ACCEPT_TIME;
    while Instant::now() < accept_until {
        tokio::select! {
            () = sleep(accept_until - Instant::now()) => {}
            accepted = listener.accept() => accept(gateway, accepted, &closing).await,
        }
    }
    close.send_replace(true);
    // Whoever connects now is refused by the system, and has lost nothing.
    drop(listener);
    sleep(DRAIN_CHECK_INTERVAL).await;
    while gateway.in_flight.get() > 0 && Instant::now() < ends_at {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // The last bytes are on their way.
    sleep(DRAIN_CHECK_INTERVAL).await;
    info!(left = gateway.in_flight.get(), "ended");
}

async fn accept(
    gateway: &Rc<Gateway>,
    accepted: io::Result<(TcpStream, SocketAddr)>,
    closing: &watch::Receiver<bool>,
) {
    match accepted {
        Ok((stream, _)) => {
            spawn_local(serve_connection(gateway.clone(), stream, closing.clone()));
        }
        // For want of descriptors, above all.
        Err(_) => sleep(DRAIN_CHECK_INTERVAL).await,
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    drop(stream.set_nodelay(true));
    let limits = gateway.state.snapshot().configuration.map(|configuration| configuration.limits.clone());
    let idle = limits.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let header_most = limits.as_ref().map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes);
    let service = service_fn(|request| handle(gateway.clone(), request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_most.max(8 << 10))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    tokio::select! {
        ended = &mut served => {
            // A client that breaks off, or an answer that does: the connection says it.
            drop(ended);
        }
        _ = closing.changed() => {
            served.as_mut().graceful_shutdown();
            drop(served.await);
        }
    }
}

async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let open = InFlightRequest::new(&gateway);
    let mut response = match buffer_request(&gateway, request).await {
        Ok(whole) => dispatch(&gateway, whole).await,
        Err(refused) => refused,
    };
    if gateway.state.is_terminating() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    // An answer that is passed on as it comes is open until its body is dropped.
    Ok(response.map(|body| -> ResponseBody { Box::pin(TrackedBody { body, _in_flight: open }) }))
}

/// A body that keeps its request open.
struct TrackedBody {
    body: ResponseBody,
    _in_flight: InFlightRequest,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, io::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

async fn buffer_request(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<BufferedRequest, Response<ResponseBody>> {
    let most =
        gateway.state.snapshot().configuration.map_or(DEFAULT_MAX_BODY_BYTES, |c| c.limits.max_body_bytes);
    let (head, body) = request.into_parts();
    match timeout(BODY_TIMEOUT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(BufferedRequest {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: body.to_bytes(),
            received_at: Instant::now(),
        }),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(local_reply(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
        }
        Ok(Err(_)) => Err(local_reply(StatusCode::BAD_REQUEST, "the body did not come whole")),
        Err(_) => Err(local_reply(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    }
}

async fn dispatch(gateway: &Rc<Gateway>, whole: BufferedRequest) -> Response<ResponseBody> {
    if let Some(call) = batch_api::Call::of(&whole) {
        return batch_api::answer(gateway, call).await;
    }
    if whole.uri.path() == CONFIGURATION_READ_PATH {
        // A gateway cannot prove that it has the newest.
        return rejection(
            StatusCode::SERVICE_UNAVAILABLE,
            "the coordinators tell the configuration",
            RETRY_AFTER_NOT_READY,
        );
    }
    let known = gateway.state.snapshot();
    let Some(configuration) = known.configuration else {
        return rejection(
            StatusCode::SERVICE_UNAVAILABLE,
            "there is no configuration yet",
            RETRY_AFTER_NOT_READY,
        );
    };
    route(gateway, &configuration, whole).await
}

async fn route(
    gateway: &Rc<Gateway>,
    configuration: &Arc<Configuration>,
    whole: BufferedRequest,
) -> Response<ResponseBody> {
    let Some(route) = configuration.route(whole.host(), whole.uri.path()).cloned() else {
        return local_reply(StatusCode::NOT_FOUND, "no route");
    };
    if route.route_type == RouteType::Batch {
        batch_api::submit(gateway, &route, whole).await
    } else {
        live_request::serve(gateway, route, whole).await
    }
}
