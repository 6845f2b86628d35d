//! Checks that no gateway replaces its server list with an older one.

use super::findings::Findings;
use std::collections::BTreeMap;

/// The history of the gateways' server lists.
#[derive(Default)]
pub struct ServerListChecker {
    findings: Findings,
    /// When the server list of each gateway was read from the platform, by gateway number.
    read_at: BTreeMap<usize, String>,
}

impl ServerListChecker {
    /// Returns the findings of this checker.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Handles a server list that a gateway received; a coordinator read it from the platform at `read_at`.
    pub fn on_server_list(&mut self, gateway: usize, read_at: &str) {
        let before = self.read_at.insert(gateway, read_at.to_owned()).unwrap_or_default();
        if *read_at < *before {
            self.findings.report(format!(
                "gateway {gateway} replaces its server list of {before} with one of {read_at}"
            ));
        }
    }
}
