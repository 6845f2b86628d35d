//! Checks the views that processes install: no two views share a number, and no member stands twice in one.

use super::process::Process;
use super::state::Cluster;
use std::collections::BTreeSet;

impl Cluster {
    /// Compares the view of a process with the first one of its number.
    pub(super) fn check_views(&mut self, machine: usize) {
        let Some(running) = &self.machines[machine].running else { return };
        let (is_store, view) = match &running.process {
            Process::Coordinator(node) => (false, node.chain().replica().view()),
            Process::Store(node) => (true, node.chain().replica().view()),
        };
        if view.number == 0 {
            return;
        }
        let (number, addresses) = (view.number, view.addresses());
        let is_new = !self.views.contains_key(&(is_store, number));
        let known = self.views.entry((is_store, number)).or_insert_with(|| view.clone());
        if known != view {
            let text = format!("two views have number {number}: {known:?} and {view:?}");
            self.checker.report(text);
        }
        if is_new {
            let identities: BTreeSet<u64> = known.members.iter().map(|member| member.identity).collect();
            if identities.len() != known.members.len() {
                self.checker.report(format!("a member stands twice in view {number}: {addresses}"));
            }
            let voters: Vec<String> =
                known.voters.iter().map(|voter| voter.address.ip().to_string()).collect();
            let (name, voters) = (self.machines[machine].name.clone(), voters.join(" "));
            self.log(|| format!("{name} is the first to learn view {number}: {addresses}, voters {voters}"));
        }
    }
}
