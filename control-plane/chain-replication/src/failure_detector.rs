//! Failure detection down the chain: a member at which rounds keep failing is suspected after a timeout.
//!
//! The detector may be wrong, like any that relies on timeouts. A suspicion only leads to the proposal of a
//! view without the member; the member is excluded by agreement on that view, and not by the suspicion.

use std::net::SocketAddr;
use std::time::Duration;

/// A member at which rounds keep failing.
struct FailingMember {
    address: SocketAddr,
    since: Duration,
}

/// Tracks the member at which this member's rounds fail, if any.
#[derive(Default)]
pub(crate) struct FailureDetector {
    failing: Option<FailingMember>,
}

impl FailureDetector {
    /// Resets the detector after a round that went through, or after a change of the view.
    pub fn reset(&mut self) {
        self.failing = None;
    }

    /// Records that a round failed at a member. The time counts from the first of successive failures at the
    /// same member.
    pub fn on_failure(&mut self, address: SocketAddr, now: Duration) {
        if self.failing.as_ref().is_none_or(|failing| failing.address != address) {
            self.failing = Some(FailingMember { address, since: now });
        }
    }

    /// Returns the member that has been failing for `timeout` or longer.
    pub fn suspect(&self, now: Duration, timeout: Duration) -> Option<SocketAddr> {
        let failing = self.failing.as_ref()?;
        (now >= failing.since + timeout).then_some(failing.address)
    }
}
