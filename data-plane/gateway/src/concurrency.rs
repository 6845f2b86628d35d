//! How many requests there are at once, in the mean over the latest time.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// What was so long ago weighs less by a factor of e.
const MEMORY: Duration = Duration::from_millis(800);

/// A count and its mean.
pub struct Concurrency {
    count: Cell<usize>,
    mean: Cell<f64>,
    reckoned: Cell<Instant>,
}

impl Default for Concurrency {
    fn default() -> Concurrency {
        Concurrency { count: Cell::default(), mean: Cell::default(), reckoned: Cell::new(Instant::now()) }
    }
}

impl Concurrency {
    /// One more.
    pub fn enter(&self) {
        self.reckon();
        self.count.set(self.count.get() + 1);
    }

    /// One less.
    pub fn leave(&self) {
        self.reckon();
        self.count.set(self.count.get().saturating_sub(1));
    }

    /// The mean.
    pub fn recent_mean(&self) -> f64 {
        self.reckon();
        self.mean.get()
    }

    fn reckon(&self) {
        let now = Instant::now();
        let spans = now.duration_since(self.reckoned.replace(now)).as_secs_f64() / MEMORY.as_secs_f64();
        let count = self.count.get() as f64;
        self.mean.set(count + (self.mean.get() - count) * (-spans).exp());
    }
}
