//! What passes between the engine and the decisions, seen and, where the fleet's decisions say so, placed: attempts by zone for the
//! reports, firms' asks for their shares, pay runs for their books.

use crate::shard_map::ShardRouting;
use marblecroft_control_messages::published::{Acceptance, Decision, DecisionReader, Stamp};
use marblecroft_control_messages::report::{AttemptCounts, Demand, ZoneObservation};
use marblecroft_fair_share::body::ShareDecision;
use marblecroft_fair_share::taker::{FirmQuota, Taker};
use marblecroft_quota_gateway_core::{
    Action, AttemptNo, Effect, Event, Gateway, Lifecycle, NewRequest, Outcome, Placement, RequestId, Scope,
    ServerId, ServerInfo, Settings, Status, Time,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// An attempt that was called off after this long had met silence.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(300);
/// Requests whose attempts are kept in mind: far more than are ever open here.
const MAX_TRACKED_REQUESTS: usize = 20_000;
/// A request that its firm's share does not hold is worth another try after this long: of the order in which shares are worked out.
const SHARE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// An attempt of a request.
struct SentAttempt {
    server: ServerId,
    sent_at: Time,
    /// It has been told of as failed, for its silence: whatever it ends in but an answer says nothing more.
    counted: bool,
    ended: bool,
}

/// A request, as long as it may have an attempt out.
struct TrackedRequest {
    units: f64,
    /// The time that an answer is wanted in: a server that is silent for longer is not well, whenever the attempt is given up.
    latency_target: Duration,
    attempts: Vec<SentAttempt>,
}

/// What is seen between two reports.
#[derive(Default)]
struct Observations {
    servers: BTreeMap<ServerId, ServerInfo>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    seen: BTreeMap<u32, AttemptCounts>,
    demand: f64,
}

/// This gateway's side of shares.
struct FairShares {
    taker: RefCell<Taker>,
    decided: RefCell<DecisionReader<ShareDecision>>,
    /// Requests that were refused as their firm's share did not hold them.
    refused: Cell<u64>,
}

/// Watches what the decisions are told and what they ask for.
pub struct Observer {
    observations: RefCell<Observations>,
    /// Zones by the numbers that the list's names have here.
    zones: Vec<String>,
    settings: Settings,
    fair_shares: Option<FairShares>,
    shard_routing: Option<Rc<ShardRouting>>,
    started_at: Instant,
    /// Nothing is listed in a zone any more: whoever decides on zones need not wait for the next report's turn.
    pub zone_emptied: Notify,
}

impl Observer {
    /// `gateway`: its number, where shares are gone by here.
    pub fn new(
        zones: Vec<String>,
        settings: Settings,
        gateway: Option<u32>,
        books: Option<Rc<ShardRouting>>,
        begun: Instant,
    ) -> Rc<Observer> {
        let shares = gateway.map(|gateway| FairShares {
            taker: RefCell::new(Taker::new(gateway)),
            decided: RefCell::default(),
            refused: Cell::new(0),
        });
        let (sight, emptied) = (RefCell::default(), Notify::new());
        Rc::new(Observer {
            observations: sight,
            zones,
            settings,
            fair_shares: shares,
            shard_routing: books,
            started_at: begun,
            zone_emptied: emptied,
        })
    }

    /// Hands an event to the decisions, and looks on.
    pub fn pass(&self, gateway: &mut Gateway, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.on_event(&event);
        let (event, request) = match event {
            Event::Request(request) => {
                let place = self.placement(gateway, &request);
                let of = Some((request.id, request.customer, request.units));
                match place {
                    Placement::Unrestricted => (Event::Request(request), of),
                    place => (Event::RequestWithPlacement(request, place), of),
                }
            }
            event => (event, None),
        };
        gateway.handle(now, event, actions);
        self.on_actions(now, actions);
        // Its first attempt goes out at once or never.
        if let (Some(shares), Some((id, customer, units))) = (&self.fair_shares, request) {
            if actions.iter().any(|action| matches!(action, Action::Send { id: sent, .. } if *sent == id)) {
                shares.taker.borrow_mut().take(customer.0, units);
            }
        }
    }

    /// Where what the fleet decides lets a request go: its firm's share first, then the book that it writes.
    fn placement(&self, gateway: &Gateway, request: &NewRequest) -> Placement {
        if let Some(shares) = &self.fair_shares {
            if !self.is_within_share(gateway, request, shares) {
                shares.refused.set(shares.refused.get() + 1);
                return Placement::Unavailable { retry_after: SHARE_RETRY_AFTER };
            }
        }
        let writes =
            self.settings.classes.get(request.class.0).is_some_and(|class| class.effect != Effect::Safe);
        match &self.shard_routing {
            Some(books) if writes => books.placement(request.customer.0),
            _ => Placement::Unrestricted,
        }
    }

    fn is_within_share(&self, gateway: &Gateway, request: &NewRequest, shares: &FairShares) -> bool {
        let Some(plan) = self.settings.plans.get(request.plan.0) else { return true };
        let equal = 1.0 / f64::from(request.gateways.max(1));
        let part = gateway.customer_share(request.customer).unwrap_or(equal);
        // What it pays, by what it has contracted; a plan without a rate weighs by its price alone.
        let contracted = if plan.rate > 0.0 { plan.rate } else { 1.0 };
        let quota = if plan.rate > 0.0 { plan.rate * part.max(equal) } else { f64::INFINITY };
        let known = FirmQuota { weight: plan.price * contracted, part, equal, quota };
        let now = self.started_at.elapsed();
        shares.taker.borrow_mut().request(now, request.customer.0, known, request.units, request.is_retry)
    }

    /// An event, before the decisions have it.
    fn on_event(&self, event: &Event) {
        let mut sight = self.observations.borrow_mut();
        match event {
            // A client's repeat is no demand of its own.
            Event::Request(request) => {
                sight.demand += if request.is_retry { 0.0 } else { request.units };
                let aim = self
                    .settings
                    .classes
                    .get(request.class.0)
                    .map_or(UNRESPONSIVE_AFTER, |class| class.latency_target);
                sight.requests.insert(
                    request.id,
                    TrackedRequest { units: request.units, latency_target: aim, attempts: Vec::new() },
                );
                if sight.requests.len() > MAX_TRACKED_REQUESTS {
                    sight.requests.pop_first();
                }
            }
            Event::Outcome(outcome) => sight.on_outcome(outcome),
            Event::Servers { scope, servers } => {
                let before = sight.listed_zones();
                sight.listed(*scope, servers);
                if !sight.listed_zones().is_superset(&before) {
                    self.zone_emptied.notify_one();
                }
                self.shard_routing.iter().for_each(|books| books.on_server_list(*scope, servers));
            }
            _ => {}
        }
    }

    /// What the decisions ask for.
    fn on_actions(&self, now: Time, actions: &[Action]) {
        let mut sight = self.observations.borrow_mut();
        for action in actions {
            match action {
                Action::Send { id, server, .. } => {
                    if let Some(tried) = sight.requests.get_mut(id) {
                        tried.attempts.push(SentAttempt {
                            server: *server,
                            sent_at: now,
                            counted: false,
                            ended: false,
                        });
                    }
                }
                // What has no attempt out has no further outcome.
                Action::Reject { id, .. } | Action::Fail { id } => sight.on_finished(*id),
                _ => {}
            }
        }
    }

    /// A decision on shares was read.
    pub fn install_shares(&self, asked: Duration, decision: Decision<ShareDecision>) -> Option<Acceptance> {
        Some(self.fair_shares.as_ref()?.decided.borrow_mut().accept(asked, decision))
    }

    /// Works out what each firm may be sent on; a few times a second.
    pub fn apply_shares(&self) {
        if let Some(shares) = &self.fair_shares {
            shares.taker.borrow_mut().obey(self.started_at.elapsed(), &shares.decided.borrow());
        }
    }

    /// What is told of firms, and by which decision this gateway goes.
    pub fn take_demand(&self) -> (Demand, Stamp) {
        let Some(shares) = &self.fair_shares else { return (Demand::default(), Stamp::default()) };
        let told = shares.taker.borrow_mut().report(self.started_at.elapsed());
        (told, shares.decided.borrow().stamp().unwrap_or_default())
    }

    /// Figures of shares and books for whoever watches: name, help, value.
    pub fn figures(&self) -> Vec<(&'static str, &'static str, f64)> {
        let mut all = Vec::new();
        if let Some(shares) = &self.fair_shares {
            let help = "Requests that their firm's share did not hold.";
            all.push(("marblecroft_share_refused", help, shares.refused.get() as f64));
        }
        if let Some(books) = &self.shard_routing {
            let help = "Writes that a cell turned away, as they were under another epoch.";
            all.push(("marblecroft_book_turned_away", help, books.rejected_by_cell.get() as f64));
            let help = "Writes that were held back, as their book was open nowhere.";
            all.push(("marblecroft_book_held_back", help, books.held_back.get() as f64));
        }
        all
    }

    /// The zone of this number.
    pub fn zone(&self, number: u32) -> String {
        self.zones.get(number as usize).cloned().unwrap_or_default()
    }

    pub fn zone_number(&self, name: &str) -> Option<u32> {
        u32::try_from(self.zones.iter().position(|zone| zone == name)?).ok()
    }

    /// What was seen since the last time, by zone, and what was asked.
    pub fn take_report(&self, now: Time) -> (f64, Vec<ZoneObservation>) {
        let mut sight = self.observations.borrow_mut();
        sight.count_unresponsive(now);
        let (asked, mut seen) = (std::mem::take(&mut sight.demand), std::mem::take(&mut sight.seen));
        let zones = (0..).zip(&self.zones).map(|(zone, name)| {
            let running = |s: &&ServerInfo| s.zone == zone && s.lifecycle == Lifecycle::Running;
            let (servers, warm) =
                sight.servers.values().filter(running).fold((0.0, 0.0), |(servers, warm), server| {
                    (servers + 1.0, warm + self.warm_share(server, now))
                });
            let seen = seen.remove(&zone).unwrap_or_default();
            ZoneObservation { zone: name.clone(), attempts: seen, servers, warm: warm.min(servers) }
        });
        (asked, zones.collect())
    }

    fn warm_share(&self, server: &ServerInfo, now: Time) -> f64 {
        let ramp = self.settings.slow_start_duration.as_secs_f64();
        let age = server.started.map_or(ramp, |started| now.since(started));
        let from = self.settings.slow_start_initial_share.clamp(0.0, 1.0);
        if ramp > 0.0 {
            (from + (1.0 - from) * age / ramp).min(1.0)
        } else {
            1.0
        }
    }
}

impl Observations {
    /// Zones in which servers run.
    fn listed_zones(&self) -> BTreeSet<u32> {
        let running = |server: &&ServerInfo| server.lifecycle == Lifecycle::Running;
        self.servers.values().filter(running).map(|server| server.zone).collect()
    }

    fn listed(&mut self, scope: Scope, servers: &[ServerInfo]) {
        if scope == Scope::Full {
            self.servers.clear();
        }
        for server in servers {
            if server.lifecycle == Lifecycle::Gone {
                self.servers.remove(&server.id);
            } else {
                self.servers.insert(server.id, server.clone());
            }
        }
    }

    /// A request is answered; one that still has an attempt out is kept until that ends.
    fn on_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|tried| tried.attempts.iter().all(|sent| sent.ended)) {
            self.requests.remove(&id);
        }
    }

    fn zone(&self, server: ServerId) -> Option<u32> {
        self.servers.get(&server).map(|server| server.zone)
    }

    /// Attempts that have met silence for longer than an answer is wanted in count once, without being waited for: a zone that is
    /// lost without a word would else be seen only when they are given up.
    fn count_unresponsive(&mut self, now: Time) {
        let mut silent = Vec::new();
        for TrackedRequest { units, latency_target: aim, attempts: sent } in self.requests.values_mut() {
            let long = |sent: &&mut SentAttempt| {
                !sent.ended && !sent.counted && now.since(sent.sent_at) > aim.as_secs_f64()
            };
            for sent in sent.iter_mut().filter(long) {
                sent.counted = true;
                silent.push((sent.server, *units));
            }
        }
        for (server, units) in silent {
            if let Some(zone) = self.zone(server) {
                self.seen.entry(zone).or_default().failed += units;
            }
        }
    }

    fn on_outcome(&mut self, outcome: &Outcome) {
        let AttemptNo(number) = outcome.attempt;
        let Some(tried) = self.requests.get_mut(&outcome.id) else { return };
        let (units, sent) = (tried.units, tried.attempts.get_mut(number as usize));
        let at = sent.map(|sent| {
            sent.ended = true;
            (sent.server, sent.counted)
        });
        if outcome.finished {
            self.requests.remove(&outcome.id);
        }
        let Some((server, told)) = at else { return };
        let Some(zone) = self.zone(server) else { return };
        let seen = self.seen.entry(zone).or_default();
        match outcome.status {
            Status::Ok => seen.served += units,
            _ if told => {}
            Status::Rejected => seen.rejected += units,
            Status::Error | Status::Reset | Status::TimedOut => seen.failed += units,
            Status::ConnectFailed => seen.connect_failed += units,
            // Given up for its silence; one that is called off sooner says nothing of the server.
            Status::Cancelled if outcome.elapsed >= UNRESPONSIVE_AFTER => seen.failed += units,
            Status::Cancelled | Status::NotSent => {}
        }
    }
}

#[cfg(test)]
mod tests;
