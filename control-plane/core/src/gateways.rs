//! The gateways that a store's head has heard from lately: it tells those of one zone of each other.

use marblecroft_protocol::load::ZoneLoad;
use marblecroft_protocol::store::{Peers, WorkRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Gateways of one zone that tell each other: each notice goes to all of them. A larger zone has several such groups of
/// about equal size, as notices that come more rarely do harm.
pub const MAX_PEERS: usize = 24;
/// A gateway that has not been heard of for so long is not told of.
const GATEWAY_TTL: Duration = Duration::from_millis(3000);

struct GatewayRecord {
    zone: String,
    address: SocketAddr,
    /// What it has at the servers of each zone.
    zone_loads: Vec<ZoneLoad>,
    last_heard_at: Duration,
}

/// Gateways by their name.
#[derive(Default)]
pub struct GatewayDirectory {
    gateways: BTreeMap<String, GatewayRecord>,
}

impl GatewayDirectory {
    /// A gateway was heard of.
    pub fn record_work_request(&mut self, now: Duration, work: &WorkRequest) {
        let heard = GatewayRecord {
            zone: work.zone.clone(),
            address: work.load_address,
            zone_loads: work.zone_loads.clone(),
            last_heard_at: now,
        };
        self.gateways.insert(work.gateway.clone(), heard);
        self.gateways.retain(|_, heard| now.saturating_sub(heard.last_heard_at) < GATEWAY_TTL);
    }

    /// The gateways that are to tell `gateway`, where they are others than those of this digest.
    pub fn peers_of(&self, gateway: &str, zone: &str, known: u64) -> Option<Peers> {
        let in_zone: Vec<_> = self.gateways.iter().filter(|(_, heard)| heard.zone == zone).collect();
        let groups = in_zone.len().div_ceil(MAX_PEERS).max(1);
        let size = in_zone.len().div_ceil(groups).max(1);
        let has_asked = |group: &&[(&String, &GatewayRecord)]| group.iter().any(|(name, _)| *name == gateway);
        let group = in_zone.chunks(size).find(has_asked).unwrap_or_default();
        let addresses: Vec<SocketAddr> = group.iter().map(|(_, heard)| heard.address).collect();
        let digest = digest(&addresses);
        (digest != known).then_some(Peers { digest, addresses })
    }

    pub fn count(&self) -> u32 {
        u32::try_from(self.gateways.len()).unwrap_or(u32::MAX)
    }

    /// What all gateways together have at the servers of each zone.
    pub fn zone_loads(&self) -> Vec<ZoneLoad> {
        let mut sums: BTreeMap<&str, f32> = BTreeMap::new();
        for zone in self.gateways.values().flat_map(|heard| &heard.zone_loads) {
            *sums.entry(&zone.zone).or_default() += zone.in_flight;
        }
        sums.into_iter().map(|(zone, out)| ZoneLoad { zone: zone.to_owned(), in_flight: out }).collect()
    }
}

/// FNV-1a over the addresses; never 0, which stands for no peers told yet.
fn digest(addresses: &[SocketAddr]) -> u64 {
    let text: String = addresses.iter().map(|address| format!("{address} ")).collect();
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash.max(1)
}
