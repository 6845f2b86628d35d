//! The replicated state and its queries.

use marblecroft_chain_replication::View;
use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, VecDeque};

/// A submission that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct AcceptedConfiguration {
    pub(crate) generation: u64,
    /// Digest of the complete submission; see [`digest`].
    pub(crate) digest: Bytes,
}

/// Returns the SHA-256 of a submission, which distinguishes it from other submissions of the same generation.
pub(crate) fn digest(submission: &[u8]) -> Bytes {
    Bytes(Sha256::digest(submission).to_vec())
}

/// The control plane's replicated state.
///
/// Its snapshot encodes the fields by their position: new ones are appended, and none is reordered.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ControlState {
    pub(crate) generation: u64,
    /// The configuration in force; empty before the first configuration.
    pub(crate) body: Bytes,
    /// Number of configurations accepted so far. Gateways never return to a configuration with a lower
    /// number.
    pub(crate) sequence: u64,
    /// Submissions that were accepted, by ascending generation; bounded by
    /// [`MAX_RETAINED_GENERATIONS`](crate::MAX_RETAINED_GENERATIONS).
    pub(crate) accepted: VecDeque<AcceptedConfiguration>,
    /// The highest generation that was pruned from `accepted`; 0 if none was.
    pub(crate) highest_pruned_generation: u64,
    pub(crate) store_view: View,
    /// Node names of the stores that are to leave the chain.
    pub(crate) retired_stores: BTreeSet<String>,
    /// Node names of all stores that have ever reported.
    pub(crate) registered_stores: BTreeSet<String>,
    /// The newest fencing token for polling the platform's server list; 0 before the first token.
    pub(crate) reader_token: u64,
}

impl ControlState {
    /// Returns the generation in force; 0 before the first configuration.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the configuration in force in JSON, as submitted or as changed by later updates.
    pub fn body(&self) -> Option<&[u8]> {
        (self.sequence > 0).then_some(&self.body.0[..])
    }

    /// Returns the number of configurations accepted so far.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns whether exactly this submission, a complete configuration or an update, was accepted.
    pub fn has_accepted(&self, generation: u64, submission: &[u8]) -> bool {
        let found = self.accepted.binary_search_by_key(&generation, |accepted| accepted.generation);
        found.is_ok_and(|index| self.accepted[index].digest == digest(submission))
    }

    /// Returns the newest view of the stores' chain.
    pub fn store_view(&self) -> &View {
        &self.store_view
    }

    /// Returns whether the store on machine `node` is to leave the chain.
    pub fn is_retired(&self, node: &str) -> bool {
        self.retired_stores.contains(node)
    }

    /// Returns whether a store on machine `node` has ever reported.
    pub fn is_registered_store(&self, node: &str) -> bool {
        self.registered_stores.contains(node)
    }
}
