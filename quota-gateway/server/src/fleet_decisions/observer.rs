//! The observer between the engine and the core.
//!
//! It records events and actions for the reports to the fleet, and adds a placement to requests that the
//! fleet's decisions restrict: by the firm's quota share first, then by the cell of the shard that the
//! request writes.

use super::observations::{Observations, ObservedInterval};
use super::quota_shares::{QuotaShares, SHARE_RETRY_AFTER};
use crate::metric::Metric;
use crate::shard_map::ShardRouting;
use marblecroft_control_messages::published::{Acceptance, Decision, Stamp};
use marblecroft_control_messages::report::Demand;
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_quota_gateway_core::{
    Action, CustomerId, Effect, Event, Gateway, NewRequest, Placement, RequestId, Settings, Time,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The settings of an [`Observer`].
pub struct ObserverSettings {
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The settings of the core.
    pub settings: Settings,
    /// This gateway's number if it uses quota shares.
    pub quota_share_gateway: Option<u32>,
    /// The shard map, if writes are routed by it.
    pub shard_routing: Option<Rc<ShardRouting>>,
    /// The origin of all instants of decisions.
    pub started_at: Instant,
}

/// Observes the core's events and actions.
pub struct Observer {
    observations: RefCell<Observations>,
    zones: Vec<String>,
    settings: Settings,
    quota_shares: Option<QuotaShares>,
    shard_routing: Option<Rc<ShardRouting>>,
    started_at: Instant,
    /// Notified when a zone has lost its last running server, which is reported without waiting for the next
    /// interval.
    pub zone_emptied: Notify,
}

/// The fields of a request that are needed after it was passed to the core.
struct PassedRequest {
    id: RequestId,
    customer: CustomerId,
    units: f64,
}

impl Observer {
    /// Creates an observer without observations.
    pub fn new(settings: ObserverSettings) -> Rc<Observer> {
        Rc::new(Observer {
            observations: RefCell::default(),
            zones: settings.zones,
            settings: settings.settings,
            quota_shares: settings.quota_share_gateway.map(QuotaShares::new),
            shard_routing: settings.shard_routing,
            started_at: settings.started_at,
            zone_emptied: Notify::new(),
        })
    }

    /// Passes an event to the core, with a placement if one applies, and observes the event and the resulting
    /// actions.
    pub fn handle(&self, gateway: &mut Gateway, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.on_event(&event);
        let (event, request) = match event {
            Event::Request(request) => {
                let passed =
                    PassedRequest { id: request.id, customer: request.customer, units: request.units };
                let event = match self.placement(gateway, &request) {
                    Placement::Unrestricted => Event::Request(request),
                    placement => Event::RequestWithPlacement(request, placement),
                };
                (event, Some(passed))
            }
            event => (event, None),
        };
        gateway.handle(now, event, actions);
        self.on_actions(now, actions);
        if let Some(request) = request {
            self.charge_if_sent(&request, actions);
        }
    }

    /// Charges a request to its firm's share if it is sent. The core sends the first attempt at once or
    /// never.
    fn charge_if_sent(&self, request: &PassedRequest, actions: &[Action]) {
        let Some(shares) = &self.quota_shares else { return };
        let is_send = |action: &Action| matches!(action, Action::Send { id, .. } if *id == request.id);
        if actions.iter().any(is_send) {
            shares.charge(request.customer.0, request.units);
        }
    }

    /// Returns where the fleet's decisions allow a request to be sent.
    fn placement(&self, gateway: &Gateway, request: &NewRequest) -> Placement {
        let plan = self.settings.plans.get(request.plan.0);
        if let (Some(shares), Some(plan)) = (&self.quota_shares, plan) {
            let customer_share = gateway.customer_share(request.customer);
            if !shares.admit(self.started_at.elapsed(), request, plan, customer_share) {
                return Placement::Unavailable { retry_after: SHARE_RETRY_AFTER };
            }
        }
        let class = self.settings.classes.get(request.class.0);
        let is_write = class.is_some_and(|class| class.effect != Effect::Safe);
        match &self.shard_routing {
            Some(routing) if is_write => routing.placement(request.customer.0),
            _ => Placement::Unrestricted,
        }
    }

    /// Observes an event before the core handles it.
    fn on_event(&self, event: &Event) {
        let mut observations = self.observations.borrow_mut();
        match event {
            Event::Request(request) => observations.on_request(request, &self.settings),
            Event::Outcome(outcome) => observations.on_outcome(outcome),
            Event::Servers { scope, servers } => {
                if observations.on_endpoint_list(*scope, servers) {
                    self.zone_emptied.notify_one();
                }
                if let Some(routing) = &self.shard_routing {
                    routing.on_endpoint_list(*scope, servers);
                }
            }
            _ => {}
        }
    }

    /// Observes the core's actions.
    fn on_actions(&self, now: Time, actions: &[Action]) {
        let mut observations = self.observations.borrow_mut();
        for action in actions {
            match action {
                Action::Send { id, server, .. } => observations.on_sent(*id, *server, now),
                Action::Reject { id, .. } | Action::Fail { id } => observations.on_finished(*id),
                _ => {}
            }
        }
    }

    /// Installs a decision on quota shares; returns `None` if this gateway does not use them.
    pub fn install_quota_shares(
        &self,
        queried_at: Duration,
        decision: Decision<ShareDecision>,
    ) -> Option<Acceptance> {
        Some(self.quota_shares.as_ref()?.install(queried_at, decision))
    }

    /// Recomputes the firms' limits. Called several times per second.
    pub fn apply_quota_shares(&self) {
        if let Some(shares) = &self.quota_shares {
            shares.apply(self.started_at.elapsed());
        }
    }

    /// Returns the firms' demand to report, and the stamp of the decision in force.
    pub fn take_demand(&self) -> (Demand, Stamp) {
        let shares = self.quota_shares.as_ref();
        shares.map_or_else(Default::default, |shares| shares.take_demand(self.started_at.elapsed()))
    }

    /// The gauges of quota shares and of the shard map, if they are used.
    pub fn metrics(&self) -> Vec<Metric> {
        let shares = self.quota_shares.iter().map(QuotaShares::metric);
        let shard_map = self.shard_routing.iter().flat_map(|routing| routing.metrics());
        shares.chain(shard_map).collect()
    }

    /// The name of the zone with this number; empty if there is none.
    pub fn zone(&self, number: u32) -> String {
        self.zones.get(number as usize).cloned().unwrap_or_default()
    }

    /// The number of the zone with this name.
    pub fn zone_number(&self, name: &str) -> Option<u32> {
        u32::try_from(self.zones.iter().position(|zone| zone == name)?).ok()
    }

    /// Returns the observations since the last report.
    pub fn take_report(&self, now: Time) -> ObservedInterval {
        self.observations.borrow_mut().take(&self.zones, &self.settings, now)
    }
}

#[cfg(test)]
mod tests;
