//! Who runs which item, as the head of the stores' chain has it. Nothing of it is replicated: after a change of the head
//! the gateways tell what they run, and an item that nobody tells of is given out anew.

use crate::Batch;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time that an item is taken to need, in milliseconds.
const RUN_MS: u64 = 1200;

/// An item, by its job and its place in it.
pub type ItemKey = (String, u32);

/// A gateway's right to run an item, until it ends or is renewed.
#[derive(Clone, Debug)]
struct Lease {
    gateway: String,
    /// On the caller's clock.
    until: Duration,
}

/// The leases of all items that are run.
#[derive(Debug, Default)]
pub struct Leases {
    held: HashMap<ItemKey, Lease>,
}

impl Leases {
    /// A gateway runs these items; those that another gateway holds, or that are not to be run, are returned: it stops
    /// them.
    pub fn renew(
        &mut self,
        batch: &Batch,
        gateway: &str,
        running: Vec<ItemKey>,
        now: Duration,
        term: Duration,
    ) -> Vec<ItemKey> {
        // It tells all that it runs: what else it was granted it never learnt of, or has ended.
        let kept: HashSet<&ItemKey> = running.iter().collect();
        self.held.retain(|key, lease| lease.gateway != gateway || kept.contains(key));
        let mut lost = Vec::new();
        for key in running {
            let wanted = batch.job(&key.0).is_some_and(|job| job.is_open() && job.unlisted(key.1).is_some());
            let others =
                self.held.get(&key).is_some_and(|lease| lease.gateway != gateway && lease.until > now);
            if wanted && !others {
                let lease = Lease { gateway: gateway.to_owned(), until: now + term };
                self.held.insert(key, lease);
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
        batch: &Batch,
        gateway: &str,
        room: usize,
        now: Duration,
        time_ms: u64,
        term: Duration,
    ) -> Vec<ItemKey> {
        let mut open: Vec<_> = batch.open_jobs().collect();
        open.sort_by_key(|(_, job)| {
            let due_ms = job.taken_at_ms.saturating_add(job.due_after_ms);
            (due_ms < time_ms.saturating_add(RUN_MS), due_ms, job.order)
        });
        let mut granted = Vec::new();
        for (id, job) in open {
            for item in job.unlisted_items() {
                if granted.len() >= room {
                    return granted;
                }
                let key = (id.clone(), item);
                if self.held.get(&key).is_none_or(|lease| lease.until <= now) {
                    let lease = Lease { gateway: gateway.to_owned(), until: now + term };
                    self.held.insert(key.clone(), lease);
                    granted.push(key);
                }
            }
        }
        granted
    }

    /// An item has a result, or its gateway gives it back.
    pub fn release(&mut self, key: &ItemKey) {
        self.held.remove(key);
    }

    /// Forgets leases that have ended.
    pub fn sweep(&mut self, now: Duration) {
        self.held.retain(|_, lease| lease.until > now);
    }

    /// Items that are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
