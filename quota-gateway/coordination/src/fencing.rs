//! Fencing: each request to a resource carries the fencing token of its sender, and the resource rejects
//! tokens that are lower than the highest token that it has seen.

use crate::state::Token;
use serde::{Deserialize, Serialize};

/// The highest token that one resource has seen. A check by the holder of the lock is not enough: its process
/// may be suspended between the check and the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencedResource {
    highest: Token,
}

/// The error for a request with a lower token than one that was seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StaleToken {
    /// The token of the request.
    pub token: Token,
    /// The highest token that the resource has seen.
    pub highest: Token,
}

impl FencedResource {
    /// Admits a request with this token.
    ///
    /// # Errors
    ///
    /// A higher token was seen before.
    pub fn admit(&mut self, token: Token) -> Result<(), StaleToken> {
        if token < self.highest {
            return Err(StaleToken { token, highest: self.highest });
        }
        self.highest = token;
        Ok(())
    }

    /// Returns the highest token that was admitted.
    pub fn highest(&self) -> Token {
        self.highest
    }
}
