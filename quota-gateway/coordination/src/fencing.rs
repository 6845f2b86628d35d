//! Where an effect is taken: whoever acts for the fleet names its token, and lower ones than the highest are refused.

use crate::state::Token;
use serde::{Deserialize, Serialize};

/// The highest token seen at one place. A check by the owner itself is never enough: it can stop between check and act.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencedResource {
    highest: Token,
}

/// An effect came under a token that another has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Late {
    pub token: Token,
    pub highest: Token,
}

impl FencedResource {
    /// Lets an effect under this token pass, or says that it comes too late.
    pub fn admit(&mut self, token: Token) -> Result<(), Late> {
        if token < self.highest {
            return Err(Late { token, highest: self.highest });
        }
        self.highest = token;
        Ok(())
    }

    /// The highest token that was let pass, or was told of.
    pub fn highest(&self) -> Token {
        self.highest
    }
}
