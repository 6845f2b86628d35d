//! Start of a chain member from the contents of its disk.

use marblecroft_chain_replication::chain::random_identity;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Member, Replica, StateMachine, View};
use marblecroft_wal::Recovered;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tracing::{info, warn};

/// Returns the identity of a founder, which is a member of the first view. Every process derives the same
/// identity from the seeds. No other member can have it, because the identities that are drawn at random have
/// a bit set that is 0 here.
fn founder_identity(seed: SocketAddr) -> u64 {
    let ip = match seed.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(_) => 0,
    };
    (ip << 16) | u64::from(seed.port())
}

/// Returns the identity of the process at `local_address` and the first view; `None` if the process is not
/// one of the founders. `address_of` maps a seed to the address at which its member is called.
pub fn founding_view(
    local_address: SocketAddr,
    seeds: &[SocketAddr],
    address_of: impl Fn(SocketAddr) -> SocketAddr,
) -> Option<(u64, View)> {
    let founder = |seed: &SocketAddr| Member {
        address: address_of(*seed),
        identity: founder_identity(*seed),
        node_name: String::new(),
    };
    let members: Vec<Member> = seeds.iter().map(founder).collect();
    seeds
        .contains(&local_address)
        .then(|| (founder_identity(local_address), View { number: 1, voters: members.clone(), members }))
}

/// Opens the replica of a member from what was recovered from its disk. With an empty disk the member starts
/// with an empty state: as a founder in the `founding` view, or else with the random identity `drawn`.
///
/// A damaged log is not used, because it may be older than the operations and votes that this member has
/// acknowledged. The member starts with a new identity, like one that has lost its disk.
///
/// # Errors
///
/// Fails if the recovered state cannot be decoded or the storage cannot be written.
pub fn open<M: StateMachine, S: Storage>(
    storage: S,
    recovered: Recovered,
    drawn: u64,
    founding: Option<(u64, View)>,
) -> io::Result<Replica<M, S>> {
    let drawn = random_identity(drawn);
    if recovered.damaged {
        warn!("log is damaged: starting empty, with a new identity");
        return Ok(Replica::open(storage, Recovered::default(), drawn, None)?);
    }
    if recovered.torn_bytes > 0 {
        info!(bytes = recovered.torn_bytes, "torn record at the end of the log skipped");
    }
    let (identity, view) = match founding {
        Some((identity, view)) => (identity, Some(view)),
        None => (drawn, None),
    };
    Ok(Replica::open(storage, recovered, identity, view)?)
}
