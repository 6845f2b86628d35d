//! Failure detection down the chain: a member whose rounds keep failing is suspected after a time.
//!
//! The detector may be wrong, as any that relies on timeouts. A suspicion only leads to the proposal of a view without the
//! member; agreement on that view, not the suspicion, excludes it.

use std::net::SocketAddr;
use std::time::Duration;

/// A member at which rounds fail.
struct FailingMember {
    address: SocketAddr,
    since: Duration,
}

/// The member at which this member's rounds fail, if they do.
#[derive(Default)]
pub(crate) struct FailureDetector {
    failing: Option<FailingMember>,
}

impl FailureDetector {
    /// A round went through, or the view has changed.
    pub fn reset(&mut self) {
        self.failing = None;
    }

    /// A round failed at a member. The time counts from the first of successive failures at the same member.
    pub fn on_failure(&mut self, address: SocketAddr, now: Duration) {
        if self.failing.as_ref().is_none_or(|failing| failing.address != address) {
            self.failing = Some(FailingMember { address, since: now });
        }
    }

    /// The member that has been failing for `timeout` or longer.
    pub fn suspect(&self, now: Duration, timeout: Duration) -> Option<SocketAddr> {
        let failing = self.failing.as_ref()?;
        (now >= failing.since + timeout).then_some(failing.address)
    }
}
