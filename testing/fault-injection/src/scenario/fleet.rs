//! The processes and the stand-ins.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The processes and the stand-ins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Processes of the gateway, 0 to 300. With 0 clients ask the pay servers themselves: what the lab alone can do.
    pub gateways: u32,
    /// Stand-ins of pay servers, 1 to 200.
    pub pay_servers: u32,
    /// Where gateways and pay servers stand, in turn; one at least.
    pub zones: Vec<String>,
    /// Pay servers seal ids and tell what came of them.
    pub receipts: bool,
    /// Processes of the list service, 0 to 3; with 0 the stand-in of the platform's discovery tells the list.
    pub list_service: u32,
    /// Processes of the coordination service: 0, 3 or 5.
    pub coordinators: u32,
    /// Merged into the configuration of the first, second, ... of them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub coordinator_config: Vec<toml::Table>,
    /// There is a counter.
    pub counter: bool,
    /// The gateway's program, where it is not the one beside this one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// Merged into each gateway's configuration as it is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateway_config: Option<toml::Table>,
    /// Zones by region; left out: one region.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub regions: BTreeMap<String, Vec<String>>,
    /// One more zone, with neither gateways nor pay servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub witness: Option<String>,
    /// Processes of the steward; they need coordinators.
    #[serde(rename = "stewards")]
    pub controllers: u32,
    /// Merged into each steward's configuration as it is.
    #[serde(rename = "steward_config", skip_serializing_if = "Option::is_none")]
    pub controller_config: Option<toml::Table>,
    /// Pay servers turn writes under older epochs away.
    pub fencing: bool,
    /// Cells that pay servers are dealt out over, each within one zone; 0: by fours.
    pub cells: u32,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 3,
            pay_servers: 9,
            zones: ["hall-a", "hall-b", "hall-c"].map(str::to_owned).to_vec(),
            receipts: false,
            list_service: 0,
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
