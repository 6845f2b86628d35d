//! Placement of a scenario's processes and stand-ins in zones and regions.

use super::{Scenario, Target};
use crate::endpoint::{Endpoint, Kind};

impl Scenario {
    /// Returns the number of processes that clients call: the gateways, or the pay servers where there are
    /// none.
    pub fn entry_count(&self) -> u32 {
        match self.fleet.gateways {
            0 => self.fleet.pay_servers,
            gateways => gateways,
        }
    }

    /// Returns the number of members of a kind.
    pub fn count(&self, kind: Kind) -> u32 {
        match kind {
            Kind::Clients => 1,
            Kind::Gateways => self.fleet.gateways,
            Kind::PayServers => self.fleet.pay_servers,
            Kind::DiscoveryService => self.fleet.discovery_processes.max(1),
            Kind::Coordinators => self.fleet.coordinators,
            Kind::Counter => u32::from(self.fleet.counter),
            Kind::Controllers => self.fleet.controllers,
            Kind::Cells => self.fleet.cells,
            Kind::Candidates => {
                if self.fleet.coordinators > 0 {
                    // The candidates for locks have the first numbers; clients and watchers of registers
                    // follow.
                    self.owners.candidates + self.registers.clients + self.registers.watchers
                } else {
                    0
                }
            }
        }
    }

    /// Returns all zones, with the witness zone last.
    pub fn all_zones(&self) -> Vec<&str> {
        self.fleet.zones.iter().chain(&self.fleet.witness).map(String::as_str).collect()
    }

    /// Returns the region of a zone; a witness zone that no region lists is a region of its own.
    pub fn region(&self, zone: &str) -> String {
        let named = self.fleet.regions.iter().find(|(_, zones)| zones.iter().any(|other| other == zone));
        match named {
            Some((region, _)) => region.clone(),
            None if self.fleet.witness.as_deref() == Some(zone) => format!("witness {zone}"),
            None => String::new(),
        }
    }

    /// Returns the zone of a process or a stand-in, as an index into [`Scenario::all_zones`]; `None` for
    /// those outside all zones.
    pub fn zone_of(&self, endpoint: Endpoint) -> Option<usize> {
        let zones = self.fleet.zones.len();
        match endpoint {
            Endpoint::Gateway(i) | Endpoint::PayServer(i) | Endpoint::Cell(i) => Some(usize::from(i) % zones),
            Endpoint::Coordinator(i) | Endpoint::Controller(i) => self.spread_over_zones(usize::from(i)),
            Endpoint::DiscoveryService(i) if self.fleet.discovery_processes > 0 => {
                self.spread_over_zones(usize::from(i))
            }
            Endpoint::Clients
            | Endpoint::Counter
            | Endpoint::Candidate(_)
            | Endpoint::DiscoveryService(_) => None,
        }
    }

    /// Returns the zone of the process with this number. Such processes are spread over the regions
    /// round-robin, and within each region over its zones.
    fn spread_over_zones(&self, number: usize) -> Option<usize> {
        let all = self.all_zones();
        let mut regions: Vec<(String, Vec<usize>)> = Vec::new();
        for (zone, name) in all.iter().enumerate() {
            let region = self.region(name);
            match regions.iter_mut().find(|(other, _)| *other == region) {
                Some((_, zones)) => zones.push(zone),
                None => regions.push((region, vec![zone])),
            }
        }
        let (_, zones) = regions.get(number % regions.len().max(1))?;
        zones.get(number / regions.len() % zones.len()).copied()
    }

    /// Whether a zone is the target, or is in the target region.
    pub fn is_zone_in(&self, zone: usize, target: &Target) -> bool {
        let Some(name) = self.all_zones().get(zone).copied() else { return false };
        match target {
            Target::Zone(wanted) => name == wanted,
            Target::Region(wanted) => self.region(name) == *wanted,
            _ => false,
        }
    }
}
