//! Gateways that have recently requested work from the head of the stores. The head sends the gateways of one
//! zone each other's addresses, so that they can exchange load reports.

use marblecroft_protocol::load::ZoneLoad;
use marblecroft_protocol::store::{Peers, WorkRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Upper bound on the number of gateways that exchange load reports with each other, because each report goes
/// to all of them. A larger zone is split into several groups of about equal size. Longer intervals between
/// load reports are no alternative, because older reports would worsen the load balancing.
pub const MAX_PEERS: usize = 24;
/// A gateway that has not requested work for this time is no longer a peer.
const GATEWAY_TTL: Duration = Duration::from_millis(3000);

struct GatewayRecord {
    zone: String,
    address: SocketAddr,
    /// Number of requests that it has in flight at the servers of each zone.
    zone_loads: Vec<ZoneLoad>,
    last_request_at: Duration,
}

/// The current gateways, by name.
#[derive(Default)]
pub struct GatewayDirectory {
    gateways: BTreeMap<String, GatewayRecord>,
}

impl GatewayDirectory {
    /// Records that a gateway requested work at `now`, and removes gateways that have expired.
    pub fn record_work_request(&mut self, now: Duration, work: &WorkRequest) {
        let record = GatewayRecord {
            zone: work.zone.clone(),
            address: work.load_address,
            zone_loads: work.zone_loads.clone(),
            last_request_at: now,
        };
        self.gateways.insert(work.gateway.clone(), record);
        self.gateways.retain(|_, record| now.saturating_sub(record.last_request_at) < GATEWAY_TTL);
    }

    /// Returns the peers of `gateway`, including itself, or `None` if `known_digest` is the digest of these
    /// peers.
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

    /// Returns the number of gateways.
    pub fn count(&self) -> u32 {
        u32::try_from(self.gateways.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that all gateways together have in flight at the servers of each zone.
    pub fn zone_loads(&self) -> Vec<ZoneLoad> {
        let mut in_flight_by_zone: BTreeMap<&str, f32> = BTreeMap::new();
        for load in self.gateways.values().flat_map(|record| &record.zone_loads) {
            *in_flight_by_zone.entry(&load.zone).or_default() += load.in_flight;
        }
        let zones = in_flight_by_zone.into_iter();
        zones.map(|(zone, in_flight)| ZoneLoad { zone: zone.to_owned(), in_flight }).collect()
    }
}

/// Returns the FNV-1a hash of the addresses. It is never 0, which a gateway sends before it has received any
/// peers.
fn digest(addresses: &[SocketAddr]) -> u64 {
    let text: String = addresses.iter().map(|address| format!("{address} ")).collect();
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash.max(1)
}
