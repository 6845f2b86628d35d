//! The gateway as a member of a fleet.
//!
//! The member follows the decisions that the fleet's controllers publish in the coordination service, applies
//! them in this gateway, and reports its observations to the owners of the controllers' roles ([`reporter`]).
//! The [`observer`], between the engine and the core, counts attempts for the reports and applies quota
//! shares and the shard map to requests. All this runs only if the configuration has a `stewards` object.

pub mod fleet_config;
mod observations;
pub mod observer;
mod quota_shares;
mod reporter;

use crate::engine::Engine;
use crate::shard_map::ShardRouting;
use fleet_config::FleetConfig;
use marblecroft_control_messages::frame::{decode, DecodeError, Fleet};
use marblecroft_control_messages::published::{Acceptance, Body, Decision, DecisionReader, Stamp, Validity};
use marblecroft_coordination::client::Client;
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_quota_gateway_core::{Event, ZoneShare};
use marblecroft_shard_map::map::ShardMap;
use marblecroft_singleton_roles::keys::{decode_value, Keys, RoleOwner};
use marblecroft_singleton_roles::run::follow;
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::decision::ZonesDecision;
use marblecroft_zone_failover::gateway_limits::GatewayLimits;
use observer::Observer;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::interval;
use tracing::{info, warn};

/// The interval at which this gateway's limits are recomputed and decisions are checked for expiry.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The fleet's decisions as last read, and this gateway's state that depends on them.
#[derive(Default)]
struct FleetState {
    zones: DecisionReader<ZonesDecision>,
    /// The addresses of the role owners, which receive the reports.
    owners: BTreeSet<SocketAddr>,
    /// The zone shares that were last posted to the core.
    last_posted: Vec<ZoneShare>,
    /// The number of decisions that could not be decoded, by cause.
    malformed: BTreeMap<DecodeError, u64>,
    is_zone_decision_expired: bool,
    /// A moving average over one to two seconds; this gateway's part of the zone capacities is computed from
    /// it.
    units_per_second: f64,
}

/// The settings of a [`Member`].
pub struct MemberSettings {
    /// The fleet's part of the configuration.
    pub config: FleetConfig,
    /// Provides the observations to report.
    pub observer: Rc<Observer>,
    /// The shard map, if writes are routed by it.
    pub shard_routing: Option<Rc<ShardRouting>>,
    /// The origin of all instants of decisions.
    pub started_at: Instant,
    /// The number of this gateway's zone.
    pub zone: u32,
    /// The number of this process, which distinguishes it from others of the same gateway.
    pub incarnation: u64,
}

/// This gateway as a member of the fleet.
pub struct Member {
    config: FleetConfig,
    fleet: Fleet,
    keys: Keys,
    engine: Weak<Engine>,
    observer: Rc<Observer>,
    shard_routing: Option<Rc<ShardRouting>>,
    zone: String,
    incarnation: u64,
    started_at: Instant,
    state: RefCell<FleetState>,
}

impl Member {
    /// Starts the tasks that follow decisions and send reports. They end when the engine is dropped.
    pub fn start(engine: &Rc<Engine>, settings: MemberSettings) {
        let MemberSettings { config, observer, shard_routing, started_at, zone, incarnation } = settings;
        let member = Rc::new(Member {
            fleet: Fleet::named(&config.name),
            keys: Keys::of(&config.name),
            engine: Rc::downgrade(engine),
            zone: observer.zone(zone),
            observer,
            shard_routing,
            incarnation,
            started_at,
            state: RefCell::default(),
            config,
        });
        let client = Client::behind_translator(member.config.coordinators.clone(), member.config.translator);
        let (follower, prefix) = (member.clone(), member.keys.prefix.clone());
        spawn_local(follow(client, prefix, move || started_at.elapsed(), move |view| follower.on_view(view)));
        spawn_local(member.clone().send_reports());
        spawn_local(member.apply_decisions());
    }

    /// Handles a new view of the keys that the fleet has published.
    fn on_view(&self, view: &View) {
        let queried_at = view.as_of().unwrap_or_default();
        self.read_decision::<ZonesDecision>(view, "zones", |decision| {
            Some(self.state.borrow_mut().zones.accept(queried_at, decision))
        });
        self.read_decision::<ShareDecision>(view, "shares", |decision| {
            self.observer.install_quota_shares(queried_at, decision)
        });
        self.read_decision::<ShardMap>(view, "books", |decision| {
            Some(self.shard_routing.as_ref()?.install(queried_at, decision))
        });
        let prefix = format!("{}owner/", self.keys.prefix);
        let address = |owner: RoleOwner| Some(self.config.reachable(owner.report_address.parse().ok()?));
        self.state.borrow_mut().owners =
            view.entries_under(&prefix).filter_map(|(_, value)| address(decode_value(value)?)).collect();
    }

    /// Reads the decision of one role; `install` returns `None` if this gateway does not use it.
    fn read_decision<T: Body>(
        &self,
        view: &View,
        role: &str,
        install: impl FnOnce(Decision<T>) -> Option<Acceptance>,
    ) {
        let Some(bytes) = view.get(&self.keys.decision(role)) else { return };
        match decode::<Decision<T>>(self.fleet, bytes) {
            Ok(decision) => {
                let Stamp { token, revision } = decision.stamp;
                match install(decision) {
                    Some(Acceptance::New) => {
                        info!(token, revision, duty = role, "applies decision {token}.{revision} on {role}")
                    }
                    Some(Acceptance::Stale) => {
                        info!(token, duty = role, "ignored a decision on {role}: a newer one is in force")
                    }
                    Some(Acceptance::Renewed) | None => {}
                }
            }
            Err(cause) => {
                // Logged once per cause. The decision in force stays in force.
                let mut state = self.state.borrow_mut();
                let count = state.malformed.entry(cause).or_insert(0);
                *count += 1;
                if *count == 1 {
                    warn!(why = cause.name(), duty = role, "rejected a decision on {role}: {cause}");
                }
            }
        }
    }

    /// Posts the zone shares to the engine whenever they change. They are empty once the decision has
    /// expired.
    async fn apply_decisions(self: Rc<Self>) {
        let mut ticks = interval(CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            let Some(engine) = self.engine.upgrade() else { return };
            self.observer.apply_quota_shares();
            if let Some(shares) = self.changed_zone_shares() {
                engine.post(Event::ZoneShares(shares));
            }
        }
    }

    /// Returns the zone shares in force if they have changed since the last call.
    fn changed_zone_shares(&self) -> Option<Vec<ZoneShare>> {
        let mut state = self.state.borrow_mut();
        let validity = state.zones.validity(self.started_at.elapsed());
        let is_expired = matches!(validity, Validity::Expired(..));
        let limits = match validity {
            Validity::Valid(decision) => {
                GatewayLimits::for_gateway(&decision.body, &self.zone, state.units_per_second)
            }
            Validity::NoDecision | Validity::Expired(..) => None,
        };
        let shares = limits.map_or_else(Vec::new, |limits| self.zone_shares(&limits));
        if std::mem::replace(&mut state.is_zone_decision_expired, is_expired) != is_expired {
            if is_expired {
                warn!("the decision on zones has expired; zones are selected without the fleet's shares");
            } else {
                info!("a decision on zones is in force again; zones are selected by the fleet's shares");
            }
        }
        if state.last_posted == shares {
            return None;
        }
        state.last_posted.clone_from(&shares);
        Some(shares)
    }

    /// The shares of the zones that this gateway has a number for, with the limits on requests to other
    /// zones.
    fn zone_shares(&self, limits: &GatewayLimits) -> Vec<ZoneShare> {
        let max_rate = |name: &String| {
            let limit = limits.max_rates.iter().find(|(zone, _)| zone == name);
            limit.map_or(f64::INFINITY, |(_, max_rate)| *max_rate)
        };
        let shares = limits.shares.iter().filter_map(|(name, share)| {
            Some(ZoneShare {
                zone: self.observer.zone_number(name)?,
                share: *share,
                max_rate: max_rate(name),
            })
        });
        shares.collect()
    }
}
