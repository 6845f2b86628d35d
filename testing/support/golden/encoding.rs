//! Comparison of encoded messages with recorded bytes, shared by the golden tests of the control plane's crates.
//!
//! A fixture has one line for each value: its name and its bytes in hexadecimal.
#![allow(dead_code, unused_imports)] // each test file uses its part

#[path = "hex.rs"]
mod hex;

pub use hex::{hex, unhex};

use marblecroft_rpc::{decode, encode, Message};
use std::fmt::Debug;

/// Checks that values are encoded to the bytes of a fixture, and that these are decoded and encoded again to the same.
#[track_caller]
pub fn check<T: Message + PartialEq + Debug>(fixture: &str, values: &[(&str, T)]) {
    let line = |(name, value): &(&str, T)| format!("{name} {}\n", hex(&encode(value)));
    let written: String = values.iter().map(line).collect();
    assert!(written == fixture, "the encoding differs from the fixture:\n{written}");
    for (line, (name, value)) in fixture.lines().zip(values) {
        let bytes = unhex(line.split(' ').nth(1).expect("bytes"));
        let read: T = decode(&bytes).expect(name);
        assert_eq!(&read, value, "{name} is decoded as it was");
        assert_eq!(encode(&read), bytes, "{name} is encoded again as it was");
    }
}
