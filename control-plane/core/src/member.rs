//! What a member of a chain makes of what it finds on its disk when it starts.

use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Member, Replica, StateMachine, View};
use marblecroft_wal::Recovered;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tracing::{info, warn};

/// Set in every identity that is drawn, and in none of a founder, whose address and port fill 48 bits.
const RANDOM_IDENTITY_BIT: u64 = 1 << 63;

/// The identity of a founder: every process works out the same from the seeds, and no other member can have it, as the
/// others' are drawn.
fn founder_identity(seed: SocketAddr) -> u64 {
    let ip = match seed.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(_) => 0,
    };
    (ip << 16) | u64::from(seed.port())
}

/// The first view, and the identity of the process at `own` in it; `None` where it is not one of those that begin it.
/// `address_of` tells where the member at a seed is called.
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

/// Opens what was found on a disk; where there is nothing the member begins with an empty state, under the founding view or
/// with the identity that was `drawn` for it. What was found damaged does not count: it may be older than what this member
/// has told, its votes included, so it begins like one that has lost its disk.
pub fn open<M: StateMachine + Default, S: Storage>(
    storage: S,
    recovered: Recovered,
    drawn: u64,
    founding: Option<(u64, View)>,
) -> io::Result<Replica<M, S>> {
    let drawn = drawn | RANDOM_IDENTITY_BIT;
    if recovered.damaged {
        warn!("the log is damaged: what was synced cannot be read; begins anew, as another member");
        return Ok(Replica::open(storage, Recovered::default(), M::default(), drawn, None)?);
    }
    if recovered.torn_bytes > 0 {
        info!(bytes = recovered.torn_bytes, "passed over what was torn at the end of the log");
    }
    let (identity, view) = match founding {
        Some((identity, view)) => (identity, Some(view)),
        None => (drawn, None),
    };
    Ok(Replica::open(storage, recovered, M::default(), identity, view)?)
}
