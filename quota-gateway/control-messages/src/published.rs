//! Decisions that one controller publishes and all gateways read.
//!
//! A [`Stamp`] orders decisions by fencing token and revision. A [`DecisionReader`] never returns to an older
//! decision, so that an owner that has lost its role has no effect. A decision is valid for a limited time
//! after the last confirmation that it is the newest. When it has expired, the reader may have missed newer
//! decisions.

use crate::frame::{Kind, Message};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An instant of the reader's monotonic clock, as the time since an arbitrary fixed instant.
pub type Instant = Duration;

/// The identity of a decision. Stamps are ordered like the decisions they identify.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The owner's fencing token. The lowest is 1.
    pub token: u64,
    /// The sequence number of the decision under this token.
    pub revision: u64,
}

/// Maximum time for which a decision can be valid.
pub const MAX_VALIDITY: Duration = Duration::from_secs(600);

/// The content of a decision.
pub trait Body: Serialize + DeserializeOwned {
    /// The kind of the messages that contain it.
    const KIND: Kind;
    /// Returns whether all values are within their bounds.
    fn is_valid(&self) -> bool;
}

/// A published decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision<T> {
    /// The identity of the decision.
    pub stamp: Stamp,
    /// Time for which a reader may apply the decision after the last confirmation that it is the newest, in
    /// milliseconds.
    pub valid_ms: u32,
    /// The content of the decision.
    pub body: T,
}

impl<T: Body> Message for Decision<T> {
    const KIND: Kind = T::KIND;

    fn is_valid(&self) -> bool {
        let valid = Duration::from_millis(self.valid_ms.into());
        self.stamp.token > 0
            && (1..=MAX_VALIDITY.as_millis()).contains(&valid.as_millis())
            && self.body.is_valid()
    }
}

/// The result of passing a decision to a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The decision is newer than the current one and replaces it.
    New,
    /// The decision is the current one, so its validity is extended.
    Renewed,
    /// The decision is ignored. It is older than the current one, because it comes from a former owner or in
    /// a delayed response, or it differs from the current one under the same stamp.
    Stale,
}

/// The current decision of a reader, and whether it may be applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Validity<'a, T> {
    /// No decision has been read yet.
    NoDecision,
    /// The decision may be applied.
    Valid(&'a Decision<T>),
    /// The decision expired this long ago. The reader may have missed newer ones, and uses the fallback that
    /// the role documents.
    Expired(&'a Decision<T>, Duration),
}

/// The newest decision that was read, and the instant at which it expires.
#[derive(Clone, Debug)]
struct CurrentDecision<T> {
    decision: Decision<T>,
    valid_until: Instant,
}

/// A reader of the decisions of one role.
#[derive(Clone, Debug)]
pub struct DecisionReader<T> {
    current: Option<CurrentDecision<T>>,
}

impl<T> Default for DecisionReader<T> {
    fn default() -> DecisionReader<T> {
        DecisionReader { current: None }
    }
}

impl<T: PartialEq> DecisionReader<T> {
    /// Accepts a decision that was read as the newest one, unless it is stale. `requested_at` is an instant
    /// before the request was sent. The validity starts there, because a newer decision may have been
    /// published since.
    pub fn accept(&mut self, requested_at: Instant, decision: Decision<T>) -> Acceptance {
        let valid_until = requested_at + Duration::from_millis(decision.valid_ms.into());
        match &mut self.current {
            Some(current) if decision.stamp < current.decision.stamp => Acceptance::Stale,
            // A stamp identifies one decision. A different decision under the same stamp is not from the
            // lock's owner.
            Some(current) if decision.stamp == current.decision.stamp => {
                if decision != current.decision {
                    return Acceptance::Stale;
                }
                // A delayed response to an earlier request never shortens the validity.
                current.valid_until = current.valid_until.max(valid_until);
                Acceptance::Renewed
            }
            _ => {
                self.current = Some(CurrentDecision { decision, valid_until });
                Acceptance::New
            }
        }
    }

    /// Renews the current decision. It was still the newest at `requested_at` or later.
    pub fn renew(&mut self, requested_at: Instant) {
        if let Some(current) = &mut self.current {
            current.valid_until = current
                .valid_until
                .max(requested_at + Duration::from_millis(current.decision.valid_ms.into()));
        }
    }

    /// Returns the current decision and whether it is valid at `now`.
    pub fn validity(&self, now: Instant) -> Validity<'_, T> {
        match &self.current {
            None => Validity::NoDecision,
            Some(current) if now < current.valid_until => Validity::Valid(&current.decision),
            Some(current) => Validity::Expired(&current.decision, now - current.valid_until),
        }
    }

    /// Returns the instant at which the current decision expires.
    pub fn valid_until(&self) -> Option<Instant> {
        self.current.as_ref().map(|current| current.valid_until)
    }

    /// Returns the stamp of the current decision, valid or not.
    pub fn stamp(&self) -> Option<Stamp> {
        self.current.as_ref().map(|current| current.decision.stamp)
    }
}
