//! Checks the views that processes install: no two different views have the same number, and no view has a
//! member twice.

use super::process::Process;
use super::state::Cluster;
use std::collections::BTreeSet;

impl Cluster {
    /// Compares the view of a process with the first observed view of the same number.
    pub(super) fn check_view(&mut self, machine: usize) {
        let Some(running) = &self.machines[machine].running else { return };
        let role = self.machines[machine].role;
        let view = match &running.process {
            Process::Coordinator(node) => node.chain().replica().view(),
            Process::Store(node) => node.chain().replica().view(),
        };
        if view.number == 0 {
            return;
        }
        let (number, addresses) = (view.number, view.addresses());
        let is_new = !self.views.contains_key(&(role, number));
        let first = self.views.entry((role, number)).or_insert_with(|| view.clone());
        if first != view {
            let text = format!("two views have number {number}: {first:?} and {view:?}");
            self.checker.report(text);
        }
        if is_new {
            let identities: BTreeSet<u64> = first.members.iter().map(|member| member.identity).collect();
            if identities.len() != first.members.len() {
                self.checker.report(format!("view {number} has a member twice: {addresses}"));
            }
            let voters: Vec<String> =
                first.voters.iter().map(|voter| voter.address.ip().to_string()).collect();
            let (name, voters) = (self.machines[machine].name.clone(), voters.join(" "));
            self.log(|| {
                format!("{name} is the first to install view {number}: {addresses}, voters {voters}")
            });
        }
    }
}
