//! Targets of faults.

use super::TargetError;
use crate::endpoint::Kind;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display};

/// The processes that a fault affects: `gateways`, `gateways[2]`, `zone:NAME`, `region:NAME`, or
/// `owner:NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Target {
    /// All members of a kind.
    All(Kind),
    /// One member of a kind, by its number.
    One(Kind, u32),
    /// The process that owns a lock or a role when the fault starts.
    Owner(String),
    /// All processes and stand-ins in a zone.
    Zone(String),
    /// All processes and stand-ins in a region.
    Region(String),
}

/// The roles that controllers own.
pub const ROLES: [&str; 3] = marblecroft_singleton_roles::keys::ROLES;
/// The name of the role that the coordinators' leader owns.
pub const LEADER: &str = "leader";

impl Target {
    /// Returns the name of the lock or role if the target is its owner.
    pub fn owner(&self) -> Option<String> {
        match self {
            Target::Owner(name) => Some(name.clone()),
            _ => None,
        }
    }
}

impl TryFrom<String> for Target {
    type Error = TargetError;

    fn try_from(text: String) -> Result<Target, TargetError> {
        if let Some(name) = text.strip_prefix("owner:") {
            return Ok(Target::Owner(name.to_owned()));
        }
        if let Some(name) = text.strip_prefix("zone:") {
            return Ok(Target::Zone(name.to_owned()));
        }
        if let Some(name) = text.strip_prefix("region:") {
            return Ok(Target::Region(name.to_owned()));
        }
        let (name, index) = match text.strip_suffix(']').and_then(|rest| rest.split_once('[')) {
            Some((name, index)) => {
                let index = index.parse().map_err(|_| TargetError::Number(text.clone()))?;
                (name, Some(index))
            }
            None => (text.as_str(), None),
        };
        let kind = Kind::ALL.into_iter().find(|kind| kind.name() == name);
        let kind = kind.ok_or_else(|| TargetError::Kind(text.clone()))?;
        Ok(index.map_or(Target::All(kind), |index| Target::One(kind, index)))
    }
}

impl From<Target> for String {
    fn from(target: Target) -> String {
        target.to_string()
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::All(kind) => f.write_str(kind.name()),
            Target::One(kind, index) => write!(f, "{}[{index}]", kind.name()),
            Target::Owner(name) => write!(f, "owner:{name}"),
            Target::Zone(name) => write!(f, "zone:{name}"),
            Target::Region(name) => write!(f, "region:{name}"),
        }
    }
}
