//! Checks of the invariants, based on the history alone.
//!
//! Each invariant holds, is violated (with the first cases, their ids and times), or does not apply for a
//! stated reason. No result depends on the speed of the machine: time limits are extended by the recorded
//! delays of the harness.

mod attempts;
mod discovery;
mod findings;
mod locks;
mod rate_limits;
mod registers;

use crate::deployment::{Nanos, SECOND, SOCKET_SLACK};
use crate::endpoint::Endpoint;
use crate::history::{Event, ProcessChange, ServerState, Setup, TimedEvent, Trace};
use crate::linear::{Call, Op};
use attempts::{Attempt, ClientAttempt};
use discovery::Gateway;
use locks::LockGrants;
use rate_limits::RateLimitBucket;
use registers::Watched;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Names of all invariants, as used in reports.
pub const INVARIANTS: [&str; 13] = [
    "one_final_answer",
    "never_ran_twice",
    "answers_belong",
    "attempts_one_at_a_time",
    "attempts_at_most_four",
    "drains_kept",
    "ceilings_kept",
    "units_once",
    "one_owner",
    "fenced",
    "tokens_rise",
    "list_never_back",
    "nothing_acknowledged_lost",
];

/// Maximum number of reported cases of one invariant.
const MAX_CASES: usize = 5;

/// Internal name of the violations of `nothing_acknowledged_lost` at the discovery service. They are merged
/// at the end, when it is known whether the invariant applies to the discovery service.
const REGISTRATION_MISSING: &str = "list_lacks";

/// The finding on one invariant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Finding {
    /// Whether the invariant holds; `None` if it does not apply.
    pub holds: Option<bool>,
    /// The first cases of a violation, or the reason why the invariant does not apply.
    pub why: Vec<String>,
    /// Number of violations.
    pub cases: u64,
}

/// Checks the invariants on the events of a history.
#[derive(Default)]
pub struct Checker {
    setup: Option<Box<Setup>>,
    requests: HashMap<u32, (u32, u8)>,
    client_attempts: Vec<ClientAttempt>,
    last_client_attempt: HashMap<Trace, usize>,
    attempts: HashMap<u64, Attempt>,
    attempts_of_trace: HashMap<Trace, Vec<u64>>,
    closed: HashMap<u64, Nanos>,
    gateways: HashMap<u16, Gateway>,
    /// The state of each server at the platform's agents, and when the server entered it.
    agent_states: HashMap<u16, (ServerState, Nanos)>,
    /// When each gateway's process was last started or resumed.
    started: HashMap<u16, Nanos>,
    rate_limits: HashMap<u32, RateLimitBucket>,
    registered: HashMap<u16, Nanos>,
    stalls: Vec<(Nanos, Nanos)>,
    fault_starts: HashMap<u16, Nanos>,
    fault_ends: HashMap<u16, Nanos>,
    crashes: Vec<(Endpoint, Nanos)>,
    locks: HashMap<u16, LockGrants>,
    /// Calls on registers by number, which is the order of their starts.
    calls: BTreeMap<u64, (u16, Call)>,
    watches: BTreeMap<u16, Vec<Watched>>,
    cases: BTreeMap<&'static str, Finding>,
    /// Whether the last event of the run was observed.
    pub finished: bool,
}

fn seconds(at: Nanos) -> String {
    format!("{:.3} s", at as f64 / SECOND as f64)
}

impl Checker {
    pub(super) fn add_violation(&mut self, name: &'static str, case: impl FnOnce() -> String) {
        let finding = self.cases.entry(name).or_default();
        finding.holds = Some(false);
        finding.cases += 1;
        if finding.why.len() < MAX_CASES {
            finding.why.push(case());
        }
    }

    /// Returns the extension of a time limit that ends at this time.
    pub(super) fn slack(&self, at: Nanos) -> Nanos {
        let from = self.stalls.partition_point(|(stall, _)| *stall + SECOND < at);
        let near = self.stalls[from..].iter().take_while(|(stall, _)| *stall < at + SECOND);
        SOCKET_SLACK + near.map(|(_, late)| *late).sum::<Nanos>()
    }

    /// Observes the next event.
    pub fn observe(&mut self, TimedEvent { at, event }: &TimedEvent) {
        let at = *at;
        match event {
            Event::Setup(setup) => self.setup = Some(setup.clone()),
            Event::RequestStarted { request, customer, class, .. } => {
                self.requests.insert(*request, (*customer, *class));
            }
            Event::AttemptStarted { request, trace, gateway, .. } => {
                self.last_client_attempt.insert(*trace, self.client_attempts.len());
                let (request, trace, gateway) = (*request, *trace, *gateway);
                let (ended, more_ends, afterwards) = (None, 0, None);
                self.client_attempts.push(ClientAttempt {
                    request,
                    trace,
                    gateway,
                    began: at,
                    ended,
                    more_ends,
                    afterwards,
                });
            }
            Event::AttemptEnded { trace, outcome } => self.ended(at, *trace, *outcome),
            Event::AttemptEndedLate { trace, answered } => {
                if let Some(&last) = self.last_client_attempt.get(trace) {
                    self.client_attempts[last].afterwards = Some((at, *answered));
                }
            }
            Event::Closed { connection } => drop(self.closed.entry(*connection).or_insert(at)),
            Event::Arrived { attempt, trace, server, connection, gateway } => {
                self.arrived(at, *attempt, *trace, *server, *connection, *gateway);
            }
            Event::Ran { attempt } => {
                self.attempts.get_mut(attempt).into_iter().for_each(|attempt| attempt.ran = true)
            }
            Event::Responded { attempt, outcome } => {
                if let Some(attempt) = self.attempts.get_mut(attempt) {
                    attempt.ended.get_or_insert((at, *outcome));
                }
            }
            Event::DiscoveryRequested { gateway, since: Some(since) } => {
                let gateway_state = self.gateways.entry(*gateway).or_default();
                let (before, store_changed) = (gateway_state.since, gateway_state.store_changed);
                gateway_state.since = *since;
                gateway_state.store_changed = false;
                if *since < before && !store_changed {
                    let gateway = *gateway;
                    self.add_violation("list_never_back", || {
                        format!(
                            "gateways[{gateway}] went back from version {before} to {since} at {}",
                            seconds(at)
                        )
                    });
                }
            }
            Event::DiscoveryReceived { gateway, process, store, full, servers, .. } => {
                self.discovery_received(at, *gateway, *process, *store, *full, servers);
            }
            Event::AgentStateChanged { server, state } => {
                self.agent_states.insert(*server, (*state, at));
            }
            Event::Registered { server, .. } => drop(self.registered.insert(*server, at)),
            Event::ProcessChanged { endpoint, change } => match (endpoint, change) {
                (Endpoint::Gateway(gateway), ProcessChange::Started) => {
                    self.gateways.remove(gateway);
                    self.started.insert(*gateway, at);
                }
                (Endpoint::Gateway(i), ProcessChange::Continued) => drop(self.started.insert(*i, at)),
                (_, ProcessChange::Crashed) => self.crashes.push((*endpoint, at)),
                _ => {}
            },
            Event::Granted { candidate, lock, token, requested_at } => {
                self.granted(at, *candidate, *lock, *token, *requested_at)
            }
            Event::ActionStarted { candidate, lock, token } => {
                self.action_started(at, *candidate, *lock, *token)
            }
            Event::Effect { lock, token, admitted: true, .. } => {
                let (lock, token) = (*lock, *token);
                let lock_grants = self.locks.entry(lock).or_default();
                let highest = lock_grants.highest;
                lock_grants.highest = highest.max(token);
                if token < highest {
                    self.add_violation("fenced", || {
                        format!("lock-{lock}: an effect under token {token} was accepted after one under {highest} at {}", seconds(at))
                    });
                }
            }
            Event::CallStarted { client, call, register, put } => {
                let op = put.map_or(Op::Read, |(value, expect)| Op::Put { value, expect });
                self.calls.insert(*call, (*register, Call { client: *client, from: at, op, response: None }));
            }
            Event::CallReturned { call, result: returned } => self.returned(at, *call, *returned),
            Event::Watched { watcher, since, upto, changes } => {
                self.watched(at, *watcher, *since, *upto, changes)
            }
            Event::FaultBegan { fault } => drop(self.fault_starts.insert(*fault, at)),
            Event::FaultEnded { fault } => drop(self.fault_ends.insert(*fault, at)),
            Event::Stalled { late } => self.stalls.push((at, *late)),
            Event::Finished { .. } => self.finished = true,
            Event::DiscoveryRequested { since: None, .. }
            | Event::RequestEnded { .. }
            | Event::Opened { .. }
            | Event::Probed { .. }
            | Event::OverloadCrash { .. }
            | Event::Renewed { .. }
            | Event::CounterCalled { .. }
            | Event::Effect { admitted: false, .. }
            | Event::ZonesDecided { .. }
            | Event::SharesDecided { .. }
            | Event::ShardMapDecided { .. }
            | Event::ShardWrite { .. }
            | Event::WriteLocations { .. }
            | Event::DecisionApplied { .. }
            | Event::DecisionRefused { .. }
            | Event::HarnessCpu { .. } => {}
        }
    }
}
