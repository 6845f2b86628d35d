//! Follows the endpoint list of the project's own discovery service, which several processes serve.
//!
//! One of them may lag behind or have lost its store, so their lists are merged by
//! [`marblecroft_discovery::client::Follower`], which also delays the removal of many servers at the same
//! time.

use crate::metric::Metric;
use marblecroft_discovery::client::{Follower, MergeOutcome, RemovalPolicy};
use marblecroft_discovery::format::HostList;
use quick_error::quick_error;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

quick_error! {
    /// The reason why a received list is not applied.
    #[derive(Debug)]
    pub enum MergeError {
        /// It is older than the one in force.
        Behind {
            display("the received list is older than the one in force")
        }
        /// It belongs to another store than the one that is followed.
        OtherStore {
            display("the received list belongs to another store")
        }
    }
}

/// Merges the endpoint lists of several processes of the discovery service.
pub struct EndpointFollower {
    follower: Follower,
    started_at: Instant,
    metrics: Rc<EndpointListMetrics>,
}

/// The metrics of how up to date the list is.
#[derive(Default)]
pub struct EndpointListMetrics {
    last_update_at: Cell<Option<Instant>>,
    pending_removals: Cell<usize>,
}

impl EndpointListMetrics {
    /// The current values.
    pub fn metrics(&self) -> [Metric; 2] {
        let age = self.last_update_at.get().map(|updated_at| updated_at.elapsed().as_secs_f64());
        [
            Metric {
                name: "marblecroft_list_age_seconds",
                help: "Time since a list service last said how things are.",
                value: age.unwrap_or(f64::INFINITY),
            },
            Metric {
                name: "marblecroft_list_suspects",
                help: "Servers held though the last whole list lacked them.",
                value: self.pending_removals.get() as f64,
            },
        ]
    }
}

impl EndpointFollower {
    /// Creates a follower without a list.
    pub fn new(removal_policy: RemovalPolicy) -> EndpointFollower {
        EndpointFollower {
            follower: Follower::new(removal_policy),
            started_at: Instant::now(),
            metrics: Rc::default(),
        }
    }

    /// The metrics, kept up to date.
    pub fn metrics(&self) -> Rc<EndpointListMetrics> {
        self.metrics.clone()
    }

    /// Merges a received list into the one in force, and returns the list to apply.
    ///
    /// # Errors
    /// Fails if the list is older than the one in force, or of another store.
    pub fn merge(&mut self, list: HostList) -> Result<HostList, MergeError> {
        let outcome = self.follower.merge(list, self.started_at.elapsed());
        self.update_metrics();
        match outcome {
            MergeOutcome::Merged(list) => Ok(list),
            MergeOutcome::Stale => Err(MergeError::Behind),
            MergeOutcome::OtherStore => Err(MergeError::OtherStore),
        }
    }

    /// Returns a list that removes the servers whose removal delay has passed, if there are any.
    pub fn remove_expired(&mut self) -> Option<HostList> {
        let removal = self.follower.remove_overdue(self.started_at.elapsed());
        self.update_metrics();
        removal
    }

    /// The time until the next missing server is removed.
    pub fn until_next_removal(&self) -> Option<Duration> {
        Some(self.follower.next_removal_at()?.saturating_sub(self.started_at.elapsed()))
    }

    /// Handles a change of the addresses that are asked.
    pub fn on_agents_changed(&mut self) {
        self.follower.on_service_changed();
    }

    fn update_metrics(&self) {
        let age = self.follower.age(self.started_at.elapsed());
        self.metrics.last_update_at.set(age.and_then(|age| Instant::now().checked_sub(age)));
        self.metrics.pending_removals.set(self.follower.servers_pending_removal());
    }
}
