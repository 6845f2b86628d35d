//! A batch job: its items, and their results in the order in which they were recorded.
//!
//! Clients read results by position, so results are only appended, and each item has at most one result.

use crate::item::{digest, Item, ItemOutcome, ItemResult};
use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct NewJob {
    /// Id of the job, assigned by the client.
    pub id: String,
    /// Name of the route on which the job was submitted.
    pub route: String,
    /// The `Host` header with which the items are sent.
    pub host: String,
    /// The items; an item's index is its position here.
    pub items: Vec<Item>,
    /// Limit on the queued tokens of the route; 0 means no limit.
    pub max_queued_tokens: u64,
    /// When the job was accepted, in milliseconds since 1970 by the clock of the process that proposed it.
    pub accepted_at_ms: u64,
    /// Time in milliseconds from `accepted_at_ms` within which all results are due.
    pub due_after_ms: u64,
}

impl NewJob {
    /// Returns the total number of tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// An item and whether it has a result.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct StoredItem {
    item: Item,
    has_result: bool,
}

impl StoredItem {
    /// Drops the headers and the body of the request, which are not needed once the item will not be run
    /// again. The id and the number of tokens remain.
    fn drop_request(&mut self) {
        self.item.body = Bytes::default();
        self.item.headers = Vec::new();
    }
}

/// A stored job.
///
/// Snapshots encode the fields by their position: new ones are appended, and none is reordered.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Job {
    /// Name of the route on which the job was submitted.
    pub route: String,
    /// The `Host` header with which the items are sent.
    pub host: String,
    /// Sequence number of the job in the order of acceptance, from 1.
    pub sequence: u64,
    /// When the job was accepted, in milliseconds since 1970 by the clock of the process that proposed it.
    pub accepted_at_ms: u64,
    /// Time in milliseconds from `accepted_at_ms` within which all results are due.
    pub due_after_ms: u64,
    items: Vec<StoredItem>,
    results: Vec<ItemResult>,
    ended: bool,
    /// Digest of the submitted items. Distinguishes a resubmission of this job from another job with the same
    /// id.
    digest: Bytes,
}

impl Job {
    pub(crate) fn new(new: NewJob, sequence: u64) -> Job {
        let digest = digest(&new.items);
        let items = new.items.into_iter().map(|item| StoredItem { item, has_result: false }).collect();
        Job {
            route: new.route,
            host: new.host,
            sequence,
            accepted_at_ms: new.accepted_at_ms,
            due_after_ms: new.due_after_ms,
            items,
            results: Vec::new(),
            ended: false,
            digest,
        }
    }

    /// Returns whether `new` has the same items as this job, which makes it a resubmission of this job.
    pub(crate) fn is_resubmission(&self, new: &NewJob) -> bool {
        self.digest == digest(&new.items)
    }

    /// Returns the number of items.
    pub fn total(&self) -> usize {
        self.items.len()
    }

    /// Returns the results, in the order in which they were recorded.
    pub fn results(&self) -> &[ItemResult] {
        &self.results
    }

    /// Returns whether the client has ended the job.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether the job has items to run.
    pub fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.items.len()
    }

    /// Returns the id of the item at an index.
    pub fn item_id(&self, item: u32) -> Option<&str> {
        self.items.get(item as usize).map(|stored| stored.item.id.as_str())
    }

    /// Returns the item at an index if it has no result yet.
    pub fn pending_item(&self, item: u32) -> Option<&Item> {
        self.items.get(item as usize).filter(|stored| !stored.has_result).map(|stored| &stored.item)
    }

    /// Returns the item with an id if it has no result yet.
    pub fn pending_item_by_id(&self, id: &str) -> Option<&Item> {
        let pending = self.items.iter().find(|stored| stored.item.id == id && !stored.has_result);
        pending.map(|stored| &stored.item)
    }

    /// Returns the indices of the items without a result, in ascending order.
    pub fn pending_items(&self) -> impl Iterator<Item = u32> + '_ {
        let indices = 0u32..;
        indices.zip(&self.items).filter(|(_, stored)| !stored.has_result).map(|(index, _)| index)
    }

    /// Records the outcome of an item unless one is recorded already. Returns the number of tokens that are no
    /// longer queued.
    pub(crate) fn record(&mut self, item: u32, outcome: ItemOutcome) -> u64 {
        let pending = self.items.get_mut(item as usize).filter(|stored| !stored.has_result);
        let Some(stored) = pending else { return 0 };
        stored.has_result = true;
        stored.drop_request();
        let tokens = stored.item.tokens;
        self.results.push(ItemResult { item, outcome });
        // `end` has already released the tokens of all items without a result.
        if self.ended {
            0
        } else {
            tokens
        }
    }

    /// Ends the job. Returns the number of tokens that are no longer queued.
    pub(crate) fn end(&mut self) -> u64 {
        if std::mem::replace(&mut self.ended, true) {
            return 0;
        }
        let mut released = 0;
        for stored in self.items.iter_mut().filter(|stored| !stored.has_result) {
            released += stored.item.tokens;
            stored.drop_request();
        }
        released
    }
}
