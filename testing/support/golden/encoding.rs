//! Comparison of encoded messages with recorded bytes, shared by the golden tests of the control plane's
//! crates.
//!
//! A fixture has one line for each value, with its name and its bytes in hexadecimal.
#![allow(dead_code, unused_imports)] // not every test file uses all of the helpers

#[path = "hex.rs"]
mod hex;

pub use hex::{decode_hex, hex};

use marblecroft_rpc::{decode, encode, Message};
use std::fmt::Debug;

/// Checks that values are encoded to the bytes of a fixture, and that these bytes are decoded to the values
/// and encoded to the same bytes again.
#[track_caller]
pub fn check<T: Message + PartialEq + Debug>(fixture: &str, values: &[(&str, T)]) {
    let line = |(name, value): &(&str, T)| format!("{name} {}\n", hex(&encode(value)));
    let written: String = values.iter().map(line).collect();
    assert!(written == fixture, "the encoding differs from the fixture; encoded:\n{written}");
    for (line, (name, value)) in fixture.lines().zip(values) {
        let bytes = decode_hex(line.split(' ').nth(1).expect("a line has a name and bytes"));
        let read: T = decode(&bytes).expect(name);
        assert_eq!(&read, value, "{name} is decoded to another value");
        assert_eq!(encode(&read), bytes, "{name} is encoded to other bytes after decoding");
    }
}
