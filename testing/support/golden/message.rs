//! Comparison of messages between gateways and controllers with recorded bytes, shared by the golden tests of the crates that
//! publish them. The includer has the module `golden` as well.

use super::golden::{bytes, same_bytes};
use marblecroft_control_messages::frame::{decode, encode, Fleet, Message};
use std::fmt::Debug;

/// The fleet of all recorded messages.
pub const FLEET: Fleet = Fleet(0x0102_0304_0506_0708);

/// Checks that a message is encoded to the bytes of a fixture, and that these are decoded and encoded again to the same.
#[track_caller]
pub fn check_message<M: Message + PartialEq + Debug>(fixture: &str, message: &M) {
    same_bytes(fixture, &encode(FLEET, message).expect("it fits"));
    let read: M = decode(FLEET, &bytes(fixture)).unwrap_or_else(|e| panic!("{fixture}: {e}"));
    assert_eq!(&read, message, "{fixture}");
    same_bytes(fixture, &encode(FLEET, &read).expect("it fits"));
}
