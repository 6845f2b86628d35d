//! Which server a request goes to: the one with the least load for its size, preferring the gateway's own zone and servers
//! that have probably kept the shared parts of the prompt.
//!
//! A server's load is what this gateway has out there, and what the server last told of all gateways' requests, which fades
//! as it grows old.

use crate::prompt::{hash, mix};
use crate::Now;
use marblecroft_protocol::servers::{Server, ServerList};
use std::collections::HashMap;
use std::time::Duration;

/// What others have at a server is taken to halve in this time after it was told.
const FADES_IN: Duration = Duration::from_millis(1500);
/// A server that did not come up, or fell silent, is left alone for so long at first ...
const AVOID_FIRST: Duration = Duration::from_millis(500);
/// ... and twice as long each time, up to this.
const AVOID_MOST: Duration = Duration::from_secs(4);
/// A server that said that it is full is left alone for so long.
const FULL_FOR: Duration = Duration::from_millis(60);
/// Load, as a share of a server's slots, that a server of another zone is taken to have on top.
const OTHER_ZONE: f64 = 0.15;
/// ... and one that has probably not kept the shared parts.
const NOT_KEPT: f64 = 0.08;
/// Tokens of prompts that a server is taken to read in a second, while it does nothing else.
const READ_PER_S: f64 = 60_000.0;
/// So many tokens to read make a server as dear as if all its slots were taken: streams there pause while it reads.
const READING_SCALE: f64 = 8_000.0;
/// Servers that a prompt's shared parts are spread over.
const KEEPERS: usize = 3;

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
    avoid_until: Now,
    avoided: u32,
    listed: bool,
}

/// The servers of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    known: HashMap<String, Known>,
    zone: String,
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
    fn load(&self, now: Now) -> f64 {
        let others = self.told_at.map_or(0.0, |at| {
            let age = now.saturating_sub(at).as_secs_f64() / FADES_IN.as_secs_f64();
            self.others * (-age).exp2()
        });
        f64::from(self.out) + others
    }

    /// Tokens of prompts that it has probably not read yet.
    fn still_reading(&self, now: Now) -> f64 {
        let read = now.saturating_sub(self.reading_at).as_secs_f64() * READ_PER_S;
        (self.reading - read).max(0.0)
    }

    fn share(&self, now: Now) -> f64 {
        self.load(now) / f64::from(self.server.slots.max(1))
    }
}

impl Fleet {
    /// An empty fleet, as seen from a gateway in `zone`.
    pub fn new(zone: &str, seed: u64) -> Fleet {
        Fleet { known: HashMap::new(), zone: zone.to_owned(), turn: seed }
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
                avoid_until: Now::ZERO,
                avoided: 0,
                listed: true,
            };
            let known = self.known.entry(server.id.clone()).or_insert_with(fresh);
            known.server = server.clone();
            known.listed = true;
        }
        self.known.retain(|_, known| known.listed || known.out > 0);
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
        let price = |known: &Known| {
            let share = known.share(now);
            let zone = if known.server.zone == self.zone { 0.0 } else { OTHER_ZONE };
            let kept = if keepers.is_empty() || keepers.contains(&known.server.id) { 0.0 } else { NOT_KEPT };
            let avoided = if known.avoid_until > now { 100.0 } else { 0.0 };
            // Far below one request: only equal servers take turns by it.
            let jitter = (mix(turn ^ hash(known.server.id.as_bytes())) >> 40) as f64 * 1e-10;
            let reading = known.still_reading(now) / READING_SCALE;
            share + zone + kept + avoided + reading + jitter
        };
        let best = usable
            .filter(|known| known.share(now) <= wish.load_most)
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
        ranked.into_iter().take(KEEPERS).map(|(_, id)| id.to_owned()).collect()
    }

    /// A request with a prompt of so many tokens goes to a server.
    pub fn sent(&mut self, id: &str, tokens: u32, now: Now) {
        if let Some(known) = self.known.get_mut(id) {
            known.out += 1;
            known.reading = known.still_reading(now) + f64::from(tokens);
            known.reading_at = now;
        }
    }

    /// A request is no longer at a server.
    pub fn ended(&mut self, id: &str) {
        if let Some(known) = self.known.get_mut(id) {
            known.out = known.out.saturating_sub(1);
        }
    }

    /// A server has answered: it is alive.
    pub fn answered(&mut self, id: &str) {
        if let Some(known) = self.known.get_mut(id) {
            known.avoided = 0;
            known.avoid_until = Now::ZERO;
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

    /// A server did not come up, broke off or was silent.
    pub fn failed(&mut self, id: &str, now: Now) {
        if let Some(known) = self.known.get_mut(id) {
            if known.avoid_until > now {
                return;
            }
            let pause = AVOID_FIRST * 2u32.saturating_pow(known.avoided);
            known.avoided = (known.avoided + 1).min(6);
            known.avoid_until = now + pause.min(AVOID_MOST);
        }
    }

    /// A server said that it has no room.
    pub fn full(&mut self, id: &str, now: Now) {
        if let Some(known) = self.known.get_mut(id) {
            known.avoid_until = known.avoid_until.max(now + FULL_FOR);
        }
    }

    /// How far the servers of a service are taken, over all of them; `None` where there are none.
    pub fn occupancy(&self, service: &str, now: Now) -> Option<f64> {
        let (mut load, mut slots) = (0.0, 0.0);
        for known in self.of_service(service) {
            load += known.load(now);
            slots += f64::from(known.server.slots.max(1));
        }
        (slots > 0.0).then(|| load / slots)
    }

    /// Slots of all servers that requests may be sent to.
    pub fn all_slots(&self) -> u32 {
        let usable = self.known.values().filter(|known| known.listed && !known.server.draining);
        usable.map(|known| known.server.slots).sum()
    }
}
