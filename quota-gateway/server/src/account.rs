//! Budgets on the clock: what front, engine and upstream ask of a request's time, and what the operators are told of it.

use crate::clock::Clock;
use marblecroft_deadline::{Budget, End, Ledger};
use marblecroft_quota_gateway_core::Time;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// What all accounts have in common.
pub struct Accounts {
    clock: Clock,
    /// When every answer must be out: the process ends.
    end: Cell<Option<Time>>,
    /// Where there is somebody to ask for it.
    pub ledger: Option<Ledger>,
}

impl Accounts {
    /// For classes of these names, or with nothing kept for the operators.
    pub fn new(clock: Clock, classes: Option<&[String]>) -> Rc<Accounts> {
        let ledger = classes.and_then(|classes| {
            let ledger = Ledger::new(classes);
            ledger.map_err(|e| warn!(error = %e, "no account is kept of requests' time: {e}")).ok()
        });
        Rc::new(Accounts { clock, end: Cell::new(None), ledger })
    }

    /// Cuts all budgets: what is open, still comes in, or comes later.
    pub fn end_by(&self, end: Time) {
        self.end.set(Some(end));
    }

    /// A request has come in part: its head, which took so long. Its client waits for so long from its last byte.
    pub fn begin(self: &Rc<Self>, class: usize, told: Duration, head: Duration) -> Rc<Account> {
        let now = self.clock.now();
        let begun = Time(now.0.saturating_sub(u64::try_from(head.as_nanos()).unwrap_or(u64::MAX)));
        Rc::new(Account {
            accounts: self.clone(),
            class,
            budget: RefCell::new(Budget::reading(told, begun)),
            taken: Cell::new(false),
            fate: Cell::new(End::ClientGone),
        })
    }
}

/// The budget of one request, and who is told what became of it.
pub struct Account {
    accounts: Rc<Accounts>,
    class: usize,
    budget: RefCell<Budget>,
    /// It is a request in whose answer the operators have an interest, and nobody was told of it yet.
    taken: Cell<bool>,
    /// How it has ended if its client does not have all of an answer.
    fate: Cell<End>,
}

impl Account {
    /// The budget as of now.
    fn with<T>(&self, use_it: impl FnOnce(&mut Budget, Time) -> T) -> T {
        let mut budget = self.budget.borrow_mut();
        self.accounts.end.get().into_iter().for_each(|end| budget.cut(end));
        use_it(&mut budget, self.accounts.clock.now())
    }

    fn ledger(&self) -> Option<&Ledger> {
        self.accounts.ledger.as_ref()
    }

    /// It is handed to the decisions.
    pub fn take(&self) {
        self.taken.set(true);
    }

    /// Its last byte came so long ago.
    pub fn whole(&self, ago: Duration) {
        self.with(|budget, now| budget.whole(now, ago));
    }

    /// When its answer must be out; not known while it still comes, unless the process ends.
    pub fn ends(&self) -> Option<Time> {
        self.with(|budget, _| budget.ends())
    }

    /// The same, or when that would be if all of it were here.
    pub fn ends_at_most(&self) -> Time {
        self.with(|budget, now| budget.ends_at_most(now))
    }

    /// Whether this instant is still to come.
    pub fn before(&self, instant: Time) -> bool {
        self.accounts.clock.now() < instant
    }

    /// How long a wait of at most this may last.
    pub fn bound(&self, most: Duration) -> Duration {
        self.with(|budget, now| budget.bound(now, most))
    }

    /// A connection comes up for it from now on; how long that may take.
    pub fn connecting(&self, most: Duration) -> Duration {
        self.with(|budget, now| budget.connecting(now, most))
    }

    /// It is about to be written to a server; what that is told to have of time, or `None` when it must not be sent.
    pub fn sending(&self, until: Option<Time>, back: Duration) -> Option<Duration> {
        let (first, rest) = self.with(|budget, now| {
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
    pub fn unsent(&self) {
        self.with(|budget, now| budget.unsent(now));
    }

    /// Its attempt is over, or there is none yet.
    pub fn waiting(&self) {
        self.with(|budget, now| budget.waiting(now));
    }

    /// Its final answer is decided, a server's or not.
    pub fn answered(&self, served: bool) {
        self.with(|budget, now| {
            if let Some(ledger) = self.ledger().filter(|_| !budget.is_answered()) {
                ledger.decided(self.class, budget, now);
            }
            budget.answered(now);
            // Known now: what is still being written to servers comes too late for it.
            self.fate.set(match (served, budget.was_sent()) {
                (true, _) => End::Answered,
                (false, true) => End::InAttempt,
                (false, false) => End::BeforeSend,
            });
        });
    }

    /// The server has broken its answer off.
    pub fn broke_off(&self) {
        self.fate.set(End::InAttempt);
    }

    /// The client's system has all of the answer.
    pub fn flushed(&self) {
        self.close(self.fate.get());
    }

    fn close(&self, end: End) {
        if let Some(ledger) = self.ledger().filter(|_| self.taken.replace(false)) {
            ledger.ended(self.class, &self.budget.borrow(), self.accounts.clock.now(), end);
        }
    }
}

impl Drop for Account {
    /// Where the answer was not all flushed, the connection has gone: by the client, unless its answer was broken off.
    fn drop(&mut self) {
        let fate = self.fate.get();
        self.close(if fate == End::InAttempt { fate } else { End::ClientGone });
    }
}
