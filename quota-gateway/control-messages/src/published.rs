//! A decision that one steward publishes and all read: under a token, never back, whole, and for so long.

use crate::frame::{Kind, Message};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An instant of the reader's own monotonic clock, from any zero.
pub type Instant = Duration;

/// Which decision it is: the owner's fencing token, and its number under it. Ordered as they are decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub token: u64,
    pub revision: u64,
}

/// The longest that a decision may be valid for.
pub const MAX_VALIDITY: Duration = Duration::from_secs(600);

/// What is decided.
pub trait Body: Serialize + DeserializeOwned {
    const KIND: Kind;
    fn sensible(&self) -> bool;
}

/// A decision as it is published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision<T> {
    pub stamp: Stamp,
    /// How long a reader may go by it after it last knew it for the newest.
    pub valid_ms: u32,
    pub body: T,
}

impl<T: Body> Message for Decision<T> {
    const KIND: Kind = T::KIND;

    fn sensible(&self) -> bool {
        let valid = Duration::from_millis(self.valid_ms.into());
        self.stamp.token > 0
            && (1..=MAX_VALIDITY.as_millis()).contains(&valid.as_millis())
            && self.body.sensible()
    }
}

/// What became of a decision that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is gone by from now on.
    New,
    /// It is the one that is held: still the newest, so its time begins again.
    Renewed,
    /// Older than the one that is held, which stands: a late owner's, or a late answer.
    Late,
}

/// What a reader goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing<'a, T> {
    /// Nothing was ever read.
    Never,
    Valid(&'a Decision<T>),
    /// Nobody has said for too long that it is the newest: whoever reads is alone, and does what its page says, for so long
    /// already.
    Lapsed(&'a Decision<T>, Duration),
}

/// The one that is held, and until when it is valid.
#[derive(Clone, Debug)]
struct CurrentDecision<T> {
    decision: Decision<T>,
    until: Instant,
}

/// A reader of one duty's decisions.
#[derive(Clone, Debug)]
pub struct Reader<T> {
    current: Option<CurrentDecision<T>>,
    late: u64,
}

impl<T> Default for Reader<T> {
    fn default() -> Reader<T> {
        Reader { current: None, late: 0 }
    }
}

impl<T: PartialEq> Reader<T> {
    /// Takes in what was read as the newest decision. `asked`: an instant before the question left, as it may have been the
    /// newest only then.
    pub fn take(&mut self, asked: Instant, decision: Decision<T>) -> Taken {
        let until = asked + Duration::from_millis(decision.valid_ms.into());
        match &mut self.current {
            Some(held) if decision.stamp < held.decision.stamp => {
                self.late += 1;
                Taken::Late
            }
            // One stamp has one decision: whoever else uses it does not hold the lock.
            Some(held) if decision.stamp == held.decision.stamp => {
                if decision != held.decision {
                    self.late += 1;
                    return Taken::Late;
                }
                // An answer that was asked for earlier never shortens what a later one gave.
                held.until = held.until.max(until);
                Taken::Renewed
            }
            _ => {
                self.current = Some(CurrentDecision { decision, until });
                Taken::New
            }
        }
    }

    /// Nothing has changed since the decision that is held: it was the newest at this instant or later.
    pub fn renewed(&mut self, asked: Instant) {
        if let Some(held) = &mut self.current {
            held.until = held.until.max(asked + Duration::from_millis(held.decision.valid_ms.into()));
        }
    }

    pub fn standing(&self, now: Instant) -> Standing<'_, T> {
        match &self.current {
            None => Standing::Never,
            Some(held) if now < held.until => Standing::Valid(&held.decision),
            Some(held) => Standing::Lapsed(&held.decision, now - held.until),
        }
    }

    /// Until when the one that is held is valid.
    pub fn until(&self) -> Option<Instant> {
        self.current.as_ref().map(|held| held.until)
    }

    /// The newest that was read, valid or not.
    pub fn stamp(&self) -> Option<Stamp> {
        self.current.as_ref().map(|held| held.decision.stamp)
    }

    /// Decisions that came after newer ones.
    pub fn late(&self) -> u64 {
        self.late
    }
}
