//! The decisions of the control plane, without I/O: who is a member, who leads, when a process may answer, and what.
//!
//! [`coordinator::Coordinator`] and [`store::Store`] are state machines: they take inputs (a request, the reply to one of
//! their own calls, an operator's call, a signal, the time) and return outputs (replies, calls, the end of the process), which
//! the caller carries out in order. Their durable state is behind [`marblecroft_chain_replication::storage::Storage`]. The
//! same code runs in the program of `server` and in the clusters of `simulation`.
//!
//! Nothing here reads a clock or draws random numbers, and every collection whose order reaches an output is ordered: the
//! same inputs lead to the same outputs, which is what lets the simulation replay a seed.
#![forbid(unsafe_code)]

mod chain_client;
pub mod coordinator;
mod drain;
pub mod gateways;
pub mod member;
pub mod operator;
mod pending_table;
mod replica_wait;
pub mod server_list_reader;
pub mod store;
pub mod store_views;

use std::time::Duration;

/// The time at which an input is handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Time {
    /// The steady clock: it never goes back, and counts while the process is suspended.
    pub monotonic: Duration,
    /// Milliseconds since 1970 by the wall clock, which may be wrong and may jump.
    pub wall_ms: u64,
}

/// A process of the control plane as a state machine.
pub trait Node {
    /// An event that the process reacts to.
    type Input;
    /// An effect for the caller to carry out.
    type Output;

    /// Handles one input, and returns the outputs to carry out in order.
    fn handle(&mut self, time: Time, input: Self::Input) -> Vec<Self::Output>;

    /// The time on the steady clock by which the process wants its next input, at the latest.
    fn next_wake(&self) -> Duration;
}
