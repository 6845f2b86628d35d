//! Moving average of this gateway's concurrent live requests at servers, which is reported to the
//! stores.

use marblecroft_routing::ewma::Ewma;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time constant of the average.
const TIME_CONSTANT: Duration = Duration::from_millis(800);

/// Number of concurrent requests and its moving average.
pub struct MeanConcurrency {
    count: Cell<usize>,
    average: Cell<Ewma>,
    updated_at: Cell<Instant>,
}

impl Default for MeanConcurrency {
    fn default() -> MeanConcurrency {
        MeanConcurrency {
            count: Cell::default(),
            average: Cell::default(),
            updated_at: Cell::new(Instant::now()),
        }
    }
}

impl MeanConcurrency {
    /// Adds one request to the count.
    pub fn increment(&self) {
        self.advance();
        self.count.set(self.count.get() + 1);
    }

    /// Removes one request from the count.
    pub fn decrement(&self) {
        self.advance();
        self.count.set(self.count.get().saturating_sub(1));
    }

    /// Returns the average as of now.
    pub fn recent_mean(&self) -> f64 {
        self.advance();
        self.average.get().average()
    }

    /// Advances the average over the time since the last update, during which the count was
    /// constant.
    fn advance(&self) {
        let now = Instant::now();
        let elapsed =
            now.duration_since(self.updated_at.replace(now)).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        let mut average = self.average.get();
        average.advance(self.count.get() as f64, elapsed);
        self.average.set(average);
    }
}
