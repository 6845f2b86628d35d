//! The configuration of a gateway that takes part in a fleet.

use quick_error::quick_error;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

const MAX_FLEET_NAME_BYTES: usize = 64;
const MAX_COORDINATORS: usize = 16;
const MIN_REPORT_MS: u64 = 100;
const MAX_REPORT_MS: u64 = 10_000;

quick_error! {
    /// The reason why the settings are rejected. The message names the key.
    #[derive(Debug)]
    pub enum FleetConfigError {
        /// The fleet's name is empty or too long.
        Name {
            display("stewards.fleet: expected 1 to {MAX_FLEET_NAME_BYTES} bytes")
        }
        /// There are no coordinators, or too many.
        Coordinators {
            display("stewards.coordinators: expected 1 to {MAX_COORDINATORS} addresses")
        }
        /// The report interval is out of range.
        ReportInterval {
            display("stewards.report_ms: expected a number from {MIN_REPORT_MS} to {MAX_REPORT_MS}")
        }
    }
}

/// The fleet that the gateway belongs to, how its decisions are fetched and used, and how often the gateway
/// reports.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// The fleet's name, as in the controllers' configuration.
    #[serde(rename = "fleet")]
    pub name: String,
    /// This gateway's number in the fleet.
    pub gateway: u32,
    /// The addresses of the coordination service.
    pub coordinators: Vec<String>,
    /// The address of an address translator through which coordinators and controllers are reached, with
    /// their own ports, if there is one.
    #[serde(rename = "at")]
    pub translator: Option<IpAddr>,
    /// The interval between reports, in milliseconds. Default: 1000.
    #[serde(default = "default_report_ms")]
    report_ms: u64,
    /// Whether requests are limited by the firms' shares of the fleet's capacity.
    #[serde(rename = "shares", default)]
    uses_quota_shares: bool,
    /// Whether writes are routed by the shard map, and rejected while no valid map is in force.
    #[serde(rename = "books", default)]
    pub uses_shard_map: bool,
}

fn default_report_ms() -> u64 {
    1000
}

impl FleetConfig {
    /// This gateway's number if it uses quota shares.
    pub fn quota_share_gateway(&self) -> Option<u32> {
        self.uses_quota_shares.then_some(self.gateway)
    }

    /// The interval between reports.
    pub fn report_interval(&self) -> Duration {
        Duration::from_millis(self.report_ms)
    }

    /// The address at which the owner of a role is reached.
    pub fn reachable(&self, addr: SocketAddr) -> SocketAddr {
        self.translator.map_or(addr, |translator| SocketAddr::from((translator, addr.port())))
    }

    /// Checks that all values are in range.
    ///
    /// # Errors
    /// Returns the first key whose value is out of range.
    pub fn check(&self) -> Result<(), FleetConfigError> {
        if self.name.is_empty() || self.name.len() > MAX_FLEET_NAME_BYTES {
            return Err(FleetConfigError::Name);
        }
        if self.coordinators.is_empty() || self.coordinators.len() > MAX_COORDINATORS {
            return Err(FleetConfigError::Coordinators);
        }
        if !(MIN_REPORT_MS..=MAX_REPORT_MS).contains(&self.report_ms) {
            return Err(FleetConfigError::ReportInterval);
        }
        Ok(())
    }
}
