//! A pay server.
//!
//! Models: cores that are shared by the running jobs, up to a number of slots; a queue for further jobs, and
//! `X-Never-Ran` if it is full; slower work on an overcommitted machine; a warm-up period after a cold start;
//! a crash under overload during the warm-up; draining; running jobs that continue and queued jobs that are
//! dropped after their connection has ended; the work of a new connection; suspension; receipts, if the
//! scenario enables them.
//!
//! Leaves out: memory, garbage collection, disks and the services behind a pay server; the round trips of the
//! handshake (its work is included); caches that warm up by use and not by time. A restarted pay server has a
//! new port, as a new machine would.

use crate::deployment::{Nanos, MS, SECOND};
use crate::history::{ServerOutcome, Trace};
use crate::scenario::Site;
use std::collections::{HashMap, VecDeque};

const CORES: f64 = 2.0;
/// During the warm-up, the speed is taken as constant for this long.
const WARMING_STEP: Nanos = 50 * MS;
/// Seals and results are kept for this long.
const RECEIPT_RETENTION: Nanos = 60 * SECOND;
/// Maximum number of seals and results that are kept.
const MAX_RECEIPTS: usize = 100_000;

/// An action of a pay server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The attempt starts to run.
    Started(u64),
    /// The attempt has ended.
    Finished(u64, ServerOutcome),
    /// The pay server crashes under overload: all its jobs are lost, and it stays down.
    OverloadCrash,
}

/// The reply to sealing a trace id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The request has run, in this attempt.
    Ran(u64),
    /// The request runs or waits.
    InProgress,
    /// The request has not run here and never will under a lower token.
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
    /// Remaining work, in nanoseconds of one core at speed 1.
    left: f64,
    fails: bool,
}

/// A pay server.
pub struct PayServer {
    speed: f64,
    slots: usize,
    max_queued: usize,
    thrash: f64,
    thrash_at: f64,
    drops_queued: bool,
    initial_speed_share: f64,
    warmup: Nanos,
    overload_multiple: f64,
    overload_window: Nanos,
    handshake: f64,
    /// Maximum number of connections.
    pub max_connections: usize,
    state: State,
    suspended: bool,
    /// Time of the cold start; `None` for a warm pay server.
    started: Option<Nanos>,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    /// Work that arrived within the overload window, by arrival time.
    arrived_work: VecDeque<(Nanos, f64)>,
    arrived_work_sum: f64,
    now: Nanos,
    seals: Option<Seals>,
}

/// The tokens under which trace ids are sealed, and the attempts that have run.
#[derive(Default)]
struct Seals {
    sealed: HashMap<Trace, u64>,
    ran: HashMap<Trace, u64>,
    by_age: VecDeque<(Nanos, Trace)>,
}

impl Seals {
    fn remove_expired(&mut self, now: Nanos) {
        while self
            .by_age
            .front()
            .is_some_and(|(at, _)| at + RECEIPT_RETENTION < now || self.by_age.len() > MAX_RECEIPTS)
        {
            if let Some((_, trace)) = self.by_age.pop_front() {
                self.sealed.remove(&trace);
                self.ran.remove(&trace);
            }
        }
    }
}

impl PayServer {
    /// Returns a pay server of this speed. `started` is the time of its cold start; without it the pay server
    /// is warm.
    pub fn new(site: &Site, speed: f64, receipts: bool, now: Nanos, started: Option<Nanos>) -> PayServer {
        PayServer {
            speed,
            slots: (f64::from(site.slots_per_core) * CORES) as usize,
            max_queued: (f64::from(site.queue_per_core) * CORES) as usize,
            thrash: site.thrash,
            thrash_at: site.thrash_at,
            drops_queued: site.drops_queued,
            initial_speed_share: site.initial_speed_share,
            warmup: site.warmup_ms * MS,
            overload_multiple: site.overload_multiple,
            overload_window: site.overload_window_ms * MS,
            handshake: site.handshake_us as f64 * 1e3,
            max_connections: (f64::from(site.connections_per_core) * CORES) as usize,
            state: State::Serving,
            suspended: false,
            started,
            running: Vec::new(),
            queue: VecDeque::new(),
            arrived_work: VecDeque::new(),
            arrived_work_sum: 0.0,
            now,
            seals: receipts.then(Seals::default),
        }
    }

    /// Returns the share of its full capacity that the pay server has at a time.
    fn capacity_share(&self, at: Nanos) -> f64 {
        let since = match self.started {
            Some(started) if at < started + self.warmup => at.saturating_sub(started),
            _ => return 1.0,
        };
        self.initial_speed_share + (1.0 - self.initial_speed_share) * since as f64 / self.warmup as f64
    }

    /// Returns the work that is done on each running job per nanosecond.
    fn rate(&self) -> f64 {
        let n = self.running.len() as f64;
        let slowdown = 1.0 + self.thrash * (n / CORES - self.thrash_at).max(0.0);
        self.speed * self.capacity_share(self.now) * (CORES / n).min(1.0) / slowdown
    }

    fn min_work_left(&self) -> Option<f64> {
        self.running.iter().map(|job| job.left).min_by(f64::total_cmp)
    }

    /// Returns the time of the next call of [`PayServer::advance`], if no other event comes before.
    pub fn due(&self) -> Option<Nanos> {
        let left = self.min_work_left().filter(|_| !self.suspended)?;
        let after = (left / self.rate()).ceil().max(1.0) as Nanos;
        let step = if self.capacity_share(self.now) < 1.0 { WARMING_STEP } else { Nanos::MAX };
        Some(self.now.saturating_add(after.min(step)))
    }

    /// Advances the time: works on the jobs, and finishes those that are complete.
    pub fn advance(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        while self.now < now {
            let Some(due) = self.due().filter(|due| *due <= now) else {
                self.work(now);
                return;
            };
            self.work(due);
            let mut done = Vec::new();
            self.running.retain(|job| {
                let is_done = job.left <= 0.5;
                if is_done {
                    done.push((job.attempt, job.trace, job.fails));
                }
                !is_done
            });
            for (attempt, trace, fails) in done {
                if let Some(seals) = &mut self.seals {
                    seals.ran.insert(trace, attempt);
                    seals.by_age.push_back((now, trace));
                    seals.remove_expired(now);
                }
                actions.push(Action::Finished(
                    attempt,
                    if fails { ServerOutcome::Error } else { ServerOutcome::Served },
                ));
            }
            self.start_waiting(actions);
        }
    }

    fn work(&mut self, until: Nanos) {
        if !self.suspended && !self.running.is_empty() {
            let done = self.rate() * (until - self.now) as f64;
            self.running.iter_mut().for_each(|job| job.left -= done);
        }
        self.now = until;
    }

    fn start_waiting(&mut self, actions: &mut Vec<Action>) {
        while self.running.len() < self.slots {
            let Some(job) = self.queue.pop_front() else { break };
            actions.push(Action::Started(job.attempt));
            self.running.push(job);
        }
    }

    /// Handles the arrival of a complete attempt. `first` is set for the first one on its connection; `token`
    /// is the sender's fencing token, or 0.
    #[allow(clippy::too_many_arguments)] // the parameters describe one attempt
    pub fn arrive(
        &mut self,
        now: Nanos,
        attempt: u64,
        trace: Trace,
        work: f64,
        first: bool,
        fails: bool,
        token: u64,
        actions: &mut Vec<Action>,
    ) {
        self.advance(now, actions);
        let work = work + if first { self.handshake } else { 0.0 };
        if self.is_overloaded_during_warmup(now, work) {
            self.stop();
            actions.push(Action::OverloadCrash);
            return;
        }
        let sealed = self.seals.as_ref().and_then(|seals| seals.sealed.get(&trace));
        let fenced = sealed.is_some_and(|min_token| token < *min_token);
        let has_capacity = self.running.len() < self.slots || self.queue.len() < self.max_queued;
        if self.state != State::Serving || fenced || !has_capacity {
            actions.push(Action::Finished(attempt, ServerOutcome::NeverRan));
            return;
        }
        self.queue.push_back(Job { attempt, trace, left: work, fails });
        if !self.suspended {
            self.start_waiting(actions);
        }
    }

    /// Whether the work that arrived within the window, including this work, exceeds what a pay server can
    /// handle during its warm-up.
    fn is_overloaded_during_warmup(&mut self, now: Nanos, work: f64) -> bool {
        let capacity_share = self.capacity_share(now);
        if capacity_share >= 1.0 {
            self.arrived_work.clear();
            self.arrived_work_sum = 0.0;
            return false;
        }
        self.arrived_work.push_back((now, work));
        self.arrived_work_sum += work;
        while self.arrived_work.front().is_some_and(|(at, _)| at + self.overload_window < now) {
            self.arrived_work_sum -= self.arrived_work.pop_front().map_or(0.0, |(_, work)| work);
        }
        // A full window must have passed since the start: a few requests at its beginning are not an
        // overload.
        let since = now.saturating_sub(self.started.unwrap_or(0));
        since >= self.overload_window
            && self.arrived_work_sum
                > self.overload_multiple * capacity_share * CORES * self.speed * self.overload_window as f64
    }

    /// Withdraws an attempt whose connection has ended. On sites that drop queued work, a queued attempt
    /// is removed and true is returned. A running attempt continues.
    pub fn withdraw(&mut self, now: Nanos, attempt: u64, actions: &mut Vec<Action>) -> bool {
        self.advance(now, actions);
        let queued_before = self.queue.len();
        if self.drops_queued {
            self.queue.retain(|job| job.attempt != attempt);
        }
        self.queue.len() < queued_before
    }

    /// Stops accepting new work.
    pub fn drain(&mut self) {
        if self.state == State::Serving {
            self.state = State::Draining;
        }
    }

    /// Suspends or resumes the pay server.
    pub fn set_suspended(&mut self, now: Nanos, suspended: bool, actions: &mut Vec<Action>) {
        self.advance(now, actions);
        self.suspended = suspended;
        if !suspended {
            self.start_waiting(actions);
        }
    }

    /// Ends the process, with all its jobs.
    pub fn stop(&mut self) {
        self.state = State::Down;
        self.running.clear();
        self.queue.clear();
    }

    /// Seals a trace id: if its request has not run here, it never will under a token below `min_token`.
    /// Returns `None` if receipts are not enabled.
    pub fn seal(
        &mut self,
        now: Nanos,
        trace: Trace,
        min_token: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Receipt> {
        self.advance(now, actions);
        let in_progress = self.running.iter().chain(&self.queue).any(|job| job.trace == trace);
        let seals = self.seals.as_mut()?;
        let highest = seals.sealed.entry(trace).or_insert(0);
        *highest = min_token.max(*highest);
        seals.by_age.push_back((now, trace));
        seals.remove_expired(now);
        Some(match seals.ran.get(&trace) {
            Some(attempt) => Receipt::Ran(*attempt),
            None if in_progress => Receipt::InProgress,
            None => Receipt::Sealed,
        })
    }
}
