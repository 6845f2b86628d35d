//! What became of all budgets, for the operators.

use crate::{Budget, Stage};
use marblecroft_quota_gateway_core::Time;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
    TextEncoder,
};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// How a budget ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a server's answer, all of which the client took.
    Answered,
    /// Refused or failed with nothing written to any server: for want of quota, of room or of time.
    BeforeSend,
    /// Refused or failed after at least one attempt.
    InAttempt,
    /// The client left before it had its answer.
    ClientGone,
}

impl End {
    const ALL: [End; 4] = [End::Answered, End::BeforeSend, End::InAttempt, End::ClientGone];

    fn name(self) -> &'static str {
        match self {
            End::Answered => "answered",
            End::BeforeSend => "given_up_before_send",
            End::InAttempt => "given_up_in_attempt",
            End::ClientGone => "client_gone",
        }
    }
}

/// Upper bounds of the classes into which times are counted, in seconds: from what a busy core adds to the longest
/// deadline and the longest that is waited for a client that reads nothing.
const BOUNDS: [f64; 10] = [0.001, 0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

struct Class {
    stages: [Histogram; Stage::ALL.len()],
    left: Histogram,
    ends: [IntCounter; End::ALL.len()],
    first: IntCounter,
    further: IntCounter,
    withheld: IntCounter,
}

/// Totals for each class of requests. What they are labelled with is fixed at the start, so that their number is.
pub struct OutcomeTotals {
    registry: Registry,
    classes: Vec<Class>,
    retry_budget: Gauge,
    /// Figures of others, by name; made when they are first told.
    shown: RefCell<BTreeMap<&'static str, Gauge>>,
}

fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<HistogramVec> {
    let histograms = HistogramVec::new(HistogramOpts::new(name, help).buckets(BOUNDS.to_vec()), labels)?;
    registry.register(Box::new(histograms.clone()))?;
    Ok(histograms)
}

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
    /// For the classes of these names, in the order of their numbers.
    pub fn new(classes: &[String]) -> prometheus::Result<OutcomeTotals> {
        let registry = Registry::new();
        let stages = histograms(
            &registry,
            "marblecroft_request_stage_seconds",
            "Time that a request spent in each stage that it was in.",
            &["class", "stage"],
        )?;
        let left = histograms(
            &registry,
            "marblecroft_request_left_seconds",
            "What was left of the client's time when the answer was decided.",
            &["class"],
        )?;
        let ends = counters(
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
        let class = |name: &String| Class {
            stages: Stage::ALL.map(|stage| stages.with_label_values(&[name, stage.name()])),
            left: left.with_label_values(&[name]),
            ends: End::ALL.map(|end| ends.with_label_values(&[name, end.name()])),
            first: attempts.with_label_values(&[name, "first"]),
            further: attempts.with_label_values(&[name, "further"]),
            withheld: withheld.with_label_values(&[name]),
        };
        let classes = classes.iter().map(class).collect();
        Ok(OutcomeTotals { registry, classes, retry_budget, shown: RefCell::default() })
    }

    /// A request of this class was written to a server, for the first time or once more.
    pub fn sent(&self, class: usize, first: bool) {
        if let Some(class) = self.classes.get(class) {
            if first { &class.first } else { &class.further }.inc();
        }
    }

    /// One was not written, as nothing was left.
    pub fn withheld(&self, class: usize) {
        if let Some(class) = self.classes.get(class) {
            class.withheld.inc();
        }
    }

    /// Its answer was decided.
    pub fn decided(&self, class: usize, budget: &Budget, now: Time) {
        if let (Some(class), Some(left)) = (self.classes.get(class), budget.remaining(now)) {
            class.left.observe(left.as_secs_f64());
        }
    }

    /// It is over.
    pub fn ended(&self, class: usize, budget: &Budget, now: Time, end: End) {
        let Some(class) = self.classes.get(class) else { return };
        class.ends[end as usize].inc();
        for (stage, took) in budget.spent(now).stages() {
            class.stages[stage as usize].observe(took.as_secs_f64());
        }
    }

    /// A figure that somebody beside the budgets has, as it is now.
    pub fn show(&self, name: &'static str, help: &str, value: f64) -> prometheus::Result<()> {
        let mut shown = self.shown.borrow_mut();
        if let Some(gauge) = shown.get(name) {
            gauge.set(value);
            return Ok(());
        }
        let gauge = Gauge::new(name, help)?;
        gauge.set(value);
        self.registry.register(Box::new(gauge.clone()))?;
        shown.insert(name, gauge);
        Ok(())
    }

    /// All of it in the text format of Prometheus, and that format's content type; and what is in the retry budget now.
    pub fn exposition(&self, retry_budget: f64) -> prometheus::Result<(Vec<u8>, String)> {
        self.retry_budget.set(retry_budget);
        let (encoder, mut text) = (TextEncoder::new(), Vec::new());
        encoder.encode(&self.registry.gather(), &mut text)?;
        Ok((text, encoder.format_type().to_owned()))
    }
}

#[cfg(test)]
mod tests;
