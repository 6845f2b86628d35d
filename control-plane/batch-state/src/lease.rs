//! Leases on items. The head of the stores' chain grants them to the gateways that run the items.
//!
//! At each work request the gateway's leases on the items that it reports as running are renewed, and then it
//! is granted further items. Leases are not replicated. After a change of head the gateways report the items
//! that they run, and items that no gateway reports are granted again.

use crate::item::ItemId;
use crate::job::Job;
use crate::state::BatchState;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Initial value of the mean run time of items, before any run time has been recorded.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(1200);
/// Weight of the latest run time in the moving averages.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Number of mean absolute deviations added to the mean for the upper estimate, which most run times do not
/// exceed.
const DEVIATION_FACTOR: f64 = 1.0;

/// A gateway's right to run an item.
#[derive(Clone, Debug)]
struct Lease {
    gateway: String,
    /// When the lease expires unless it is renewed, on the head's monotonic clock.
    expires_at: Duration,
    /// When the item was first granted to the gateway, on the same clock. Renewals do not change it.
    granted_at: Duration,
}

/// Terms of leases: the gateway that holds them, the start and the duration.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTerms<'a> {
    /// Name of the gateway.
    pub gateway: &'a str,
    /// The current time on the head's monotonic clock.
    pub now: Duration,
    /// Time from `now` after which the lease expires unless it is renewed.
    pub duration: Duration,
}

impl LeaseTerms<'_> {
    fn lease(&self, granted_at: Duration) -> Lease {
        Lease { gateway: self.gateway.to_owned(), expires_at: self.now + self.duration, granted_at }
    }
}

/// Exponentially weighted moving averages of items' run times, from the grant until the result is reported,
/// in seconds.
#[derive(Debug)]
struct RunTimes {
    mean: f64,
    /// Mean absolute deviation.
    deviation: f64,
}

impl Default for RunTimes {
    fn default() -> RunTimes {
        RunTimes { mean: DEFAULT_RUN_TIME.as_secs_f64(), deviation: 0.0 }
    }
}

impl RunTimes {
    fn record(&mut self, time: Duration) {
        let error = time.as_secs_f64() - self.mean;
        self.mean += RUN_TIME_WEIGHT * error;
        self.deviation += RUN_TIME_WEIGHT * (error.abs() - self.deviation);
    }

    /// Returns the estimated time within which most items complete.
    fn upper_estimate(&self) -> Duration {
        Duration::from_secs_f64((self.mean + DEVIATION_FACTOR * self.deviation).max(0.0))
    }
}

/// The leases on all items that gateways run.
#[derive(Debug, Default)]
pub struct Leases {
    leases: HashMap<ItemId, Lease>,
    run_times: RunTimes,
}

impl Leases {
    /// Renews the leases on `running`, which are all the items that the gateway runs. Returns those that the
    /// gateway must stop, because another gateway has leased them or they must no longer be run.
    pub fn renew(&mut self, terms: &LeaseTerms<'_>, batch: &BatchState, running: Vec<ItemId>) -> Vec<ItemId> {
        self.release_unreported(terms.gateway, &running);
        let mut stopped = Vec::new();
        for id in running {
            let pending = batch.job(&id.job).is_some_and(|job| is_pending(job, id.item));
            if !pending || self.is_leased_by_other(&id, terms) {
                stopped.push(id);
                continue;
            }
            let granted_at = self.leases.get(&id).map_or(terms.now, |lease| lease.granted_at);
            self.leases.insert(id, terms.lease(granted_at));
        }
        stopped
    }

    /// Releases the gateway's leases on items that it does not report as running: the reply that granted them
    /// was lost, or the items have ended.
    fn release_unreported(&mut self, gateway: &str, running: &[ItemId]) {
        let reported: HashSet<&ItemId> = running.iter().collect();
        self.leases.retain(|id, lease| lease.gateway != gateway || reported.contains(id));
    }

    fn is_leased_by_other(&self, id: &ItemId, terms: &LeaseTerms<'_>) -> bool {
        let lease = self.leases.get(id);
        lease.is_some_and(|lease| lease.gateway != terms.gateway && lease.expires_at > terms.now)
    }

    /// Leases up to `max_items` items without a valid lease to the gateway of `terms`, and returns them.
    /// `wall_ms` is the time in milliseconds since 1970 by the head's clock.
    ///
    /// Jobs that can still meet their deadline come first, earliest deadline first (EDF), followed by those
    /// that cannot, in the same order. Plain EDF would prefer late jobs. Under overload it would then miss
    /// one deadline after another: the work on results that are late anyway would take the time in which the
    /// next jobs could still meet their deadlines.
    pub fn grant(
        &mut self,
        terms: &LeaseTerms<'_>,
        batch: &BatchState,
        max_items: usize,
        wall_ms: u64,
    ) -> Vec<ItemId> {
        let mut granted = Vec::new();
        for (job_id, job) in self.jobs_by_urgency(batch, wall_ms) {
            for item in job.pending_items() {
                if granted.len() >= max_items {
                    return granted;
                }
                let id = ItemId { job: job_id.clone(), item };
                if self.leases.get(&id).is_none_or(|lease| lease.expires_at <= terms.now) {
                    self.leases.insert(id.clone(), terms.lease(terms.now));
                    granted.push(id);
                }
            }
        }
        granted
    }

    /// Returns the open jobs in the order in which their items are granted; see [`Leases::grant`].
    fn jobs_by_urgency<'a>(&self, batch: &'a BatchState, wall_ms: u64) -> Vec<(&'a String, &'a Job)> {
        let run_time_ms = u64::try_from(self.run_time().as_millis()).unwrap_or(u64::MAX);
        let earliest_completion_ms = wall_ms.saturating_add(run_time_ms);
        let mut jobs: Vec<_> = batch.open_jobs().collect();
        jobs.sort_by_key(|(_, job)| {
            let deadline_ms = job.accepted_at_ms.saturating_add(job.due_after_ms);
            (deadline_ms < earliest_completion_ms, deadline_ms, job.sequence)
        });
        jobs
    }

    /// Ends the lease on an item that has a result, and includes its run time in the averages.
    pub fn finish(&mut self, id: &ItemId, now: Duration) {
        if let Some(lease) = self.leases.remove(id) {
            self.run_times.record(now.saturating_sub(lease.granted_at));
        }
    }

    /// Returns the time from the grant within which most items complete, estimated from the latest ones.
    pub fn run_time(&self) -> Duration {
        self.run_times.upper_estimate()
    }

    /// Removes the leases that have expired by `now`.
    pub fn remove_expired(&mut self, now: Duration) {
        self.leases.retain(|_, lease| lease.expires_at > now);
    }

    /// Returns the number of leased items.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns whether no item is leased.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}

/// Returns whether an item of a job is still to be run.
fn is_pending(job: &Job, item: u32) -> bool {
    job.is_open() && job.pending_item(item).is_some()
}
