//! A pay server.
//!
//! Models: cores that are shared by what runs, up to a number of slots; a queue behind them, and `X-Never-Ran` beyond it;
//! the slowing of a crowded machine; warming from a cold start in time; falling over where it is sent too much while cold;
//! draining; work that goes on after its connection has ended, and waiting work that does not; the price of a new
//! connection; pauses; receipts, where the scenario gives it that ability.
//!
//! Leaves out: memory, garbage, disks and what lies behind a pay server; the handshake's round trips (its work is there);
//! caches that warm by use and not by time. A restarted one has a new port, as a new machine would.

use crate::deployment::{Nanos, MS, SECOND};
use crate::history::{Answer, Trace};
use crate::scenario::Site;
use std::collections::{HashMap, VecDeque};

const CORES: f64 = 2.0;
/// While it warms, its speed is taken as constant for so long.
const WARMING_STEP: Nanos = 50 * MS;
/// Results are kept for receipts for so long, and so many.
const RECEIPT_KEPT: Nanos = 60 * SECOND;
const RECEIPTS_MOST: usize = 100_000;

/// What happens at a pay server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// The attempt begins to run.
    Ran(u64),
    /// The attempt has ended.
    Answer(u64, Answer),
    /// It fell over: all it had is lost, and it stays down.
    Fell,
}

/// What a pay server says of an id that is sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It has run, under this attempt.
    Ran(u64),
    /// It runs or waits.
    Out,
    /// It has not run here and never will under a lower token.
    Sealed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    Draining,
    Down,
}

struct Job {
    attempt: u64,
    trace: Trace,
    /// Work that is left, in ns of one core at speed 1.
    left: f64,
    fails: bool,
}

/// A pay server.
pub struct PayServer {
    speed: f64,
    slots: usize,
    queue_most: usize,
    thrash: f64,
    thrash_at: f64,
    drops_queued: bool,
    cold_from: f64,
    cold: Nanos,
    fall_multiple: f64,
    fall: Nanos,
    handshake: f64,
    /// Connections that it accepts at most.
    pub connections_most: usize,
    state: State,
    paused: bool,
    /// When it was started cold; `None`: long ago.
    started: Option<Nanos>,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    /// Work that arrived of late, for the fall.
    arrived: VecDeque<(Nanos, f64)>,
    arrived_sum: f64,
    now: Nanos,
    seals: Option<Seals>,
}

/// Under which tokens ids are sealed, and what has run.
#[derive(Default)]
struct Seals {
    sealed: HashMap<Trace, u64>,
    ran: HashMap<Trace, u64>,
    order: VecDeque<(Nanos, Trace)>,
}

impl Seals {
    fn forget(&mut self, now: Nanos) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| at + RECEIPT_KEPT < now || self.order.len() > RECEIPTS_MOST)
        {
            if let Some((_, trace)) = self.order.pop_front() {
                self.sealed.remove(&trace);
                self.ran.remove(&trace);
            }
        }
    }
}

impl PayServer {
    /// One of this speed; `started` where it is cold.
    pub fn new(site: &Site, speed: f64, receipts: bool, now: Nanos, started: Option<Nanos>) -> PayServer {
        PayServer {
            speed,
            slots: (f64::from(site.slots_per_core) * CORES) as usize,
            queue_most: (f64::from(site.queue_per_core) * CORES) as usize,
            thrash: site.thrash,
            thrash_at: site.thrash_at,
            drops_queued: site.drops_queued,
            cold_from: site.cold_from,
            cold: site.cold_ms * MS,
            fall_multiple: site.fall_multiple,
            fall: site.fall_ms * MS,
            handshake: site.handshake_us as f64 * 1e3,
            connections_most: (f64::from(site.connections_per_core) * CORES) as usize,
            state: State::Serving,
            paused: false,
            started,
            running: Vec::new(),
            queue: VecDeque::new(),
            arrived: VecDeque::new(),
            arrived_sum: 0.0,
            now,
            seals: receipts.then(Seals::default),
        }
    }

    /// The share of its capacity that it has by now.
    fn warmth(&self, at: Nanos) -> f64 {
        let since = match self.started {
            Some(started) if at < started + self.cold => at.saturating_sub(started),
            _ => return 1.0,
        };
        self.cold_from + (1.0 - self.cold_from) * since as f64 / self.cold as f64
    }

    /// Work done on each running job in a nanosecond.
    fn rate(&self) -> f64 {
        let n = self.running.len() as f64;
        let crowd = 1.0 + self.thrash * (n / CORES - self.thrash_at).max(0.0);
        self.speed * self.warmth(self.now) * (CORES / n).min(1.0) / crowd
    }

    fn left_least(&self) -> Option<f64> {
        self.running.iter().map(|job| job.left).min_by(f64::total_cmp)
    }

    /// When it is to be advanced, if nothing comes before.
    pub fn due(&self) -> Option<Nanos> {
        let left = self.left_least().filter(|_| !self.paused)?;
        let after = (left / self.rate()).ceil().max(1.0) as Nanos;
        let step = if self.warmth(self.now) < 1.0 { WARMING_STEP } else { Nanos::MAX };
        Some(self.now.saturating_add(after.min(step)))
    }

    /// Time goes on.
    pub fn advance(&mut self, now: Nanos, acts: &mut Vec<Act>) {
        while self.now < now {
            let Some(due) = self.due().filter(|due| *due <= now) else {
                self.work(now);
                return;
            };
            self.work(due);
            let mut done = Vec::new();
            self.running.retain(|job| {
                let over = job.left <= 0.5;
                if over {
                    done.push((job.attempt, job.trace, job.fails));
                }
                !over
            });
            for (attempt, trace, fails) in done {
                if let Some(seals) = &mut self.seals {
                    seals.ran.insert(trace, attempt);
                    seals.order.push_back((now, trace));
                    seals.forget(now);
                }
                acts.push(Act::Answer(attempt, if fails { Answer::Error } else { Answer::Served }));
            }
            self.start_waiting(acts);
        }
    }

    fn work(&mut self, until: Nanos) {
        if !self.paused && !self.running.is_empty() {
            let done = self.rate() * (until - self.now) as f64;
            self.running.iter_mut().for_each(|job| job.left -= done);
        }
        self.now = until;
    }

    fn start_waiting(&mut self, acts: &mut Vec<Act>) {
        while self.running.len() < self.slots {
            let Some(job) = self.queue.pop_front() else { break };
            acts.push(Act::Ran(job.attempt));
            self.running.push(job);
        }
    }

    /// An attempt has come whole; `first` on its connection; `token`: under which its sender acts, where it says so.
    #[allow(clippy::too_many_arguments)] // all of it is one attempt
    pub fn arrive(
        &mut self,
        now: Nanos,
        attempt: u64,
        trace: Trace,
        work: f64,
        first: bool,
        fails: bool,
        token: u64,
        acts: &mut Vec<Act>,
    ) {
        self.advance(now, acts);
        let work = work + if first { self.handshake } else { 0.0 };
        if self.falls_over(now, work) {
            self.down();
            acts.push(Act::Fell);
            return;
        }
        let sealed = self.seals.as_ref().and_then(|seals| seals.sealed.get(&trace));
        let fenced = sealed.is_some_and(|below| token < *below);
        let room = self.running.len() < self.slots || self.queue.len() < self.queue_most;
        if self.state != State::Serving || fenced || !room {
            acts.push(Act::Answer(attempt, Answer::NeverRan));
            return;
        }
        self.queue.push_back(Job { attempt, trace, left: work, fails });
        if !self.paused {
            self.start_waiting(acts);
        }
    }

    /// Whether what has come in the window, this included, is beyond what a cold one bears.
    fn falls_over(&mut self, now: Nanos, work: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            self.arrived.clear();
            self.arrived_sum = 0.0;
            return false;
        }
        self.arrived.push_back((now, work));
        self.arrived_sum += work;
        while self.arrived.front().is_some_and(|(at, _)| at + self.fall < now) {
            self.arrived_sum -= self.arrived.pop_front().map_or(0.0, |(_, work)| work);
        }
        // A whole window must have passed: a few requests in its first moments are no load.
        let since = now.saturating_sub(self.started.unwrap_or(0));
        since >= self.fall
            && self.arrived_sum > self.fall_multiple * warmth * CORES * self.speed * self.fall as f64
    }

    /// Its connection has ended: what waits is dropped on some sites, and that is told; what runs goes on.
    pub fn withdraw(&mut self, now: Nanos, attempt: u64, acts: &mut Vec<Act>) -> bool {
        self.advance(now, acts);
        let waited = self.queue.len();
        if self.drops_queued {
            self.queue.retain(|job| job.attempt != attempt);
        }
        self.queue.len() < waited
    }

    /// Takes nothing new.
    pub fn drain(&mut self) {
        if self.state == State::Serving {
            self.state = State::Draining;
        }
    }

    /// Stands still, or goes on.
    pub fn pause(&mut self, now: Nanos, paused: bool, acts: &mut Vec<Act>) {
        self.advance(now, acts);
        self.paused = paused;
        if !paused {
            self.start_waiting(acts);
        }
    }

    /// Its process is gone, and all it had.
    pub fn down(&mut self) {
        self.state = State::Down;
        self.running.clear();
        self.queue.clear();
    }

    /// Seals an id: if it has not run here, it never will under a token below this one. `None` without the ability.
    pub fn seal(&mut self, now: Nanos, trace: Trace, below: u64, acts: &mut Vec<Act>) -> Option<Receipt> {
        self.advance(now, acts);
        let out = self.running.iter().chain(&self.queue).any(|job| job.trace == trace);
        let seals = self.seals.as_mut()?;
        let highest = seals.sealed.entry(trace).or_insert(0);
        *highest = below.max(*highest);
        seals.order.push_back((now, trace));
        seals.forget(now);
        Some(match seals.ran.get(&trace) {
            Some(attempt) => Receipt::Ran(*attempt),
            None if out => Receipt::Out,
            None => Receipt::Sealed,
        })
    }
}
