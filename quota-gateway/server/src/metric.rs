//! A gauge that a part of the gateway reports on the console.

/// The current value of a gauge.
pub struct Metric {
    /// The metric's name.
    pub name: &'static str,
    /// The help text of the Prometheus text format.
    pub help: &'static str,
    /// The current value.
    pub value: f64,
}
