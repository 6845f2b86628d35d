//! A scenario: which fleet, which load, which faults, and what is expected; one TOML file.
//!
//! Unknown keys are refused, and every error is one line that names the field. What the file leaves out has the default
//! that stands here. [`crate::deployment`] draws from it and a seed.

pub mod in_common;

use crate::deployment::End;
use in_common::{Books, Tenants};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::path::PathBuf;

/// A scenario, as its file has it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    pub fleet: Fleet,
    pub load: Load,
    pub site: Site,
    pub owners: Owners,
    pub registers: Registers,
    #[serde(rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Tenants>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub books: Option<Books>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expect: Option<Expect>,
}

/// The processes and the stand-ins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Processes of the gateway, 0 to 300. With 0 clients ask the pay servers themselves: what the lab alone can do.
    pub gateways: u32,
    /// Stand-ins of pay servers, 1 to 200.
    pub pay_servers: u32,
    /// Where gateways and pay servers stand, in turn; one at least.
    pub zones: Vec<String>,
    /// Pay servers seal ids and tell what came of them.
    pub receipts: bool,
    /// Processes of the list service, 0 to 3; with 0 the stand-in of the platform's discovery tells the list.
    pub list_service: u32,
    /// Processes of the coordination service: 0, 3 or 5.
    pub coordinators: u32,
    /// Merged into the configuration of the first, second, ... of them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub coordinator_config: Vec<toml::Table>,
    /// There is a counter.
    pub counter: bool,
    /// The gateway's program, where it is not the one beside this one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// Merged into each gateway's configuration as it is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub gateway_config: Option<toml::Table>,
    /// Zones by region; left out: one region.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub regions: BTreeMap<String, Vec<String>>,
    /// One more zone, with neither gateways nor pay servers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub witness: Option<String>,
    /// Processes of the steward; they need coordinators.
    pub stewards: u32,
    /// Merged into each steward's configuration as it is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub steward_config: Option<toml::Table>,
    /// Pay servers turn writes under older epochs away.
    pub fencing: bool,
    /// Cells that pay servers are dealt out over, each within one zone; 0: by fours.
    pub cells: u32,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 3,
            pay_servers: 9,
            zones: ["hall-a", "hall-b", "hall-c"].map(str::to_owned).to_vec(),
            receipts: false,
            list_service: 0,
            coordinators: 0,
            coordinator_config: Vec::new(),
            counter: true,
            program: None,
            gateway_config: None,
            regions: BTreeMap::new(),
            witness: None,
            stewards: 0,
            steward_config: None,
            fencing: false,
            cells: 0,
        }
    }
}

/// What the clients ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second, without retries; sent on schedule, whatever comes back.
    pub rate: f64,
    pub duration_ms: u64,
    pub customers: u32,
    /// The share of the class that must never run twice.
    pub unsafe_share: f64,
    /// Further tries that a client makes by itself.
    pub retries: u32,
    /// A client that lost its gateway returns with the same id, also where its request may have run.
    pub come_back: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 60.0,
            duration_ms: 20_000,
            customers: 40,
            unsafe_share: 0.46,
            retries: 2,
            come_back: false,
        }
    }
}

/// Figures of the site that the stand-ins go by. The defaults lie within the ranges that the operators publish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Site {
    /// Mean work of a request, in ms of one core, and its coefficient of variation.
    pub work_ms: f64,
    pub work_cv: f64,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    /// The least share of the deadline that a client waits for a try.
    pub try_share: f64,
    pub backoff_ms: u64,
    /// The share of refusals whose `Retry-After` is honoured.
    pub honour: f64,
    /// A front notices a dead gateway this late.
    pub notice_ms: u64,
    pub speed: f64,
    pub speed_cv: f64,
    pub slots_per_core: u32,
    pub queue_per_core: u32,
    /// Each request beyond `thrash_at` for each core slows all by this share.
    pub thrash: f64,
    pub thrash_at: f64,
    pub error_rate: f64,
    /// Waiting work is dropped when its connection ends.
    pub drops_queued: bool,
    pub cold_from: f64,
    pub cold_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub connections_per_core: u32,
    /// Work that a new connection costs a pay server, in us of one core.
    pub handshake_us: u64,
    pub meter_late_ms: u64,
    /// The list tells of a server that drains or dies this late, ...
    pub list_notice_ms: u64,
    /// ... and of a new one this late.
    pub list_add_ms: u64,
    /// Calls a second that the counter bears.
    pub counter_per_s: f64,
    /// How unevenly a customer's requests come in through its gateways: 0 evenly.
    pub skew: f64,
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
}

impl Default for Site {
    fn default() -> Site {
        let plan = |name: &str, share, rate, burst_s, price, over_cost, open, ceiling| Plan {
            name: name.to_owned(),
            share,
            rate,
            burst_s,
            price,
            over_cost,
            open,
            ceiling,
        };
        Site {
            work_ms: 140.0,
            work_cv: 0.9,
            aim_ms: 1000,
            deadline_ms: 4000,
            try_share: 0.75,
            backoff_ms: 200,
            honour: 0.65,
            notice_ms: 2500,
            speed: 1.0,
            speed_cv: 0.1,
            slots_per_core: 4,
            queue_per_core: 20,
            thrash: 0.1,
            thrash_at: 5.0,
            error_rate: 0.0002,
            drops_queued: true,
            cold_from: 0.33,
            cold_ms: 12_000,
            fall_multiple: 2.0,
            fall_ms: 3000,
            connections_per_core: 700,
            handshake_us: 1000,
            meter_late_ms: 800,
            list_notice_ms: 2000,
            list_add_ms: 1000,
            counter_per_s: 640.0,
            skew: 0.7,
            plans: vec![
                plan("starter", 0.37, 0.8, 4.3, 0.72, 0.8, 0, 0.0),
                plan("standard", 0.38, 1.5, 4.4, 1.3, 1.2, 2, 0.0),
                plan("enterprise", 0.25, 6.1, 1.6, 1.6, 0.8, 0, 2.1),
            ],
        }
    }
}

/// Stand-ins of processes that would own work of the fleet; only where there are coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Owners {
    /// Each wants every lock.
    pub candidates: u32,
    /// `lock-0`, `lock-1`, ...
    pub locks: u32,
    pub session_ms: u64,
}

impl Default for Owners {
    fn default() -> Owners {
        Owners { candidates: 4, locks: 3, session_ms: 1500 }
    }
}

/// Clients of the coordination service whose calls are judged for linearizability; only where there are coordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registers {
    /// Clients that read and write, each about this often.
    pub clients: u32,
    pub every_ms: u64,
    pub registers: u32,
    /// Clients that watch all of them.
    pub watchers: u32,
}

impl Default for Registers {
    fn default() -> Registers {
        Registers { clients: 3, every_ms: 200, registers: 3, watchers: 1 }
    }
}

/// A plan; customers are given to plans so that each has its `share` of the use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    pub share: f64,
    /// Units a second, before they are scaled to the load.
    pub rate: f64,
    /// The store's depth, in seconds of the rate.
    pub burst_s: f64,
    pub price: f64,
    pub over_cost: f64,
    /// Attempts out at once; 0: no such quota.
    #[serde(default)]
    pub open: u32,
    /// The hard ceiling in multiples of the rate; 0: none.
    #[serde(default)]
    pub ceiling: f64,
}

/// A fault, as the file has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// After the load's begin.
    pub at_ms: u64,
    pub kind: FaultKind,
    pub target: Target,
    /// Of the target, drawn by the seed; all without `share` and `count`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub count: Option<u32>,
    /// For faults of links: between the target and these; all others without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Target>,
    /// Only what goes from `from` to the target.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub one_way: bool,
    /// Undone after this time; for good without it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
    /// `cut`: connections are reset, and new ones too; silence without it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reset: bool,
    /// `delay`: this much more each way (100 without it), and up to as much again by `jitter_ms`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jitter_ms: Option<u64>,
    /// `lose` and `duplicate`: the share of datagrams (0.3 without it). What a stream loses comes 200 ms later.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probability: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    Kill,
    Term,
    Stop,
    Restart,
    Wipe,
    Cut,
    Delay,
    Lose,
    Duplicate,
    FullDisk,
}

impl FaultKind {
    /// Whether it is done to what lies between processes.
    pub fn of_links(self) -> bool {
        matches!(self, FaultKind::Cut | FaultKind::Delay | FaultKind::Lose | FaultKind::Duplicate)
    }
}

/// A kind of process or stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Clients,
    Gateways,
    PayServers,
    ListService,
    Coordinators,
    Counter,
    Candidates,
    Stewards,
    /// Where the pay servers of a cell keep what is written, and take what is asked of the cell.
    Cells,
}

impl Kind {
    pub const ALL: [Kind; 9] = [
        Kind::Clients,
        Kind::Gateways,
        Kind::PayServers,
        Kind::ListService,
        Kind::Coordinators,
        Kind::Counter,
        Kind::Candidates,
        Kind::Stewards,
        Kind::Cells,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Kind::Clients => "clients",
            Kind::Gateways => "gateways",
            Kind::PayServers => "pay_servers",
            Kind::ListService => "list_service",
            Kind::Coordinators => "coordinators",
            Kind::Counter => "counter",
            Kind::Candidates => "candidates",
            Kind::Stewards => "stewards",
            Kind::Cells => "cells",
        }
    }
}

/// Whom a fault concerns: `gateways`, `gateways[2]`, `zone:NAME`, `region:NAME`, or `owner:NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Target {
    All(Kind),
    One(Kind, u32),
    Owner(String),
    /// All that stands there.
    Zone(String),
    Region(String),
}

/// Owners of these are stewards.
pub const DUTIES: [&str; 3] = marblecroft_singleton_roles::keys::ROLES;
/// The owner of this name is the coordinator that leads.
pub const LEADER: &str = "leader";

impl Target {
    /// The name of whose owner it is.
    pub fn owner(&self) -> Option<String> {
        match self {
            Target::Owner(name) => Some(name.clone()),
            _ => None,
        }
    }
}

impl TryFrom<String> for Target {
    type Error = String;

    fn try_from(text: String) -> Result<Target, String> {
        if let Some(name) = text.strip_prefix("owner:") {
            return Ok(Target::Owner(name.to_owned()));
        }
        if let Some(name) = text.strip_prefix("zone:") {
            return Ok(Target::Zone(name.to_owned()));
        }
        if let Some(name) = text.strip_prefix("region:") {
            return Ok(Target::Region(name.to_owned()));
        }
        let (name, index) = match text.strip_suffix(']').and_then(|rest| rest.split_once('[')) {
            Some((name, index)) => {
                (name, Some(index.parse().map_err(|_| format!("{text:?}: no such number"))?))
            }
            None => (text.as_str(), None),
        };
        let kind = Kind::ALL.into_iter().find(|kind| kind.name() == name);
        let kind = kind.ok_or_else(|| format!("{text:?} is none of the fleet's kinds"))?;
        Ok(index.map_or(Target::All(kind), |index| Target::One(kind, index)))
    }
}

impl From<Target> for String {
    fn from(target: Target) -> String {
        target.to_string()
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::All(kind) => f.write_str(kind.name()),
            Target::One(kind, index) => write!(f, "{}[{index}]", kind.name()),
            Target::Owner(name) => write!(f, "owner:{name}"),
            Target::Zone(name) => write!(f, "zone:{name}"),
            Target::Region(name) => write!(f, "region:{name}"),
        }
    }
}

/// What is wanted beyond the invariants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Requests that were served, as a share of all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served_share: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub full_service_within_ms: Option<u64>,
    /// Requests that ended with no answer, at the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_at_most: Option<u64>,
}

/// Bounds of what one machine and one history bear.
pub const GATEWAYS_MOST: u32 = 300;
pub const SERVERS_MOST: u32 = 200;
const LISTS_MOST: u32 = 3;
const CUSTOMERS_MOST: u32 = 20_000;
const RATE_MOST: f64 = 20_000.0;
const DURATION_MOST_MS: u64 = 30 * 60 * 1000;
const FAULTS_MOST: usize = 256;
const REQUESTS_MOST: f64 = 5e6;

impl Scenario {
    /// Reads a file's text; the error is one line that names the field.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |span| text[..span.start].matches('\n').count() + 1);
            format!("line {line}: {}", e.message().replace('\n', " "))
        })?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Where clients' requests come in: at the gateways, or at the pay servers where there are none.
    pub fn entries(&self) -> u32 {
        match self.fleet.gateways {
            0 => self.fleet.pay_servers,
            gateways => gateways,
        }
    }

    /// How many of a kind there are.
    pub fn count(&self, kind: Kind) -> u32 {
        match kind {
            Kind::Clients => 1,
            Kind::Gateways => self.fleet.gateways,
            Kind::PayServers => self.fleet.pay_servers,
            Kind::ListService => self.fleet.list_service.max(1),
            Kind::Coordinators => self.fleet.coordinators,
            Kind::Counter => u32::from(self.fleet.counter),
            Kind::Stewards => self.fleet.stewards,
            Kind::Cells => self.fleet.cells,
            Kind::Candidates => {
                if self.fleet.coordinators > 0 {
                    // Whoever keeps registers comes after those that want locks.
                    self.owners.candidates + self.registers.clients + self.registers.watchers
                } else {
                    0
                }
            }
        }
    }

    /// All zones, with the witness as the last.
    pub fn all_zones(&self) -> Vec<&str> {
        self.fleet.zones.iter().chain(&self.fleet.witness).map(String::as_str).collect()
    }

    /// The region of a zone; a witness is one of its own.
    pub fn region(&self, zone: &str) -> String {
        let named = self.fleet.regions.iter().find(|(_, zones)| zones.iter().any(|other| other == zone));
        match named {
            Some((region, _)) => region.clone(),
            None if self.fleet.witness.as_deref() == Some(zone) => format!("witness {zone}"),
            None => String::new(),
        }
    }

    /// The zone, by its number among all, in which something stands; none for what stands nowhere.
    pub fn place(&self, end: End) -> Option<usize> {
        let zones = self.fleet.zones.len();
        match end {
            End::Gateway(i) | End::PayServer(i) | End::Cell(i) => Some(usize::from(i) % zones),
            End::Coordinator(i) | End::Steward(i) => self.dealt(usize::from(i)),
            End::ListService(i) if self.fleet.list_service > 0 => self.dealt(usize::from(i)),
            End::Clients | End::Counter | End::Candidate(_) | End::ListService(_) => None,
        }
    }

    /// The zone of the first, second, ... process that is dealt over regions in turn, and within each over its zones.
    fn dealt(&self, number: usize) -> Option<usize> {
        let all = self.all_zones();
        let mut regions: Vec<(String, Vec<usize>)> = Vec::new();
        for (zone, name) in all.iter().enumerate() {
            let region = self.region(name);
            match regions.iter_mut().find(|(other, _)| *other == region) {
                Some((_, zones)) => zones.push(zone),
                None => regions.push((region, vec![zone])),
            }
        }
        let (_, zones) = regions.get(number % regions.len().max(1))?;
        zones.get(number / regions.len() % zones.len()).copied()
    }

    /// Whether a zone is what a target names, or in it.
    pub fn stands_in(&self, zone: usize, target: &Target) -> bool {
        let Some(name) = self.all_zones().get(zone).copied() else { return false };
        match target {
            Target::Zone(wanted) => name == wanted,
            Target::Region(wanted) => self.region(name) == *wanted,
            _ => false,
        }
    }

    fn validate(&self) -> Result<(), String> {
        let Scenario { fleet, load, site, owners, registers, faults, expect, .. } = self;
        self.validate_in_common()?;
        within("fleet.gateways", fleet.gateways, 0, GATEWAYS_MOST)?;
        if fleet.gateways == 0 && fleet.coordinators == 0 && !faults.is_empty() {
            return Err("fault: without gateways the lab only measures itself".to_owned());
        }
        within("fleet.pay_servers", fleet.pay_servers, 1, SERVERS_MOST)?;
        within("fleet.list_service", fleet.list_service, 0, LISTS_MOST)?;
        if ![0, 3, 5].contains(&fleet.coordinators) {
            return Err(format!("fleet.coordinators: {} is not 0, 3 or 5", fleet.coordinators));
        }
        if fleet.coordinator_config.len() > fleet.coordinators as usize {
            return Err("fleet.coordinator_config: more than there are coordinators".to_owned());
        }
        within("registers.clients", registers.clients, 0, 100)?;
        within("registers.every_ms", registers.every_ms, 1, 60_000)?;
        within("registers.registers", registers.registers, 1, 1000)?;
        within("registers.watchers", registers.watchers, 0, 100)?;
        within("owners.candidates", owners.candidates, 1, 300)?;
        within("owners.locks", owners.locks, 1, 64)?;
        within("owners.session_ms", owners.session_ms, 500, 60_000)?;
        if fleet.zones.is_empty() || fleet.zones.iter().any(|zone| zone.is_empty() || zone.len() > 128) {
            return Err("fleet.zones: one zone at least, each with a name of 128 bytes at most".to_owned());
        }
        within("fleet.stewards", fleet.stewards, 0, 8)?;
        if fleet.stewards > 0 && fleet.coordinators == 0 {
            return Err("fleet.stewards: they need coordinators".to_owned());
        }
        let all = self.all_zones();
        if (1..all.len()).any(|i| all[..i].contains(&all[i])) {
            return Err("fleet.zones: a name comes twice".to_owned());
        }
        let listed: Vec<&String> = fleet.regions.values().flatten().collect();
        let once = |zone: &String| listed.iter().filter(|other| **other == zone).count() == 1;
        let known = listed.iter().all(|zone| fleet.zones.contains(zone));
        if !(fleet.regions.is_empty() || known && fleet.zones.iter().all(once)) {
            return Err("fleet.regions: each zone in one of them, and no others".to_owned());
        }
        within("load.rate", load.rate, 0.1, RATE_MOST)?;
        within("load.duration_ms", load.duration_ms, 1000, DURATION_MOST_MS)?;
        let requests = load.rate * load.duration_ms as f64 / 1000.0;
        within("load.rate: requests in all", requests, 1.0, REQUESTS_MOST)?;
        within("load.customers", load.customers, 1, CUSTOMERS_MOST)?;
        within("load.unsafe_share", load.unsafe_share, 0.0, 1.0)?;
        within("load.retries", load.retries, 0, 10)?;
        for (name, value, least, most) in [
            ("site.work_ms", site.work_ms, 0.1, 10_000.0),
            ("site.work_cv", site.work_cv, 0.0, 5.0),
            ("site.try_share", site.try_share, 0.05, 1.0),
            ("site.honour", site.honour, 0.0, 1.0),
            ("site.speed", site.speed, 0.01, 100.0),
            ("site.speed_cv", site.speed_cv, 0.0, 1.0),
            ("site.thrash", site.thrash, 0.0, 10.0),
            ("site.thrash_at", site.thrash_at, 0.0, 1e6),
            ("site.error_rate", site.error_rate, 0.0, 1.0),
            ("site.cold_from", site.cold_from, 0.01, 1.0),
            ("site.fall_multiple", site.fall_multiple, 1.0, 1000.0),
            ("site.counter_per_s", site.counter_per_s, 1.0, 1e6),
            ("site.skew", site.skew, 0.0, 10.0),
        ] {
            within(name, value, least, most)?;
        }
        for (name, value, least, most) in [
            ("site.aim_ms", site.aim_ms, 1, 600_000),
            ("site.deadline_ms", site.deadline_ms, site.aim_ms, 600_000),
            ("site.backoff_ms", site.backoff_ms, 0, 60_000),
            ("site.notice_ms", site.notice_ms, 0, 600_000),
            ("site.cold_ms", site.cold_ms, 0, 600_000),
            ("site.fall_ms", site.fall_ms, 1, 600_000),
            ("site.handshake_us", site.handshake_us, 0, 1_000_000),
            ("site.meter_late_ms", site.meter_late_ms, 0, 60_000),
            ("site.list_notice_ms", site.list_notice_ms, 0, 600_000),
            ("site.list_add_ms", site.list_add_ms, 0, 600_000),
        ] {
            within(name, value, least, most)?;
        }
        within("site.slots_per_core", site.slots_per_core, 1, 1000)?;
        within("site.queue_per_core", site.queue_per_core, 0, 100_000)?;
        within("site.connections_per_core", site.connections_per_core, 1, 10_000)?;
        if site.plans.is_empty() || site.plans.len() > 16 {
            return Err("site.plan: 1 to 16 plans".to_owned());
        }
        for (i, plan) in site.plans.iter().enumerate() {
            within(&format!("site.plan[{i}].share"), plan.share, 0.0, 1.0)?;
            within(&format!("site.plan[{i}].rate"), plan.rate, 0.01, 1e6)?;
            within(&format!("site.plan[{i}].burst_s"), plan.burst_s, 0.01, 3600.0)?;
            within(&format!("site.plan[{i}].ceiling"), plan.ceiling, 0.0, 1000.0)?;
        }
        within("site.plan: shares in all", site.plans.iter().map(|plan| plan.share).sum(), 0.01, 16.0)?;
        if faults.len() > FAULTS_MOST {
            return Err(format!("fault: {FAULTS_MOST} at the most"));
        }
        for (i, fault) in faults.iter().enumerate() {
            self.validate_fault(fault).map_err(|e| format!("fault[{i}].{e}"))?;
        }
        if let Some(share) = expect.as_ref().and_then(|expect| expect.served_share) {
            within("expect.served_share", share, 0.0, 1.0)?;
        }
        Ok(())
    }

    fn validate_fault(&self, fault: &Fault) -> Result<(), String> {
        within("at_ms", fault.at_ms, 0, self.load.duration_ms)?;
        if let Some(for_ms) = fault.for_ms {
            within("for_ms", for_ms, 1, DURATION_MOST_MS)?;
        }
        let kind = self.target("target", &fault.target)?;
        if let Some(from) = &fault.from {
            if !fault.kind.of_links() {
                return Err("from: only faults of links lie between two sides".to_owned());
            }
            self.target("from", from)?;
        }
        if fault.one_way && fault.from.is_none() {
            return Err("one_way: between which sides? `from` is missing".to_owned());
        }
        let one = |set: bool, name: &str, kinds: &[FaultKind]| match set && !kinds.contains(&fault.kind) {
            true => Err(format!("{name}: means nothing for this kind of fault")),
            false => Ok(()),
        };
        one(fault.reset, "reset", &[FaultKind::Cut])?;
        one(fault.delay_ms.is_some(), "delay_ms", &[FaultKind::Delay])?;
        one(fault.jitter_ms.is_some(), "jitter_ms", &[FaultKind::Delay])?;
        one(fault.probability.is_some(), "probability", &[FaultKind::Lose, FaultKind::Duplicate])?;
        match (fault.share, fault.count) {
            (Some(_), Some(_)) => return Err("share: `count` is set as well".to_owned()),
            (Some(share), None) => within("share", share, 0.0, 1.0)?,
            (None, Some(count)) => within("count", count, 0, self.count(kind))?,
            (None, None) => {}
        }
        if !matches!(fault.target, Target::All(_)) && (fault.share.is_some() || fault.count.is_some()) {
            return Err("target: it names one already, so `share` and `count` mean nothing".to_owned());
        }
        within("delay_ms", fault.delay_ms.unwrap_or(0), 0, 60_000)?;
        within("jitter_ms", fault.jitter_ms.unwrap_or(0), 0, 60_000)?;
        within("probability", fault.probability.unwrap_or(0.0), 0.0, 1.0)?;
        let stands_in = kind == Kind::ListService && self.fleet.list_service == 0;
        match (fault.kind, kind) {
            (FaultKind::FullDisk, Kind::ListService) if !stands_in => Ok(()),
            (FaultKind::FullDisk, Kind::Coordinators) => Ok(()),
            (FaultKind::Stop, Kind::Candidates) => Ok(()),
            (_, Kind::Candidates) if !fault.kind.of_links() => {
                Err("kind: candidates stand still or lose their links".to_owned())
            }
            (FaultKind::FullDisk, _) => Err("kind: only processes with a folder have a disk".to_owned()),
            (kind, _) if kind.of_links() => Ok(()),
            (_, Kind::Clients) => Err("target: clients only lose their links".to_owned()),
            (FaultKind::Term, Kind::Counter | Kind::Cells) => {
                Err("kind: the counter and cells take no signals".to_owned())
            }
            _ => Ok(()),
        }
    }

    /// The kind of a target that the fleet has.
    fn target(&self, field: &str, target: &Target) -> Result<Kind, String> {
        let (kind, index) = match target {
            Target::All(kind) => (*kind, 0),
            Target::One(kind, index) => (*kind, *index),
            Target::Owner(name) if name == LEADER && self.fleet.coordinators > 0 => {
                return Ok(Kind::Coordinators);
            }
            Target::Owner(name) if self.fleet.stewards > 0 && DUTIES.contains(&name.as_str()) => {
                return Ok(Kind::Stewards);
            }
            Target::Zone(_) | Target::Region(_) => {
                let there = (0..self.all_zones().len()).any(|zone| self.stands_in(zone, target));
                return match there {
                    true => Ok(Kind::Gateways),
                    false => Err(format!("{field}: the fleet has no {target}")),
                };
            }
            Target::Owner(name) => {
                let known = (0..self.owners.locks).any(|n| *name == format!("lock-{n}"));
                return match known && self.fleet.coordinators > 0 {
                    true => Ok(Kind::Candidates),
                    false => Err(format!("{field}: nothing in this fleet owns {name:?}")),
                };
            }
        };
        match index < self.count(kind) {
            true => Ok(kind),
            false => {
                Err(format!("{field}: the fleet has {} of {:?}, not {target}", self.count(kind), kind.name()))
            }
        }
    }
}

fn within<T: PartialOrd + Display>(name: &str, value: T, least: T, most: T) -> Result<(), String> {
    match value >= least && value <= most {
        true => Ok(()),
        false => Err(format!("{name}: {value} is not from {least} to {most}")),
    }
}
