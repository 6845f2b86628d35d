//! The gateways that the head of the stores has heard from lately. It makes those of one zone known to each other, so that
//! they can exchange load reports.

use marblecroft_protocol::load::ZoneLoad;
use marblecroft_protocol::store::{Peers, WorkRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound of the gateways that exchange load reports: each report goes to all of them. A larger zone has several such
/// groups of about equal size, since load reports at longer intervals do harm.
pub const MAX_PEERS: usize = 24;
/// A gateway that has not been heard from for this time is no longer a peer.
const GATEWAY_TTL: Duration = Duration::from_millis(3000);

struct GatewayRecord {
    zone: String,
    address: SocketAddr,
    /// The requests that it has in flight at the servers of each zone.
    zone_loads: Vec<ZoneLoad>,
    last_heard_at: Duration,
}

/// The gateways by name.
#[derive(Default)]
pub struct GatewayDirectory {
    gateways: BTreeMap<String, GatewayRecord>,
}

impl GatewayDirectory {
    /// Records that a gateway was heard from at `now`, and expires others.
    pub fn record_work_request(&mut self, now: Duration, work: &WorkRequest) {
        let record = GatewayRecord {
            zone: work.zone.clone(),
            address: work.load_address,
            zone_loads: work.zone_loads.clone(),
            last_heard_at: now,
        };
        self.gateways.insert(work.gateway.clone(), record);
        self.gateways.retain(|_, record| now.saturating_sub(record.last_heard_at) < GATEWAY_TTL);
    }

    /// The peers of `gateway`, itself included; `None` where it knows them already by `known_digest`.
    pub fn peers_of(&self, gateway: &str, zone: &str, known_digest: u64) -> Option<Peers> {
        let in_zone: Vec<_> = self.gateways.iter().filter(|(_, record)| record.zone == zone).collect();
        let groups = in_zone.len().div_ceil(MAX_PEERS).max(1);
        let group_size = in_zone.len().div_ceil(groups).max(1);
        let contains = |group: &&[(&String, &GatewayRecord)]| group.iter().any(|(name, _)| *name == gateway);
        let group = in_zone.chunks(group_size).find(contains).unwrap_or_default();
        let addresses: Vec<SocketAddr> = group.iter().map(|(_, record)| record.address).collect();
        let digest = digest(&addresses);
        (digest != known_digest).then_some(Peers { digest, addresses })
    }

    /// The number of gateways.
    pub fn count(&self) -> u32 {
        u32::try_from(self.gateways.len()).unwrap_or(u32::MAX)
    }

    /// The requests that all gateways together have in flight at the servers of each zone.
    pub fn zone_loads(&self) -> Vec<ZoneLoad> {
        let mut in_flight_by_zone: BTreeMap<&str, f32> = BTreeMap::new();
        for load in self.gateways.values().flat_map(|record| &record.zone_loads) {
            *in_flight_by_zone.entry(&load.zone).or_default() += load.in_flight;
        }
        let zones = in_flight_by_zone.into_iter();
        zones.map(|(zone, in_flight)| ZoneLoad { zone: zone.to_owned(), in_flight }).collect()
    }
}

/// FNV-1a over the addresses; never 0, which stands for a gateway that knows no peers yet.
fn digest(addresses: &[SocketAddr]) -> u64 {
    let text: String = addresses.iter().map(|address| format!("{address} ")).collect();
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash.max(1)
}
