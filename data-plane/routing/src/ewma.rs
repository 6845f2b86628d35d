//! Exponentially weighted moving average (EWMA) of a level in continuous time.
//!
//! If the level was constant since the last update, the average moves towards it by the factor
//! `1 - exp(-t / T)`, for elapsed time `t` and time constant `T`. Updates need no fixed spacing, but
//! each must come *before* the level changes, because the elapsed interval is attributed to the
//! level that is passed in. Do not use it to average individual outcomes (see the failure rate in
//! [`crate::balance`]) or if a window with a sharp edge is needed.
//!
//! Trade-off: memory is constant and no timers are needed, but old values never vanish completely.

/// Time-weighted moving average. The caller keeps the clock and passes the elapsed time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ewma {
    average: f64,
}

impl Ewma {
    /// Returns the average of a level that was 0 until `elapsed` time constants ago and `level`
    /// since then.
    ///
    /// The result can differ in the last bit from [`Ewma::advance`] on a zero average. Callers
    /// depend on the exact value of the method that they use.
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
