//! The control plane's replicated state: the newest configuration, which ones were taken, the view of the stores' chain,
//! and the machines that are to be emptied.
//!
//! It does not check whole configurations for validity; whoever orders [`Operation::Replace`] has done so. What an
//! [`Operation::Update`] makes depends on the configuration in force, so it is checked where it is carried out, alike on all
//! members; the change is replicated, and not what it makes.
#![forbid(unsafe_code)]

use marblecroft_chain_replication::{StateMachine, View};
use marblecroft_configuration::Update;
use marblecroft_rpc::{decode, encode, Bytes};
use musli::{Decode, Encode};
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, VecDeque};

/// Configurations that are remembered as taken, so that one that is sent again is acknowledged again. Of one that was taken
/// before these, nobody can say any more whether it was.
pub const MAX_REMEMBERED_GENERATIONS: usize = 20_000;

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Operation {
    /// Puts a configuration in force on top of the one with generation `base`.
    ReplaceConfiguration { base: u64, generation: u64, body: Bytes },
    /// Names the next view of the stores' chain; ignored unless it follows the present one.
    InstallStoreView(View),
    /// A store machine is to be emptied.
    RetireStore { node: String },
    /// A store machine exists.
    RegisterStore { node: String },
    /// A process begins to read the platform's list: gives it a fencing token that is higher than any before.
    IssueReaderToken,
    /// Changes named items of the configuration with generation `base`.
    UpdateConfiguration { base: u64, generation: u64, change: Bytes },
}

/// What became of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The configuration is in force, or was when it was sent before.
    Accepted,
    /// Another generation is current: this one.
    Conflict(u64),
    /// The generation is not higher than the current one.
    GenerationTooLow(u64),
    /// The generation is not above one that is no longer remembered: the configuration may have been taken before.
    GenerationForgotten,
    /// The change makes no valid configuration, for this reason.
    Invalid(String),
    Applied,
    Ignored,
    /// The fencing token of whoever reads the platform's list from now on.
    Token(u64),
}

/// A configuration that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
struct AcceptedConfiguration {
    generation: u64,
    /// SHA-256 over the whole order as it was sent.
    digest: Bytes,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ControlState {
    generation: u64,
    /// The newest configuration; empty before the first.
    body: Bytes,
    /// Configurations taken so far. Gateways never go back behind one.
    sequence: u64,
    /// Configurations that were taken, the oldest first, so in the order of their generations.
    accepted: VecDeque<AcceptedConfiguration>,
    /// The highest generation that was taken and is not remembered any more.
    highest_forgotten_generation: u64,
    store_view: View,
    retired: BTreeSet<String>,
    /// Store machines that have reported at any time.
    registered_stores: BTreeSet<String>,
    /// The newest fencing token of whoever reads the platform's list.
    reader_token: u64,
}

/// What tells one configuration from another: every byte of it.
fn digest(body: &[u8]) -> Bytes {
    Bytes(Sha256::digest(body).to_vec())
}

impl ControlState {
    /// The generation in force; 0 before the first configuration.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The configuration in force, as it was sent, or as changes have made it of what was sent.
    pub fn body(&self) -> Option<&[u8]> {
        (self.sequence > 0).then_some(&self.body.0[..])
    }

    /// Configurations taken so far.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Whether exactly this order, a whole configuration or a change, was taken.
    pub fn has_accepted(&self, generation: u64, sent: &[u8]) -> bool {
        let at = self.accepted.binary_search_by_key(&generation, |taken| taken.generation);
        at.is_ok_and(|at| self.accepted[at].digest == digest(sent))
    }

    /// The newest view of the stores' chain.
    pub fn store_view(&self) -> &View {
        &self.store_view
    }

    /// Whether a store machine is to be emptied.
    pub fn is_retired(&self, node: &str) -> bool {
        self.retired.contains(node)
    }

    /// Whether a store machine of this name has ever reported.
    pub fn is_registered_store(&self, node: &str) -> bool {
        self.registered_stores.contains(node)
    }

    /// What an order comes to without being carried out: it was taken before, or cannot be.
    fn decided_outcome(&self, base: u64, generation: u64, sent: &[u8]) -> Option<Output> {
        if self.has_accepted(generation, sent) {
            Some(Output::Accepted)
        } else if generation <= self.highest_forgotten_generation {
            Some(Output::GenerationForgotten)
        } else if base != self.generation {
            Some(Output::Conflict(self.generation))
        } else if generation <= self.generation {
            Some(Output::GenerationTooLow(self.generation))
        } else {
            None
        }
    }

    fn replace(&mut self, base: u64, generation: u64, body: Bytes) -> Output {
        if let Some(output) = self.decided_outcome(base, generation, &body.0) {
            return output;
        }
        let digest = digest(&body.0);
        self.accept(generation, digest, body)
    }

    fn update(&mut self, base: u64, generation: u64, change: &Bytes) -> Output {
        if let Some(output) = self.decided_outcome(base, generation, &change.0) {
            return output;
        }
        match Update::parse(&change.0).and_then(|update| update.apply(&self.body.0)) {
            Ok(body) => self.accept(generation, digest(&change.0), Bytes(body)),
            Err(e) => Output::Invalid(e.to_string()),
        }
    }

    /// Puts a configuration in force; `digest` is that of the order as it was sent.
    fn accept(&mut self, generation: u64, digest: Bytes, body: Bytes) -> Output {
        self.accepted.push_back(AcceptedConfiguration { generation, digest });
        self.generation = generation;
        self.body = body;
        self.sequence += 1;
        if self.accepted.len() > MAX_REMEMBERED_GENERATIONS {
            let oldest = self.accepted.pop_front();
            self.highest_forgotten_generation =
                oldest.map_or(self.highest_forgotten_generation, |oldest| oldest.generation);
        }
        Output::Accepted
    }
}

impl StateMachine for ControlState {
    type Operation = Operation;
    type Output = Output;

    fn apply(&mut self, operation: Operation) -> Output {
        match operation {
            Operation::ReplaceConfiguration { base, generation, body } => {
                self.replace(base, generation, body)
            }
            Operation::UpdateConfiguration { base, generation, change } => {
                self.update(base, generation, &change)
            }
            Operation::InstallStoreView(view) if view.number == self.store_view.number + 1 => {
                self.store_view = view;
                Output::Applied
            }
            Operation::InstallStoreView(_) => Output::Ignored,
            Operation::IssueReaderToken => {
                self.reader_token += 1;
                Output::Token(self.reader_token)
            }
            Operation::RetireStore { node } => {
                self.retired.insert(node);
                Output::Applied
            }
            Operation::RegisterStore { node } => {
                self.registered_stores.insert(node);
                Output::Applied
            }
        }
    }

    fn size_of(operation: &Operation) -> usize {
        match operation {
            Operation::ReplaceConfiguration { body, .. } => body.0.len(),
            Operation::UpdateConfiguration { change, .. } => change.0.len(),
            _ => 0,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(self)
    }

    fn restore(snapshot: &[u8]) -> Option<ControlState> {
        decode(snapshot).ok()
    }
}
