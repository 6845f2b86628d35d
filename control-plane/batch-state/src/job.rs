//! One batch job: its items, and the results in the order in which they were recorded.

use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// An item as it was sent.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Item {
    pub id: String,
    pub path: String,
    /// Names and values.
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// Tokens of the prompt and the most out.
    pub tokens: u64,
}

/// A job as it was sent.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct NewJob {
    pub id: String,
    /// Name of the route that it came in on.
    pub route: String,
    /// The host that its items are sent with.
    pub host: String,
    pub items: Vec<Item>,
    /// Tokens that may wait on the route; 0 is no limit.
    pub max_queued_tokens: u64,
    /// When it was taken, in milliseconds since 1970 by the clock of whoever ordered it.
    pub accepted_at_ms: u64,
    /// Time from then by which all results are due.
    pub due_after_ms: u64,
}

impl NewJob {
    /// Tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// SHA-256 over what a client has sent of a job, each field after its length.
fn digest(items: &[Item]) -> Bytes {
    let mut hasher = Sha256::new();
    let mut field = |bytes: &[u8]| {
        hasher.update((bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    for item in items {
        field(item.id.as_bytes());
        field(item.path.as_bytes());
        // Their order is nobody's choice.
        let headers: BTreeMap<&String, &String> =
            item.headers.iter().map(|(name, value)| (name, value)).collect();
        for (name, value) in headers {
            field(name.as_bytes());
            field(value.as_bytes());
        }
        field(&item.body.0);
        field(&item.tokens.to_le_bytes());
    }
    Bytes(hasher.finalize().to_vec())
}

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ItemOutcome {
    /// The data of all events, with line feeds between them.
    Completed(String),
    DeadLettered,
}

/// A result at a position of a job's list. It never changes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemResult {
    pub item: u32,
    pub outcome: ItemOutcome,
}

/// An item that the system keeps.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
struct StoredItem {
    item: Item,
    has_result: bool,
}

/// A job that the system keeps.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Job {
    pub route: String,
    pub host: String,
    /// Jobs that were taken earlier have a lower number.
    pub sequence: u64,
    pub accepted_at_ms: u64,
    /// Time from then by which all results are due.
    pub due_after_ms: u64,
    items: Vec<StoredItem>,
    results: Vec<ItemResult>,
    ended: bool,
    /// Tells a job that is sent again from another one under its id.
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

    /// Whether this is the job that is sent, by all that its client has sent of it.
    pub(crate) fn is_resubmission(&self, new: &NewJob) -> bool {
        self.digest == digest(&new.items)
    }

    /// Items in all.
    pub fn total(&self) -> usize {
        self.items.len()
    }

    /// The results, in the order of their positions.
    pub fn results(&self) -> &[ItemResult] {
        &self.results
    }

    /// Whether it was ended by its client.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether items of it are to be run.
    pub fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.items.len()
    }

    /// The id of an item.
    pub fn item_id(&self, item: u32) -> Option<&str> {
        self.items.get(item as usize).map(|kept| kept.item.id.as_str())
    }

    /// An item that has no result yet, by its index.
    pub fn pending_item(&self, item: u32) -> Option<&Item> {
        self.items.get(item as usize).filter(|kept| !kept.has_result).map(|kept| &kept.item)
    }

    /// An item that has no result yet, by its id.
    pub fn pending_item_by_id(&self, id: &str) -> Option<&Item> {
        self.items.iter().find(|kept| kept.item.id == id && !kept.has_result).map(|kept| &kept.item)
    }

    /// Whether it has an item of this id.
    pub fn has_item(&self, id: &str) -> bool {
        self.items.iter().any(|kept| kept.item.id == id)
    }

    /// The indices of the items that have no result yet.
    pub fn pending_items(&self) -> impl Iterator<Item = u32> + '_ {
        let indices = 0u32..;
        indices.zip(&self.items).filter(|(_, kept)| !kept.has_result).map(|(index, _)| index)
    }

    /// Records an outcome if the item has none; returns the tokens that wait no more.
    pub(crate) fn record(&mut self, item: u32, outcome: ItemOutcome) -> u64 {
        let Some(kept) = self.items.get_mut(item as usize).filter(|kept| !kept.has_result) else { return 0 };
        kept.has_result = true;
        // Nobody reads the body of an item that is listed.
        kept.item.body = Bytes::default();
        kept.item.headers = Vec::new();
        let tokens = kept.item.tokens;
        self.results.push(ItemResult { item, outcome });
        if self.ended {
            0
        } else {
            tokens
        }
    }

    /// Ends the job; returns the tokens that wait no more.
    pub(crate) fn end(&mut self) -> u64 {
        if std::mem::replace(&mut self.ended, true) {
            return 0;
        }
        let mut released = 0;
        for kept in self.items.iter_mut().filter(|kept| !kept.has_result) {
            released += kept.item.tokens;
            kept.item.body = Bytes::default();
            kept.item.headers = Vec::new();
        }
        released
    }
}
