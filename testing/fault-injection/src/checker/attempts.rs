//! Checks of client attempts and of attempts at pay servers: one final answer, no unsafe request runs twice,
//! one attempt at a time.

use super::{seconds, Checker};
use crate::deployment::{DrawnFault, Nanos, DRAIN_GRACE, MAX_ATTEMPTS, SECOND, UNSAFE};
use crate::endpoint::Endpoint;
use crate::history::{Outcome, ServerOutcome, ServerState, Setup, Trace};
use crate::scenario::FaultKind;
use std::collections::{BTreeMap, BTreeSet};

/// A fault can explain the loss of a request up to this long after its end.
pub(super) const FAULT_AFTERMATH: Nanos = SECOND;

/// A client's attempt to send a request to a gateway.
pub(super) struct ClientAttempt {
    pub(super) request: u32,
    pub(super) trace: Trace,
    pub(super) gateway: u16,
    pub(super) began: Nanos,
    pub(super) ended: Option<(Nanos, Outcome)>,
    /// Number of ends after the first one.
    pub(super) more_ends: u32,
    pub(super) afterwards: Option<(Nanos, bool)>,
}

/// An attempt of a gateway at a pay server.
pub(super) struct Attempt {
    pub(super) trace: Trace,
    pub(super) connection: u64,
    pub(super) arrived: Nanos,
    pub(super) ran: bool,
    pub(super) ended: Option<(Nanos, ServerOutcome)>,
}

impl Checker {
    pub(super) fn ended(&mut self, at: Nanos, trace: Trace, outcome: Outcome) {
        let Some(&last) = self.last_client_attempt.get(&trace) else { return };
        let client_attempt = &mut self.client_attempts[last];
        if client_attempt.ended.is_some() {
            client_attempt.more_ends += 1;
            return;
        }
        client_attempt.ended = Some((at, outcome));
        if let Outcome::Served { attempt } = outcome {
            let source = attempt.and_then(|attempt| self.attempts.get(&attempt));
            let belongs = source.is_some_and(|source| {
                source.trace == trace && matches!(source.ended, Some((_, ServerOutcome::Served)))
            });
            if !belongs {
                self.add_violation("answers_belong", || {
                    format!(
                        "{trace:016x} was served at {} with a body that no pay server sent for it",
                        seconds(at)
                    )
                });
            }
        }
    }

    pub(super) fn arrived(
        &mut self,
        at: Nanos,
        attempt: u64,
        trace: Trace,
        server: u16,
        connection: u64,
        gateway: u16,
    ) {
        let (ran, ended) = (false, None);
        self.attempts.insert(attempt, Attempt { trace, connection, arrived: at, ran, ended });
        let attempts = self.attempts_of_trace.entry(trace).or_default();
        attempts.push(attempt);
        let count = attempts.len();
        if count > MAX_ATTEMPTS as usize {
            self.add_violation("attempts_at_most_four", || {
                format!("{trace:016x}: attempt {count} arrived at {}", seconds(at))
            });
        }
        let received_state =
            self.gateways.get(&gateway).and_then(|gateway_state| gateway_state.states.get(&server)).copied();
        let received_state = self.effective_state(gateway, server, received_state);
        if let Some((ServerState::Draining | ServerState::Removed, since)) = received_state {
            if at > since + DRAIN_GRACE + self.slack(at) {
                self.add_violation("drains_kept", || {
                    format!(
                        "{trace:016x}: gateways[{gateway}] received at {} that pay_servers[{server}] is draining or removed, \
                         and sent to it at {}",
                        seconds(since),
                        seconds(at)
                    )
                });
            }
        }
        if count == 1 {
            self.take_from_rate_limit(at, trace);
        }
    }

    /// Whether a fault explains that a client attempt at this gateway received no response.
    pub(super) fn explained_by_fault(&self, setup: &Setup, gateway: u16, from: Nanos, to: Nanos) -> bool {
        let endpoint = Endpoint::Gateway(gateway);
        let affects = |fault: &DrawnFault| match fault.kind {
            FaultKind::Kill | FaultKind::Restart | FaultKind::Wipe | FaultKind::Stop => {
                fault.victims.contains(&endpoint)
            }
            // On SIGTERM a gateway answers all requests that it has received before it exits.
            FaultKind::Term | FaultKind::FullDisk => false,
            FaultKind::Cut | FaultKind::Delay | FaultKind::Lose | FaultKind::Duplicate => {
                let between = |a: Endpoint, b: Endpoint| {
                    fault.victims.contains(&a) && (fault.from.is_empty() || fault.from.contains(&b))
                };
                between(endpoint, Endpoint::Clients) || between(Endpoint::Clients, endpoint)
            }
        };
        let by_fault = setup.faults.iter().enumerate().any(|(i, fault)| {
            let i = i as u16;
            let Some(&began) = self.fault_starts.get(&i) else { return false };
            let over =
                self.fault_ends.get(&i).filter(|_| fault.until.is_some()).copied().unwrap_or(Nanos::MAX);
            affects(fault) && from <= over.saturating_add(FAULT_AFTERMATH) && to >= began
        });
        by_fault || self.crashes.iter().any(|(of, at)| *of == endpoint && to + FAULT_AFTERMATH >= *at)
    }

    pub(super) fn check_client_attempts(&mut self, setup: &Setup) {
        let mut traces: BTreeMap<u32, BTreeSet<Trace>> = BTreeMap::new();
        for client_attempt in std::mem::take(&mut self.client_attempts) {
            let ClientAttempt { trace, gateway, began, .. } = client_attempt;
            if client_attempt.more_ends > 0 {
                self.add_violation("one_final_answer", || format!("{trace:016x} ended more than once"));
            }
            let lost = match (client_attempt.ended, client_attempt.afterwards) {
                (None, _) => Some((Nanos::MAX, "never ended")),
                // By the operators' rules, the first request on a connection does not count as lost if the
                // connection is closed without a response.
                (Some((at, Outcome::Reset { first: false })), _) => Some((at, "was cut off unanswered")),
                (Some((_, Outcome::TimedOut)), Some((at, false))) => Some((at, "was never answered")),
                _ => None,
            };
            if let Some((at, how)) = lost {
                if !self.explained_by_fault(setup, gateway, began, at) {
                    self.add_violation("one_final_answer", || {
                        format!("{trace:016x} {how} by gateways[{gateway}], sent to it at {}", seconds(began))
                    });
                }
            }
            if self.requests.get(&client_attempt.request).is_some_and(|(_, class)| *class == UNSAFE) {
                traces.entry(client_attempt.request).or_default().insert(trace);
            }
        }
        // A request must not run twice, not even in different client attempts.
        for (request, traces) in traces {
            let ids = traces.iter().flat_map(|trace| self.attempts_of_trace.get(trace).into_iter().flatten());
            let ran = ids.filter_map(|id| self.attempts.get(id).filter(|attempt| attempt.ran));
            let runs: Vec<(Nanos, Trace)> = ran.map(|attempt| (attempt.arrived, attempt.trace)).collect();
            if runs.len() < 2 {
                continue;
            }
            self.add_violation("never_ran_twice", || {
                let runs: Vec<String> =
                    runs.iter().map(|(at, trace)| format!("{trace:016x} at {}", seconds(*at))).collect();
                format!("request {request} ran {} times: {}", runs.len(), runs.join(", "))
            });
        }
    }

    pub(super) fn check_attempts(&mut self) {
        let mut overlaps = Vec::new();
        for (trace, ids) in &self.attempts_of_trace {
            let attempts: Vec<&Attempt> = ids.iter().filter_map(|id| self.attempts.get(id)).collect();
            for pair in attempts.windows(2) {
                let ended = pair[0].ended.map_or(Nanos::MAX, |(at, _)| at);
                let closed = self.closed.get(&pair[0].connection).copied().unwrap_or(Nanos::MAX);
                let next = pair[1].arrived;
                if ended.min(closed) > next + self.slack(next) {
                    overlaps.push((next, *trace));
                }
            }
        }
        overlaps.sort_unstable();
        for (at, trace) in overlaps {
            self.add_violation("attempts_one_at_a_time", || {
                format!("{trace:016x}: an attempt arrived at {} while another one was in flight", seconds(at))
            });
        }
    }
}
