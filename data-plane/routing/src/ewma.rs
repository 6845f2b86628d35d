//! An exponentially weighted moving average (EWMA) of a level in continuous time.
//!
//! For a level that was constant since the last update, the average moves towards it by the factor `1 - exp(-t / T)`, for
//! elapsed time `t` and time constant `T`. Updates need no fixed spacing, but each must come *before* the level changes:
//! the elapsed interval is accounted to the level that is passed in. It is the wrong tool where single outcomes rather than
//! a level are averaged (see the failure rate in [`crate::balance`]), or where a sharp window is wanted.
//!
//! Trade-off: constant memory and no timers, against a tail that never quite forgets.

/// A time-weighted moving average. The caller keeps the clock and passes the elapsed time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ewma {
    average: f64,
}

impl Ewma {
    /// Returns the average of a level that was 0 until `elapsed` time constants ago and `level` since.
    ///
    /// This is not the same in the last bit as [`Ewma::advance`] on a zero average; callers rely on either.
    pub fn rising_from_zero(level: f64, elapsed: f64) -> Ewma {
        Ewma { average: level * (1.0 - (-elapsed).exp()) }
    }

    /// Accounts for `elapsed` time constants during which the level was `level`.
    ///
    /// ```
    /// let mut average = marblecroft_routing::ewma::Ewma::default();
    /// average.advance(8.0, 1.0);
    /// assert!((average.average() - 8.0 * (1.0 - (-1.0f64).exp())).abs() < 1e-12);
    /// ```
    pub fn advance(&mut self, level: f64, elapsed: f64) {
        self.average = level + (self.average - level) * (-elapsed).exp();
    }

    /// Returns the average as of the last update.
    pub fn average(&self) -> f64 {
        self.average
    }
}
