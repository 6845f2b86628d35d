//! Checks that the configuration behaves like a single register.
//!
//! Generations only increase, so the newer of two configurations is the one with the higher generation. A
//! read that is sent after an acknowledgement must return that generation or a higher one, and no client may
//! see a configuration that was rejected or never sent.
//!
//! A pull that is sent after any gateway has pulled a generation must not leave its gateway with a lower one,
//! also if that generation was never acknowledged: a gateway decides by it whether a route that another
//! gateway has accepted a job on still exists.

use super::change::{configuration, Change, ConfigurationChange, Routes};
use super::findings::Findings;
use std::collections::BTreeMap;
use std::time::Duration;

/// A generation that a client has seen.
#[derive(Clone, Copy, Debug)]
struct Observation {
    completed_at: Duration,
    generation: u64,
}

/// The increases of the highest generation that any of several clients has seen, in the order of time.
#[derive(Default)]
struct HighestObservations(Vec<Observation>);

impl HighestObservations {
    /// Returns the highest generation that had been seen at or before `by`.
    fn highest_by(&self, by: Duration) -> Option<Observation> {
        self.0.iter().rev().find(|observation| observation.completed_at <= by).copied()
    }

    /// Records that a client has seen a generation. The times of calls do not decrease.
    fn record(&mut self, completed_at: Duration, generation: u64) {
        if self.0.last().is_none_or(|highest| generation > highest.generation) {
            self.0.push(Observation { completed_at, generation });
        }
    }
}

/// The history of the configuration.
#[derive(Default)]
pub struct ConfigurationChecker {
    findings: Findings,
    /// By number, in the order in which operators recorded them.
    changes: Vec<ConfigurationChange>,
    reads: HighestObservations,
    /// Generation of each gateway's configuration, by gateway number.
    gateways: BTreeMap<usize, u64>,
    pulls: HighestObservations,
}

impl ConfigurationChecker {
    /// Returns the findings of this checker.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Records a change that an operator is about to send, and returns its number.
    pub fn record_change(&mut self, base: u64, generation: u64, change: &Change) -> usize {
        let is_update = !matches!(change, Change::Replace(_));
        let possible_routes = if is_update {
            self.possible_routes_on(base, change)
        } else {
            vec![change.applied_to(&Routes::new())]
        };
        let body = change.body(generation);
        self.changes.push(ConfigurationChange {
            base,
            generation,
            body,
            is_update,
            possible_routes,
            acknowledged_at: None,
            rejected: false,
        });
        self.changes.len() - 1
    }

    /// Returns the routes that may result from a change: one entry for each configuration that may be in
    /// force at generation `base`.
    fn possible_routes_on(&self, base: u64, change: &Change) -> Vec<Routes> {
        let bases = self.changes.iter().filter(|sent| sent.generation == base && !sent.rejected);
        let mut possible_routes: Vec<Routes> =
            bases.flat_map(|sent| &sent.possible_routes).map(|before| change.applied_to(before)).collect();
        possible_routes.sort();
        possible_routes.dedup();
        possible_routes
    }

    /// Returns a change by its number.
    ///
    /// # Panics
    ///
    /// Panics if no change has this number.
    pub fn change(&self, number: usize) -> &ConfigurationChange {
        &self.changes[number]
    }

    /// Returns the numbers of the acknowledged changes.
    pub fn acknowledged_changes(&self) -> Vec<usize> {
        (0..self.changes.len()).filter(|number| self.changes[*number].acknowledged_at.is_some()).collect()
    }

    /// Returns the newest generation that was acknowledged at or before `by`, or 0 if there is none.
    pub fn newest_acknowledged(&self, by: Duration) -> u64 {
        let acknowledged = |change: &&ConfigurationChange| change.acknowledged_at.is_some_and(|at| at <= by);
        self.changes.iter().filter(acknowledged).map(|change| change.generation).max().unwrap_or(0)
    }

    /// Handles the HTTP status of the reply to a change: 200 acknowledges it, 4xx rejects it, and after any
    /// other status its outcome is unknown.
    pub fn on_change_reply(&mut self, now: Duration, number: usize, status: u16) {
        let change = self.changes[number].clone();
        match status {
            200 => {
                self.findings.count("acknowledged");
                if change.rejected {
                    self.findings.report(format!("acknowledged after a rejection: {change:?}"));
                }
                let conflicts = |other: &ConfigurationChange| {
                    let same_generation = other.generation == change.generation || other.base == change.base;
                    other.acknowledged_at.is_some() && same_generation && other.body != change.body
                };
                if let Some(other) = self.changes.iter().find(|other| conflicts(other)) {
                    self.findings.report(format!(
                        "two conflicting changes are acknowledged: {change:?} and {other:?}"
                    ));
                }
                self.changes[number].acknowledged_at.get_or_insert(now);
            }
            400..=499 => {
                self.findings.count("refused");
                if change.acknowledged_at.is_some() {
                    self.findings
                        .report(format!("rejected with {status} after it was acknowledged: {change:?}"));
                }
                self.changes[number].rejected = true;
            }
            _ => self.findings.count("unclear"),
        }
    }

    /// Returns the generation of the change that results in a body. Reports a violation and returns `None` if
    /// no change that was sent results in it, or only rejected ones do.
    fn check_in_force(&mut self, body: &str, event: &str) -> Option<u64> {
        let results_in_body = |change: &&ConfigurationChange| {
            change.possible_routes.iter().any(|routes| configuration(change.generation, routes) == body)
        };
        // Several changes may result in the same configuration.
        let candidates: Vec<&ConfigurationChange> = self.changes.iter().filter(results_in_body).collect();
        let change =
            candidates.iter().find(|change| !change.rejected).or(candidates.first()).copied().cloned();
        match change {
            None => {
                self.findings.report(format!("{event}: no change that was sent results in {body}"));
                None
            }
            Some(change) if change.rejected => {
                self.findings.report(format!("{event}: a rejected change is in force: {change:?}"));
                None
            }
            Some(change) => Some(change.generation),
        }
    }

    /// Handles a read that was sent at `sent_at` and returned `body` at `now`.
    pub fn on_read(&mut self, sent_at: Duration, now: Duration, body: &str) {
        self.findings.count("read");
        let Some(generation) = self.check_in_force(body, "read") else { return };
        let newest = self.newest_acknowledged(sent_at);
        if generation < newest {
            self.findings.report(format!(
                "read of generation {generation}, sent at {sent_at:?} after {newest} was acknowledged"
            ));
        }
        let seen = self.reads.highest_by(sent_at);
        if let Some(seen) = seen.filter(|seen| generation < seen.generation) {
            self.findings.report(format!(
                "read of generation {generation} after an earlier read of {}",
                seen.generation
            ));
        }
        self.reads.record(now, generation);
    }

    /// Handles a fresh reply at `now` to a gateway's pull, after which `body` is the gateway's configuration.
    pub fn on_pulled(&mut self, gateway: usize, sent_at: Duration, now: Duration, body: Option<&str>) {
        self.findings.count("pulled");
        let generation = match body {
            Some(body) => self.check_in_force(body, "pulled").unwrap_or(u64::MAX),
            None => 0,
        };
        let newest = self.newest_acknowledged(sent_at);
        if generation < newest {
            self.findings.report(format!(
                "pull of generation {generation}, sent at {sent_at:?} after {newest} was acknowledged"
            ));
        }
        let seen = self.pulls.highest_by(sent_at);
        if let Some(seen) = seen.filter(|seen| generation < seen.generation) {
            self.findings.report(format!(
                "gateway {gateway} has generation {generation} by a pull sent at {sent_at:?}, after {seen:?}"
            ));
        }
        let before = self.gateways.insert(gateway, generation).unwrap_or(0);
        if generation < before {
            self.findings
                .report(format!("gateway {gateway} went back from generation {before} to {generation}"));
        }
        self.pulls.record(now, generation);
    }
}
