//! Names in the coordination service, and what stands under them.
//!
//! Under `fleet/NAME/`: `candidate/WHO` (gone with its session), `owner/DUTY` and `DUTY` itself, the published decision (both written
//! under the lock's token alone), `order/DUTY`, `hold/ZONE` and `book/FIRM` (operators' words, until they are taken back). The lock of a duty is
//! `duty/NAME/DUTY`.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The duties of stewards. What each needs of the others' it reads from what is published, and waits for none.
pub const ROLES: [&str; 3] = ["zones", "shares", "books"];

/// A process that would own duties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    pub zone: String,
    /// Where it takes reports.
    pub addr: String,
}

/// Who owns a duty, where it takes reports, and since which token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOwner {
    pub who: String,
    pub addr: String,
    pub token: u64,
}

/// What operators say of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Nobody is to own it.
    Pause,
    /// This one, while it lives.
    Move(String),
}

/// All names of one fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    pub prefix: String,
    fleet: String,
}

impl Names {
    pub fn of(fleet: &str) -> Names {
        Names { prefix: format!("fleet/{fleet}/"), fleet: fleet.to_owned() }
    }

    pub fn candidate(&self, who: &str) -> String {
        format!("{}candidate/{who}", self.prefix)
    }

    pub fn owner(&self, duty: &str) -> String {
        format!("{}owner/{duty}", self.prefix)
    }

    pub fn decision(&self, duty: &str) -> String {
        format!("{}{duty}", self.prefix)
    }

    pub fn operator_command(&self, duty: &str) -> String {
        format!("{}order/{duty}", self.prefix)
    }

    pub fn zone_hold(&self, zone: &str) -> String {
        format!("{}hold/{zone}", self.prefix)
    }

    /// An operator's word on where a firm's book is to be.
    pub fn shard_override(&self, firm: &str) -> String {
        format!("{}book/{firm}", self.prefix)
    }

    pub fn lock(&self, duty: &str) -> String {
        format!("duty/{}/{duty}", self.fleet)
    }
}

pub fn write<T: Serialize>(value: &T) -> Vec<u8> {
    // Into memory; it cannot fail but for want of it.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// What stands under a name; none if it cannot be read, as another build may have written it.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(value, _)| value)
}
