//! Accepts connections, and closes idle ones when there are too many.

use super::connection::ClientConnection;
use super::ClientServer;
use futures_util::FutureExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// The time within which a new connection is expected to send its first request; before that it is not closed
/// as idle.
pub const CLOSE_DELAY: Duration = Duration::from_millis(100);
/// The interval of checks while there are too many connections and none can be closed.
const OVER_LIMIT_RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The delay after a failed accept, which usually means that no descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The fraction of the client connections that may be idle after a response. Clients also have a limited
/// number of connections, and some send one request and keep the connection open: if all of these stayed open
/// for the full idle timeout, other clients could not connect although the gateway has no work. Clients that
/// alternate between more connections have to reconnect.
const MAX_IDLE_FRACTION: f64 = 0.25;

impl ClientServer {
    /// Accepts connections until dropped. While there are too many, new ones wait in the listener's queue.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut has_logged_error = false;
        self.is_accepting.set(true);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream),
                // Caused by the client or by a lack of descriptors; in both cases an immediate retry is
                // useless.
                Err(e) => {
                    if !std::mem::replace(&mut has_logged_error, true) {
                        warn!(error = %e, "accept: {e}");
                    }
                    if !self.engine.upstream.close_one_idle() {
                        self.close_one_idle();
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
            self.wait_for_slot().await;
        }
    }

    /// Waits until the number of connections is within its limit.
    async fn wait_for_slot(&self) {
        while self.clients.borrow().len() > self.max_connections.get() {
            self.is_over_limit.set(true);
            // The requested close may be delayed, so another connection is closed after a while.
            let max_wait = if self.close_one_idle() { CLOSE_DELAY } else { OVER_LIMIT_RECHECK_INTERVAL };
            // The loop checks the number again in either case.
            let _ = timeout(max_wait, self.slot_freed.notified()).await;
        }
        self.is_over_limit.set(false);
    }

    /// Accepts the connections in the listener's queue, whose handshakes the operating system has completed.
    pub fn accept_queued(self: &Rc<Self>, listener: &TcpListener) {
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.spawn_connection(stream);
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        let number = self.accepted_count.replace(self.accepted_count.get() + 1);
        let client = ClientConnection::new();
        self.clients.borrow_mut().insert(number, client.clone());
        let server = self.clone();
        spawn_local(async move {
            server.serve(&client, stream).await;
            server.clients.borrow_mut().remove(&number);
            server.slot_freed.notify_one();
        });
    }

    /// Changes the maximum number of open connections, and closes excess idle ones.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        let excess = self.clients.borrow().len().saturating_sub(max_connections);
        for _ in 0..excess {
            if !self.close_one_idle() {
                break;
            }
        }
    }

    /// Closes the connection that has been idle the longest, preferably one that has sent no request yet, but
    /// none that was accepted less than [`CLOSE_DELAY`] ago. Returns whether there was one. If a request
    /// crosses the close, the client sends it again on a new connection.
    fn close_one_idle(&self) -> bool {
        let clients = self.clients.borrow();
        let idle = clients.values().filter_map(|client| Some((client.idle_since()?, client)));
        let closable = idle.filter(|(since, client)| {
            !client.is_close_requested() && (client.has_sent_request.get() || since.elapsed() >= CLOSE_DELAY)
        });
        let longest = closable.min_by_key(|(since, client)| (client.has_sent_request.get(), *since));
        longest.map(|(since, client)| client.request_close(since)).is_some()
    }

    /// If too many connections are idle after a response, closes the one that has been idle the longest. Each
    /// response adds at most one idle connection, so closing one is enough.
    pub(super) fn close_excess_idle(&self) {
        let max_idle = (self.max_connections.get() as f64 * MAX_IDLE_FRACTION) as usize;
        let clients = self.clients.borrow();
        if clients.len() <= max_idle {
            return;
        }
        let answered =
            clients.values().filter(|client| client.has_sent_request.get() && !client.is_close_requested());
        let idle: Vec<_> = answered.filter_map(|client| Some((client.idle_since()?, client))).collect();
        if idle.len() > max_idle {
            if let Some((since, client)) = idle.into_iter().min_by_key(|(since, _)| *since) {
                client.request_close(since);
            }
        }
    }
}
