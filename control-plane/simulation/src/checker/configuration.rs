//! Checks that the configuration behaves as one register.
//!
//! Generations only rise, so the newer of two configurations is the one of the higher generation: a reader that asks after an
//! acknowledgement must see that generation or a higher one, and nobody sees a configuration that was rejected or never sent.

use super::change::{configuration, Change, ConfigurationChange, Routes};
use super::findings::Findings;
use std::collections::BTreeMap;
use std::time::Duration;

/// A read that showed a configuration.
#[derive(Clone, Copy, Debug)]
struct Read {
    answered_at: Duration,
    generation: u64,
}

/// The history of the configuration.
#[derive(Default)]
pub struct ConfigurationChecker {
    findings: Findings,
    /// By number, in the order in which operators decided on them.
    changes: Vec<ConfigurationChange>,
    reads: Vec<Read>,
    /// The generation that each gateway has.
    gateways: BTreeMap<usize, u64>,
}

impl ConfigurationChecker {
    /// Returns what this checker has found.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Records that an operator is about to send a change, and returns the change's number.
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

    /// Returns what a change may result in, for each configuration that may have been in force under generation `base`.
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
    /// If no change has this number.
    pub fn change(&self, number: usize) -> &ConfigurationChange {
        &self.changes[number]
    }

    /// Returns the numbers of the changes that were acknowledged.
    pub fn acknowledged_changes(&self) -> Vec<usize> {
        (0..self.changes.len()).filter(|number| self.changes[*number].acknowledged_at.is_some()).collect()
    }

    /// Returns the newest generation that was acknowledged by an instant, 0 if none was.
    pub fn newest_acknowledged(&self, by: Duration) -> u64 {
        let acknowledged = |change: &&ConfigurationChange| change.acknowledged_at.is_some_and(|at| at <= by);
        self.changes.iter().filter(acknowledged).map(|change| change.generation).max().unwrap_or(0)
    }

    /// Handles the HTTP status of the reply to a change: acknowledged, rejected, or else unknown.
    pub fn on_change_reply(&mut self, now: Duration, number: usize, status: u16) {
        let known = self.changes[number].clone();
        match status {
            200 => {
                self.findings.count("acknowledged");
                if known.rejected {
                    self.findings.report(format!("acknowledged after a rejection: {known:?}"));
                }
                let conflicts = |other: &ConfigurationChange| {
                    let same_generation = other.generation == known.generation || other.base == known.base;
                    other.acknowledged_at.is_some() && same_generation && other.body != known.body
                };
                if let Some(other) = self.changes.iter().find(|other| conflicts(other)) {
                    self.findings.report(format!("two are acknowledged: {known:?} and {other:?}"));
                }
                self.changes[number].acknowledged_at.get_or_insert(now);
            }
            400..=499 => {
                self.findings.count("refused");
                if known.acknowledged_at.is_some() {
                    self.findings
                        .report(format!("rejected with {status} after it was acknowledged: {known:?}"));
                }
                self.changes[number].rejected = true;
            }
            _ => self.findings.count("unclear"),
        }
    }

    /// Reports a body that no accepted change results in; returns the generation of one that does.
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
                self.findings.report(format!("{event}: nobody has sent {body}"));
                None
            }
            Some(change) if change.rejected => {
                self.findings.report(format!("{event}: in force though rejected: {change:?}"));
                None
            }
            Some(change) => Some(change.generation),
        }
    }

    /// Handles a read that was sent at `sent_at` and answered with `body` at `now`.
    pub fn on_read(&mut self, sent_at: Duration, now: Duration, body: &str) {
        self.findings.count("read");
        let Some(generation) = self.check_in_force(body, "read") else { return };
        let newest = self.newest_acknowledged(sent_at);
        if generation < newest {
            self.findings
                .report(format!("read {generation}, sent at {sent_at:?} when {newest} was acknowledged"));
        }
        let seen = self
            .reads
            .iter()
            .filter(|read| read.answered_at <= sent_at)
            .map(|read| read.generation)
            .max()
            .unwrap_or(0);
        if generation < seen {
            self.findings.report(format!("read {generation} after {seen} was read"));
        }
        self.reads.push(Read { answered_at: now, generation });
    }

    /// Handles a fresh answer to a gateway's pull; the gateway has the configuration `body` from now on.
    pub fn on_pulled(&mut self, gateway: usize, sent_at: Duration, body: Option<&str>) {
        self.findings.count("pulled");
        let generation = match body {
            Some(body) => self.check_in_force(body, "pulled").unwrap_or(u64::MAX),
            None => 0,
        };
        let newest = self.newest_acknowledged(sent_at);
        if generation < newest {
            self.findings
                .report(format!("pulled {generation}, sent at {sent_at:?} when {newest} was acknowledged"));
        }
        let before = self.gateways.insert(gateway, generation).unwrap_or(0);
        if generation < before {
            self.findings.report(format!("gateway {gateway} goes back from {before} to {generation}"));
        }
    }
}
