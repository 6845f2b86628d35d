//! Checks that no gateway takes a server list that is older than the one it has.

use super::findings::Findings;
use std::collections::BTreeMap;

/// The server lists that gateways have taken.
#[derive(Default)]
pub struct ServerListChecker {
    findings: Findings,
    /// When the list of each gateway was read from the platform.
    read_at: BTreeMap<usize, String>,
}

impl ServerListChecker {
    /// Returns what this checker has found.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Handles that a gateway takes a server list that was read from the platform at this time.
    pub fn on_server_list(&mut self, gateway: usize, read_at: &str) {
        let before = self.read_at.insert(gateway, read_at.to_owned()).unwrap_or_default();
        if *read_at < *before {
            self.findings
                .report(format!("gateway {gateway} takes a list of {read_at} after one of {before}"));
        }
    }
}
