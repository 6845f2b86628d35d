//! Comparison with recorded bytes, shared by the crates' `tests/golden.rs`.
//!
//! A fixture is a file in the `tests/golden/` folder of the crate that includes this module. Binary data is
//! stored as lowercase hexadecimal in lines of 32 bytes, and JSON as plain text. This module never writes a
//! fixture: when a format changes on purpose, its fixture is replaced by hand together with the change of the
//! format's version.
#![allow(dead_code)] // not every test file uses all of the helpers

use std::fs;

/// Returns the text of a fixture without its trailing newline.
pub fn text(name: &str) -> String {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).unwrap_or_else(|e| panic!("{name}: {e}"));
    text.strip_suffix('\n').unwrap_or(&text).to_owned()
}

/// Returns the bytes of a fixture that is stored in hexadecimal.
pub fn bytes(name: &str) -> Vec<u8> {
    from_hex(&text(name))
}

/// Decodes hexadecimal, ignoring whitespace.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let digit = |b: &u8| char::from(*b).to_digit(16).expect("hexadecimal digits") as u8;
    digits
        .chunks(2)
        .map(|pair| digit(&pair[0]) << 4 | digit(pair.last().expect("chunks are not empty")))
        .collect()
}

/// Encodes bytes as hexadecimal in lines of 32 bytes, the format of fixtures.
pub fn hex(bytes: &[u8]) -> String {
    let line = |part: &[u8]| part.iter().map(|b| format!("{b:02x}")).collect::<String>();
    bytes.chunks(32).map(line).collect::<Vec<_>>().join("\n")
}

/// Checks that bytes equal those of a fixture.
pub fn same_bytes(name: &str, found: &[u8]) {
    assert_eq!(hex(found), hex(&bytes(name)), "{name}: the bytes differ from the fixture");
}

/// Checks that a text equals that of a fixture.
pub fn same_text(name: &str, found: &str) {
    assert_eq!(found, text(name), "{name}: the text differs from the fixture");
}
