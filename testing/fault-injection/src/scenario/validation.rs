//! Validation of a scenario's values.

use super::{Fault, FaultKind, Scenario, ScenarioError, Target, LEADER, ROLES};
use crate::endpoint::Kind;
use std::fmt::Display;

/// Maximum number of gateways. This and the other limits keep a run within one machine and one history.
pub const MAX_GATEWAYS: u32 = 300;
/// Maximum number of pay servers.
pub const MAX_PAY_SERVERS: u32 = 200;
const MAX_DISCOVERY_PROCESSES: u32 = 3;
const MAX_CUSTOMERS: u32 = 20_000;
const MAX_RATE: f64 = 20_000.0;
const MAX_DURATION_MS: u64 = 30 * 60 * 1000;
const MAX_FAULTS: usize = 256;
const MAX_REQUESTS: f64 = 5e6;

impl Scenario {
    pub(super) fn validate(&self) -> Result<(), ScenarioError> {
        let Scenario { fleet, load, site, owners, registers, faults, expect, .. } = self;
        self.validate_tenancy()?;
        within("fleet.gateways", fleet.gateways, 0, MAX_GATEWAYS)?;
        if fleet.gateways == 0 && fleet.coordinators == 0 && !faults.is_empty() {
            return Err(ScenarioError::invalid(
                "fault",
                "without gateways and coordinators the run only measures the harness, and takes no faults",
            ));
        }
        within("fleet.pay_servers", fleet.pay_servers, 1, MAX_PAY_SERVERS)?;
        within("fleet.list_service", fleet.discovery_processes, 0, MAX_DISCOVERY_PROCESSES)?;
        if ![0, 3, 5].contains(&fleet.coordinators) {
            return Err(ScenarioError::invalid(
                "fleet.coordinators",
                format!("{} is not 0, 3 or 5", fleet.coordinators),
            ));
        }
        if fleet.coordinator_config.len() > fleet.coordinators as usize {
            return Err(ScenarioError::invalid("fleet.coordinator_config", "more tables than coordinators"));
        }
        within("registers.clients", registers.clients, 0, 100)?;
        within("registers.every_ms", registers.every_ms, 1, 60_000)?;
        within("registers.registers", registers.registers, 1, 1000)?;
        within("registers.watchers", registers.watchers, 0, 100)?;
        within("owners.candidates", owners.candidates, 1, 300)?;
        within("owners.locks", owners.locks, 1, 64)?;
        within("owners.session_ms", owners.session_ms, 500, 60_000)?;
        if fleet.zones.is_empty() || fleet.zones.iter().any(|zone| zone.is_empty() || zone.len() > 128) {
            return Err(ScenarioError::invalid(
                "fleet.zones",
                "at least one zone, each with a name of 1 to 128 bytes",
            ));
        }
        within("fleet.stewards", fleet.controllers, 0, 8)?;
        if fleet.controllers > 0 && fleet.coordinators == 0 {
            return Err(ScenarioError::invalid("fleet.stewards", "stewards need coordinators"));
        }
        let all = self.all_zones();
        if (1..all.len()).any(|i| all[..i].contains(&all[i])) {
            return Err(ScenarioError::invalid("fleet.zones", "a name occurs twice"));
        }
        let listed: Vec<&String> = fleet.regions.values().flatten().collect();
        let once = |zone: &String| listed.iter().filter(|other| **other == zone).count() == 1;
        let known = listed.iter().all(|zone| fleet.zones.contains(zone));
        if !(fleet.regions.is_empty() || known && fleet.zones.iter().all(once)) {
            return Err(ScenarioError::invalid(
                "fleet.regions",
                "must list each zone of fleet.zones exactly once, and no others",
            ));
        }
        within("load.rate", load.rate, 0.1, MAX_RATE)?;
        within("load.duration_ms", load.duration_ms, 1000, MAX_DURATION_MS)?;
        let requests = load.rate * load.duration_ms as f64 / 1000.0;
        within("load.rate: requests in all", requests, 1.0, MAX_REQUESTS)?;
        within("load.customers", load.customers, 1, MAX_CUSTOMERS)?;
        within("load.unsafe_share", load.unsafe_share, 0.0, 1.0)?;
        within("load.retries", load.retries, 0, 10)?;
        for (name, value, min, max) in [
            ("site.work_ms", site.work_ms, 0.1, 10_000.0),
            ("site.work_cv", site.work_cv, 0.0, 5.0),
            ("site.try_share", site.min_timeout_share, 0.05, 1.0),
            ("site.honour", site.honour, 0.0, 1.0),
            ("site.speed", site.speed, 0.01, 100.0),
            ("site.speed_cv", site.speed_cv, 0.0, 1.0),
            ("site.thrash", site.thrash, 0.0, 10.0),
            ("site.thrash_at", site.thrash_at, 0.0, 1e6),
            ("site.error_rate", site.error_rate, 0.0, 1.0),
            ("site.cold_from", site.initial_speed_share, 0.01, 1.0),
            ("site.fall_multiple", site.overload_multiple, 1.0, 1000.0),
            ("site.counter_per_s", site.counter_per_s, 1.0, 1e6),
            ("site.skew", site.skew, 0.0, 10.0),
        ] {
            within(name, value, min, max)?;
        }
        for (name, value, min, max) in [
            ("site.aim_ms", site.latency_target_ms, 1, 600_000),
            ("site.deadline_ms", site.deadline_ms, site.latency_target_ms, 600_000),
            ("site.backoff_ms", site.backoff_ms, 0, 60_000),
            ("site.notice_ms", site.failure_detection_ms, 0, 600_000),
            ("site.cold_ms", site.warmup_ms, 0, 600_000),
            ("site.fall_ms", site.overload_window_ms, 1, 600_000),
            ("site.handshake_us", site.handshake_us, 0, 1_000_000),
            ("site.meter_late_ms", site.meter_delay_ms, 0, 60_000),
            ("site.list_notice_ms", site.discovery_removal_delay_ms, 0, 600_000),
            ("site.list_add_ms", site.discovery_add_delay_ms, 0, 600_000),
        ] {
            within(name, value, min, max)?;
        }
        within("site.slots_per_core", site.slots_per_core, 1, 1000)?;
        within("site.queue_per_core", site.queue_per_core, 0, 100_000)?;
        within("site.connections_per_core", site.connections_per_core, 1, 10_000)?;
        if site.plans.is_empty() || site.plans.len() > 16 {
            return Err(ScenarioError::invalid("site.plan", "1 to 16 plans"));
        }
        for (i, plan) in site.plans.iter().enumerate() {
            within(&format!("site.plan[{i}].share"), plan.share, 0.0, 1.0)?;
            within(&format!("site.plan[{i}].rate"), plan.rate, 0.01, 1e6)?;
            within(&format!("site.plan[{i}].burst_s"), plan.burst_s, 0.01, 3600.0)?;
            within(&format!("site.plan[{i}].ceiling"), plan.rate_limit_multiple, 0.0, 1000.0)?;
        }
        within("site.plan: shares in all", site.plans.iter().map(|plan| plan.share).sum(), 0.01, 16.0)?;
        if faults.len() > MAX_FAULTS {
            return Err(ScenarioError::invalid("fault", format!("at most {MAX_FAULTS}")));
        }
        for (i, fault) in faults.iter().enumerate() {
            self.validate_fault(fault).map_err(|error| error.in_fault(i))?;
        }
        if let Some(share) = expect.as_ref().and_then(|expect| expect.served_share) {
            within("expect.served_share", share, 0.0, 1.0)?;
        }
        Ok(())
    }

    fn validate_fault(&self, fault: &Fault) -> Result<(), ScenarioError> {
        within("at_ms", fault.at_ms, 0, self.load.duration_ms)?;
        if let Some(for_ms) = fault.for_ms {
            within("for_ms", for_ms, 1, MAX_DURATION_MS)?;
        }
        let kind = self.target("target", &fault.target)?;
        if let Some(from) = &fault.from {
            if !fault.kind.of_links() {
                return Err(ScenarioError::invalid("from", "applies only to faults of links"));
            }
            self.target("from", from)?;
        }
        if fault.one_way && fault.from.is_none() {
            return Err(ScenarioError::invalid("one_way", "needs `from`"));
        }
        let applies_only_to =
            |set: bool, name: &str, kinds: &[FaultKind]| match set && !kinds.contains(&fault.kind) {
                true => Err(ScenarioError::invalid(name, "does not apply to this kind of fault")),
                false => Ok(()),
            };
        applies_only_to(fault.reset, "reset", &[FaultKind::Cut])?;
        applies_only_to(fault.delay_ms.is_some(), "delay_ms", &[FaultKind::Delay])?;
        applies_only_to(fault.jitter_ms.is_some(), "jitter_ms", &[FaultKind::Delay])?;
        applies_only_to(
            fault.probability.is_some(),
            "probability",
            &[FaultKind::Lose, FaultKind::Duplicate],
        )?;
        match (fault.share, fault.count) {
            (Some(_), Some(_)) => return Err(ScenarioError::invalid("share", "excludes `count`")),
            (Some(share), None) => within("share", share, 0.0, 1.0)?,
            (None, Some(count)) => within("count", count, 0, self.count(kind))?,
            (None, None) => {}
        }
        if !matches!(fault.target, Target::All(_)) && (fault.share.is_some() || fault.count.is_some()) {
            return Err(ScenarioError::invalid(
                "target",
                "`share` and `count` apply only to all members of a kind",
            ));
        }
        within("delay_ms", fault.delay_ms.unwrap_or(0), 0, 60_000)?;
        within("jitter_ms", fault.jitter_ms.unwrap_or(0), 0, 60_000)?;
        within("probability", fault.probability.unwrap_or(0.0), 0.0, 1.0)?;
        let is_stand_in = kind == Kind::DiscoveryService && self.fleet.discovery_processes == 0;
        match (fault.kind, kind) {
            (FaultKind::FullDisk, Kind::DiscoveryService) if !is_stand_in => Ok(()),
            (FaultKind::FullDisk, Kind::Coordinators) => Ok(()),
            (FaultKind::Stop, Kind::Candidates) => Ok(()),
            (_, Kind::Candidates) if !fault.kind.of_links() => {
                Err(ScenarioError::invalid("kind", "candidates can only be stopped or lose their links"))
            }
            (FaultKind::FullDisk, _) => Err(ScenarioError::invalid(
                "kind",
                "only the discovery service and the coordinators have a disk",
            )),
            (kind, _) if kind.of_links() => Ok(()),
            (_, Kind::Clients) => Err(ScenarioError::invalid("target", "clients can only lose their links")),
            (FaultKind::Term, Kind::Counter | Kind::Cells) => {
                Err(ScenarioError::invalid("kind", "the counter and the cells do not receive signals"))
            }
            _ => Ok(()),
        }
    }

    /// Returns the kind of a target's members, if the fleet has the target.
    fn target(&self, field: &str, target: &Target) -> Result<Kind, ScenarioError> {
        let (kind, index) = match target {
            Target::All(kind) => (*kind, 0),
            Target::One(kind, index) => (*kind, *index),
            Target::Owner(name) if name == LEADER && self.fleet.coordinators > 0 => {
                return Ok(Kind::Coordinators);
            }
            Target::Owner(name) if self.fleet.controllers > 0 && ROLES.contains(&name.as_str()) => {
                return Ok(Kind::Controllers);
            }
            Target::Zone(_) | Target::Region(_) => {
                let exists = (0..self.all_zones().len()).any(|zone| self.is_zone_in(zone, target));
                return match exists {
                    true => Ok(Kind::Gateways),
                    false => Err(ScenarioError::invalid(field, format!("the fleet has no {target}"))),
                };
            }
            Target::Owner(name) => {
                let known = (0..self.owners.locks).any(|n| *name == format!("lock-{n}"));
                return match known && self.fleet.coordinators > 0 {
                    true => Ok(Kind::Candidates),
                    false => {
                        Err(ScenarioError::invalid(field, format!("nothing in this fleet owns {name:?}")))
                    }
                };
            }
        };
        match index < self.count(kind) {
            true => Ok(kind),
            false => Err(ScenarioError::invalid(
                field,
                format!("{target} does not exist: the fleet has {} {}", self.count(kind), kind.name()),
            )),
        }
    }
}

/// Checks that a value is within its bounds.
pub(super) fn within<T: PartialOrd + Display>(
    name: &str,
    value: T,
    min: T,
    max: T,
) -> Result<(), ScenarioError> {
    match value >= min && value <= max {
        true => Ok(()),
        false => Err(ScenarioError::invalid(name, format!("{value} is not from {min} to {max}"))),
    }
}
