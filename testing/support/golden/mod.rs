//! Comparison with recorded bytes, shared by the crates' `tests/golden.rs`.
//!
//! A fixture is a file in the `tests/golden/` folder of the crate that includes this module. Binary data is stored as
//! lowercase hexadecimal in lines of 32 bytes, JSON as it is. Nothing here writes a fixture: a format that is meant to
//! change gets its new fixture by hand, beside the change of its version.
#![allow(dead_code)] // each test file uses its part

use std::fs;

/// The fixture of this name, without the line end of its file.
pub fn text(name: &str) -> String {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).unwrap_or_else(|e| panic!("{name}: {e}"));
    text.strip_suffix('\n').unwrap_or(&text).to_owned()
}

/// The bytes of a fixture in hexadecimal.
pub fn bytes(name: &str) -> Vec<u8> {
    from_hex(&text(name))
}

/// Bytes from hexadecimal, in lines or in one.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let digit = |b: &u8| char::from(*b).to_digit(16).expect("hexadecimal") as u8;
    digits.chunks(2).map(|pair| digit(&pair[0]) << 4 | digit(pair.last().expect("one"))).collect()
}

/// Bytes as a fixture has them.
pub fn hex(bytes: &[u8]) -> String {
    let line = |part: &[u8]| part.iter().map(|b| format!("{b:02x}")).collect::<String>();
    bytes.chunks(32).map(line).collect::<Vec<_>>().join("\n")
}

/// The bytes are those of the fixture.
pub fn same_bytes(name: &str, found: &[u8]) {
    assert_eq!(hex(found), hex(&bytes(name)), "{name}: other bytes than were recorded");
}

/// The text is that of the fixture.
pub fn same_text(name: &str, found: &str) {
    assert_eq!(found, text(name), "{name}: another text than was recorded");
}
