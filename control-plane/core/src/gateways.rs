//! The gateways that a store's head has heard from lately: it tells those of one zone of each other.

use marblecroft_protocol::load::ZoneOut;
use marblecroft_protocol::store::{Peers, WorkRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Gateways of one zone that tell each other: each notice goes to all of them. A larger zone has several such groups of
/// about equal size, as notices that come more rarely do harm.
pub const PEERS_MOST: usize = 24;
/// A gateway that has not been heard of for so long is not told of.
const HEARD_WITHIN: Duration = Duration::from_millis(3000);

struct Heard {
    zone: String,
    address: SocketAddr,
    /// What it has at the servers of each zone.
    zones: Vec<ZoneOut>,
    at: Duration,
}

/// Gateways by their name.
#[derive(Default)]
pub struct Gateways {
    heard: BTreeMap<String, Heard>,
}

impl Gateways {
    /// A gateway was heard of.
    pub fn note(&mut self, now: Duration, work: &WorkRequest) {
        let heard =
            Heard { zone: work.zone.clone(), address: work.load_address, zones: work.zones.clone(), at: now };
        self.heard.insert(work.gateway.clone(), heard);
        self.heard.retain(|_, heard| now.saturating_sub(heard.at) < HEARD_WITHIN);
    }

    /// The gateways that are to tell `gateway`, where they are others than those of this digest.
    pub fn peers(&self, gateway: &str, zone: &str, known: u64) -> Option<Peers> {
        let in_zone: Vec<_> = self.heard.iter().filter(|(_, heard)| heard.zone == zone).collect();
        let groups = in_zone.len().div_ceil(PEERS_MOST).max(1);
        let size = in_zone.len().div_ceil(groups).max(1);
        let has_asked = |group: &&[(&String, &Heard)]| group.iter().any(|(name, _)| *name == gateway);
        let group = in_zone.chunks(size).find(has_asked).unwrap_or_default();
        let addresses: Vec<SocketAddr> = group.iter().map(|(_, heard)| heard.address).collect();
        let digest = digest(&addresses);
        (digest != known).then_some(Peers { digest, addresses })
    }

    pub fn count(&self) -> u32 {
        u32::try_from(self.heard.len()).unwrap_or(u32::MAX)
    }

    /// What all gateways together have at the servers of each zone.
    pub fn zones(&self) -> Vec<ZoneOut> {
        let mut sums: BTreeMap<&str, f32> = BTreeMap::new();
        for zone in self.heard.values().flat_map(|heard| &heard.zones) {
            *sums.entry(&zone.zone).or_default() += zone.out;
        }
        sums.into_iter().map(|(zone, out)| ZoneOut { zone: zone.to_owned(), out }).collect()
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
