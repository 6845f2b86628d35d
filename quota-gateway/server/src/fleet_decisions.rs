//! The gateway as a member of its fleet.
//!
//! It follows what the fleet's controllers publish in the coordination service, applies it to its own decisions, and reports
//! what it observes to the owners of the controllers' roles ([`reporter`]). Between the engine and the decisions the
//! [`observer`] counts attempts for the reports, and applies quota shares and the shard map to requests. None of this
//! exists unless the configuration has a `stewards` object.

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

/// How often it is checked whether a decision has lapsed, and the limits of this gateway are recomputed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What was read of the fleet's decisions.
#[derive(Default)]
struct FleetState {
    zones: DecisionReader<ZonesDecision>,
    /// The addresses of the role owners, to which reports go.
    owners: BTreeSet<SocketAddr>,
    /// The zone shares that were last passed to the decisions.
    announced: Vec<ZoneShare>,
    /// The number of unreadable decisions, by cause.
    malformed: BTreeMap<DecodeError, u64>,
    is_zone_decision_lapsed: bool,
    /// A moving average over a second or two, from which this gateway's part of zone capacities is computed.
    units_per_second: f64,
}

/// What a member is created with.
pub struct MemberSettings {
    /// The fleet's part of the configuration.
    pub config: FleetConfig,
    /// The observer whose observations are reported.
    pub observer: Rc<Observer>,
    /// The shard map, where writes are placed by it.
    pub shard_routing: Option<Rc<ShardRouting>>,
    /// The instant from which instants of decisions count.
    pub started_at: Instant,
    /// The number of this gateway's zone.
    pub zone: u32,
    /// Distinguishes this process from others of the same gateway.
    pub incarnation: u64,
}

/// This gateway as a member of the fleet.
pub struct Member {
    config: FleetConfig,
    fleet: Fleet,
    names: Keys,
    engine: Weak<Engine>,
    observer: Rc<Observer>,
    shard_routing: Option<Rc<ShardRouting>>,
    zone: String,
    incarnation: u64,
    started_at: Instant,
    state: RefCell<FleetState>,
}

impl Member {
    /// Starts to follow decisions and to report, until the engine is dropped.
    pub fn start(engine: &Rc<Engine>, settings: MemberSettings) {
        let MemberSettings { config, observer, shard_routing, started_at, zone, incarnation } = settings;
        let member = Rc::new(Member {
            fleet: Fleet::named(&config.name),
            names: Keys::of(&config.name),
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
        let (follower, prefix) = (member.clone(), member.names.prefix.clone());
        spawn_local(follow(client, prefix, move || started_at.elapsed(), move |view| follower.on_view(view)));
        spawn_local(member.clone().send_reports());
        spawn_local(member.apply_decisions());
    }

    /// Handles a new view of what the fleet has published.
    fn on_view(&self, view: &View) {
        let asked_at = view.as_of().unwrap_or_default();
        self.read_decision::<ZonesDecision>(view, "zones", |decision| {
            Some(self.state.borrow_mut().zones.accept(asked_at, decision))
        });
        self.read_decision::<ShareDecision>(view, "shares", |decision| {
            self.observer.install_shares(asked_at, decision)
        });
        self.read_decision::<ShardMap>(view, "books", |decision| {
            Some(self.shard_routing.as_ref()?.install(asked_at, decision))
        });
        let prefix = format!("{}owner/", self.names.prefix);
        let address = |owner: RoleOwner| Some(self.config.reachable(owner.report_address.parse().ok()?));
        self.state.borrow_mut().owners =
            view.entries_under(&prefix).filter_map(|(_, value)| address(decode_value(value)?)).collect();
    }

    /// Reads one role's decision; `install` returns `None` where this gateway does not use it.
    fn read_decision<T: Body>(
        &self,
        view: &View,
        role: &str,
        install: impl FnOnce(Decision<T>) -> Option<Acceptance>,
    ) {
        let Some(bytes) = view.get(&self.names.decision(role)) else { return };
        match decode::<Decision<T>>(self.fleet, bytes) {
            Ok(decision) => {
                let Stamp { token, revision } = decision.stamp;
                match install(decision) {
                    Some(Acceptance::New) => {
                        info!(token, revision, duty = role, "goes by {role} {token}.{revision}")
                    }
                    Some(Acceptance::Stale) => {
                        info!(token, duty = role, "a decision on {role} came after a newer one")
                    }
                    Some(Acceptance::Renewed) | None => {}
                }
            }
            Err(cause) => {
                // Logged once for each cause; the decision in force stays.
                let mut state = self.state.borrow_mut();
                let count = state.malformed.entry(cause).or_insert(0);
                *count += 1;
                if *count == 1 {
                    warn!(why = cause.name(), duty = role, "a decision on {role} is refused: {cause}");
                }
            }
        }
    }

    /// Passes the decisions in force to the engine whenever they change; none once they have lapsed.
    async fn apply_decisions(self: Rc<Self>) {
        let mut ticks = interval(CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            let Some(engine) = self.engine.upgrade() else { return };
            self.observer.apply_shares();
            if let Some(shares) = self.changed_zone_shares() {
                engine.post(Event::ZoneShares(shares));
            }
        }
    }

    /// The zone shares in force, if they have changed.
    fn changed_zone_shares(&self) -> Option<Vec<ZoneShare>> {
        let mut state = self.state.borrow_mut();
        let standing = state.zones.validity(self.started_at.elapsed());
        let is_lapsed = matches!(standing, Validity::Expired(..));
        let limits = match standing {
            Validity::Valid(decision) => {
                GatewayLimits::for_gateway(&decision.body, &self.zone, state.units_per_second)
            }
            Validity::NoDecision | Validity::Expired(..) => None,
        };
        let shares = limits.map_or_else(Vec::new, |limits| self.zone_shares(&limits));
        if std::mem::replace(&mut state.is_zone_decision_lapsed, is_lapsed) != is_lapsed {
            if is_lapsed {
                warn!("the decision on zones has lapsed; each zone is chosen as it would be alone");
            } else {
                info!("goes by what is decided in common again");
            }
        }
        if state.announced == shares {
            return None;
        }
        state.announced.clone_from(&shares);
        Some(shares)
    }

    /// The shares of the zones that this gateway knows, with the limits on requests to other zones.
    fn zone_shares(&self, limits: &GatewayLimits) -> Vec<ZoneShare> {
        let max_rate = |name: &String| {
            let limit = limits.max_rates.iter().find(|(zone, _)| zone == name);
            limit.map_or(f64::INFINITY, |(_, max_rate)| *max_rate)
        };
        let known = limits.shares.iter().filter_map(|(name, share)| {
            Some(ZoneShare {
                zone: self.observer.zone_number(name)?,
                share: *share,
                max_rate: max_rate(name),
            })
        });
        known.collect()
    }
}
