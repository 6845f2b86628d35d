//! Each decision core behind one interface: reports and what is published in, a decision out.

use crate::cells::Cells;
use crate::config::{Config, FairShareConfig as SharesConfig, Valid};
use crate::shard_map_role::ShardMapRole;
use marblecroft_control_messages::frame::{decode, encode, DecodeError, Fleet};
use marblecroft_control_messages::published::{Body, Decision, Stamp};
use marblecroft_control_messages::report::Report;
use marblecroft_fair_share::allocator::ShareAllocator;
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_fair_share::limiter::SHRINK_INTERVAL;
use marblecroft_singleton_roles::keys::Keys;
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::controller::{FailoverController, OperatorCommand};
use marblecroft_zone_failover::decision::{ZoneState, ZonesDecision};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// An instant of this process's monotonic clock.
pub type Now = Duration;

/// A duty's decision, made by whoever owns it.
pub trait Decides {
    fn report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError>;
    /// What operators and other duties have published.
    fn view(&mut self, now: Now, view: &View);
    /// A decision to be published under this stamp, with its head; none if there is nothing worth telling.
    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>>;
    /// What was decided last stands under this stamp.
    fn published(&mut self, _: Now, _: Stamp) {}
    /// Does what follows from what stands, under the token that can be shown to be held at this moment.
    fn act(&mut self) {}
    /// Whose answers are worth a look at once.
    fn wakes(&self) -> Option<Rc<Cells>> {
        None
    }
}

/// What an owner of a duty begins with: the decision that stands, if it can be read.
pub fn begin(config: &Config, duty: &str, now: Now, standing: Option<&[u8]>) -> Option<Box<dyn Decides>> {
    let fleet = Fleet::named(&config.fleet);
    let names = Keys::of(&config.fleet);
    match duty {
        "zones" => {
            let settings = config.zones.clone()?;
            let before = read::<ZonesDecision>(fleet, duty, standing).map(|decision| decision.body);
            let core = FailoverController::new(settings, now, before.as_ref());
            let held = BTreeSet::new();
            Some(Box::new(ZoneFailoverRole {
                fleet,
                names,
                valid: config.valid,
                core,
                held_zones: held,
                rejected_failovers: 0,
            }))
        }
        "shares" => {
            let before = read::<ShareDecision>(fleet, duty, standing);
            let standing = before.as_ref().map(|decision| (decision.stamp, &decision.body));
            let valid = Duration::from_millis(config.valid.shares_ms.into());
            let core = ShareAllocator::new(now, valid, SHRINK_INTERVAL, OBSERVATION_TIME, standing);
            Some(Box::new(FairShareRole { fleet, names, valid: config.valid, config: config.shares?, core }))
        }
        "books" => {
            let books = config.books.clone()?;
            Some(Box::new(ShardMapRole::begin(fleet, names, config.valid, books, now, standing)))
        }
        _ => None,
    }
}

/// An owner of shares listens for so long before it decides: two reports of every gateway.
const OBSERVATION_TIME: Duration = Duration::from_millis(2200);

/// A decision of another build is as none: this one decides anew, from what it hears.
pub fn read<T: Body>(fleet: Fleet, duty: &str, standing: Option<&[u8]>) -> Option<Decision<T>> {
    let decision = decode::<Decision<T>>(fleet, standing?);
    decision.inspect_err(|why| warn!(duty, "{duty}: the decision that stands cannot be read: {why}")).ok()
}

struct ZoneFailoverRole {
    fleet: Fleet,
    names: Keys,
    valid: Valid,
    core: FailoverController,
    /// Zones that operators hold out.
    held_zones: BTreeSet<String>,
    rejected_failovers: u64,
}

impl Decides for ZoneFailoverRole {
    fn report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError> {
        self.core.handle_report(now, report)
    }

    fn view(&mut self, now: Now, view: &View) {
        let holds = self.names.zone_override("");
        let told: BTreeSet<String> = view.entries_under(&holds).map(|(zone, _)| zone.to_owned()).collect();
        for zone in told.difference(&self.held_zones) {
            if !self.core.on_operator_command(now, &OperatorCommand::Hold(zone.clone())) {
                warn!(zone = %zone, "an operator holds out {zone}, which is none of the zones");
            }
        }
        for zone in self.held_zones.difference(&told) {
            self.core.on_operator_command(now, &OperatorCommand::Return(zone.clone()));
        }
        // One that an owner before this one took for held, and that nobody holds any more.
        for zone in self.core.held_zones() {
            if !told.contains(&zone) {
                self.core.on_operator_command(now, &OperatorCommand::Return(zone));
            }
        }
        self.held_zones = told;
    }

    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>> {
        let decided = self.core.tick(now);
        for moved in self.core.take_state_changes() {
            info!(zone = %moved.zone, from = moved.from.name(), to = moved.to.name(),
                "{} is {}, was {}", moved.zone, moved.to.name(), moved.from.name());
        }
        if self.core.rejected_failovers() > self.rejected_failovers {
            if self.rejected_failovers == 0 {
                warn!("a zone looks lost and is kept: it is the last, or another region has just moved");
            }
            self.rejected_failovers = self.core.rejected_failovers();
        }
        encode(self.fleet, &Decision { stamp, valid_ms: self.valid.zones_ms, body: decided? })
    }
}

struct FairShareRole {
    fleet: Fleet,
    names: Keys,
    valid: Valid,
    config: SharesConfig,
    core: ShareAllocator,
}

impl Decides for FairShareRole {
    fn report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError> {
        self.core.handle_report(now, report)
    }

    fn view(&mut self, _: Now, view: &View) {
        let zones = view.get(&self.names.decision("zones"));
        let zones = zones.and_then(|bytes| decode::<Decision<ZonesDecision>>(self.fleet, bytes).ok());
        let takes = |state: ZoneState| !matches!(state, ZoneState::FailedOver | ZoneState::HeldByOperator);
        let bears = zones.map(|decision| {
            let open = decision.body.zones.iter().filter(|zone| takes(zone.state));
            open.map(|zone| zone.capacity).sum::<f64>()
        });
        // What the configuration says is a bound on what the zones are known to bear.
        let capacity = match bears {
            Some(bears) if self.config.capacity > 0.0 => bears.min(self.config.capacity),
            Some(bears) => bears,
            None => self.config.capacity,
        };
        if capacity > 0.0 {
            self.core.set_capacity(capacity);
        }
    }

    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>> {
        let body = self.core.decide(now, stamp)?;
        encode(self.fleet, &Decision { stamp, valid_ms: self.valid.shares_ms, body })
    }
}
