//! Runs the stand-ins, the links and the processes on real sockets, in one thread with one runtime.

pub mod address;
pub mod candidates;
pub mod cells;
pub mod clients;
pub mod datagrams;
pub mod discovery;
pub mod pay_servers;
pub mod process;
pub mod registers;
pub mod relay;
pub mod run;

use crate::deployment::{Deployment, Nanos, RandomStream};
use crate::endpoint::Endpoint;
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

/// State that all tasks of the harness share.
pub struct RunContext {
    /// The scenario.
    pub scenario: Scenario,
    /// The deployment that was drawn for the scenario.
    pub deployment: Deployment,
    /// The seed.
    pub seed: u64,
    origin: Instant,
    history: RefCell<Writer<File>>,
    /// The first error of writing the history. It makes the run unusable.
    history_error: RefCell<Option<std::io::Error>>,
    link_faults: RefCell<LinkFaults>,
    /// Notified whenever the faults of links change.
    pub link_faults_changed: Notify,
    /// Random numbers for the delays and losses of links.
    pub link_rng: RefCell<ChaCha8Rng>,
    /// The next id that [`RunContext::next_id`] returns.
    unused_id: Cell<u64>,
    /// Customer and class of each trace id, kept while pay servers may still receive the id.
    pub traces: RefCell<HashMap<Trace, (u32, u8)>>,
}

impl RunContext {
    /// Returns the context of a run. The clock of the run starts now.
    pub fn new(
        scenario: Scenario,
        deployment: Deployment,
        seed: u64,
        history: Writer<File>,
    ) -> Rc<RunContext> {
        Rc::new(RunContext {
            scenario,
            deployment,
            seed,
            origin: Instant::now(),
            history: RefCell::new(history),
            history_error: RefCell::new(None),
            link_faults: RefCell::default(),
            link_faults_changed: Notify::new(),
            link_rng: RefCell::new(crate::deployment::random_stream(seed, RandomStream::Links)),
            unused_id: Cell::new(1),
            traces: RefCell::default(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Nanos {
        u64::try_from(self.origin.elapsed().as_nanos()).unwrap_or(u64::MAX)
    }

    /// Converts a time of the run to an instant.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at)
    }

    /// Sleeps until a time of the run.
    pub async fn sleep_until(&self, at: Nanos) {
        tokio::time::sleep_until(self.instant(at)).await;
    }

    /// Appends an event to the history, with the current time.
    pub fn record(&self, event: Event) {
        let at = TimedEvent { at: self.now(), event };
        if let Err(e) = self.history.borrow_mut().add(&at) {
            self.history_error.borrow_mut().get_or_insert(e);
        }
    }

    /// Writes all buffered events of the history to the operating system.
    ///
    /// # Errors
    ///
    /// The history cannot be written, or an earlier write has failed.
    pub fn flush(&self) -> Result<(), RunError> {
        let flushed = self.history.borrow_mut().flush();
        let earlier = self.history_error.borrow_mut().take();
        earlier.map_or(flushed, Err).map_err(RunError::History)
    }

    /// Returns an id that is unique within the run.
    pub fn next_id(&self) -> u64 {
        self.unused_id.replace(self.unused_id.get() + 1)
    }

    /// Changes the faults of links and wakes the tasks that wait for a change.
    pub fn change_link_faults(&self, change: impl FnOnce(&mut LinkFaults)) {
        change(&mut self.link_faults.borrow_mut());
        self.link_faults_changed.notify_waiters();
    }

    /// Returns the state of a link in one direction.
    pub fn link_state(&self, from: Endpoint, to: Endpoint) -> LinkState {
        let link_faults = self.link_faults.borrow();
        if link_faults.is_empty() {
            return LinkState::CLEAR;
        }
        link_faults.link_state(from, to)
    }

    /// Whether a process or a stand-in is suspended.
    pub fn is_suspended(&self, endpoint: Endpoint) -> bool {
        self.link_faults.borrow().is_suspended(endpoint)
    }

    /// Whether a connection between two endpoints can be established.
    pub fn can_connect(&self, from: Endpoint, to: Endpoint) -> bool {
        let link_faults = self.link_faults.borrow();
        link_faults.is_empty() || link_faults.can_connect(from, to)
    }

    /// Whether connections between two endpoints are reset.
    pub fn is_reset(&self, from: Endpoint, to: Endpoint) -> bool {
        let link_faults = self.link_faults.borrow();
        !link_faults.is_empty() && link_faults.is_reset(from, to)
    }

    /// Waits until a condition on the faults of links holds.
    pub async fn wait_until(&self, mut condition: impl FnMut(&RunContext) -> bool) {
        while !condition(self) {
            self.link_faults_changed.notified().await;
        }
    }
}
