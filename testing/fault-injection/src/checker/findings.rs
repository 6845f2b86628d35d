//! The findings at the end of a history: which invariants hold, are violated, or do not apply.

use super::{Checker, Finding, INVARIANTS, LIST_LACKS_SERVER};
use crate::endpoint::Kind;
use crate::error::IncompleteHistory;
use crate::scenario::FaultKind;
use std::collections::BTreeMap;

impl Checker {
    /// Returns the findings on all invariants, by name.
    ///
    /// # Errors
    ///
    /// The history is incomplete.
    pub fn findings(mut self) -> Result<BTreeMap<&'static str, Finding>, IncompleteHistory> {
        let setup = self.setup.take().ok_or(IncompleteHistory::NoSetup)?;
        if !self.finished {
            return Err(IncompleteHistory::Unfinished);
        }
        self.check_client_attempts(&setup);
        self.check_registers();
        self.check_attempts();
        let mut findings = std::mem::take(&mut self.cases);
        let affects_links = |kind: Kind| {
            setup.faults.iter().any(|fault| {
                fault.kind.of_links()
                    && (fault.from.is_empty()
                        || fault.victims.iter().chain(&fault.from).any(|e| e.kind() == kind))
            })
        };
        let affects_members = |kind: Kind, wanted: &[FaultKind]| {
            setup.faults.iter().any(|fault| {
                wanted.contains(&fault.kind) && fault.victims.iter().any(|victim| victim.kind() == kind)
            })
        };
        let interruptions =
            [FaultKind::Kill, FaultKind::Restart, FaultKind::Wipe, FaultKind::Term, FaultKind::Stop];
        let mut not_applicable: Vec<(&str, &str)> = vec![];
        if affects_links(Kind::PayServers) {
            not_applicable.push((
                "ceilings_kept",
                "links to pay servers fail, so arrival times do not show when attempts were sent",
            ));
        }
        not_applicable.push(("units_once", "the program has no takeover, which the invariant is about"));
        if setup.coordinators == 0 {
            for name in ["one_owner", "fenced", "tokens_rise"] {
                not_applicable.push((name, "the fleet has no coordinators"));
            }
        }
        let mut lists = Vec::new();
        if setup.list_processes == 0 {
            lists.push((
                "nothing_acknowledged_lost",
                "the fleet has no list service that acknowledges registrations",
            ));
        } else if affects_members(Kind::ListService, &[FaultKind::Wipe]) {
            lists.push(("nothing_acknowledged_lost", "a fault deletes the list service's folder"));
        } else if affects_members(Kind::PayServers, &interruptions)
            || affects_links(Kind::PayServers)
            || affects_links(Kind::ListService)
            || affects_members(Kind::ListService, &[FaultKind::Stop, FaultKind::FullDisk])
        {
            lists.push((
                "nothing_acknowledged_lost",
                "leases may expire without renewals, so a server may leave the list",
            ));
        }
        if let Some(lacks) = findings.remove(LIST_LACKS_SERVER).filter(|_| lists.is_empty()) {
            let all = findings.entry("nothing_acknowledged_lost").or_default();
            all.holds = Some(false);
            all.cases += lacks.cases;
            all.why.extend(lacks.why);
        }
        // The invariant also covers the coordinators' acknowledgements. It does not apply only if there are
        // no coordinators either.
        if setup.coordinators == 0 {
            not_applicable.append(&mut lists);
        }
        for (name, why) in not_applicable {
            findings.insert(name, Finding { holds: None, why: vec![why.to_owned()], cases: 0 });
        }
        for name in INVARIANTS {
            findings.entry(name).or_insert(Finding { holds: Some(true), ..Finding::default() });
        }
        Ok(findings)
    }
}
