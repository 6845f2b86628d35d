//! Settings of a chain: its intervals, its timeouts and the number of replicas that it requires.

use std::time::Duration;

/// The settings of one member. All members of a chain must have the same settings, except for `is_durable`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Interval between two rounds of the head while there is nothing to replicate; typically 150 to 250 ms.
    /// These rounds renew the leases: if the interval is close to a lease's duration, leases expire between
    /// rounds. An interval that is too short only costs messages.
    pub heartbeat_interval: Duration,
    /// Time that one member may take for its part of a round; typically 350 to 400 ms. The timeout of a call
    /// down the chain is this time multiplied by one more than the number of members from the callee to the
    /// tail. If it is too short, members with slow disks count as failed; if it is too long, failed members
    /// are detected late.
    pub append_timeout: Duration,
    /// Timeout for the transfer of a complete state to one member; typically 3 to 4 s. If it is too short, a
    /// member with a large state can never catch up; if it is too long, a member that fails during the
    /// transfer blocks the chain.
    pub install_timeout: Duration,
    /// Number of durable replicas that an operation needs before it is acknowledged: one more than the number
    /// of disks that may be lost at the same moment, typically 2. With 1, the loss of one disk loses
    /// acknowledged operations; with more than the number of members, nothing is acknowledged.
    pub min_replicas: usize,
    /// Whether this member's storage outlives its process. If this is set without such storage, the chain
    /// acknowledges operations that a power failure loses.
    pub is_durable: bool,
    /// Time for which a member must keep failing before it is reported as
    /// [`Status::suspect`](crate::Status::suspect); typically 500 to 800 ms. It must exceed the duration of
    /// any lease that callers count from [`Chain::lease_confirmed_at`](crate::Chain::lease_confirmed_at),
    /// with a margin for the rates of the clocks: the suspected member is excluded from the next view, in
    /// which operations are acknowledged without it. If the time is too long, the chain is repaired late.
    pub suspect_timeout: Duration,
}
