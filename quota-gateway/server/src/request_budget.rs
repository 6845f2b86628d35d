//! Budgets on the clock: what front, engine and upstream ask of a request's time, and what the operators are told of it.

use crate::clock::Clock;
use marblecroft_deadline::{Budget, End, OutcomeTotals};
use marblecroft_quota_gateway_core::Time;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// What all accounts have in common.
pub struct RequestBudgets {
    clock: Clock,
    /// When every answer must be out: the process ends.
    process_ends_at: Cell<Option<Time>>,
    /// Where there is somebody to ask for it.
    pub ledger: Option<OutcomeTotals>,
}

impl RequestBudgets {
    /// For classes of these names, or with nothing kept for the operators.
    pub fn new(clock: Clock, classes: Option<&[String]>) -> Rc<RequestBudgets> {
        let ledger = classes.and_then(|classes| {
            let ledger = OutcomeTotals::new(classes);
            ledger.map_err(|e| warn!(error = %e, "no account is kept of requests' time: {e}")).ok()
        });
        Rc::new(RequestBudgets { clock, process_ends_at: Cell::new(None), ledger })
    }

    /// Cuts all budgets: what is open, still comes in, or comes later.
    pub fn end_by(&self, end: Time) {
        self.process_ends_at.set(Some(end));
    }

    /// A request has come in part: its head, which took so long. Its client waits for so long from its last byte.
    pub fn begin(self: &Rc<Self>, class: usize, told: Duration, head: Duration) -> Rc<RequestBudget> {
        let now = self.clock.now();
        let begun = Time(now.0.saturating_sub(u64::try_from(head.as_nanos()).unwrap_or(u64::MAX)));
        Rc::new(RequestBudget {
            shared: self.clone(),
            class,
            budget: RefCell::new(Budget::new(told, begun)),
            admitted: Cell::new(false),
            outcome_if_dropped: Cell::new(End::ClientGone),
        })
    }
}

/// The budget of one request, and who is told what became of it.
pub struct RequestBudget {
    shared: Rc<RequestBudgets>,
    class: usize,
    budget: RefCell<Budget>,
    /// It is a request in whose answer the operators have an interest, and nobody was told of it yet.
    admitted: Cell<bool>,
    /// How it has ended if its client does not have all of an answer.
    outcome_if_dropped: Cell<End>,
}

impl RequestBudget {
    /// The budget as of now.
    fn with_budget<T>(&self, use_it: impl FnOnce(&mut Budget, Time) -> T) -> T {
        let mut budget = self.budget.borrow_mut();
        self.shared.process_ends_at.get().into_iter().for_each(|end| budget.end_by(end));
        use_it(&mut budget, self.shared.clock.now())
    }

    fn ledger(&self) -> Option<&OutcomeTotals> {
        self.shared.ledger.as_ref()
    }

    /// It is handed to the decisions.
    pub fn on_admitted(&self) {
        self.admitted.set(true);
    }

    /// Its last byte came so long ago.
    pub fn on_complete(&self, ago: Duration) {
        self.with_budget(|budget, now| budget.on_complete(now, ago));
    }

    /// When its answer must be out; not known while it still comes, unless the process ends.
    pub fn deadline(&self) -> Option<Time> {
        self.with_budget(|budget, _| budget.deadline())
    }

    /// The same, or when that would be if all of it were here.
    pub fn latest_deadline(&self) -> Time {
        self.with_budget(|budget, now| budget.latest_deadline(now))
    }

    /// Whether this instant is still to come.
    pub fn is_before(&self, instant: Time) -> bool {
        self.shared.clock.now() < instant
    }

    /// How long a wait of at most this may last.
    pub fn limit_wait(&self, most: Duration) -> Duration {
        self.with_budget(|budget, now| budget.limit_wait(now, most))
    }

    /// A connection comes up for it from now on; how long that may take.
    pub fn on_connecting(&self, most: Duration) -> Duration {
        self.with_budget(|budget, now| budget.connecting(now, most))
    }

    /// It is about to be written to a server; what that is told to have of time, or `None` when it must not be sent.
    pub fn on_sending(&self, until: Option<Time>, back: Duration) -> Option<Duration> {
        let (first, rest) = self.with_budget(|budget, now| {
            (!budget.was_sent(), budget.sending(now, until.unwrap_or(Time(u64::MAX)), back))
        });
        if let Some(ledger) = self.ledger() {
            match rest {
                Some(_) => ledger.sent(self.class, first),
                None => ledger.withheld(self.class),
            }
        }
        rest
    }

    /// Nothing was written of it after all.
    pub fn on_not_sent(&self) {
        self.with_budget(|budget, now| budget.unsent(now));
    }

    /// Its attempt is over, or there is none yet.
    pub fn on_waiting(&self) {
        self.with_budget(|budget, now| budget.waiting(now));
    }

    /// Its final answer is decided, a server's or not.
    pub fn on_response_decided(&self, served: bool) {
        self.with_budget(|budget, now| {
            if let Some(ledger) = self.ledger().filter(|_| !budget.is_answered()) {
                ledger.decided(self.class, budget, now);
            }
            budget.answered(now);
            // Known now: what is still being written to servers comes too late for it.
            self.outcome_if_dropped.set(match (served, budget.was_sent()) {
                (true, _) => End::Answered,
                (false, true) => End::InAttempt,
                (false, false) => End::BeforeSend,
            });
        });
    }

    /// The server has broken its answer off.
    pub fn on_broken(&self) {
        self.outcome_if_dropped.set(End::InAttempt);
    }

    /// The client's system has all of the answer.
    pub fn on_flushed(&self) {
        self.close(self.outcome_if_dropped.get());
    }

    fn close(&self, end: End) {
        if let Some(ledger) = self.ledger().filter(|_| self.admitted.replace(false)) {
            ledger.ended(self.class, &self.budget.borrow(), self.shared.clock.now(), end);
        }
    }
}

impl Drop for RequestBudget {
    /// Where the answer was not all flushed, the connection has gone: by the client, unless its answer was broken off.
    fn drop(&mut self) {
        let fate = self.outcome_if_dropped.get();
        self.close(if fate == End::InAttempt { fate } else { End::ClientGone });
    }
}
