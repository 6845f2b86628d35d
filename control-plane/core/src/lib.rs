//! State machines of the control plane, without I/O. They decide on membership and leadership, and on the
//! replies to requests.
//!
//! [`coordinator::Coordinator`] and [`store::Store`] take inputs (a request, the reply to one of their own
//! calls, an operator's call, a signal, the time) and return outputs (replies, calls, the end of the
//! process), which the caller carries out in order. They access their durable state through
//! [`marblecroft_chain_replication::storage::Storage`]. The `server` program and the clusters of `simulation`
//! run the same code.
//!
//! This crate reads no clock and draws no random numbers, and every collection whose order affects an output
//! is ordered. The same inputs therefore lead to the same outputs, so that the simulation can replay a seed.
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
    /// Monotonic clock, which also advances while the process is suspended.
    pub monotonic: Duration,
    /// Wall clock in milliseconds since 1970. It may be wrong and may jump.
    pub wall_ms: u64,
}

/// A process of the control plane as a state machine.
pub trait Node {
    /// An event that the process handles.
    type Input;
    /// An effect for the caller to carry out.
    type Output;

    /// Handles one input and returns the outputs, to be carried out in order.
    fn handle(&mut self, time: Time, input: Self::Input) -> Vec<Self::Output>;

    /// Returns the latest time on the monotonic clock at which the caller must pass the next input.
    fn next_wake(&self) -> Duration;
}
