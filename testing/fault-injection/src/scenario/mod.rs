//! Scenarios: a fleet, its load, its faults and the expected results, in one TOML file.
//!
//! Unknown keys are rejected, and every error is one line that names the field. Missing fields have the
//! defaults of the types in this module. [`crate::deployment`] draws the random parts from a seed.

mod coordination;
mod error;
mod expect;
mod fault;
mod fleet;
mod load;
mod site;
mod target;
pub mod tenancy;
mod topology;
mod validation;

pub use coordination::{Owners, Registers};
pub use error::{ScenarioError, TargetError};
pub use expect::Expect;
pub use fault::{Fault, FaultKind};
pub use fleet::Fleet;
pub use load::Load;
pub use site::{Plan, Site};
pub use target::{Target, LEADER, ROLES};
pub use validation::{MAX_GATEWAYS, MAX_PAY_SERVERS};

use serde::{Deserialize, Serialize};
use tenancy::{Shards, Tenants};

/// The content of a scenario file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// The processes and the stand-ins.
    pub fleet: Fleet,
    /// The clients' requests.
    pub load: Load,
    /// The stand-ins' behaviour.
    pub site: Site,
    /// Candidates for locks of the coordination service.
    pub owners: Owners,
    /// Clients of registers of the coordination service.
    pub registers: Registers,
    /// The faults, in file order.
    #[serde(rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// Firms with fair shares; without them the site's plans apply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Tenants>,
    /// Shards that are migrated between cells.
    #[serde(rename = "books", skip_serializing_if = "Option::is_none")]
    pub shards: Option<Shards>,
    /// Expectations in addition to the invariants.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Expect>,
}

impl Scenario {
    /// Parses and validates the text of a scenario file.
    ///
    /// # Errors
    ///
    /// See [`ScenarioError`].
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(1, |span| text[..span.start].matches('\n').count() + 1);
            ScenarioError::Syntax(line, error.message().replace('\n', " "))
        })?;
        scenario.validate()?;
        Ok(scenario)
    }
}
