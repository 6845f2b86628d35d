//! The control plane's replicated state: the newest configuration, which ones were taken, the view of the stores' chain,
//! and the machines that are to be emptied.
//!
//! It does not check configurations for validity; whoever orders [`Operation::Replace`] has done so.
#![forbid(unsafe_code)]

use marblecroft_chain::{StateMachine, View};
use marblecroft_wire::{decode, encode, Bytes};
use musli::{Decode, Encode};
use std::collections::BTreeSet;

/// Configurations that are remembered as taken, so that one that is sent again is acknowledged again.
const REMEMBERED_MOST: usize = 20_000;

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Operation {
    /// Puts a configuration in force on top of the one with generation `base`.
    Replace { base: u64, generation: u64, body: Bytes },
    /// Names the next view of the stores' chain; ignored unless it follows the present one.
    StoreView(View),
    /// A store machine is to be emptied.
    Retire { node: String },
    /// A process begins to read the platform's list: gives it a fencing token that is higher than any before.
    TakeReader,
}

/// What became of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The configuration is in force, or was when it was sent before.
    Taken,
    /// Another generation is current: this one.
    Conflict(u64),
    /// The generation is not higher than the current one.
    NotHigher(u64),
    Done,
    Ignored,
    /// The fencing token of whoever reads the platform's list from now on.
    Token(u64),
}

/// A configuration that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct Taken {
    generation: u64,
    /// Hash over the whole body.
    digest: u64,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Control {
    generation: u64,
    /// The newest configuration as it was sent; empty before the first.
    body: Bytes,
    /// Configurations taken so far. Gateways never go back behind one.
    sequence: u64,
    taken: Vec<Taken>,
    store_view: View,
    retired: BTreeSet<String>,
    /// The newest fencing token of whoever reads the platform's list.
    reader_token: u64,
}

/// Hash over a body (FNV-1a, 64 bits), by which one that is sent again is known.
fn digest(body: &[u8]) -> u64 {
    body.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Control {
    /// The generation in force; 0 before the first configuration.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The configuration in force, as it was sent.
    pub fn body(&self) -> Option<&[u8]> {
        (self.sequence > 0).then_some(&self.body.0[..])
    }

    /// Configurations taken so far.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Whether exactly this configuration was taken.
    pub fn has_taken(&self, generation: u64, body: &[u8]) -> bool {
        let taken = Taken { generation, digest: digest(body) };
        self.taken.contains(&taken)
    }

    /// The newest view of the stores' chain.
    pub fn store_view(&self) -> &View {
        &self.store_view
    }

    /// Whether a store machine is to be emptied.
    pub fn is_retired(&self, node: &str) -> bool {
        self.retired.contains(node)
    }

    fn replace(&mut self, base: u64, generation: u64, body: Bytes) -> Output {
        let taken = Taken { generation, digest: digest(&body.0) };
        if self.taken.contains(&taken) {
            return Output::Taken;
        }
        if base != self.generation {
            return Output::Conflict(self.generation);
        }
        if generation <= self.generation {
            return Output::NotHigher(self.generation);
        }
        self.generation = generation;
        self.body = body;
        self.sequence += 1;
        if self.taken.len() >= REMEMBERED_MOST {
            self.taken.remove(0);
        }
        self.taken.push(taken);
        Output::Taken
    }
}

impl StateMachine for Control {
    type Operation = Operation;
    type Output = Output;

    fn apply(&mut self, operation: Operation) -> Output {
        match operation {
            Operation::Replace { base, generation, body } => self.replace(base, generation, body),
            Operation::StoreView(view) if view.number == self.store_view.number + 1 => {
                self.store_view = view;
                Output::Done
            }
            Operation::StoreView(_) => Output::Ignored,
            Operation::TakeReader => {
                self.reader_token += 1;
                Output::Token(self.reader_token)
            }
            Operation::Retire { node } => {
                self.retired.insert(node);
                Output::Done
            }
        }
    }

    fn size_of(operation: &Operation) -> usize {
        match operation {
            Operation::Replace { body, .. } => body.0.len(),
            _ => 0,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(self)
    }

    fn restore(snapshot: &[u8]) -> Option<Control> {
        decode(snapshot).ok()
    }
}
