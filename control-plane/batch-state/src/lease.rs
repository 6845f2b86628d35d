//! Who runs which item, as the head of the stores' chain has it. Nothing of it is replicated: after a change of the head
//! the gateways tell what they run, and an item that nobody tells of is given out anew.

use crate::BatchState;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time that an item is taken to need until one has been run.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(1200);
/// Weight of one item's time in the mean of the latest.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// An item is taken to need this many mean deviations more than the mean, so that most are done in time.
const DEVIATIONS: f64 = 1.0;

/// An item, by its job and its place in it.
pub type ItemKey = (String, u32);

/// A gateway's right to run an item, until it ends or is renewed.
#[derive(Clone, Debug)]
struct Lease {
    gateway: String,
    /// On the caller's clock.
    expires_at: Duration,
    granted_at: Duration,
}

/// How long items take lately, from when they are granted until their result is told.
#[derive(Debug)]
struct RunTimes {
    /// In seconds.
    mean: f64,
    deviation: f64,
}

impl Default for RunTimes {
    fn default() -> RunTimes {
        RunTimes { mean: DEFAULT_RUN_TIME.as_secs_f64(), deviation: 0.0 }
    }
}

impl RunTimes {
    fn record(&mut self, time: Duration) {
        let off = time.as_secs_f64() - self.mean;
        self.mean += RUN_TIME_WEIGHT * off;
        self.deviation += RUN_TIME_WEIGHT * (off.abs() - self.deviation);
    }

    /// The time within which most items are done.
    fn upper_estimate(&self) -> Duration {
        Duration::from_secs_f64((self.mean + DEVIATIONS * self.deviation).max(0.0))
    }
}

/// The leases of all items that are run.
#[derive(Debug, Default)]
pub struct Leases {
    leases: HashMap<ItemKey, Lease>,
    run_times: RunTimes,
}

impl Leases {
    /// A gateway runs these items; those that another gateway holds, or that are not to be run, are returned: it stops
    /// them.
    pub fn renew(
        &mut self,
        batch: &BatchState,
        gateway: &str,
        running: Vec<ItemKey>,
        now: Duration,
        term: Duration,
    ) -> Vec<ItemKey> {
        // It tells all that it runs: what else it was granted it never learnt of, or has ended.
        let kept: HashSet<&ItemKey> = running.iter().collect();
        self.leases.retain(|key, lease| lease.gateway != gateway || kept.contains(key));
        let mut lost = Vec::new();
        for key in running {
            let wanted =
                batch.job(&key.0).is_some_and(|job| job.is_open() && job.pending_item(key.1).is_some());
            let others =
                self.leases.get(&key).is_some_and(|lease| lease.gateway != gateway && lease.expires_at > now);
            if wanted && !others {
                let granted_at = self.leases.get(&key).map_or(now, |lease| lease.granted_at);
                let lease = Lease { gateway: gateway.to_owned(), expires_at: now + term, granted_at };
                self.leases.insert(key, lease);
            } else {
                lost.push(key);
            }
        }
        lost
    }

    /// Gives items that nobody holds to a gateway: of the jobs that can still be done in time the one that is due first, and
    /// after these the others. What is late already earns less, and would make the next ones late too.
    pub fn grant(
        &mut self,
        batch: &BatchState,
        gateway: &str,
        room: usize,
        now: Duration,
        time_ms: u64,
        term: Duration,
    ) -> Vec<ItemKey> {
        let done_ms = u64::try_from(self.run_times.upper_estimate().as_millis()).unwrap_or(u64::MAX);
        let mut open: Vec<_> = batch.open_jobs().collect();
        open.sort_by_key(|(_, job)| {
            let due_ms = job.accepted_at_ms.saturating_add(job.due_after_ms);
            (due_ms < time_ms.saturating_add(done_ms), due_ms, job.sequence)
        });
        let mut granted = Vec::new();
        for (id, job) in open {
            for item in job.pending_items() {
                if granted.len() >= room {
                    return granted;
                }
                let key = (id.clone(), item);
                if self.leases.get(&key).is_none_or(|lease| lease.expires_at <= now) {
                    let lease =
                        Lease { gateway: gateway.to_owned(), expires_at: now + term, granted_at: now };
                    self.leases.insert(key.clone(), lease);
                    granted.push(key);
                }
            }
        }
        granted
    }

    /// An item has a result.
    pub fn finish(&mut self, key: &ItemKey, now: Duration) {
        if let Some(lease) = self.leases.remove(key) {
            self.run_times.record(now.saturating_sub(lease.granted_at));
        }
    }

    /// The time within which most items are done, by the latest.
    pub fn run_time(&self) -> Duration {
        self.run_times.upper_estimate()
    }

    /// Forgets leases that have ended.
    pub fn remove_expired(&mut self, now: Duration) {
        self.leases.retain(|_, lease| lease.expires_at > now);
    }

    /// Items that are held.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
