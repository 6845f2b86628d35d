//! Detects senders that are too slow.
//!
//! The time for a body depends on its length, so there is no fixed timeout. Instead the sender must make
//! progress: it may take at most [`MAX_GAP`] before the first byte and between two bytes, and must reach a
//! minimum rate over the time that the reader spent waiting for it. Time in which the reader did not wait is
//! not counted.

use std::time::{Duration, Instant};

/// The longest time before the first byte of a body, and between two bytes.
const MAX_GAP: Duration = Duration::from_millis(2500);
/// The minimum mean rate, after a grace period of [`MAX_GAP`]. Guards against senders that send single bytes
/// at long intervals.
const MIN_BYTES_PER_SECOND: f64 = 24.0 * 1024.0;

/// The progress of one sender.
#[derive(Clone, Copy)]
pub struct TransferRate {
    /// The time spent waiting, without the current wait.
    waited: Duration,
    waiting_since: Option<Instant>,
    received_bytes: usize,
}

impl TransferRate {
    /// Creates the state of a transfer for which the reader is waiting.
    pub fn waiting() -> TransferRate {
        TransferRate { waiting_since: Some(Instant::now()), ..TransferRate::idle() }
    }

    /// Creates the state of a transfer for which the reader is not waiting yet.
    pub fn idle() -> TransferRate {
        TransferRate { waited: Duration::ZERO, waiting_since: None, received_bytes: 0 }
    }

    /// Records that the reader is waiting, if it was not already.
    pub fn on_wait(&mut self) {
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// Records received bytes. The reader is not waiting for more yet.
    pub fn on_received(&mut self, bytes: usize) {
        self.waited += self.waiting_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.received_bytes += bytes;
    }

    /// Records received bytes. The reader is waiting for more.
    pub fn on_received_awaiting_more(&mut self, bytes: usize) {
        self.on_received(bytes);
        self.on_wait();
    }

    /// The instant at which the sender is too slow unless more bytes arrive; `None` while the reader is not
    /// waiting.
    pub fn deadline(&self) -> Option<Instant> {
        let since = self.waiting_since?;
        let allowed = Duration::from_secs_f64(self.received_bytes as f64 / MIN_BYTES_PER_SECOND) + MAX_GAP;
        Some(since + MAX_GAP.min(allowed.saturating_sub(self.waited)))
    }
}

#[cfg(test)]
mod tests;
