//! Fencing: whoever acts names its token, and the resource rejects lower tokens than the highest that it has seen.

use crate::state::Token;
use serde::{Deserialize, Serialize};

/// The highest token seen at one resource. A check by the owner itself is not enough: its process may be suspended between the
/// check and the act.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencedResource {
    highest: Token,
}

/// An act under a lower token than one that was seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Late {
    /// The token of the act.
    pub token: Token,
    /// The highest token that was seen.
    pub highest: Token,
}

impl FencedResource {
    /// Admits an act under this token.
    ///
    /// # Errors
    ///
    /// A higher token was seen before.
    pub fn admit(&mut self, token: Token) -> Result<(), Late> {
        if token < self.highest {
            return Err(Late { token, highest: self.highest });
        }
        self.highest = token;
        Ok(())
    }

    /// Returns the highest token that was admitted.
    pub fn highest(&self) -> Token {
        self.highest
    }
}
