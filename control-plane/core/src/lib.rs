//! The decisions of the control plane, without I/O: who is a member, who leads, when a process may answer, and what.
//!
//! [`coordinator::Coordinator`] and [`store::Store`] take inputs (a request, an answer to one of their own calls, an
//! operator's call, a signal, the time) and return what is to be done: answers, calls, the end of the process. Their
//! durable state is behind [`marblecroft_chain_replication::storage::Storage`]. The same code runs in the programs of `control-plane`
//! and in the clusters of `simulation`.
#![forbid(unsafe_code)]

mod chain_client;
pub mod coordinator;
mod drain;
pub mod gateways;
pub mod member;
mod membership;
pub mod operator;
mod peer_statuses;
mod pending_table;
mod replica_wait;
pub mod server_list_reader;
pub mod store;
pub mod store_views;
mod view_change;

use std::time::Duration;

/// The time that an input comes with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Time {
    /// On a clock that never goes back and counts while the process stands still.
    pub monotonic: Duration,
    /// Milliseconds since 1970, by a clock that may be wrong.
    pub wall_ms: u64,
}

/// A process of the control plane: inputs in, outputs out.
pub trait Node {
    type Input;
    type Output;

    /// Takes one input; the outputs are carried out in order.
    fn handle(&mut self, time: Time, input: Self::Input) -> Vec<Self::Output>;

    /// When it wants an input at the latest, on the steady clock.
    fn next_wake(&self) -> Duration;
}
