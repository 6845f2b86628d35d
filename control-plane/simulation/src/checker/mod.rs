//! Checks the history of what clients sent and what they were answered. It shares no code with the program under test.
//!
//! Each checker holds its part of the history and its own findings: [`ConfigurationChecker`] the configuration as one
//! register, [`JobChecker`] the batch jobs, [`ServerListChecker`] the server lists that gateways take. A run ends at the
//! first violation that any of them reports.

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
    /// What is found outside the three, such as two views of one number.
    general: Findings,
}

impl Checker {
    fn all_findings(&self) -> [&Findings; 4] {
        [&self.general, self.configuration.findings(), self.jobs.findings(), self.server_lists.findings()]
    }

    /// Returns the violations that were found, each as a sentence.
    pub fn violations(&self) -> Vec<String> {
        self.all_findings().into_iter().flat_map(Findings::violations).cloned().collect()
    }

    /// Returns whether a violation was found.
    pub fn has_violation(&self) -> bool {
        self.all_findings().into_iter().any(|findings| !findings.violations().is_empty())
    }

    /// Records a violation that none of the three checkers covers.
    pub fn report(&mut self, violation: String) {
        self.general.report(violation);
    }

    /// Returns how often each kind of event was observed.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.all_findings().into_iter().flat_map(Findings::counts).collect()
    }

    /// Returns how often a kind of event was observed.
    pub fn count_of(&self, kind: &str) -> u64 {
        self.all_findings().into_iter().map(|findings| findings.count_of(kind)).sum()
    }
}
