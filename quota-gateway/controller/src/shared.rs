//! State shared by all roles of a process.

use crate::config::Config;
use crate::decision_role::Now;
use crate::reports::Reports;
use marblecroft_singleton_roles::view::View;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// State shared by all roles of a process.
pub struct Shared {
    /// The configuration.
    pub config: Config,
    /// The reports of gateways.
    pub reports: Rc<Reports>,
    /// The published entries of the fleet, as last read.
    pub view: RefCell<View>,
    /// The number of decisions that were published.
    pub published_decisions: Cell<u64>,
    /// The maximum time that one decision has taken.
    pub longest_decision: Cell<Duration>,
    started_at: Instant,
}

impl Shared {
    /// Creates the shared state, and starts the clock of [`Shared::now`].
    pub fn new(config: Config, reports: Rc<Reports>) -> Rc<Shared> {
        Rc::new(Shared {
            config,
            reports,
            view: RefCell::default(),
            published_decisions: Cell::new(0),
            longest_decision: Cell::new(Duration::ZERO),
            started_at: Instant::now(),
        })
    }

    /// Returns the time since the shared state was created.
    pub fn now(&self) -> Now {
        self.started_at.elapsed()
    }
}
