//! The stand-ins, the links and the processes on real sockets: one thread, one runtime.

pub mod address;
pub mod cells;
pub mod clients;
pub mod datagrams;
pub mod lists;
pub mod owners;
pub mod pay_servers;
pub mod process;
pub mod registers;
pub mod relay;
pub mod run;

use crate::deployment::{Deployment, Nanos, RandomStream};
use crate::endpoint::End;
use crate::error::RunError;
use crate::history::{Event, TimedEvent, Trace, Writer};
use crate::link::{LinkFaults, LinkState};
use crate::scenario::Scenario;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::File;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What all of the lab's tasks share.
pub struct World {
    /// The scenario.
    pub scenario: Scenario,
    /// What was drawn for it.
    pub deployment: Deployment,
    /// The seed.
    pub seed: u64,
    origin: Instant,
    history: RefCell<Writer<File>>,
    /// The first failure to write the history: the run is worth nothing then.
    broken: RefCell<Option<std::io::Error>>,
    rules: RefCell<LinkFaults>,
    /// Notified whenever the faults of links change.
    pub rules_changed: Notify,
    /// Random numbers of the links.
    pub chance: RefCell<ChaCha8Rng>,
    next: Cell<u64>,
    /// Whose each id is: customer and class. Kept while pay servers may see it.
    pub traces: RefCell<HashMap<Trace, (u32, u8)>>,
}

impl World {
    /// Returns the world of a run, whose clock begins now.
    pub fn new(scenario: Scenario, deployment: Deployment, seed: u64, history: Writer<File>) -> Rc<World> {
        Rc::new(World {
            scenario,
            deployment,
            seed,
            origin: Instant::now(),
            history: RefCell::new(history),
            broken: RefCell::new(None),
            rules: RefCell::default(),
            rules_changed: Notify::new(),
            chance: RefCell::new(crate::deployment::random_stream(seed, RandomStream::Links)),
            next: Cell::new(1),
            traces: RefCell::default(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Nanos {
        u64::try_from(self.origin.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }

    /// Returns an instant of the run.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at)
    }

    /// Waits until an instant of the run.
    pub async fn sleep_until(&self, at: Nanos) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    /// Records an event, with the present time.
    pub fn record(&self, event: Event) {
        let at = TimedEvent { at: self.now(), event };
        if let Err(e) = self.history.borrow_mut().add(&at) {
            self.broken.borrow_mut().get_or_insert(e);
        }
    }

    /// Passes all that was recorded to the operating system.
    ///
    /// # Errors
    ///
    /// The history cannot be written, now or earlier.
    pub fn flush(&self) -> Result<(), RunError> {
        let flushed = self.history.borrow_mut().flush();
        let earlier = self.broken.borrow_mut().take();
        earlier.map_or(flushed, Err).map_err(RunError::History)
    }

    /// A number that nothing else in this run has.
    pub fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Changes the faults of links.
    pub fn change_rules(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.rules.borrow_mut());
        self.rules_changed.notify_waiters();
    }

    /// Returns the state of a link in one direction.
    pub fn path(&self, from: End, to: End) -> LinkState {
        let rules = self.rules.borrow();
        if rules.is_empty() {
            return LinkState::CLEAR;
        }
        rules.path(from, to)
    }

    /// Whether a process or a stand-in is suspended.
    pub fn stands_still(&self, end: End) -> bool {
        self.rules.borrow().is_suspended(end)
    }

    /// Whether connections in this direction come up.
    pub fn connects(&self, from: End, to: End) -> bool {
        let rules = self.rules.borrow();
        rules.is_empty() || rules.connects(from, to)
    }

    /// Whether connections in this direction are reset.
    pub fn reset(&self, from: End, to: End) -> bool {
        let rules = self.rules.borrow();
        !rules.is_empty() && rules.reset(from, to)
    }

    /// Waits until a condition on the rules holds.
    pub async fn until(&self, mut holds: impl FnMut(&World) -> bool) {
        while !holds(self) {
            self.rules_changed.notified().await;
        }
    }
}
