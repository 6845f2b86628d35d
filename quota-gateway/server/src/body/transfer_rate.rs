//! When a peer that sends a body is too slow.
//!
//! A long body takes long, so a fixed timeout would be wrong; the sender must make progress instead: it has
//! [`MAX_GAP`] before the first byte and between two, and must keep up a minimum rate over all the time that was spent
//! waiting for it. Time in which the reader did not ask for more is not counted.

use std::time::{Duration, Instant};

/// The longest time before the first byte of a body and between two.
const MAX_GAP: Duration = Duration::from_millis(2500);
/// The minimum mean rate, after a grace period of [`MAX_GAP`]. Guards against senders that drip bytes.
const MIN_BYTES_PER_SECOND: f64 = 24.0 * 1024.0;

/// The progress of one sender.
#[derive(Clone, Copy)]
pub struct TransferRate {
    /// Time spent waiting, without the wait that goes on.
    waited: Duration,
    waiting_since: Option<Instant>,
    received_bytes: usize,
}

impl TransferRate {
    /// A transfer on which the reader waits from now on.
    pub fn waiting() -> TransferRate {
        TransferRate { waiting_since: Some(Instant::now()), ..TransferRate::idle() }
    }

    /// A transfer on which nobody waits yet.
    pub fn idle() -> TransferRate {
        TransferRate { waited: Duration::ZERO, waiting_since: None, received_bytes: 0 }
    }

    /// Records that the reader waits, if it does not already.
    pub fn on_wait(&mut self) {
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// Records bytes that have arrived; the reader does not wait for more yet.
    pub fn on_received(&mut self, bytes: usize) {
        self.waited += self.waiting_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.received_bytes += bytes;
    }

    /// Records bytes that have arrived; the reader waits for more.
    pub fn on_received_awaiting_more(&mut self, bytes: usize) {
        self.on_received(bytes);
        self.on_wait();
    }

    /// The instant at which the sender is too slow unless more arrives; `None` while the reader does not wait.
    pub fn deadline(&self) -> Option<Instant> {
        let since = self.waiting_since?;
        let earned = Duration::from_secs_f64(self.received_bytes as f64 / MIN_BYTES_PER_SECOND) + MAX_GAP;
        Some(since + MAX_GAP.min(earned.saturating_sub(self.waited)))
    }
}

#[cfg(test)]
mod tests;
