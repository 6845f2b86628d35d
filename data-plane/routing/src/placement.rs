//! Which server a request goes to: the one with the least load for its size, preferring the gateway's own zone and servers
//! that have probably kept the shared parts of the prompt.
//!
//! A server's load is what this gateway has out there, and what the server last told of all gateways' requests, which fades
//! as it grows old.

use crate::prompt::{hash, mix};
use crate::tuning::{millis, Tuning};
use crate::Now;
use marblecroft_protocol::load::{ServerOut, ZoneOut};
use marblecroft_protocol::servers::{Server, ServerList};
use std::collections::HashMap;
use std::time::Duration;

/// A server that did not come up, or fell silent, is left alone for so long at first ...
const AVOID_FIRST: Duration = Duration::from_millis(500);
/// ... and twice as long each time, up to this.
const AVOID_MOST: Duration = Duration::from_secs(4);
/// A server that said that it is full is left alone for so long.
const FULL_FOR: Duration = Duration::from_millis(60);
/// What a server said of its load (`X-Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

impl ToldLoad {
    /// From "RUNNING,WAITING,SLOTS".
    pub fn parse(text: &str) -> Option<ToldLoad> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let mut next = || numbers.next().flatten();
        Some(ToldLoad { running: next()?, waiting: next()?, slots: next()? })
    }
}

/// One incarnation of a server, as this gateway knows it.
#[derive(Clone, Debug)]
pub struct Known {
    pub server: Server,
    /// Requests of this gateway that it has.
    pub out: u32,
    /// Tokens of prompts that this gateway sent and that it has probably not read yet, as of `reading_at`.
    reading: f64,
    reading_at: Now,
    /// What others have there, when it was told.
    others: f64,
    told_at: Option<Now>,
    /// Whether it said that requests wait.
    waiting: bool,
    /// What other gateways have told that they have there, by gateway.
    peers: HashMap<u64, PeerOut>,
    avoid_until: Now,
    avoided: u32,
    /// The share of requests that fail there, as this gateway has met it, and as other gateways tell it.
    failing: Failing,
    peers_failing: Failing,
    listed: bool,
}

/// What another gateway has at a server.
#[derive(Clone, Copy, Debug)]
struct PeerOut {
    out: u32,
    told_at: Now,
}

/// A share of requests that fail. It fades, so that a server that gets none is tried again, a little at first.
#[derive(Clone, Copy, Debug, Default)]
struct Failing {
    share: f64,
    at: Now,
}

impl Failing {
    fn at(&self, tuning: &Tuning, now: Now) -> f64 {
        let half_lives = now.saturating_sub(self.at).as_secs_f64() * 1000.0 / tuning.failing_half_life_ms;
        self.share * (-half_lives).exp2()
    }

    /// Takes one more outcome: 0 for a success, 1 for a failure.
    fn note(&mut self, tuning: &Tuning, outcome: f64, now: Now) {
        let share = self.at(tuning, now);
        *self = Failing { share: share + tuning.failing_weight * (outcome - share), at: now };
    }
}

/// How an attempt ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// An answer of its own that is no failure of the server's.
    Answered,
    /// It did not come up, broke off, was silent, or answered that it failed.
    Failed,
    /// It has no room.
    Full,
}

/// The servers of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    known: HashMap<String, Known>,
    /// Ids of servers by their hash.
    ids: HashMap<u64, String>,
    /// Tokens of prompts sent to each server since the other gateways were last told.
    untold: HashMap<u64, u32>,
    /// Counts what has changed of what is out.
    changes: u64,
    /// Requests of this gateway at the servers of each zone, in the mean over the latest time.
    means: HashMap<String, f64>,
    means_at: Now,
    /// What all gateways have at the servers of each zone, as a share of their slots, and when that was told.
    zones: HashMap<String, f64>,
    zones_at: Option<Now>,
    /// Live requests that all gateways together have at servers.
    live: f64,
    zone: String,
    tuning: Tuning,
    /// Changes with every choice, so that equal servers take turns.
    turn: u64,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    pub service: &'a str,
    /// Key of the prompt's shared parts.
    pub shared: Option<u64>,
    /// Servers that were tried already.
    pub tried: &'a [String],
    /// Most load, as a share of the slots, that the server may have.
    pub load_most: f64,
}

impl Known {
    /// Requests that it is taken to have.
    fn load(&self, tuning: &Tuning, now: Now) -> f64 {
        let others = self.told_at.map_or(0.0, |at| {
            let half_life = millis(tuning.told_half_life_ms);
            let age = now.saturating_sub(at).as_secs_f64() / half_life.as_secs_f64();
            self.others * (-age).exp2()
        });
        f64::from(self.out) + others.max(self.peers_out(tuning, now))
    }

    /// Requests that other gateways have there, as far as they have told lately.
    fn peers_out(&self, tuning: &Tuning, now: Now) -> f64 {
        let lasts = millis(tuning.peer_lasts_ms);
        let is_new = |peer: &&PeerOut| now.saturating_sub(peer.told_at) < lasts;
        self.peers.values().filter(is_new).map(|peer| f64::from(peer.out)).sum()
    }

    /// Leaves it alone for a while, longer each time.
    fn avoid(&mut self, now: Now) {
        if self.avoid_until > now {
            return;
        }
        let pause = AVOID_FIRST * 2u32.saturating_pow(self.avoided);
        self.avoided = (self.avoided + 1).min(6);
        self.avoid_until = now + pause.min(AVOID_MOST);
    }

    /// Tokens of prompts that it has probably not read yet.
    fn still_reading(&self, tuning: &Tuning, now: Now) -> f64 {
        let read = now.saturating_sub(self.reading_at).as_secs_f64() * 1000.0 * tuning.read_per_ms;
        (self.reading - read).max(0.0)
    }

    fn share(&self, tuning: &Tuning, now: Now) -> f64 {
        self.load(tuning, now) / f64::from(self.server.slots.max(1))
    }
}

impl Fleet {
    /// An empty fleet, as seen from a gateway in `zone`.
    pub fn new(zone: &str, seed: u64, tuning: Tuning) -> Fleet {
        Fleet { zone: zone.to_owned(), tuning, turn: seed, ..Fleet::default() }
    }

    /// Follows the list.
    pub fn update(&mut self, list: &ServerList) {
        for known in self.known.values_mut() {
            known.listed = false;
        }
        for server in &list.servers {
            let fresh = || Known {
                server: server.clone(),
                out: 0,
                reading: 0.0,
                reading_at: Now::ZERO,
                others: 0.0,
                told_at: None,
                waiting: false,
                peers: HashMap::new(),
                avoid_until: Now::ZERO,
                avoided: 0,
                failing: Failing::default(),
                peers_failing: Failing::default(),
                listed: true,
            };
            let known = self.known.entry(server.id.clone()).or_insert_with(fresh);
            known.server = server.clone();
            known.listed = true;
        }
        self.known.retain(|_, known| known.listed || known.out > 0);
        self.untold.retain(|server, _| self.ids.contains_key(server));
        self.ids = self.known.keys().map(|id| (hash(id.as_bytes()), id.clone())).collect();
    }

    /// Carries the means on to this time; called before anything that is out changes.
    fn carry_means(&mut self, now: Now) {
        let spans = now.saturating_sub(self.means_at).as_secs_f64() * 1000.0 / self.tuning.mean_memory_ms;
        self.means_at = now;
        let kept = (-spans).exp();
        let mut outs: HashMap<&str, f64> = HashMap::new();
        for known in self.known.values() {
            *outs.entry(&known.server.zone).or_default() += f64::from(known.out);
        }
        for (zone, out) in outs {
            match self.means.get_mut(zone) {
                Some(mean) => *mean = out + (*mean - out) * kept,
                None => drop(self.means.insert(zone.to_owned(), out * (1.0 - kept))),
            }
        }
    }

    /// What this gateway has at the servers of each zone, in the mean over the latest time.
    pub fn zone_means(&mut self, now: Now) -> Vec<ZoneOut> {
        self.carry_means(now);
        self.means.iter().map(|(zone, out)| ZoneOut { zone: zone.clone(), out: *out as f32 }).collect()
    }

    /// What all gateways together have at the servers of each zone, and how many live requests at all of them.
    pub fn note_all(&mut self, zones: &[ZoneOut], live: f32, now: Now) {
        let mut slots: HashMap<&str, u32> = HashMap::new();
        for known in self.known.values().filter(|known| known.listed && !known.server.draining) {
            *slots.entry(&known.server.zone).or_default() += known.server.slots;
        }
        let share = |zone: &ZoneOut| {
            let slots = slots.get(zone.zone.as_str()).copied().unwrap_or(0);
            f64::from(zone.out) / f64::from(slots.max(1))
        };
        self.zones = zones.iter().map(|zone| (zone.zone.clone(), share(zone))).collect();
        self.zones_at = Some(now);
        self.live = f64::from(live);
    }

    /// The share of its slots that a server of another zone is taken to have: that zone's mean, where it is known.
    fn zone_share(&self, zone: &str, now: Now) -> f64 {
        let lasts = millis(self.tuning.zone_lasts_ms);
        let is_new = self.zones_at.is_some_and(|at| now.saturating_sub(at) < lasts);
        if is_new {
            self.zones.get(zone).copied().unwrap_or(0.0)
        } else {
            0.0
        }
    }

    /// Counts what has changed of what is out.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// What other gateways are to be told: all that is out, and what was sent since this was last asked.
    pub fn tell(&mut self, now: Now) -> Vec<ServerOut> {
        let mut untold = std::mem::take(&mut self.untold);
        let mut outs: Vec<ServerOut> = self
            .known
            .values()
            .filter_map(|known| {
                let server = hash(known.server.id.as_bytes());
                let failing = (known.failing.at(&self.tuning, now) * f64::from(u8::MAX)) as u8;
                let tokens = untold.remove(&server).unwrap_or(0);
                let is_worth_telling = known.out > 0 || tokens > 0 || failing > 0;
                is_worth_telling.then_some(ServerOut { server, out: known.out, tokens, failing })
            })
            .collect();
        outs.extend(untold.into_iter().map(|(server, tokens)| ServerOut {
            server,
            out: 0,
            tokens,
            failing: 0,
        }));
        outs
    }

    /// Another gateway tells all that it has out.
    pub fn note_peer(&mut self, peer: u64, outs: &[ServerOut], now: Now) {
        for known in self.known.values_mut() {
            known.peers.remove(&peer);
        }
        for told in outs {
            let id = self.ids.get(&told.server);
            let Some(known) = id.and_then(|id| self.known.get_mut(id)) else { continue };
            if told.out > 0 {
                known.peers.insert(peer, PeerOut { out: told.out, told_at: now });
            }
            known.reading = known.still_reading(&self.tuning, now) + f64::from(told.tokens);
            known.reading_at = now;
            let failing = f64::from(told.failing) / f64::from(u8::MAX);
            if failing > known.peers_failing.at(&self.tuning, now) {
                known.peers_failing = Failing { share: failing, at: now };
            }
        }
    }

    /// Whether requests may be sent to this incarnation.
    pub fn usable(&self, id: &str) -> bool {
        self.known.get(id).is_some_and(|known| known.listed && !known.server.draining)
    }

    /// The servers of a service that requests may be sent to.
    fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Known> {
        self.known
            .values()
            .filter(move |known| known.listed && !known.server.draining && known.server.backend == service)
    }

    /// The best server for a request.
    pub fn choose(&mut self, wish: &Wish, now: Now) -> Option<Server> {
        self.turn = mix(self.turn);
        let turn = self.turn;
        let keepers = wish.shared.map(|key| self.keepers(wish.service, key)).unwrap_or_default();
        let usable = self.of_service(wish.service).filter(|known| !wish.tried.contains(&known.server.id));
        let tuning = &self.tuning;
        let price = |known: &Known| {
            let own_zone = known.server.zone == self.zone;
            let share = known.share(tuning, now);
            let share = if own_zone { share } else { share.max(self.zone_share(&known.server.zone, now)) };
            let zone = if own_zone { 0.0 } else { tuning.other_zone_load };
            let kept = if keepers.is_empty() || keepers.contains(&known.server.id) {
                0.0
            } else {
                tuning.not_kept_load
            };
            let avoided = if known.avoid_until > now { 100.0 } else { 0.0 };
            // Gateways that choose at the same moment, and equal servers, are not to meet at one.
            let chance = (mix(turn ^ hash(known.server.id.as_bytes())) >> 11) as f64 / (1u64 << 53) as f64;
            let jitter = chance * tuning.chance_load;
            let reading = known.still_reading(tuning, now) / tuning.reading_scale_tokens;
            let failing = known.failing.at(tuning, now).max(known.peers_failing.at(tuning, now));
            let failing = failing * tuning.failing_load;
            share + failing + zone + kept + avoided + reading + jitter
        };
        let best = usable
            .filter(|known| known.share(tuning, now) <= wish.load_most)
            .min_by(|a, b| price(a).total_cmp(&price(b)))?;
        if best.avoid_until > now && wish.load_most.is_finite() {
            return None;
        }
        Some(best.server.clone())
    }

    /// The servers that a prompt's shared parts are kept on: those that come first by rendezvous hashing.
    fn keepers(&self, service: &str, key: u64) -> Vec<String> {
        let mut ranked: Vec<(u64, &str)> = self
            .of_service(service)
            .filter(|known| known.server.zone == self.zone)
            .map(|known| (mix(key ^ hash(known.server.id.as_bytes())), known.server.id.as_str()))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().take(self.tuning.keepers as usize).map(|(_, id)| id.to_owned()).collect()
    }

    /// A request with a prompt of so many tokens goes to a server.
    pub fn sent(&mut self, id: &str, tokens: u32, now: Now) {
        self.changes += 1;
        self.carry_means(now);
        if let Some(known) = self.known.get_mut(id) {
            known.out += 1;
            let untold = self.untold.entry(hash(id.as_bytes())).or_default();
            *untold = untold.saturating_add(tokens);
            known.reading = known.still_reading(&self.tuning, now) + f64::from(tokens);
            known.reading_at = now;
        }
    }

    /// A request is no longer at a server.
    pub fn ended(&mut self, id: &str, now: Now) {
        self.changes += 1;
        self.carry_means(now);
        if let Some(known) = self.known.get_mut(id) {
            known.out = known.out.saturating_sub(1);
        }
    }

    /// An attempt at a server has ended so.
    pub fn note_outcome(&mut self, id: &str, outcome: ServerOutcome, now: Now) {
        let Some(known) = self.known.get_mut(id) else { return };
        match outcome {
            ServerOutcome::Answered => {
                known.failing.note(&self.tuning, 0.0, now);
                known.avoided = 0;
                known.avoid_until = Now::ZERO;
            }
            ServerOutcome::Failed => {
                known.failing.note(&self.tuning, 1.0, now);
                known.avoid(now);
            }
            ServerOutcome::Full => known.avoid_until = known.avoid_until.max(now + FULL_FOR),
        }
    }

    /// A server told its load.
    pub fn told(&mut self, id: &str, load: ToldLoad, now: Now) {
        if let Some(known) = self.known.get_mut(id) {
            known.others =
                (f64::from(load.running) + f64::from(load.waiting) - f64::from(known.out)).max(0.0);
            known.told_at = Some(now);
            known.waiting = load.waiting > 0;
        }
    }

    /// How far the servers of a service are taken, over all of them; `None` where there are none. Where none of them tells
    /// its load it is the share that live requests of all gateways take of all slots: items of batch jobs give way to them by
    /// themselves.
    pub fn occupancy(&self, service: &str, now: Now) -> Option<f64> {
        let (mut load, mut slots, mut tells) = (0.0, 0.0, false);
        for known in self.of_service(service) {
            load += known.load(&self.tuning, now);
            slots += f64::from(known.server.slots.max(1));
            tells |= known.told_at.is_some();
        }
        let part = slots / f64::from(self.all_slots().max(1));
        let load = if tells { load } else { self.live_of_all(now) * part };
        (slots > 0.0).then(|| load / slots)
    }

    /// Live requests of all gateways, where that was told lately.
    fn live_of_all(&self, now: Now) -> f64 {
        let lasts = millis(self.tuning.zone_lasts_ms);
        if self.zones_at.is_some_and(|at| now.saturating_sub(at) < lasts) {
            self.live
        } else {
            0.0
        }
    }

    /// Slots of all servers that requests may be sent to.
    pub fn all_slots(&self) -> u32 {
        let usable = self.known.values().filter(|known| known.listed && !known.server.draining);
        usable.map(|known| known.server.slots).sum()
    }
}
