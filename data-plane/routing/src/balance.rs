//! Which server a request goes to: the one with the least load for its size, preferring the gateway's own zone and servers
//! that have probably kept the shared parts of the prompt.
//!
//! A server's load is what this gateway has out there, and what the server last told of all gateways' requests, which fades
//! as it grows old.

use crate::prompt::{hash, mix};
use crate::tuning::{millis, Tuning};
use crate::Now;
use marblecroft_protocol::load::{ServerLoad, ZoneLoad};
use marblecroft_protocol::servers::{Server, ServerList};
use std::collections::HashMap;
use std::time::Duration;

/// A server that did not come up, or fell silent, is left alone for so long at first ...
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// ... and twice as long each time, up to this.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// A server that said that it is full is left alone for so long.
const FULL_SERVER_BACKOFF: Duration = Duration::from_millis(60);
/// What a server said of its load (`X-Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

impl ReportedLoad {
    /// From "RUNNING,WAITING,SLOTS".
    pub fn parse(text: &str) -> Option<ReportedLoad> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let mut next = || numbers.next().flatten();
        Some(ReportedLoad { running: next()?, waiting: next()?, slots: next()? })
    }
}

/// One incarnation of a server, as this gateway knows it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub server: Server,
    /// Requests of this gateway that it has.
    pub in_flight: u32,
    /// Tokens of prompts that this gateway sent and that it has probably not read yet, as of `reading_at`.
    unread_prompt_tokens: f64,
    unread_as_of: Now,
    /// What others have there, when it was told.
    reported_by_others: f64,
    load_reported_at: Option<Now>,
    /// Whether it said that requests wait.
    has_queue: bool,
    /// What other gateways have told that they have there, by gateway.
    peer_loads: HashMap<u64, PeerLoad>,
    ejected_until: Now,
    consecutive_ejections: u32,
    /// The share of requests that fail there, as this gateway has met it, and as other gateways tell it.
    failure_rate: FailureRate,
    peer_failure_rate: FailureRate,
    listed: bool,
}

/// What another gateway has at a server.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    in_flight: u32,
    reported_at: Now,
}

/// A share of requests that fail. It fades, so that a server that gets none is tried again, a little at first.
#[derive(Clone, Copy, Debug, Default)]
struct FailureRate {
    share: f64,
    as_of: Now,
}

impl FailureRate {
    fn decayed(&self, tuning: &Tuning, now: Now) -> f64 {
        let half_lives = now.saturating_sub(self.as_of).as_secs_f64() * 1000.0 / tuning.failing_half_life_ms;
        self.share * (-half_lives).exp2()
    }

    /// Takes one more outcome: 0 for a success, 1 for a failure.
    fn record(&mut self, tuning: &Tuning, outcome: f64, now: Now) {
        let share = self.decayed(tuning, now);
        *self = FailureRate { share: share + tuning.failing_weight * (outcome - share), as_of: now };
    }
}

/// How an attempt ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// An answer of its own that is no failure of the server's.
    Succeeded,
    /// It did not come up, broke off, was silent, or answered that it failed.
    Failed,
    /// It has no room.
    Full,
}

/// The servers of all services.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    endpoints: HashMap<String, Endpoint>,
    /// Ids of servers by their hash.
    ids_by_hash: HashMap<u64, String>,
    /// Tokens of prompts sent to each server since the other gateways were last told.
    unreported_prompt_tokens: HashMap<u64, u32>,
    /// Counts what has changed of what is out.
    changes: u64,
    /// Requests of this gateway at the servers of each zone, in the mean over the latest time.
    zone_means: HashMap<String, f64>,
    zone_means_at: Now,
    /// What all gateways have at the servers of each zone, as a share of their slots, and when that was told.
    zone_occupancy: HashMap<String, f64>,
    zone_occupancy_at: Option<Now>,
    /// Live requests that all gateways together have at servers.
    live_requests: f64,
    local_zone: String,
    tuning: Tuning,
    /// Changes with every choice, so that equal servers take turns.
    turn: u64,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    pub service: &'a str,
    /// Key of the prompt's shared parts.
    pub prefix_key: Option<u64>,
    /// Servers that were tried already.
    pub attempted: &'a [String],
    /// Most load, as a share of the slots, that the server may have.
    pub max_load: f64,
}

impl Endpoint {
    /// Requests that it is taken to have.
    fn load(&self, tuning: &Tuning, now: Now) -> f64 {
        let others = self.load_reported_at.map_or(0.0, |at| {
            let half_life = millis(tuning.told_half_life_ms);
            let age = now.saturating_sub(at).as_secs_f64() / half_life.as_secs_f64();
            self.reported_by_others * (-age).exp2()
        });
        f64::from(self.in_flight) + others.max(self.peer_requests(tuning, now))
    }

    /// Requests that other gateways have there, as far as they have told lately.
    fn peer_requests(&self, tuning: &Tuning, now: Now) -> f64 {
        let lasts = millis(tuning.peer_lasts_ms);
        let is_new = |peer: &&PeerLoad| now.saturating_sub(peer.reported_at) < lasts;
        self.peer_loads.values().filter(is_new).map(|peer| f64::from(peer.in_flight)).sum()
    }

    /// Leaves it alone for a while, longer each time.
    fn eject(&mut self, now: Now) {
        if self.ejected_until > now {
            return;
        }
        let pause = INITIAL_EJECTION * 2u32.saturating_pow(self.consecutive_ejections);
        self.consecutive_ejections = (self.consecutive_ejections + 1).min(6);
        self.ejected_until = now + pause.min(MAX_EJECTION);
    }

    /// Tokens of prompts that it has probably not read yet.
    fn unread_tokens(&self, tuning: &Tuning, now: Now) -> f64 {
        let read = now.saturating_sub(self.unread_as_of).as_secs_f64() * 1000.0 * tuning.read_per_ms;
        (self.unread_prompt_tokens - read).max(0.0)
    }

    fn occupancy(&self, tuning: &Tuning, now: Now) -> f64 {
        self.load(tuning, now) / f64::from(self.server.slots.max(1))
    }
}

impl LoadBalancer {
    /// An empty fleet, as seen from a gateway in `zone`.
    pub fn new(zone: &str, seed: u64, tuning: Tuning) -> LoadBalancer {
        LoadBalancer { local_zone: zone.to_owned(), tuning, turn: seed, ..LoadBalancer::default() }
    }

    /// Follows the list.
    pub fn update(&mut self, list: &ServerList) {
        for known in self.endpoints.values_mut() {
            known.listed = false;
        }
        for server in &list.servers {
            let fresh = || Endpoint {
                server: server.clone(),
                in_flight: 0,
                unread_prompt_tokens: 0.0,
                unread_as_of: Now::ZERO,
                reported_by_others: 0.0,
                load_reported_at: None,
                has_queue: false,
                peer_loads: HashMap::new(),
                ejected_until: Now::ZERO,
                consecutive_ejections: 0,
                failure_rate: FailureRate::default(),
                peer_failure_rate: FailureRate::default(),
                listed: true,
            };
            let known = self.endpoints.entry(server.id.clone()).or_insert_with(fresh);
            known.server = server.clone();
            known.listed = true;
        }
        self.endpoints.retain(|_, known| known.listed || known.in_flight > 0);
        self.unreported_prompt_tokens.retain(|server, _| self.ids_by_hash.contains_key(server));
        self.ids_by_hash = self.endpoints.keys().map(|id| (hash(id.as_bytes()), id.clone())).collect();
    }

    /// Carries the means on to this time; called before anything that is out changes.
    fn advance_zone_means(&mut self, now: Now) {
        let spans =
            now.saturating_sub(self.zone_means_at).as_secs_f64() * 1000.0 / self.tuning.mean_memory_ms;
        self.zone_means_at = now;
        let kept = (-spans).exp();
        let mut outs: HashMap<&str, f64> = HashMap::new();
        for known in self.endpoints.values() {
            *outs.entry(&known.server.zone).or_default() += f64::from(known.in_flight);
        }
        for (zone, out) in outs {
            match self.zone_means.get_mut(zone) {
                Some(mean) => *mean = out + (*mean - out) * kept,
                None => drop(self.zone_means.insert(zone.to_owned(), out * (1.0 - kept))),
            }
        }
    }

    /// What this gateway has at the servers of each zone, in the mean over the latest time.
    pub fn zone_means(&mut self, now: Now) -> Vec<ZoneLoad> {
        self.advance_zone_means(now);
        self.zone_means
            .iter()
            .map(|(zone, out)| ZoneLoad { zone: zone.clone(), in_flight: *out as f32 })
            .collect()
    }

    /// What all gateways together have at the servers of each zone, and how many live requests at all of them.
    pub fn on_cluster_load(&mut self, zones: &[ZoneLoad], live: f32, now: Now) {
        let mut slots: HashMap<&str, u32> = HashMap::new();
        for known in self.endpoints.values().filter(|known| known.listed && !known.server.draining) {
            *slots.entry(&known.server.zone).or_default() += known.server.slots;
        }
        let share = |zone: &ZoneLoad| {
            let slots = slots.get(zone.zone.as_str()).copied().unwrap_or(0);
            f64::from(zone.in_flight) / f64::from(slots.max(1))
        };
        self.zone_occupancy = zones.iter().map(|zone| (zone.zone.clone(), share(zone))).collect();
        self.zone_occupancy_at = Some(now);
        self.live_requests = f64::from(live);
    }

    /// The share of its slots that a server of another zone is taken to have: that zone's mean, where it is known.
    fn zone_share(&self, zone: &str, now: Now) -> f64 {
        let lasts = millis(self.tuning.zone_lasts_ms);
        let is_new = self.zone_occupancy_at.is_some_and(|at| now.saturating_sub(at) < lasts);
        if is_new {
            self.zone_occupancy.get(zone).copied().unwrap_or(0.0)
        } else {
            0.0
        }
    }

    /// Counts what has changed of what is out.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// What other gateways are to be told: all that is out, and what was sent since this was last asked.
    pub fn take_load_update(&mut self, now: Now) -> Vec<ServerLoad> {
        let mut untold = std::mem::take(&mut self.unreported_prompt_tokens);
        let mut outs: Vec<ServerLoad> = self
            .endpoints
            .values()
            .filter_map(|known| {
                let server = hash(known.server.id.as_bytes());
                let failing = (known.failure_rate.decayed(&self.tuning, now) * f64::from(u8::MAX)) as u8;
                let tokens = untold.remove(&server).unwrap_or(0);
                let is_worth_telling = known.in_flight > 0 || tokens > 0 || failing > 0;
                is_worth_telling.then_some(ServerLoad {
                    server,
                    in_flight: known.in_flight,
                    prompt_tokens: tokens,
                    failure_share: failing,
                })
            })
            .collect();
        outs.extend(untold.into_iter().map(|(server, tokens)| ServerLoad {
            server,
            in_flight: 0,
            prompt_tokens: tokens,
            failure_share: 0,
        }));
        outs
    }

    /// Another gateway tells all that it has out.
    pub fn on_peer_load(&mut self, peer: u64, outs: &[ServerLoad], now: Now) {
        for known in self.endpoints.values_mut() {
            known.peer_loads.remove(&peer);
        }
        for told in outs {
            let id = self.ids_by_hash.get(&told.server);
            let Some(known) = id.and_then(|id| self.endpoints.get_mut(id)) else { continue };
            if told.in_flight > 0 {
                known.peer_loads.insert(peer, PeerLoad { in_flight: told.in_flight, reported_at: now });
            }
            known.unread_prompt_tokens =
                known.unread_tokens(&self.tuning, now) + f64::from(told.prompt_tokens);
            known.unread_as_of = now;
            let failing = f64::from(told.failure_share) / f64::from(u8::MAX);
            if failing > known.peer_failure_rate.decayed(&self.tuning, now) {
                known.peer_failure_rate = FailureRate { share: failing, as_of: now };
            }
        }
    }

    /// Whether requests may be sent to this incarnation.
    pub fn is_available(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|known| known.listed && !known.server.draining)
    }

    /// The servers of a service that requests may be sent to.
    fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints
            .values()
            .filter(move |known| known.listed && !known.server.draining && known.server.backend == service)
    }

    /// The best server for a request.
    pub fn choose(&mut self, wish: &PlacementRequest, now: Now) -> Option<Server> {
        self.turn = mix(self.turn);
        let turn = self.turn;
        let keepers = wish.prefix_key.map(|key| self.affine_servers(wish.service, key)).unwrap_or_default();
        let usable =
            self.endpoints_of(wish.service).filter(|known| !wish.attempted.contains(&known.server.id));
        let tuning = &self.tuning;
        let price = |known: &Endpoint| {
            let own_zone = known.server.zone == self.local_zone;
            let share = known.occupancy(tuning, now);
            let share = if own_zone { share } else { share.max(self.zone_share(&known.server.zone, now)) };
            let zone = if own_zone { 0.0 } else { tuning.other_zone_load };
            let kept = if keepers.is_empty() || keepers.contains(&known.server.id) {
                0.0
            } else {
                tuning.not_kept_load
            };
            let avoided = if known.ejected_until > now { 100.0 } else { 0.0 };
            // Gateways that choose at the same moment, and equal servers, are not to meet at one.
            let chance = (mix(turn ^ hash(known.server.id.as_bytes())) >> 11) as f64 / (1u64 << 53) as f64;
            let jitter = chance * tuning.chance_load;
            let reading = known.unread_tokens(tuning, now) / tuning.reading_scale_tokens;
            let failing =
                known.failure_rate.decayed(tuning, now).max(known.peer_failure_rate.decayed(tuning, now));
            let failing = failing * tuning.failing_load;
            share + failing + zone + kept + avoided + reading + jitter
        };
        let best = usable
            .filter(|known| known.occupancy(tuning, now) <= wish.max_load)
            .min_by(|a, b| price(a).total_cmp(&price(b)))?;
        if best.ejected_until > now && wish.max_load.is_finite() {
            return None;
        }
        Some(best.server.clone())
    }

    /// The servers that a prompt's shared parts are kept on: those that come first by rendezvous hashing.
    fn affine_servers(&self, service: &str, key: u64) -> Vec<String> {
        let mut ranked: Vec<(u64, &str)> = self
            .endpoints_of(service)
            .filter(|known| known.server.zone == self.local_zone)
            .map(|known| (mix(key ^ hash(known.server.id.as_bytes())), known.server.id.as_str()))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().take(self.tuning.keepers as usize).map(|(_, id)| id.to_owned()).collect()
    }

    /// A request with a prompt of so many tokens goes to a server.
    pub fn on_sent(&mut self, id: &str, tokens: u32, now: Now) {
        self.changes += 1;
        self.advance_zone_means(now);
        if let Some(known) = self.endpoints.get_mut(id) {
            known.in_flight += 1;
            let untold = self.unreported_prompt_tokens.entry(hash(id.as_bytes())).or_default();
            *untold = untold.saturating_add(tokens);
            known.unread_prompt_tokens = known.unread_tokens(&self.tuning, now) + f64::from(tokens);
            known.unread_as_of = now;
        }
    }

    /// A request is no longer at a server.
    pub fn on_finished(&mut self, id: &str, now: Now) {
        self.changes += 1;
        self.advance_zone_means(now);
        if let Some(known) = self.endpoints.get_mut(id) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// An attempt at a server has ended so.
    pub fn on_outcome(&mut self, id: &str, outcome: ServerOutcome, now: Now) {
        let Some(known) = self.endpoints.get_mut(id) else { return };
        match outcome {
            ServerOutcome::Succeeded => {
                known.failure_rate.record(&self.tuning, 0.0, now);
                known.consecutive_ejections = 0;
                known.ejected_until = Now::ZERO;
            }
            ServerOutcome::Failed => {
                known.failure_rate.record(&self.tuning, 1.0, now);
                known.eject(now);
            }
            ServerOutcome::Full => known.ejected_until = known.ejected_until.max(now + FULL_SERVER_BACKOFF),
        }
    }

    /// A server told its load.
    pub fn on_reported_load(&mut self, id: &str, load: ReportedLoad, now: Now) {
        if let Some(known) = self.endpoints.get_mut(id) {
            known.reported_by_others =
                (f64::from(load.running) + f64::from(load.waiting) - f64::from(known.in_flight)).max(0.0);
            known.load_reported_at = Some(now);
            known.has_queue = load.waiting > 0;
        }
    }

    /// How far the servers of a service are taken, over all of them; `None` where there are none. Where none of them tells
    /// its load it is the share that live requests of all gateways take of all slots: items of batch jobs give way to them by
    /// themselves.
    pub fn occupancy(&self, service: &str, now: Now) -> Option<f64> {
        let (mut load, mut slots, mut tells) = (0.0, 0.0, false);
        for known in self.endpoints_of(service) {
            load += known.load(&self.tuning, now);
            slots += f64::from(known.server.slots.max(1));
            tells |= known.load_reported_at.is_some();
        }
        let part = slots / f64::from(self.total_slots().max(1));
        let load = if tells { load } else { self.cluster_live_requests(now) * part };
        (slots > 0.0).then(|| load / slots)
    }

    /// Live requests of all gateways, where that was told lately.
    fn cluster_live_requests(&self, now: Now) -> f64 {
        let lasts = millis(self.tuning.zone_lasts_ms);
        if self.zone_occupancy_at.is_some_and(|at| now.saturating_sub(at) < lasts) {
            self.live_requests
        } else {
            0.0
        }
    }

    /// Slots of all servers that requests may be sent to.
    pub fn total_slots(&self) -> u32 {
        let usable = self.endpoints.values().filter(|known| known.listed && !known.server.draining);
        usable.map(|known| known.server.slots).sum()
    }
}
