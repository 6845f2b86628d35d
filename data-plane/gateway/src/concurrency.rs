//! How many requests there are at once, in the mean over the latest time.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// What was so long ago weighs less by a factor of e.
const TIME_CONSTANT: Duration = Duration::from_millis(800);

/// A count and its mean.
pub struct MeanConcurrency {
    count: Cell<usize>,
    mean: Cell<f64>,
    updated_at: Cell<Instant>,
}

impl Default for MeanConcurrency {
    fn default() -> MeanConcurrency {
        MeanConcurrency {
            count: Cell::default(),
            mean: Cell::default(),
            updated_at: Cell::new(Instant::now()),
        }
    }
}

impl MeanConcurrency {
    /// One more.
    pub fn enter(&self) {
        self.update();
        self.count.set(self.count.get() + 1);
    }

    /// One less.
    pub fn leave(&self) {
        self.update();
        self.count.set(self.count.get().saturating_sub(1));
    }

    /// The mean.
    pub fn recent_mean(&self) -> f64 {
        self.update();
        self.mean.get()
    }

    fn update(&self) {
        let now = Instant::now();
        let spans =
            now.duration_since(self.updated_at.replace(now)).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        let count = self.count.get() as f64;
        self.mean.set(count + (self.mean.get() - count) * (-spans).exp());
    }
}
