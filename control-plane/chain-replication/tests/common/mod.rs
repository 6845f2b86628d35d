//! A state machine that several tests use.

use marblecroft_chain_replication::StateMachine;
use marblecroft_rpc::{decode, encode};

/// Adds up the operations.
#[derive(Default)]
pub struct Sum(pub u64);

impl StateMachine for Sum {
    type Operation = u64;
    type Output = u64;

    fn apply(&mut self, operation: u64) -> u64 {
        self.0 += operation;
        self.0
    }

    fn size_of(_: &u64) -> usize {
        8
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&self.0)
    }

    fn restore(snapshot: &[u8]) -> Option<Sum> {
        decode(snapshot).ok().map(Sum)
    }
}
