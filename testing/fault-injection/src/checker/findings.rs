//! The findings at the end of a history: which invariants hold, are violated, or do not apply.

use super::{Checker, Finding, INVARIANTS, REGISTRATION_MISSING};
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
        let mut not_applicable_to_discovery = Vec::new();
        if setup.discovery_processes == 0 {
            not_applicable_to_discovery.push((
                "nothing_acknowledged_lost",
                "the fleet has no discovery service that acknowledges registrations",
            ));
        } else if affects_members(Kind::DiscoveryService, &[FaultKind::Wipe]) {
            not_applicable_to_discovery
                .push(("nothing_acknowledged_lost", "a fault deletes the discovery service's folder"));
        } else if affects_members(Kind::PayServers, &interruptions)
            || affects_links(Kind::PayServers)
            || affects_links(Kind::DiscoveryService)
            || affects_members(Kind::DiscoveryService, &[FaultKind::Stop, FaultKind::FullDisk])
        {
            not_applicable_to_discovery.push((
                "nothing_acknowledged_lost",
                "leases may expire without renewals, so a registered server may be removed",
            ));
        }
        if let Some(lacks) =
            findings.remove(REGISTRATION_MISSING).filter(|_| not_applicable_to_discovery.is_empty())
        {
            let all = findings.entry("nothing_acknowledged_lost").or_default();
            all.holds = Some(false);
            all.cases += lacks.cases;
            all.why.extend(lacks.why);
        }
        // The invariant also covers the coordinators' acknowledgements. It does not apply only if there are
        // no coordinators either.
        if setup.coordinators == 0 {
            not_applicable.append(&mut not_applicable_to_discovery);
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
