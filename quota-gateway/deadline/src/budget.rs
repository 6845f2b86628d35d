//! The deadline of one request, and the limits that it sets to every wait on the request's behalf.
//!
//! The client's timeout counts from the request's last byte ([`Budget::on_complete`]). From then on each
//! connect, attempt and backoff is limited to the time remaining, and each server is advertised what is left
//! when its attempt is written, so that no server works on a response that nobody waits for. The budget reads
//! no clock: callers pass the current time.

use crate::{Stage, StageTimes};
use marblecroft_quota_gateway_core::Time;
use std::time::Duration;

/// A response is written this long before the client's timeout ends, to cover its transit time and scheduling
/// delays on a busy core.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// A response is abandoned if the client reads no byte of it for this time, whatever time remains. A slow
/// reader may take as long as it needs for a response that came in time, but a disconnected reader must not
/// keep its connection open forever.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// One connect may use the remaining time divided by this, so that as much is left to try another server. If
/// no connection was established, no request was sent, so a retry is safe whatever the class.
const CONNECT_DIVISOR: u32 = 2;
/// The timeout that is advertised to servers is a multiple of this.
const ADVERTISED_UNIT: Duration = Duration::from_millis(1);

/// The time budget of one request. It starts with the request, and its deadline counts from the request's
/// last byte.
#[derive(Clone, Debug)]
pub struct Budget {
    client_timeout: Duration,
    /// When the last byte arrived; `None` while the request is still arriving.
    complete_at: Option<Time>,
    /// When the process exits; no wait lasts longer.
    process_ends_at: Option<Time>,
    stage: Stage,
    /// The instant up to which `spent` accounts for all time.
    accounted_until: Time,
    spent: StageTimes,
    /// Number of attempts of which at least a part was written.
    attempts: u32,
    /// The timeout advertised with the last attempt.
    last_advertised: Option<Duration>,
    is_decided: bool,
}

impl Budget {
    /// Starts the budget of a request whose first byte arrives `now` and whose client waits for
    /// `client_timeout` from its last byte.
    pub fn new(client_timeout: Duration, now: Time) -> Budget {
        Budget {
            client_timeout,
            complete_at: None,
            process_ends_at: None,
            stage: Stage::Read,
            accounted_until: now,
            spent: StageTimes::default(),
            attempts: 0,
            last_advertised: None,
            is_decided: false,
        }
    }

    /// Records that the last byte was read `now` and had arrived `unread_for` earlier, which is when the
    /// client's timeout starts. For a body that is streamed, this is called when the server has received the
    /// last byte. Only the first call has an effect.
    pub fn on_complete(&mut self, now: Time, unread_for: Duration) {
        if self.complete_at.is_some() {
            return;
        }
        self.account(now);
        // A last byte may be reported as older than the first read: that time, too, was spent unread and not
        // reading.
        self.spent.subtract(Stage::Read, unread_for);
        if !unread_for.is_zero() {
            self.spent.add(Stage::Unread, unread_for);
        }
        let unread_nanos = u64::try_from(unread_for.as_nanos()).unwrap_or(u64::MAX);
        self.complete_at = Some(Time(now.0.saturating_sub(unread_nanos)));
        if self.stage == Stage::Read {
            self.stage = Stage::Waiting;
        }
    }

    /// Limits the budget to the instant at which the process exits. Repeated calls only ever shorten it.
    pub fn end_by(&mut self, exit_at: Time) {
        self.process_ends_at = Some(self.process_ends_at.map_or(exit_at, |earlier| earlier.min(exit_at)));
    }

    /// The instant by which the response must be written. `None` while the request is still arriving, unless
    /// the process is about to exit.
    pub fn deadline(&self) -> Option<Time> {
        let by_client = self.complete_at.map(|complete_at| complete_at.after(self.usable_timeout()));
        by_client.into_iter().chain(self.process_ends_at).min()
    }

    /// The deadline; while the request is still arriving, the one that it would have if its last byte arrived
    /// `now`.
    pub fn latest_deadline(&self, now: Time) -> Time {
        self.deadline().unwrap_or_else(|| now.after(self.usable_timeout()))
    }

    /// The time until the deadline, zero once it has passed; `None` where there is no deadline yet.
    pub fn remaining(&self, now: Time) -> Option<Duration> {
        self.deadline().map(|deadline| elapsed(now, deadline))
    }

    /// Limits a wait of at most `max_wait` to the time remaining.
    pub fn limit_wait(&self, now: Time, max_wait: Duration) -> Duration {
        self.remaining(now).map_or(max_wait, |remaining| remaining.min(max_wait))
    }

    /// Enters [`Stage::Connect`] and returns how long this connect may take: at most `max_wait`, and at most
    /// half of the time remaining, so that a connect that hangs leaves time for another server.
    pub fn begin_connect(&mut self, now: Time, max_wait: Duration) -> Duration {
        self.enter(now, Stage::Connect);
        self.remaining(now).map_or(max_wait, |remaining| max_wait.min(remaining / CONNECT_DIVISOR))
    }

    /// Enters [`Stage::Attempt`] and returns the timeout to advertise to the server, in whole milliseconds:
    /// the time until the earlier of the deadline and `attempt_ends_at`, less the `response_transit` time of
    /// the server's response. It never increases from one attempt to the next.
    ///
    /// Returns `None`, and counts no attempt, when the request must not be sent: no time remains, or its
    /// response is decided.
    pub fn begin_attempt(
        &mut self,
        now: Time,
        attempt_ends_at: Time,
        response_transit: Duration,
    ) -> Option<Duration> {
        if self.is_decided {
            return None;
        }
        let until_end = elapsed(now, attempt_ends_at).min(self.usable_timeout());
        let limit = self
            .limit_wait(now, until_end)
            .saturating_sub(response_transit)
            .min(self.last_advertised.unwrap_or(Duration::MAX));
        let fraction = Duration::from_nanos((limit.as_nanos() % ADVERTISED_UNIT.as_nanos()) as u64);
        let advertised = limit - fraction;
        if advertised.is_zero() {
            return None;
        }
        self.enter(now, Stage::Attempt);
        self.attempts += 1;
        self.last_advertised = Some(advertised);
        Some(advertised)
    }

    /// Cancels the last attempt, of which no byte was written.
    pub fn cancel_attempt(&mut self, now: Time) {
        self.enter(now, Stage::Waiting);
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Enters [`Stage::Waiting`]: the request waits for its next attempt.
    pub fn begin_wait(&mut self, now: Time) {
        self.enter(now, Stage::Waiting);
    }

    /// Records that the response is decided and enters [`Stage::Write`]. Returns `false` if a response was
    /// already decided; this one is then not valid.
    pub fn decide(&mut self, now: Time) -> bool {
        self.enter(now, Stage::Write);
        !std::mem::replace(&mut self.is_decided, true)
    }

    /// Returns whether the response is decided.
    pub fn is_decided(&self) -> bool {
        self.is_decided
    }

    /// Returns whether any part of the request was written to a server.
    pub fn has_attempts(&self) -> bool {
        self.attempts > 0
    }

    /// How long the client waits, counted from the request's last byte.
    pub fn client_timeout(&self) -> Duration {
        self.client_timeout
    }

    /// The time spent in each stage up to `now`.
    pub fn spent(&self, now: Time) -> StageTimes {
        let mut accounted = self.clone();
        accounted.account(now);
        accounted.spent
    }

    /// The client's timeout without the margin for writing the response.
    fn usable_timeout(&self) -> Duration {
        self.client_timeout.saturating_sub(RESPONSE_MARGIN)
    }

    /// Enters another stage. Once the response is decided, the time of attempts that are still running is not
    /// charged to the request.
    fn enter(&mut self, now: Time, stage: Stage) {
        if !self.is_decided {
            self.account(now);
            self.stage = stage;
        }
    }

    /// Charges the time since `accounted_until` to the current stage. While the client is still sending, it
    /// is charged to [`Stage::Read`], even if an attempt runs at the same time.
    fn account(&mut self, now: Time) {
        let is_reading = self.complete_at.is_none() && !self.is_decided;
        let stage = if is_reading { Stage::Read } else { self.stage };
        self.spent.add(stage, elapsed(self.accounted_until, now));
        self.accounted_until = self.accounted_until.max(now);
    }
}

/// The time from `earlier` to `later`; zero if they are in the other order.
fn elapsed(earlier: Time, later: Time) -> Duration {
    Duration::from_nanos(later.0.saturating_sub(earlier.0))
}
