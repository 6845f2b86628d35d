//! What owning a duty is: it begins from the decision that stands, hears reports, decides, and publishes under its token.

use crate::config::Config;
use crate::decisions::{begin, Now};
use crate::reports::Reports;
use marblecroft_control_messages::published::Stamp;
use marblecroft_singleton_roles::run::{Lease, PublishOutcome};
use marblecroft_singleton_roles::view::View;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// What all duties of a process share.
pub struct Shared {
    pub config: Config,
    pub reports: Rc<Reports>,
    /// All that is published of the fleet, as this process last read it.
    pub view: RefCell<View>,
    pub begun: Instant,
    pub published: Cell<u64>,
    /// The longest that one look at what was reported has taken.
    pub longest: Cell<Duration>,
}

impl Shared {
    pub fn now(&self) -> Now {
        self.begun.elapsed()
    }
}

/// The decision that stands is waited for this long at a time.
const READ: Duration = Duration::from_secs(2);

/// Does a duty until its lease is to finish or cannot act any more.
pub async fn run_role(shared: Rc<Shared>, mut lease: Lease) {
    let mut reports = shared.reports.subscribe(&lease.role);
    let key = lease.keys.decision(&lease.role);
    let standing = loop {
        match lease.client.read(&key, READ).await {
            Ok((_, values)) => {
                break values.into_iter().find(|(name, ..)| *name == key).map(|(_, value, _)| value)
            }
            Err(e) if lease.valid_token().is_some() => {
                warn!(duty = %lease.role, "{}: what stands is not read: {e}", lease.role)
            }
            Err(_) => return,
        }
    };
    let Some(mut core) = begin(&shared.config, &lease.role, shared.now(), standing.as_deref()) else {
        return;
    };
    let wakes = core.wakes();
    let mut stamp = Stamp { token: lease.token, revision: 0 };
    while lease.valid_token().is_some() && !lease.should_finish() {
        let looked = Instant::now();
        core.view(shared.now(), &shared.view.borrow());
        while let Ok(report) = reports.try_recv() {
            if let Err(why) = core.report(shared.now(), &report) {
                shared.reports.refuse(why);
            }
        }
        let next = Stamp { revision: stamp.revision + 1, ..stamp };
        let decided = core.decide(shared.now(), next);
        shared.longest.set(shared.longest.get().max(looked.elapsed()));
        if let Some(bytes) = decided {
            stamp = next;
            match lease.publish(key.clone(), bytes).await {
                PublishOutcome::Published => {
                    core.published(shared.now(), stamp);
                    shared.published.set(shared.published.get() + 1);
                }
                PublishOutcome::Unknown => {}
                PublishOutcome::LeaseLost => return,
            }
        }
        if lease.valid_token().is_some() {
            core.act();
        }
        let rest = Duration::from_millis(shared.config.decide_ms);
        match &wakes {
            Some(cells) => tokio::select! {
                () = lease.sleep_until_finish(rest) => {}
                () = cells.answered.notified() => {}
            },
            None => lease.sleep_until_finish(rest).await,
        }
    }
}
