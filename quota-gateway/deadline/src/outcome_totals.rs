//! Metrics of how requests used their time budgets, by class, stage and outcome.
//!
//! All label values are fixed at the start, so the number of time series is fixed as well.

use crate::{Budget, Stage};
use marblecroft_quota_gateway_core::Time;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder,
};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The client received all of a server's response.
    Answered,
    /// Rejected or failed before anything was written to a server: there was not enough quota, capacity or
    /// time left.
    BeforeSend,
    /// Rejected or failed after at least one attempt.
    InAttempt,
    /// The client disconnected before it received the complete response.
    ClientDisconnected,
}

impl Outcome {
    /// All outcomes, in the order of their numbers.
    const ALL: [Outcome; 4] =
        [Outcome::Answered, Outcome::BeforeSend, Outcome::InAttempt, Outcome::ClientDisconnected];

    /// The value of the metric label `end`.
    fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::BeforeSend => "given_up_before_send",
            Outcome::InAttempt => "given_up_in_attempt",
            Outcome::ClientDisconnected => "client_gone",
        }
    }
}

/// Upper bounds of the histogram buckets, in seconds. The lowest is the delay that a busy core adds; the
/// highest exceeds the longest deadline and [`STALL_TIMEOUT`](crate::STALL_TIMEOUT).
const BUCKET_BOUNDS_SECS: [f64; 10] = [0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// The series of one class of requests.
struct ClassMetrics {
    stages: [Histogram; Stage::ALL.len()],
    remaining: Histogram,
    outcomes: [IntCounter; Outcome::ALL.len()],
    first_attempts: IntCounter,
    retries: IntCounter,
    withheld: IntCounter,
}

/// Totals for each class of requests.
pub struct OutcomeTotals {
    registry: Registry,
    classes: Vec<ClassMetrics>,
    retry_budget: Gauge,
    /// Gauges of other parts of the gateway, by name; registered when they are first set.
    gauges: RefCell<BTreeMap<&'static str, Gauge>>,
}

/// Registers a histogram family.
fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<HistogramVec> {
    let histograms =
        HistogramVec::new(HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_SECS.to_vec()), labels)?;
    registry.register(Box::new(histograms.clone()))?;
    Ok(histograms)
}

/// Registers a counter family.
fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

impl OutcomeTotals {
    /// Registers the metrics for the classes of these names, in the order of their numbers.
    ///
    /// # Errors
    /// Fails if the registry rejects a metric, for example because two classes have the same name.
    pub fn new(classes: &[String]) -> prometheus::Result<OutcomeTotals> {
        let registry = Registry::new();
        let stages = histograms(
            &registry,
            "marblecroft_request_stage_seconds",
            "Time that a request spent in each stage that it was in.",
            &["class", "stage"],
        )?;
        let remaining = histograms(
            &registry,
            "marblecroft_request_left_seconds",
            "What was left of the client's time when the answer was decided.",
            &["class"],
        )?;
        let outcomes = counters(
            &registry,
            "marblecroft_requests_total",
            "Requests that are over, by how.",
            &["class", "end"],
        )?;
        let attempts = counters(
            &registry,
            "marblecroft_attempts_total",
            "Requests written to servers.",
            &["class", "attempt"],
        )?;
        let withheld = counters(
            &registry,
            "marblecroft_attempts_withheld_total",
            "Attempts that were not written, as nothing was left for them.",
            &["class"],
        )?;
        let retry_budget =
            Gauge::new("marblecroft_retry_budget", "Further attempts that may be sent at once.")?;
        registry.register(Box::new(retry_budget.clone()))?;
        let class_metrics = |name: &String| ClassMetrics {
            stages: Stage::ALL.map(|stage| stages.with_label_values(&[name, stage.name()])),
            remaining: remaining.with_label_values(&[name]),
            outcomes: Outcome::ALL.map(|outcome| outcomes.with_label_values(&[name, outcome.name()])),
            first_attempts: attempts.with_label_values(&[name, "first"]),
            retries: attempts.with_label_values(&[name, "further"]),
            withheld: withheld.with_label_values(&[name]),
        };
        let classes = classes.iter().map(class_metrics).collect();
        Ok(OutcomeTotals { registry, classes, retry_budget, gauges: RefCell::default() })
    }

    /// Counts a first attempt or a retry of a request of this class. This method and those below ignore an
    /// unknown class.
    pub fn record_attempt(&self, class: usize, is_first: bool) {
        if let Some(class) = self.classes.get(class) {
            if is_first { &class.first_attempts } else { &class.retries }.inc();
        }
    }

    /// Counts an attempt that was not written because no time remained.
    pub fn record_withheld(&self, class: usize) {
        if let Some(class) = self.classes.get(class) {
            class.withheld.inc();
        }
    }

    /// Observes the time that remained when the response was decided.
    pub fn record_decided(&self, class: usize, budget: &Budget, now: Time) {
        if let (Some(class), Some(remaining)) = (self.classes.get(class), budget.remaining(now)) {
            class.remaining.observe(remaining.as_secs_f64());
        }
    }

    /// Counts a finished request, and observes the time that it spent in each stage.
    pub fn record_outcome(&self, class: usize, budget: &Budget, now: Time, outcome: Outcome) {
        let Some(class) = self.classes.get(class) else { return };
        class.outcomes[outcome as usize].inc();
        for (stage, elapsed) in budget.spent(now).stages() {
            class.stages[stage as usize].observe(elapsed.as_secs_f64());
        }
    }

    /// Sets a gauge of another part of the gateway, and registers it on first use.
    ///
    /// # Errors
    /// Fails if the registry rejects the name.
    pub fn set_gauge(&self, name: &'static str, help: &str, value: f64) -> prometheus::Result<()> {
        let mut gauges = self.gauges.borrow_mut();
        if let Some(gauge) = gauges.get(name) {
            gauge.set(value);
            return Ok(());
        }
        let gauge = Gauge::new(name, help)?;
        gauge.set(value);
        self.registry.register(Box::new(gauge.clone()))?;
        gauges.insert(name, gauge);
        Ok(())
    }

    /// Sets the retry budget gauge, and encodes all metrics in the Prometheus text format. Returns the text
    /// and its content type.
    ///
    /// # Errors
    /// Fails if a metric cannot be encoded.
    pub fn exposition(&self, retry_budget: f64) -> prometheus::Result<(Vec<u8>, String)> {
        self.retry_budget.set(retry_budget);
        let (encoder, mut text) = (TextEncoder::new(), Vec::new());
        encoder.encode(&self.registry.gather(), &mut text)?;
        Ok((text, encoder.format_type().to_owned()))
    }
}

#[cfg(test)]
mod tests;
