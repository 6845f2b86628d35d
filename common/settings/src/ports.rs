//! Ranges of ports.

/// A range of ports. Neither port is 0, and the last is not below the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port; the range includes it.
    pub last: u16,
}
