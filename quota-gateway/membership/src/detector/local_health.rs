//! Lifeguard's local health multiplier: a member that misses messages itself probes others with longer
//! timeouts.

/// The maximum score (Lifeguard: S).
const MAX_SCORE: u32 = 8;

/// The local health score: 0 is healthy, and each event that suggests that this process is slow raises it.
#[derive(Default)]
pub(super) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Returns the score, from 0 to [`MAX_SCORE`].
    pub(super) fn score(&self) -> u32 {
        self.score
    }

    /// Returns the factor by which the protocol period and the probe timeout are lengthened.
    pub(super) fn multiplier(&self) -> f64 {
        f64::from(self.score + 1)
    }

    /// Raises the score by the number of events that suggest that this process is slow.
    pub(super) fn worsen(&mut self, events: u32) {
        self.score = (self.score + events).min(MAX_SCORE);
    }

    /// Lowers the score after a successful probe.
    pub(super) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Sets the score to the maximum, after a pause of this process.
    pub(super) fn saturate(&mut self) {
        self.score = MAX_SCORE;
    }
}
