//! The processes and the stand-ins of a scenario.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The processes and the stand-ins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of gateways, 0 to 300. With 0, clients call the pay servers directly, which measures the
    /// harness itself.
    pub gateways: u32,
    /// Number of simulated pay servers, 1 to 200.
    pub pay_servers: u32,
    /// The zones, at least one. Gateways and pay servers are assigned to them round-robin.
    pub zones: Vec<String>,
    /// Whether pay servers can seal a trace id and report the result of its request.
    pub receipts: bool,
    /// Number of processes of the discovery service, 0 to 3. With 0, the stand-in for the platform's
    /// discovery responds to the gateways.
    #[serde(rename = "list_service")]
    pub discovery_processes: u32,
    /// Number of processes of the coordination service: 0, 3 or 5.
    pub coordinators: u32,
    /// The n-th table is merged into the configuration of the n-th coordinator.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub coordinator_config: Vec<toml::Table>,
    /// Whether there is a shared counter.
    pub counter: bool,
    /// Path of the gateway's program; by default the one in this program's folder.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// Merged into each gateway's configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateway_config: Option<toml::Table>,
    /// Zones by region; by default all zones are in one region.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub regions: BTreeMap<String, Vec<String>>,
    /// An additional zone without gateways and pay servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub witness: Option<String>,
    /// Number of controllers; they need coordinators.
    #[serde(rename = "stewards")]
    pub controllers: u32,
    /// Merged into each controller's configuration.
    #[serde(rename = "steward_config", skip_serializing_if = "Option::is_none")]
    pub controller_config: Option<toml::Table>,
    /// Whether pay servers reject writes under older epochs.
    pub fencing: bool,
    /// Number of cells, each within one zone, that pay servers are distributed over. With 0, every four
    /// consecutive pay servers form a cell.
    pub cells: u32,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 3,
            pay_servers: 9,
            zones: ["hall-a", "hall-b", "hall-c"].map(str::to_owned).to_vec(),
            receipts: false,
            discovery_processes: 0,
            coordinators: 0,
            coordinator_config: Vec::new(),
            counter: true,
            program: None,
            gateway_config: None,
            regions: BTreeMap::new(),
            witness: None,
            controllers: 0,
            controller_config: None,
            fencing: false,
            cells: 0,
        }
    }
}
