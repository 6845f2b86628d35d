//! The gateway's timers, encoded as tokens.

use crate::api::{RequestId, Token};

const KIND_BITS: u32 = 2;
const KIND_MASK: u64 = (1 << KIND_BITS) - 1;
const STEP: u64 = 0;
const DEADLINE: u64 = 1;
const CHECK: u64 = 2;

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// The periodic step.
    Step,
    /// The deadline of a request.
    Deadline(RequestId),
    /// A check of the last attempt of a request.
    Check(RequestId),
}

impl Timer {
    /// Encodes this timer as a token.
    pub(super) fn token(self) -> Token {
        let of_request = |id: RequestId, kind| Token(u64::from(id.0) << KIND_BITS | kind);
        match self {
            Timer::Step => Token(STEP),
            Timer::Deadline(id) => of_request(id, DEADLINE),
            Timer::Check(id) => of_request(id, CHECK),
        }
    }

    /// Decodes a token; `None` if it is not a token of this gateway.
    pub(super) fn from_token(token: Token) -> Option<Timer> {
        if token.0 == STEP {
            return Some(Timer::Step);
        }
        let id = u32::try_from(token.0 >> KIND_BITS).map(RequestId).ok()?;
        match token.0 & KIND_MASK {
            DEADLINE => Some(Timer::Deadline(id)),
            CHECK => Some(Timer::Check(id)),
            _ => None,
        }
    }
}
