//! The role that decides which zones serve, and to which zones the requests of the others go.

use crate::decision_role::{DecisionRole, Now};
use marblecroft_control_messages::frame::{encode, DecodeError, Fleet};
use marblecroft_control_messages::published::{Decision, Stamp};
use marblecroft_control_messages::report::Report;
use marblecroft_singleton_roles::keys::Keys;
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::controller::{FailoverController, OperatorCommand};
use marblecroft_zone_failover::decision::ZonesDecision;
use marblecroft_zone_failover::settings::Settings;
use std::collections::BTreeSet;
use tracing::{info, warn};

/// The owner's state of the zone failover.
pub struct ZoneFailoverRole {
    fleet: Fleet,
    keys: Keys,
    ttl_ms: u32,
    core: FailoverController,
    /// The zones that operators override, as of the last call of [`DecisionRole::handle_view`].
    overridden: BTreeSet<String>,
    rejected_failovers: u64,
}

impl ZoneFailoverRole {
    /// Creates the role, which continues from the published decision. Readers may use each decision for
    /// `ttl_ms` milliseconds.
    pub fn new(
        fleet: Fleet,
        keys: Keys,
        ttl_ms: u32,
        settings: Settings,
        now: Now,
        published: Option<&ZonesDecision>,
    ) -> ZoneFailoverRole {
        ZoneFailoverRole {
            fleet,
            keys,
            ttl_ms,
            core: FailoverController::new(settings, now, published),
            overridden: BTreeSet::new(),
            rejected_failovers: 0,
        }
    }

    fn hold(&mut self, now: Now, zone: &str) {
        if !self.core.on_operator_command(now, &OperatorCommand::Hold(zone.to_owned())) {
            warn!(zone = %zone, "an operator holds zone {zone}, which is not configured");
        }
    }

    fn release(&mut self, now: Now, zone: String) {
        self.core.on_operator_command(now, &OperatorCommand::Return(zone));
    }

    fn log_changes(&mut self) {
        for change in self.core.take_state_changes() {
            info!(zone = %change.zone, from = change.from.name(), to = change.to.name(),
                "{} is {}, was {}", change.zone, change.to.name(), change.from.name());
        }
        if self.core.rejected_failovers() > self.rejected_failovers {
            if self.rejected_failovers == 0 {
                warn!("zone failover refused: no other zone is usable, or another region just failed over");
            }
            self.rejected_failovers = self.core.rejected_failovers();
        }
    }
}

impl DecisionRole for ZoneFailoverRole {
    fn handle_report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError> {
        self.core.handle_report(now, report)
    }

    fn handle_view(&mut self, now: Now, view: &View) {
        let prefix = self.keys.zone_override("");
        let overridden: BTreeSet<String> =
            view.entries_under(&prefix).map(|(zone, _)| zone.to_owned()).collect();
        let previous = std::mem::take(&mut self.overridden);
        for zone in overridden.difference(&previous) {
            self.hold(now, zone);
        }
        for zone in previous.difference(&overridden) {
            self.release(now, zone.clone());
        }
        // Releases zones that the published decision holds, but whose override was removed before this
        // process became the owner.
        for zone in self.core.held_zones() {
            if !overridden.contains(&zone) {
                self.release(now, zone);
            }
        }
        self.overridden = overridden;
    }

    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>> {
        let decided = self.core.tick(now);
        self.log_changes();
        encode(self.fleet, &Decision { stamp, valid_ms: self.ttl_ms, body: decided? })
    }
}
