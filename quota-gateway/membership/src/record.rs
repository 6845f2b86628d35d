//! What is said of a member, and how two sayings are merged.

use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// The longest name of a member, and of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Incarnations are at most this. One that is said to be higher is impossible; a member that gets here by itself can refute
/// nothing more, and is held for failed until it starts under another name.
pub const MAX_INCARNATION: u64 = 1 << 62;

/// A member's name, and a zone's: one to [`NAME_MOST`] bytes of text, or none for a zone that is not known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Rc<str>);

impl Name {
    pub fn new(text: &str) -> Option<Name> {
        (text.len() <= MAX_NAME_BYTES).then(|| Name(text.into()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0.escape_debug())
    }
}

/// What a member is held for; of one incarnation, what comes later here stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    /// A probe of it has failed; it may refute that.
    Suspect,
    /// It refuted nothing in time.
    Failed,
    /// It said so itself.
    Left,
}

impl State {
    /// Whether it counts as present.
    pub fn present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub name: Name,
    pub addr: SocketAddrV4,
    pub zone: Name,
    /// Which of its lives and refutations is meant. Only the member itself makes a higher one.
    pub incarnation: u64,
    pub state: State,
}

impl Record {
    /// By what two sayings are told apart, in the order in which the later stands. The address and the zone are in it so
    /// that it is one order for all, also where two processes have one name.
    fn rank(&self) -> (u64, State, SocketAddrV4, &Name) {
        (self.incarnation, self.state, self.addr, &self.zone)
    }

    /// Whether this is news to whoever holds the other.
    pub fn overrides(&self, other: &Record) -> bool {
        self.rank() > other.rank()
    }

    /// The one of two sayings of one member that stands.
    pub fn merged(self, other: Record) -> Record {
        if other.overrides(&self) {
            other
        } else {
            self
        }
    }
}
