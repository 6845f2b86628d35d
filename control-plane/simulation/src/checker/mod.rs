//! Checks the history of clients' requests and responses. It shares no code with the program under test.
//!
//! Each checker has its own part of the history and its own findings: [`ConfigurationChecker`] checks that
//! the configuration behaves like a single register, [`JobChecker`] checks batch jobs, and
//! [`ServerListChecker`] checks the server lists of gateways. A run ends at the first violation that any of
//! them reports.

mod change;
mod configuration;
mod findings;
mod jobs;
mod server_lists;

pub use change::{Change, ConfigurationChange, Routes};
pub use configuration::ConfigurationChecker;
pub use findings::Findings;
pub use jobs::JobChecker;
pub use server_lists::ServerListChecker;

use std::collections::BTreeMap;

/// The checkers of one run.
#[derive(Default)]
pub struct Checker {
    /// Checks the configuration.
    pub configuration: ConfigurationChecker,
    /// Checks the batch jobs.
    pub jobs: JobChecker,
    /// Checks the server lists.
    pub server_lists: ServerListChecker,
    /// Findings outside the three checkers, such as two views with the same number.
    general: Findings,
}

impl Checker {
    fn all_findings(&self) -> [&Findings; 4] {
        [&self.general, self.configuration.findings(), self.jobs.findings(), self.server_lists.findings()]
    }

    /// Returns the violations, grouped by checker.
    pub fn violations(&self) -> Vec<String> {
        self.all_findings().into_iter().flat_map(Findings::violations).cloned().collect()
    }

    /// Returns whether a violation was found.
    pub fn has_violation(&self) -> bool {
        self.all_findings().into_iter().any(|findings| !findings.violations().is_empty())
    }

    /// Records a violation outside the three checkers.
    pub fn report(&mut self, violation: String) {
        self.general.report(violation);
    }

    /// Returns the number of observed events by kind.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.all_findings().into_iter().flat_map(Findings::counts).collect()
    }

    /// Returns the number of observed events of a kind.
    pub fn count_of(&self, kind: &str) -> u64 {
        self.all_findings().into_iter().map(|findings| findings.count_of(kind)).sum()
    }
}
