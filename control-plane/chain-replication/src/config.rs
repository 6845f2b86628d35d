//! How a chain behaves in time, and how many replicas it requires.

use std::time::Duration;

/// The settings of one member. All members of a chain are given the same ones, `is_durable` excepted.
#[derive(Clone, Debug)]
pub struct Config {
    /// Time between two rounds of the head while there is nothing to replicate; typically 150 to 250 ms. These rounds renew
    /// the leases: with an interval near a lease's duration leases expire between them, and one that is too short only costs
    /// messages.
    pub heartbeat_interval: Duration,
    /// Time that one member may take for its share of a round; typically 350 to 400 ms. A call down the chain is given this
    /// time for every member from the callee to the tail, and once more. Too short a time makes slow disks count as failed
    /// members, too long a time delays the detection of failed ones.
    pub append_timeout: Duration,
    /// Time for transferring a complete state to one member; typically 3 to 4 s. With too short a time a member with a large
    /// state can never catch up; with too long a time one that fails meanwhile blocks the chain.
    pub install_timeout: Duration,
    /// Durable replicas that an operation needs before it is acknowledged: one more than the number of disks that may be
    /// lost at the same moment, typically 2. With 1, the loss of one disk loses acknowledged operations; above the number of
    /// members nothing is acknowledged.
    pub min_replicas: usize,
    /// Whether this member's storage outlives its process. Set without such storage, it makes the chain acknowledge
    /// operations that a power failure loses.
    pub is_durable: bool,
    /// Time for which a member must keep failing before it is reported as [`Status::suspect`](crate::Status::suspect);
    /// typically 500 to 800 ms. It must exceed, with a margin for the rates of the clocks, the duration of any lease that
    /// callers count from [`Chain::lease_confirmed_at`](crate::Chain::lease_confirmed_at): the suspected member is left out
    /// of the next view, in which operations are acknowledged without it. Too long a time delays the repair of the chain.
    pub suspect_timeout: Duration,
}
