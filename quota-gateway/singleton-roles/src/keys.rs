//! Keys in the coordination service, and their values.
//!
//! The keys under `fleet/NAME/` are `candidate/CANDIDATE` (deleted when the candidate's session ends),
//! `owner/ROLE`, `ROLE` (the published decision of the role), and `order/ROLE`, `hold/ZONE` and `book/FIRM`
//! (operator commands, kept until they are removed). Owners and decisions are written only under the lock's
//! fencing token. The lock of a role is `duty/NAME/ROLE`.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The roles of controllers. A role reads the published decisions of other roles, but never waits for them.
pub const ROLES: [&str; 3] = ["zones", "shares", "books"];

/// A process that can own roles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Zone of the process.
    pub zone: String,
    /// Address at which it accepts reports.
    pub report_address: String,
}

/// The owner of a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOwner {
    /// Name of the candidate.
    pub candidate: String,
    /// Address at which it accepts reports.
    pub report_address: String,
    /// The fencing token under which it owns the role.
    pub token: u64,
}

/// An operator's command for a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// No candidate may own the role.
    Pause,
    /// The candidate of this name must own the role, as long as it is present.
    Move(String),
}

/// The keys of one fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Prefix of all keys. Names of locks do not have it.
    pub prefix: String,
    fleet: String,
}

impl Keys {
    /// Returns the keys of a fleet.
    pub fn of(fleet: &str) -> Keys {
        Keys { prefix: format!("fleet/{fleet}/"), fleet: fleet.to_owned() }
    }

    /// Returns the key of a candidate.
    pub fn candidate(&self, name: &str) -> String {
        format!("{}candidate/{name}", self.prefix)
    }

    /// Returns the key of the owner of a role.
    pub fn owner(&self, role: &str) -> String {
        format!("{}owner/{role}", self.prefix)
    }

    /// Returns the key of the published decision of a role.
    pub fn decision(&self, role: &str) -> String {
        format!("{}{role}", self.prefix)
    }

    /// Returns the key of the operator's command for a role.
    pub fn operator_command(&self, role: &str) -> String {
        format!("{}order/{role}", self.prefix)
    }

    /// Returns the key of the operator's override of a zone.
    pub fn zone_override(&self, zone: &str) -> String {
        format!("{}hold/{zone}", self.prefix)
    }

    /// Returns the key of the operator's override of the shard of a firm.
    pub fn shard_override(&self, firm: &str) -> String {
        format!("{}book/{firm}", self.prefix)
    }

    /// Returns the name of the lock of a role.
    pub fn lock(&self, role: &str) -> String {
        format!("duty/{}/{role}", self.fleet)
    }
}

/// Encodes a value.
pub fn encode_value<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding into memory fails only if memory is exhausted.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value. Returns `None` if it has another format, because another version may have written it.
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(value, _)| value)
}
