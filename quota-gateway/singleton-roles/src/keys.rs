//! Keys in the coordination service, and their values.
//!
//! Under `fleet/NAME/`: `candidate/WHO` (deleted with its session), `owner/ROLE` and `ROLE` itself, which is the published decision
//! (both written under the lock's fencing token only), and `order/ROLE`, `hold/ZONE` and `book/FIRM` (operator commands, until they
//! are withdrawn). The lock of a role is `duty/NAME/ROLE`.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The roles of controllers. Each reads what it needs of the others from their publications, and waits for none.
pub const ROLES: [&str; 3] = ["zones", "shares", "books"];

/// A process that can own roles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its zone.
    pub zone: String,
    /// Where it accepts reports.
    pub report_address: String,
}

/// The owner of a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOwner {
    /// Name of the candidate.
    pub candidate: String,
    /// Where it accepts reports.
    pub report_address: String,
    /// The fencing token that it owns the role under.
    pub token: u64,
}

/// An operator's command on a role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// No candidate may own it.
    Pause,
    /// This candidate must own it, while it is there.
    Move(String),
}

/// The keys of one fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Prefix of all keys but locks.
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

    /// Returns the key of the operator's command on a role.
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
    // Encoding into memory fails only where memory is exhausted.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value; returns `None` if it is of another format, as another version may have written it.
pub fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(value, _)| value)
}
