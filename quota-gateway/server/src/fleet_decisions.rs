//! The gateway in its fleet: what it sees is reported to whoever owns a duty, and what is decided in common is handed to the
//! decisions. Only where the configuration has a `stewards` object; without it nothing of this is there.

pub mod observer;

use crate::engine::Engine;
use crate::shard_map::ShardRouting;
use marblecroft_control_messages::frame::{decode, encode, DecodeError, Fleet};
use marblecroft_control_messages::published::{Acceptance, Body, Decision, DecisionReader, Stamp, Validity};
use marblecroft_control_messages::report::{AppliedDecisions, Report};
use marblecroft_coordination::client::Client;
use marblecroft_fair_share::body::ShareDecision;
use marblecroft_quota_gateway_core::{Event, ZoneShare};
use marblecroft_shard_map::map::ShardMap;
use marblecroft_singleton_roles::keys::{decode_value, Keys, RoleOwner};
use marblecroft_singleton_roles::run::follow;
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::body::ZonesDecided;
use observer::Observer;
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{interval, timeout, MissedTickBehavior};
use tracing::{info, warn};

/// Where the fleet's decisions come from, and who is told of what is seen.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stewards {
    /// The fleet's name, as the stewards have it.
    fleet: String,
    /// This gateway's number among all.
    gateway: u32,
    coordinators: Vec<String>,
    /// Where a coordinator or steward that is named is called, with its own port, if there is an address translator between.
    at: Option<IpAddr>,
    #[serde(default = "report_ms")]
    report_ms: u64,
    /// Firms' shares of the fleet's capacity are gone by here.
    #[serde(default)]
    shares: bool,
    /// Pay runs are written by the book map, and refused while no valid one is held.
    #[serde(default)]
    books: bool,
}

fn report_ms() -> u64 {
    1000
}

impl Stewards {
    /// This gateway's number, where it goes by shares.
    pub fn shares(&self) -> Option<u32> {
        self.shares.then_some(self.gateway)
    }

    pub fn books(&self) -> bool {
        self.books
    }

    /// The error is one line that names the field.
    pub fn check(&self) -> Result<(), String> {
        if self.fleet.is_empty() || self.fleet.len() > 64 {
            return Err("stewards.fleet: 1 to 64 bytes".to_owned());
        }
        if self.coordinators.is_empty() || self.coordinators.len() > 16 {
            return Err("stewards.coordinators: 1 to 16 addresses".to_owned());
        }
        if !(100..=10_000).contains(&self.report_ms) {
            return Err("stewards.report_ms: from 100 to 10000".to_owned());
        }
        Ok(())
    }
}

/// A steward that takes no report for this long is not waited for; the next report says more.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// A report that cannot wait for its turn leaves within this.
const NODELAY_TIMEOUT: Duration = Duration::from_millis(100);
/// How often it is looked whether a decision has lapsed, and what this gateway may send where is worked out anew.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What was read of the fleet.
struct KnownDecisions {
    zones: DecisionReader<ZonesDecided>,
    /// Where reports go.
    owners: BTreeSet<SocketAddr>,
    /// What the decisions were told last.
    announced: Vec<ZoneShare>,
    refused: BTreeMap<DecodeError, u64>,
    lapsed: bool,
    requests_per_second: f64,
}

/// The gateway's part of the fleet.
pub struct Member {
    config: Stewards,
    fleet: Fleet,
    names: Keys,
    engine: Weak<Engine>,
    observer: Rc<Observer>,
    books: Option<Rc<ShardRouting>>,
    zone: String,
    incarnation: u64,
    started_at: Instant,
    decisions: RefCell<KnownDecisions>,
}

impl Member {
    /// Begins to report and to follow; ends with the engine.
    pub fn begin(
        config: Stewards,
        engine: &Rc<Engine>,
        observer: Rc<Observer>,
        books: Option<Rc<ShardRouting>>,
        begun: Instant,
        zone: u32,
        life: u64,
    ) {
        let zone = observer.zone(zone);
        let member = Rc::new(Member {
            fleet: Fleet::named(&config.fleet),
            names: Keys::of(&config.fleet),
            engine: Rc::downgrade(engine),
            observer,
            books,
            zone,
            incarnation: life,
            started_at: begun,
            decisions: RefCell::new(KnownDecisions {
                zones: DecisionReader::default(),
                owners: BTreeSet::new(),
                announced: Vec::new(),
                refused: BTreeMap::new(),
                lapsed: false,
                requests_per_second: 0.0,
            }),
            config,
        });
        let client = Client::behind(member.config.coordinators.clone(), member.config.at);
        let (seen, prefix) = (member.clone(), member.names.prefix.clone());
        let clock = member.started_at;
        spawn_local(follow(client, prefix, move || clock.elapsed(), move |view| seen.read(view)));
        spawn_local(member.clone().send_reports());
        spawn_local(member.apply_decisions());
    }

    /// Takes in what the fleet has published.
    fn read(&self, view: &View) {
        let asked = view.as_of().unwrap_or_default();
        self.read_one::<ZonesDecided>(view, "zones", |decision| {
            Some(self.decisions.borrow_mut().zones.accept(asked, decision))
        });
        self.read_one::<ShareDecision>(view, "shares", |decision| {
            self.observer.install_shares(asked, decision)
        });
        self.read_one::<ShardMap>(view, "books", |decision| {
            Some(self.books.as_ref()?.install(asked, decision))
        });
        let mut known = self.decisions.borrow_mut();
        let owners = format!("{}owner/", self.names.prefix);
        let reached = |owns: RoleOwner| {
            let addr: SocketAddr = owns.report_address.parse().ok()?;
            Some(self.config.at.map_or(addr, |at| SocketAddr::from((at, addr.port()))))
        };
        known.owners =
            view.entries_under(&owners).filter_map(|(_, value)| reached(decode_value(value)?)).collect();
    }

    /// Takes in one duty's decision, where it is gone by here.
    fn read_one<T: Body>(
        &self,
        view: &View,
        duty: &str,
        take: impl FnOnce(Decision<T>) -> Option<Acceptance>,
    ) {
        let Some(bytes) = view.get(&self.names.decision(duty)) else { return };
        match decode::<Decision<T>>(self.fleet, bytes) {
            Ok(decision) => {
                let Stamp { token, revision } = decision.stamp;
                match take(decision) {
                    Some(Acceptance::New) => {
                        info!(token, revision, duty, "goes by {duty} {token}.{revision}")
                    }
                    Some(Acceptance::Stale) => {
                        info!(token, duty, "a decision on {duty} came after a newer one")
                    }
                    Some(Acceptance::Renewed) | None => {}
                }
            }
            Err(why) => {
                // One line for each cause; the one that is held stands.
                let mut known = self.decisions.borrow_mut();
                if *known.refused.entry(why).and_modify(|n| *n += 1).or_insert(1) == 1 {
                    warn!(why = why.name(), duty, "a decision on {duty} is refused: {why}");
                }
            }
        }
    }

    /// Hands what stands to the decisions, whenever it differs; nothing where it has lapsed.
    async fn apply_decisions(self: Rc<Self>) {
        let mut ticks = interval(CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            let Some(engine) = self.engine.upgrade() else { return };
            self.observer.apply_shares();
            let mut known = self.decisions.borrow_mut();
            let standing = known.zones.validity(self.started_at.elapsed());
            let lapsed = matches!(standing, Validity::Expired(..));
            let bound = match standing {
                Validity::Valid(decision) => decision.body.for_gateway(&self.zone, known.requests_per_second),
                Validity::NoDecision | Validity::Expired(..) => None,
            };
            let shares: Vec<ZoneShare> = bound
                .iter()
                .flat_map(|bound| &bound.shares)
                .filter_map(|(name, share)| {
                    let abroad = bound.as_ref()?.abroad.iter().find(|(zone, _)| zone == name);
                    let most = abroad.map_or(f64::INFINITY, |(_, most)| *most);
                    Some(ZoneShare { zone: self.observer.zone_number(name)?, share: *share, max_rate: most })
                })
                .collect();
            if std::mem::replace(&mut known.lapsed, lapsed) != lapsed {
                if lapsed {
                    warn!("the decision on zones has lapsed; each zone is chosen as it would be alone");
                } else {
                    info!("goes by what is decided in common again");
                }
            }
            if known.announced != shares {
                known.announced.clone_from(&shares);
                drop(known);
                engine.post(Event::ZoneShares(shares));
            }
        }
    }

    /// Tells what was seen, to each owner over a connection that is kept.
    async fn send_reports(self: Rc<Self>) {
        let every = Duration::from_millis(self.config.report_ms);
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut links: BTreeMap<SocketAddr, TcpStream> = BTreeMap::new();
        let (mut number, mut last) = (0, Instant::now());
        // Gateways that were started together do not report together.
        tokio::time::sleep(every.mul_f64((self.incarnation % 1000) as f64 / 1000.0)).await;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                // Reported at once, spread a little, as all hear of it together.
                () = self.observer.zone_emptied.notified() => {
                    tokio::time::sleep(NODELAY_TIMEOUT.mul_f64((self.incarnation % 100) as f64 / 100.0)).await;
                    ticks.reset();
                }
            }
            let Some(engine) = self.engine.upgrade() else { return };
            number += 1;
            let span = last.elapsed().as_secs_f64().max(1e-3);
            last = Instant::now();
            let (asked, zones) = self.observer.take_report(engine.clock.now());
            drop(engine);
            let report = {
                let mut known = self.decisions.borrow_mut();
                // Of a second or two: shares of what is asked are worked out by it.
                known.requests_per_second += 0.5 * (asked / span - known.requests_per_second);
                let (shares, shares_stamp) = self.observer.take_demand();
                let goes_by = AppliedDecisions {
                    zones: known.zones.stamp().unwrap_or_default(),
                    shares: shares_stamp,
                    shard_map: self.books.as_ref().and_then(|books| books.stamp()).unwrap_or_default(),
                };
                Report {
                    gateway: self.config.gateway,
                    incarnation: self.incarnation,
                    sequence: number,
                    zone: self.zone.clone(),
                    span_ms: ((span * 1000.0) as u32).clamp(1, 60_000),
                    requested_units: asked / span,
                    zones,
                    demand: shares,
                    applied_decisions: goes_by,
                }
            };
            let Some(bytes) = encode(self.fleet, &report) else { continue };
            let owners = self.decisions.borrow().owners.clone();
            links.retain(|addr, _| owners.contains(addr));
            for addr in owners {
                let link = links.remove(&addr);
                let sent = timeout(SEND_TIMEOUT, send(addr, link, &bytes)).await;
                if let Ok(Ok(link)) = sent {
                    links.insert(addr, link);
                }
            }
        }
    }
}

/// Writes a report on the connection that is kept, or on a new one.
async fn send(addr: SocketAddr, link: Option<TcpStream>, bytes: &[u8]) -> std::io::Result<TcpStream> {
    let mut link = match link {
        Some(link) => link,
        None => TcpStream::connect(addr).await?,
    };
    link.write_all(bytes).await?;
    Ok(link)
}
