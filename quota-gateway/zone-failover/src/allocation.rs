//! The allocation of traffic to zones. A zone keeps its own traffic up to its capacity. The rest goes to the
//! nearest zones with capacity, and to another region only if its own region has none. Traffic that no zone
//! has capacity for is rejected.

use crate::settings::Settings;

/// Fraction of a zone's traffic that probes the other zones, spread evenly over them. The health of a zone
/// must be known before it is needed.
pub const PROBE_FRACTION: f64 = 0.01;
/// The same fraction for a suspect zone. Whether its gateways are served elsewhere shows whether the zone or
/// its gateways are at fault.
pub const SUSPECT_PROBE_FRACTION: f64 = 0.05;

/// Input of the allocation. Vectors are indexed by zone.
#[derive(Clone, Debug)]
pub struct Load {
    /// Units per second that clients request from its gateways.
    pub demand: Vec<f64>,
    /// Units per second that may be sent to it.
    pub capacity: Vec<f64>,
    /// Whether other zones may send traffic to it. Its own gateways always may, within its capacity.
    pub accepts_traffic: Vec<bool>,
    /// Whether other zones probe it. They also probe a suspect zone, because there would be no further
    /// evidence otherwise.
    pub accepts_probes: Vec<bool>,
    /// Whether it is suspect.
    pub is_suspect: Vec<bool>,
    /// Whether the link from one zone (row) to another (column) is partitioned, so that nothing is sent over
    /// it.
    pub is_partitioned: Vec<Vec<bool>>,
}

/// Returns the fraction of each zone's demand (row) that goes to each zone (column). No zone gets more than
/// its capacity in total.
pub fn allocate(settings: &Settings, load: &Load) -> Vec<Vec<f64>> {
    let zone_count = load.demand.len();
    let mut allocation = Allocation {
        settings,
        load,
        available: load.capacity.clone(),
        sent: vec![vec![0.0; zone_count]; zone_count],
        remaining: Vec::new(),
    };
    // Allocate probes first, so that a zone whose capacity is used up later is still probed.
    allocation.allocate_probes();
    allocation.allocate_local();
    for is_own_region in [true, false] {
        for rank in 0..zone_count.saturating_sub(1) {
            allocation.allocate_nearest(is_own_region, rank);
        }
    }
    allocation.into_fractions()
}

struct Allocation<'a> {
    settings: &'a Settings,
    load: &'a Load,
    /// Capacity that is not allocated yet.
    available: Vec<f64>,
    /// Units per second that each zone (row) sends to each (column).
    sent: Vec<Vec<f64>>,
    /// Demand that is not allocated yet.
    remaining: Vec<f64>,
}

impl Allocation<'_> {
    fn zones(&self) -> std::ops::Range<usize> {
        0..self.load.demand.len()
    }

    /// Allocates `units`, or fewer if the capacity does not suffice, and returns the allocated units.
    fn send(&mut self, from: usize, to: usize, units: f64) -> f64 {
        let units = units.min(self.available[to]).max(0.0);
        self.sent[from][to] += units;
        self.available[to] -= units;
        units
    }

    fn is_open(&self, from: usize, to: usize) -> bool {
        self.load.accepts_traffic[to] && !self.load.is_partitioned[from][to]
    }

    fn allocate_probes(&mut self) {
        for from in self.zones() {
            let is_probed = |&to: &usize| {
                to != from && self.load.accepts_probes[to] && !self.load.is_partitioned[from][to]
            };
            let probed: Vec<usize> = self.zones().filter(is_probed).collect();
            let fraction = if self.load.is_suspect[from] { SUSPECT_PROBE_FRACTION } else { PROBE_FRACTION };
            for &to in &probed {
                self.send(from, to, self.load.demand[from] * fraction / probed.len() as f64);
            }
        }
        let remaining = |from: usize| self.load.demand[from] - self.sent[from].iter().sum::<f64>();
        self.remaining = self.zones().map(remaining).collect();
    }

    fn allocate_local(&mut self) {
        let load = self.load;
        for zone in self.zones().filter(|&zone| !load.is_partitioned[zone][zone]) {
            self.remaining[zone] -= self.send(zone, zone, self.remaining[zone]);
        }
    }

    /// Allocates the remaining demand of each zone to the open zone of this rank by distance, within its
    /// region or in others. Zones with the same target share its capacity in proportion to their remaining
    /// demand, so that the order of zones has no effect.
    fn allocate_nearest(&mut self, is_own_region: bool, rank: usize) {
        let targets: Vec<(usize, usize)> = self
            .zones()
            .filter(|&from| self.remaining[from] > 0.0)
            .filter_map(|from| Some((from, self.nearest_open(from, is_own_region).nth(rank)?)))
            .collect();
        for to in self.zones() {
            let senders = || targets.iter().filter(|(_, target)| *target == to).map(|(from, _)| *from);
            let requested: f64 = senders().map(|from| self.remaining[from]).sum();
            if requested <= 0.0 {
                continue;
            }
            let fraction = (self.available[to] / requested).min(1.0);
            for from in senders() {
                self.remaining[from] -= self.send(from, to, self.remaining[from] * fraction);
            }
        }
    }

    fn nearest_open(&self, from: usize, is_own_region: bool) -> impl Iterator<Item = usize> + '_ {
        let is_eligible = move |&to: &usize| {
            self.settings.is_same_region(from, to) == is_own_region && self.is_open(from, to)
        };
        self.settings.by_distance(from).into_iter().filter(is_eligible)
    }

    fn into_fractions(mut self) -> Vec<Vec<f64>> {
        for from in self.zones() {
            let demand = self.load.demand[from];
            if demand > 0.0 {
                normalize(&mut self.sent[from], demand);
            } else if let Some(to) = self.target_without_demand(from) {
                self.sent[from][to] = 1.0;
            }
        }
        self.sent
    }

    /// Returns the target for the first requests of a zone without demand: the zone itself if it has
    /// capacity, otherwise the nearest open zone with capacity.
    fn target_without_demand(&self, from: usize) -> Option<usize> {
        let mut candidates = std::iter::once(from).chain(self.settings.by_distance(from));
        candidates.find(|&to| self.load.capacity[to] > 0.0 && (to == from || self.is_open(from, to)))
    }
}

/// Converts units to fractions of the demand whose sum is at most 1, because readers reject decisions with a
/// larger sum.
fn normalize(units: &mut [f64], demand: f64) {
    units.iter_mut().for_each(|units| *units /= demand);
    let sum: f64 = units.iter().sum();
    units.iter_mut().for_each(|fraction| *fraction = (*fraction / sum.max(1.0)).clamp(0.0, 1.0));
}
