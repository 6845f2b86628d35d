//! Client connections: accepting, serving, and draining without aborting requests.
//!
//! For each connection, `listener` provides the socket, [`serve_connection`] reads the requests one
//! after the other, each request is buffered completely, and `dispatch` passes it on by path or
//! route.
//!
//! The drain after SIGTERM has three steps. First, readiness checks fail and each response asks its
//! client to close the connection, while connections are still accepted until the platform has
//! reacted. Then the listener closes. Finally, the process ends when no request is in flight, or
//! shortly before it would be killed.

mod dispatch;
mod listener;

pub use listener::listen;

use crate::body::{guarded, ResponseBody};
use crate::gateway::Gateway;
use crate::request::BufferedRequest;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};
use tracing::info;

/// Limits of a connection if no configuration has been received yet.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Minimum size of the buffer for a request head that hyper accepts.
const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;
/// Time after SIGTERM for which connections are still accepted. The platform checks readiness
/// twice, one second apart, before it stops sending clients here.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// The process ends this long before it would be killed, even if requests are still in flight.
const KILL_MARGIN: Duration = Duration::from_millis(600);
/// Interval between two checks for requests in flight; also the backoff after a failed `accept`.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A client request whose response is not complete.
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

/// Serves until `terminated` is ready and the drain is over.
pub async fn serve(gateway: &Rc<Gateway>, listener: TcpListener, terminated: impl Future<Output = ()>) {
    let (close_sender, close_receiver) = watch::channel(false);
    {
        let mut terminated = pin!(terminated);
        loop {
            tokio::select! {
                () = &mut terminated => break,
                accepted = listener.accept() => on_accept(gateway, accepted, &close_receiver).await,
            }
        }
    }
    info!("drain started");
    gateway.state.terminate();
    let drain_deadline = Instant::now() + gateway.settings.bounds.grace_period.saturating_sub(KILL_MARGIN);
    let accept_until = Instant::now() + DRAIN_ACCEPT_TIME;
    while Instant::now() < accept_until {
        tokio::select! {
            () = sleep(accept_until - Instant::now()) => {}
            accepted = listener.accept() => on_accept(gateway, accepted, &close_receiver).await,
        }
    }
    close_sender.send_replace(true);
    // From now on the operating system refuses new connections, so that no request is lost.
    drop(listener);
    sleep(DRAIN_CHECK_INTERVAL).await;
    while gateway.in_flight.get() > 0 && Instant::now() < drain_deadline {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // Leaves time for the last bytes to be written.
    sleep(DRAIN_CHECK_INTERVAL).await;
    info!(in_flight = gateway.in_flight.get(), "drain ended");
}

async fn on_accept(
    gateway: &Rc<Gateway>,
    accepted: io::Result<(TcpStream, SocketAddr)>,
    close_receiver: &watch::Receiver<bool>,
) {
    match accepted {
        Ok((stream, _)) => {
            spawn_local(serve_connection(gateway.clone(), stream, close_receiver.clone()));
        }
        // Usually caused by a lack of file descriptors. Without the pause this would be a busy
        // loop.
        Err(_) => sleep(DRAIN_CHECK_INTERVAL).await,
    }
}

/// Serves the requests of one connection until the client closes it, or until a drain closes it
/// after the current request.
async fn serve_connection(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    mut close_receiver: watch::Receiver<bool>,
) {
    // Without this option responses are slightly delayed, so errors are ignored.
    let _ = stream.set_nodelay(true);
    let limits = gateway.state.snapshot().configuration.map(|configuration| configuration.limits.clone());
    let idle_timeout = limits.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let max_header_bytes = limits.as_ref().map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes);
    let service = service_fn(|request| handle_request(gateway.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_header_bytes.max(MIN_HEADER_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // An error means that the client disconnected or a response was aborted. The client detects
    // this by the closed connection.
    tokio::select! {
        _ = &mut connection => {}
        _ = close_receiver.changed() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn handle_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let in_flight = InFlightRequest::new(&gateway);
    let max_body_bytes =
        gateway.state.snapshot().configuration.map_or(DEFAULT_MAX_BODY_BYTES, |c| c.limits.max_body_bytes);
    let mut response = match BufferedRequest::read(request, max_body_bytes).await {
        Ok(request) => dispatch::dispatch(&gateway, request).await,
        Err(reply) => reply,
    };
    if gateway.state.is_terminating() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    // A streamed response is in flight until its body is dropped.
    Ok(response.map(|body| guarded(body, in_flight)))
}
