//! The verdict on a recorded run: the findings and the figures, from one pass over its history.

use crate::checker::{Checker, Finding};
use crate::decisions::DecisionChecker;
use crate::error::{IncompleteHistory, RecordingError};
use crate::figures::{Figures, Summary};
use crate::harness::run::HISTORY;
use crate::history::Reader;
use crate::scenario::Scenario;
use std::collections::BTreeMap;
use std::path::Path;

/// CPU utilization of the harness' thread above which the delays of the harness itself affect the figures.
const MAX_HARNESS_LOAD: f64 = 0.8;

/// The verdict on a run.
pub struct Verdict {
    /// The findings, by invariant.
    pub findings: BTreeMap<&'static str, Finding>,
    /// The figures.
    pub summary: Summary,
    /// The scenario's expectations that were missed.
    pub missed: Vec<String>,
}

/// Checks the run in a folder. The figures are returned for reports with plots.
///
/// # Errors
///
/// See [`RecordingError`].
pub fn check_run(dir: &Path) -> Result<(Verdict, Figures), RecordingError> {
    let path = dir.join(HISTORY);
    let (mut checker, mut figures, mut decisions) =
        (Checker::default(), Figures::new(), DecisionChecker::default());
    let read = Reader::open(&path)?.each(|event| {
        checker.observe(&event);
        figures.take(&event);
        decisions.take(&event);
    });
    read.map_err(|damage| RecordingError::Damaged(path.clone(), damage))?;
    let incomplete = |error| RecordingError::Incomplete(path.clone(), error);
    let mut findings = checker.findings().map_err(incomplete)?;
    let (decision_findings, decision_figures) = decisions.findings();
    findings.extend(decision_findings);
    let text = figures.setup().map(|setup| setup.text.clone()).unwrap_or_default();
    let summary = figures
        .summary(&findings, &decision_figures)
        .ok_or_else(|| incomplete(IncompleteHistory::NoSetup))?;
    let scenario = Scenario::parse(&text).map_err(RecordingError::Scenario)?;
    let missed = missed(&scenario, &summary);
    Ok((Verdict { findings, summary, missed }, figures))
}

fn missed(scenario: &Scenario, summary: &Summary) -> Vec<String> {
    let Some(expect) = &scenario.expect else { return Vec::new() };
    let mut missed = Vec::new();
    if let Some(expected) = expect.served_share {
        let share = summary.served as f64 / summary.requests.max(1) as f64;
        if share < expected {
            missed.push(format!("expect.served_share: {share:.3} of {expected}"));
        }
    }
    if let Some(within) = expect.full_service_within_ms {
        if summary.time_to_full_service_ms.is_none_or(|took| took > within) {
            let took = summary.time_to_full_service_ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
            missed.push(format!("expect.full_service_within_ms: {took}, not {within}"));
        }
    }
    if let Some(max) = expect.max_lost.filter(|max| summary.lost > *max) {
        missed.push(format!("expect.lost_at_most: {} lost, not {max}", summary.lost));
    }
    missed
}

impl Verdict {
    /// Whether no invariant is violated, no expectation is missed, and no process has crashed.
    pub fn passed(&self) -> bool {
        self.summary.crashes == 0
            && self.missed.is_empty()
            && self.findings.values().all(|finding| finding.holds != Some(false))
    }

    /// Returns the verdict as text for the console.
    pub fn lines(&self) -> Vec<String> {
        let s = &self.summary;
        let or_never = |ms: Option<u64>| ms.map_or("never".to_owned(), |ms| format!("{ms} ms"));
        let rate = |rate: Option<f64>| rate.map_or("-".to_owned(), |rate| format!("{rate:.1}/s"));
        let mut lines = vec![
            format!(
                "{} requests: {} served, {} refused, {} failed, {} unknown, {} lost (seed {})",
                s.requests, s.served, s.refused, s.failed, s.unknown, s.lost, s.seed
            ),
            format!(
                "goodput {} before, {} after; full service again after {}",
                rate(s.goodput_before),
                rate(s.goodput_after),
                or_never(s.time_to_full_service_ms)
            ),
            format!(
                "in flight at a gateway hit by a fault: {}, of which lost: {}; unsafe requests without a response: {}, of which had run: {}",
                s.in_flight, s.in_flight_lost, s.unsafe_lost, s.unsafe_lost_ran
            ),
        ];
        if let (Some(same_zone), Some(late)) = (s.same_zone_share, s.late_decisions_refused) {
            lines.push(format!(
                "same-zone share {same_zone:.3}; failover after {}, return after {}; late decisions refused: {late}",
                or_never(s.time_to_failover_ms),
                or_never(s.time_to_return_ms)
            ));
        }
        if let Some(error) = s.share_error {
            lines.push(format!(
                "fair shares: deviation of {:.1}% of the capacity from the exact solution; within 5% after the shift of demand: {}",
                error * 100.0,
                or_never(s.time_to_fair_shares_ms)
            ));
        }
        if let (Some(moves), Some(late)) = (s.moves, s.late_writes_refused) {
            let downtime = s.max_move_downtime_ms.map_or("-".to_owned(), |ms| format!("{ms} ms"));
            lines.push(format!(
                "shards: {moves} migrations, longest downtime {downtime}, late writes refused: {late}"
            ));
        }
        for (name, finding) in &self.findings {
            let word = match finding.holds {
                Some(true) => "holds",
                Some(false) => "BROKEN",
                None => "does not apply",
            };
            let why =
                if finding.why.is_empty() { String::new() } else { format!(": {}", finding.why.join("; ")) };
            let cases = if finding.cases > 0 { format!(" ({} cases)", finding.cases) } else { String::new() };
            lines.push(format!("  {name}: {word}{cases}{why}"));
        }
        if s.crashes > 0 {
            lines.push(format!("BROKEN: {} processes exited unexpectedly", s.crashes));
        }
        if s.harness.max_busy_share > MAX_HARNESS_LOAD {
            lines.push(format!(
                "the harness itself was up to {:.0}% busy: use a lower rate, or its own delays affect the figures",
                s.harness.max_busy_share * 100.0
            ));
        }
        lines.extend(self.missed.iter().map(|missed| format!("MISSED: {missed}")));
        lines
    }
}
