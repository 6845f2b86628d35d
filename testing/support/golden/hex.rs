//! Hexadecimal encoding of bytes on one line, as used by golden fixtures.

/// Encodes bytes as lowercase hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal.
///
/// # Panics
///
/// Panics if the text is not an even number of hexadecimal digits.
pub fn decode_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}
