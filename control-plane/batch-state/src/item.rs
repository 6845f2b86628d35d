//! Items of batch jobs as submitted by clients, their ids, and their outcomes.

use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Identifies an item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct ItemId {
    /// Id of the job.
    pub job: String,
    /// Index of the item in the job, from 0.
    pub item: u32,
}

/// An item as it was submitted: one request to be sent to a server.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Item {
    /// The client's id of the item; unique in its job.
    pub id: String,
    /// Path and query of the request.
    pub path: String,
    /// Names and values of the request's headers.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
    /// Number of tokens that count against the route's quota: those of the prompt plus the maximum that may
    /// be generated.
    pub tokens: u64,
}

/// The final outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ItemOutcome {
    /// The item was run. Contains the data of all events of the response, joined by line feeds.
    Completed(String),
    /// The item was abandoned after too many failed runs or after its retention time.
    DeadLettered,
}

/// The result at one position of a job's results. It never changes once recorded.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemResult {
    /// Index of the item in the job, from 0.
    pub item: u32,
    /// The outcome of the item.
    pub outcome: ItemOutcome,
}

/// Returns the SHA-256 of the items that a client has submitted for a job. Each field is preceded by its
/// length (8 bytes, little endian), so that the hashed bytes of two different submissions differ.
pub(crate) fn digest(items: &[Item]) -> Bytes {
    let mut hasher = Sha256::new();
    let mut hash_field = |bytes: &[u8]| {
        hasher.update((bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    for item in items {
        hash_field(item.id.as_bytes());
        hash_field(item.path.as_bytes());
        // Client libraries do not guarantee the order of headers, so it may differ in a resubmission.
        let headers: BTreeMap<&String, &String> =
            item.headers.iter().map(|(name, value)| (name, value)).collect();
        for (name, value) in headers {
            hash_field(name.as_bytes());
            hash_field(value.as_bytes());
        }
        hash_field(&item.body.0);
        hash_field(&item.tokens.to_le_bytes());
    }
    Bytes(hasher.finalize().to_vec())
}
