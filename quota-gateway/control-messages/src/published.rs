//! A decision that one controller publishes and all gateways read.
//!
//! Its [`Stamp`] orders it by fencing token and revision: a [`DecisionReader`] never goes back to an older one, so that an
//! owner that lost its role has no effect. It is valid for a time after the reader last knew it for the newest; then the
//! reader knows that it may have missed newer ones.

use crate::frame::{Kind, Message};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An instant of the reader's monotonic clock, since any fixed instant.
pub type Instant = Duration;

/// The identity of a decision, ordered as they are decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The owner's fencing token, from 1.
    pub token: u64,
    /// The number of the decision under this token.
    pub revision: u64,
}

/// Upper bound of the validity of a decision.
pub const MAX_VALIDITY: Duration = Duration::from_secs(600);

/// The content of a decision.
pub trait Body: Serialize + DeserializeOwned {
    /// The kind of the messages that carry it.
    const KIND: Kind;
    /// Returns whether each value is in its bounds.
    fn is_valid(&self) -> bool;
}

/// A decision as it is published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision<T> {
    /// Its identity.
    pub stamp: Stamp,
    /// How long a reader may apply it after the reader last knew it for the newest, in milliseconds.
    pub valid_ms: u32,
    /// What is decided.
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

/// How a reader took a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// It is newer than the current one, and replaces it.
    New,
    /// It is the current one, which is still the newest: its validity begins again.
    Renewed,
    /// It is older than the current one, which stays: it comes from a former owner, or in a late answer.
    Stale,
}

/// The current decision of a reader, and whether it may be applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Validity<'a, T> {
    /// No decision was read yet.
    NoDecision,
    /// It may be applied.
    Valid(&'a Decision<T>),
    /// Its validity ended this long ago: the reader may have missed newer ones, and falls back as each role documents.
    Expired(&'a Decision<T>, Duration),
}

/// The newest decision that was read, and until when it is valid.
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
    /// Accepts a decision that was read as the newest one, unless it is stale. `requested_at` is an instant before the request
    /// was sent, as the decision may have been the newest only then.
    pub fn accept(&mut self, requested_at: Instant, decision: Decision<T>) -> Acceptance {
        let valid_until = requested_at + Duration::from_millis(decision.valid_ms.into());
        match &mut self.current {
            Some(current) if decision.stamp < current.decision.stamp => Acceptance::Stale,
            // A stamp identifies one decision: another one under the same stamp is not of the lock's owner.
            Some(current) if decision.stamp == current.decision.stamp => {
                if decision != current.decision {
                    return Acceptance::Stale;
                }
                // A late answer to an earlier request never shortens the validity.
                current.valid_until = current.valid_until.max(valid_until);
                Acceptance::Renewed
            }
            _ => {
                self.current = Some(CurrentDecision { decision, valid_until });
                Acceptance::New
            }
        }
    }

    /// Renews the current decision, which was the newest at this instant or later.
    pub fn renew(&mut self, requested_at: Instant) {
        if let Some(current) = &mut self.current {
            current.valid_until = current
                .valid_until
                .max(requested_at + Duration::from_millis(current.decision.valid_ms.into()));
        }
    }

    /// Returns the current decision, and whether it is valid now.
    pub fn validity(&self, now: Instant) -> Validity<'_, T> {
        match &self.current {
            None => Validity::NoDecision,
            Some(current) if now < current.valid_until => Validity::Valid(&current.decision),
            Some(current) => Validity::Expired(&current.decision, now - current.valid_until),
        }
    }

    /// Returns until when the current decision is valid.
    pub fn valid_until(&self) -> Option<Instant> {
        self.current.as_ref().map(|current| current.valid_until)
    }

    /// Returns the stamp of the current decision, valid or not.
    pub fn stamp(&self) -> Option<Stamp> {
        self.current.as_ref().map(|current| current.decision.stamp)
    }
}
