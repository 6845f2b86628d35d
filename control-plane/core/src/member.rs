//! How a member of a chain starts from what it finds on its disk.

use marblecroft_chain_replication::chain::random_identity;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Member, Replica, StateMachine, View};
use marblecroft_wal::Recovered;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tracing::{info, warn};

/// The identity of a founder. Every process derives the same one from the seeds, and no other member can have it, as theirs
/// are drawn at random.
fn founder_identity(seed: SocketAddr) -> u64 {
    let ip = match seed.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(_) => 0,
    };
    (ip << 16) | u64::from(seed.port())
}

/// The first view and the identity in it of the process at `own`; `None` where that is not one of the founders.
/// `address_of` maps a seed to the address where its member is called.
pub fn founding_view(
    own: SocketAddr,
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
        .contains(&own)
        .then(|| (founder_identity(own), View { number: 1, voters: members.clone(), members }))
}

/// Opens the replica of a member from what was recovered from its disk. From an empty disk the member starts with an empty
/// state, under the founding view, or with the identity `drawn` at random for it.
///
/// A damaged log does not count: it may be older than what this member has acknowledged, its votes included. The member
/// starts with a new identity, like one that has lost its disk.
///
/// # Errors
///
/// The storage cannot be written.
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
