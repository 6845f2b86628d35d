//! Claims about members, and the order that decides which of two claims overrides the other.
//!
//! The order of claims is total, so merging is commutative, associative and idempotent. All members therefore
//! arrive at the same view, regardless of the order in which they receive the claims.

use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// The maximum length of the name of a member or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// The maximum incarnation. Claims with a higher one are invalid. A member that has reached it cannot refute
/// further claims, and counts as failed until it starts under another name.
pub const MAX_INCARNATION: u64 = 1 << 62;

/// The name of a member or a zone: at most [`MAX_NAME_BYTES`] of UTF-8. Only an unknown zone's name is empty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Rc<str>);

impl Name {
    /// Returns the name, or `None` if the text is too long.
    pub fn new(text: &str) -> Option<Name> {
        (text.len() <= MAX_NAME_BYTES).then(|| Name(text.into()))
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns a hash of four bytes (32-bit FNV-1a), which identifies the member that raised a suspicion in
    /// datagrams.
    pub fn fingerprint(&self) -> u32 {
        self.0.bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.escape_debug())
    }
}

/// The state of a member. Within one incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It claims to be running.
    Alive,
    /// A probe of it has failed, and it can still refute the suspicion.
    Suspect,
    /// It has not refuted a suspicion in time.
    Failed,
    /// It has announced its departure.
    Left,
}

impl MemberState {
    /// Returns whether a member in this state counts as present.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A claim about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The member.
    pub name: Name,
    /// The address at which it receives datagrams.
    pub addr: SocketAddrV4,
    /// The zone in which it runs; empty if unknown.
    pub zone: Name,
    /// The member's incarnation to which the claim applies. Only the member itself raises it, at a start and
    /// to refute a claim.
    pub incarnation: u64,
    /// The claimed state.
    pub state: MemberState,
}

impl Record {
    /// Returns the key by which claims are ordered. It includes the address and the zone, so that the order
    /// is total even if two processes have the same name.
    fn precedence(&self) -> (u64, MemberState, SocketAddrV4, &Name) {
        (self.incarnation, self.state, self.addr, &self.zone)
    }

    /// Returns whether this claim overrides the other one about the same member.
    pub fn overrides(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns the one of two claims about the same member that overrides the other.
    #[must_use]
    pub fn merged(self, other: Record) -> Record {
        if other.overrides(&self) {
            other
        } else {
            self
        }
    }
}
