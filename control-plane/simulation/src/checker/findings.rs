//! The findings of a checker: violations, and the number of observed events by kind.

use std::collections::BTreeMap;

/// The violations and the event counts of one checker.
#[derive(Debug, Default)]
pub struct Findings {
    violations: Vec<String>,
    counts: BTreeMap<&'static str, u64>,
}

impl Findings {
    /// Records a violation.
    pub fn report(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Counts an event of a kind.
    pub fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Returns the violations in the order in which they were found.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns each kind of event with the number of its events.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.counts.iter().map(|(kind, count)| (*kind, *count))
    }

    /// Returns the number of events of a kind.
    pub fn count_of(&self, kind: &str) -> u64 {
        self.counts.get(kind).copied().unwrap_or(0)
    }
}
