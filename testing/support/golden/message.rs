//! Comparison of the messages between gateways and controllers with recorded bytes. Shared by the golden
//! tests of the crates that define these messages. A file that includes this module must also include the
//! module `golden`.

use super::golden::{bytes, same_bytes};
use marblecroft_control_messages::frame::{decode, encode, Fleet, Message};
use std::fmt::Debug;

/// The fleet identifier in all recorded messages.
pub const FLEET: Fleet = Fleet(0x0102_0304_0506_0708);

/// Checks that a message is encoded to the bytes of a fixture, and that these bytes are decoded to the
/// message and encoded to the same bytes again.
#[track_caller]
pub fn check_message<M: Message + PartialEq + Debug>(fixture: &str, message: &M) {
    same_bytes(fixture, &encode(FLEET, message).expect("the message fits a frame"));
    let read: M = decode(FLEET, &bytes(fixture)).unwrap_or_else(|e| panic!("{fixture}: {e}"));
    assert_eq!(&read, message, "{fixture}");
    same_bytes(fixture, &encode(FLEET, &read).expect("the decoded message fits a frame"));
}
