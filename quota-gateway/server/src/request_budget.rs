//! The time budgets of requests on the process's clock, and the metrics of their use.
//!
//! The server begins a [`RequestBudget`] when it has read a request's head. The engine and the upstream query
//! it for the time that each connect, attempt and backoff may take. The outcome is recorded once: when the
//! response has been flushed, or when the budget is dropped because the connection is lost.

use crate::clock::Clock;
use marblecroft_deadline::{Budget, Outcome, OutcomeTotals};
use marblecroft_quota_gateway_core::Time;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// The state that the budgets of all requests share.
pub struct RequestBudgets {
    clock: Clock,
    /// The instant at which the process exits. Every response must be written by then.
    process_ends_at: Cell<Option<Time>>,
    /// The metrics; `None` if the configuration has no console from which to read them.
    pub totals: Option<OutcomeTotals>,
}

impl RequestBudgets {
    /// Creates the budgets for classes with these names. Without names no metrics are recorded.
    pub fn new(clock: Clock, classes: Option<&[String]>) -> Rc<RequestBudgets> {
        let totals = classes.and_then(|classes| {
            OutcomeTotals::new(classes)
                .map_err(|e| warn!(error = %e, "request time metrics are not recorded: {e}"))
                .ok()
        });
        Rc::new(RequestBudgets { clock, process_ends_at: Cell::new(None), totals })
    }

    /// Limits all budgets, present and future, to the instant at which the process exits.
    pub fn end_by(&self, exit_at: Time) {
        self.process_ends_at.set(Some(exit_at));
    }

    /// Starts the budget of a request whose head took `head_duration` to arrive and whose client waits for
    /// `client_timeout` from the request's last byte.
    pub fn begin(
        self: &Rc<Self>,
        class: usize,
        client_timeout: Duration,
        head_duration: Duration,
    ) -> Rc<RequestBudget> {
        let now = self.clock.now();
        let head_nanos = u64::try_from(head_duration.as_nanos()).unwrap_or(u64::MAX);
        let begun_at = Time(now.0.saturating_sub(head_nanos));
        Rc::new(RequestBudget {
            shared: self.clone(),
            class,
            budget: RefCell::new(Budget::new(client_timeout, begun_at)),
            awaits_outcome: Cell::new(false),
            outcome_on_close: Cell::new(Outcome::ClientDisconnected),
        })
    }
}

/// The budget of one request. Records its outcome in the metrics once, at the latest on drop.
pub struct RequestBudget {
    shared: Rc<RequestBudgets>,
    class: usize,
    budget: RefCell<Budget>,
    /// Whether the request was passed to the core and its outcome is not recorded yet.
    awaits_outcome: Cell<bool>,
    /// The outcome to record when the response is flushed or the connection is lost.
    outcome_on_close: Cell<Outcome>,
}

impl RequestBudget {
    /// Calls `f` with the budget, limited to the process's exit, and the current time.
    fn with_budget<T>(&self, f: impl FnOnce(&mut Budget, Time) -> T) -> T {
        let mut budget = self.budget.borrow_mut();
        if let Some(exit_at) = self.shared.process_ends_at.get() {
            budget.end_by(exit_at);
        }
        f(&mut budget, self.shared.clock.now())
    }

    /// The metrics, if they are recorded.
    fn totals(&self) -> Option<&OutcomeTotals> {
        self.shared.totals.as_ref()
    }

    /// Records that the request was passed to the core.
    pub fn on_admitted(&self) {
        self.awaits_outcome.set(true);
    }

    /// Records that the last byte arrived `unread_for` ago.
    pub fn on_complete(&self, unread_for: Duration) {
        self.with_budget(|budget, now| budget.on_complete(now, unread_for));
    }

    /// Returns the instant by which the response must be written; see [`Budget::deadline`].
    pub fn deadline(&self) -> Option<Time> {
        self.with_budget(|budget, _| budget.deadline())
    }

    /// Returns the deadline, or the one that the request would have if it were complete now.
    pub fn latest_deadline(&self) -> Time {
        self.with_budget(|budget, now| budget.latest_deadline(now))
    }

    /// Returns whether `instant` has not been reached yet.
    pub fn is_before(&self, instant: Time) -> bool {
        self.shared.clock.now() < instant
    }

    /// Limits a wait of at most `max_wait` to the time remaining.
    pub fn limit_wait(&self, max_wait: Duration) -> Duration {
        self.with_budget(|budget, now| budget.limit_wait(now, max_wait))
    }

    /// Begins a connect to a server and returns how long it may take, at most `max_wait`.
    pub fn begin_connect(&self, max_wait: Duration) -> Duration {
        self.with_budget(|budget, now| budget.begin_connect(now, max_wait))
    }

    /// Begins an attempt, which ends at `attempt_ends_at` if that is set. Returns the timeout to advertise to
    /// the server, or `None` if the request must not be sent.
    pub fn begin_attempt(
        &self,
        attempt_ends_at: Option<Time>,
        response_transit: Duration,
    ) -> Option<Duration> {
        let (is_first, advertised) = self.with_budget(|budget, now| {
            let attempt_ends_at = attempt_ends_at.unwrap_or(Time(u64::MAX));
            (!budget.has_attempts(), budget.begin_attempt(now, attempt_ends_at, response_transit))
        });
        if let Some(totals) = self.totals() {
            match advertised {
                Some(_) => totals.record_attempt(self.class, is_first),
                None => totals.record_withheld(self.class),
            }
        }
        advertised
    }

    /// Cancels the last attempt, of which no byte was written.
    pub fn cancel_attempt(&self) {
        self.with_budget(|budget, now| budget.cancel_attempt(now));
    }

    /// Records that the request waits for its next attempt.
    pub fn begin_wait(&self) {
        self.with_budget(|budget, now| budget.begin_wait(now));
    }

    /// Records that the final response is decided: a server's response if `is_served`, otherwise one that the
    /// gateway generates.
    pub fn on_response_decided(&self, is_served: bool) {
        self.with_budget(|budget, now| {
            if let Some(totals) = self.totals().filter(|_| !budget.is_decided()) {
                totals.record_decided(self.class, budget, now);
            }
            budget.decide(now);
            // Determined now, because an attempt that is still being written must not count.
            self.outcome_on_close.set(match (is_served, budget.has_attempts()) {
                (true, _) => Outcome::Answered,
                (false, true) => Outcome::InAttempt,
                (false, false) => Outcome::BeforeSend,
            });
        });
    }

    /// Records that the server ended its response prematurely.
    pub fn on_response_truncated(&self) {
        self.outcome_on_close.set(Outcome::InAttempt);
    }

    /// Records that the client's operating system has acknowledged all of the response.
    pub fn on_flushed(&self) {
        self.record_outcome(self.outcome_on_close.get());
    }

    /// Records the outcome on the first call only.
    fn record_outcome(&self, outcome: Outcome) {
        if let Some(totals) = self.totals().filter(|_| self.awaits_outcome.replace(false)) {
            totals.record_outcome(self.class, &self.budget.borrow(), self.shared.clock.now(), outcome);
        }
    }
}

impl Drop for RequestBudget {
    /// A response that was not flushed means that the client disconnected, unless the server ended its
    /// response prematurely.
    fn drop(&mut self) {
        let outcome = self.outcome_on_close.get();
        self.record_outcome(if outcome == Outcome::InAttempt {
            outcome
        } else {
            Outcome::ClientDisconnected
        });
    }
}
