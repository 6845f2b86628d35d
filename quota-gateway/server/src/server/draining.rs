//! Draining, on an operator's command and when the process exits.
//!
//! The next request on a connection in use is answered with `Connection: close`, so that no request is lost.
//! Connections that stay idle are closed.

use super::connection::ClientConnection;
use super::listener::CLOSE_DELAY;
use super::{ClientServer, DrainState};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// A connection on which nothing arrives for this long is not in use and is closed. Limits how long a client
/// can keep a connection to a draining gateway; clients with less frequent requests have to reconnect.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after SIGTERM for which the process waits for an incomplete first request. New connections arrive
/// for 0.4 s, and a head may take 2 s.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// SIGKILL follows SIGTERM after the longest request deadline, which is at most this, plus [`KILL_GRACE`].
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// The time between the longest request deadline and SIGKILL. A part of it remains for writing the responses.
const KILL_GRACE: Duration = Duration::from_millis(550);

impl ClientServer {
    /// Closes each connection after its next response or when it stays idle.
    pub fn drain(&self) {
        if self.drain_state.get() == DrainState::Open {
            self.drain_state.set(DrainState::Draining);
            self.request_close_all();
        }
    }

    /// Ends draining, and keeps the connections that are still open.
    pub fn undrain(&self) {
        if self.drain_state.get() == DrainState::Draining {
            self.drain_state.set(DrainState::Open);
            self.clients.borrow().values().for_each(|client| client.cancel_close());
        }
    }

    /// Returns whether the operators have drained the gateway.
    pub fn is_draining(&self) -> bool {
        self.drain_state.get() == DrainState::Draining
    }

    /// Drains because the process exits. `is_replaced` is set if another process of the gateway continues to
    /// serve.
    pub fn close(&self, is_replaced: bool) {
        // The gateway stays available through the other process, unless it is drained.
        let is_gateway_up = is_replaced && !self.is_draining();
        self.drain_state.set(if is_gateway_up { DrainState::Replaced } else { DrainState::Exiting });
        self.request_close_all();
        let classes = &self.gateway_settings.settings.classes;
        let max_deadline = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        let until_kill = max_deadline.min(MAX_KILL_DEADLINE) + KILL_GRACE;
        self.engine.set_process_end(self.engine.clock.now().after(until_kill));
    }

    /// Requests the close of all connections that have sent a request. A connection without a request was
    /// only just accepted, and its first request is on the way, so it is not closed.
    fn request_close_all(&self) {
        let at = Instant::now() + DRAIN_IDLE_TIMEOUT;
        for client in self.clients.borrow().values().filter(|client| client.has_sent_request.get()) {
            client.request_close(at);
        }
    }

    /// Waits until every connection that has sent a request has ended, including those that were accepted
    /// last. A connection whose first request is incomplete is waited for only until [`DRAIN_ACCEPT_TIME`]
    /// after SIGTERM.
    pub async fn wait_until_empty(&self, terminated_at: Instant) {
        sleep(CLOSE_DELAY).await;
        let first_request_until = terminated_at + DRAIN_ACCEPT_TIME;
        let is_awaited = |client: &Rc<ClientConnection>| {
            client.has_sent_request.get() || (client.is_in_head() && Instant::now() < first_request_until)
        };
        while self.clients.borrow().values().any(is_awaited) {
            // The loop checks the connections again in either case.
            let _ = timeout(CLOSE_DELAY, self.slot_freed.notified()).await;
        }
    }
}
