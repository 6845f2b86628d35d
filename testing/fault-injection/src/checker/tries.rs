//! Requests' tries and the attempts at pay servers: one final answer, nothing unsafe twice, one attempt at a time.

use super::{seconds, Checker};
use crate::deployment::{DrawnFault, Nanos, DRAIN_GRACE, MAX_ATTEMPTS, SECOND, UNSAFE};
use crate::endpoint::End;
use crate::history::{Answer, Outcome, ServerState, Setup, Trace};
use crate::scenario::FaultKind;
use std::collections::{BTreeMap, BTreeSet};

/// What a fault does to a request is over this long after the fault.
pub(super) const FAULT_AFTERMATH: Nanos = SECOND;

/// One try of a request, at one gateway.
pub(super) struct Try {
    pub(super) request: u32,
    pub(super) trace: Trace,
    pub(super) gateway: u16,
    pub(super) began: Nanos,
    pub(super) ended: Option<(Nanos, Outcome)>,
    /// Ends beyond the first.
    pub(super) more_ends: u32,
    pub(super) afterwards: Option<(Nanos, bool)>,
}

/// One attempt of a gateway, at one pay server.
pub(super) struct Attempt {
    pub(super) trace: Trace,
    pub(super) connection: u64,
    pub(super) arrived: Nanos,
    pub(super) ran: bool,
    pub(super) answered: Option<(Nanos, Answer)>,
}

impl Checker {
    pub(super) fn ended(&mut self, at: Nanos, trace: Trace, outcome: Outcome) {
        let Some(&last) = self.last_try.get(&trace) else { return };
        let it = &mut self.tries[last];
        if it.ended.is_some() {
            it.more_ends += 1;
            return;
        }
        it.ended = Some((at, outcome));
        if let Outcome::Served { attempt } = outcome {
            let made = attempt.and_then(|attempt| self.attempts.get(&attempt));
            let belongs = made.is_some_and(|made| {
                made.trace == trace && matches!(made.answered, Some((_, Answer::Served)))
            });
            if !belongs {
                self.broken("answers_belong", || {
                    format!("{trace:016x} was served at {} with what no pay server made for it", seconds(at))
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
        let (ran, answered) = (false, None);
        self.attempts.insert(attempt, Attempt { trace, connection, arrived: at, ran, answered });
        let attempts = self.attempts_of_trace.entry(trace).or_default();
        attempts.push(attempt);
        let count = attempts.len();
        if count > MAX_ATTEMPTS as usize {
            self.broken("attempts_at_most_four", || {
                format!("{trace:016x}: attempt {count} arrived at {}", seconds(at))
            });
        }
        let known_state =
            self.gateways.get(&gateway).and_then(|gateway_state| gateway_state.states.get(&server)).copied();
        let known_state = self.effective_state(gateway, server, known_state);
        if let Some((ServerState::Draining | ServerState::Gone, since)) = known_state {
            if at > since + DRAIN_GRACE + self.slack(at) {
                self.broken("drains_kept", || {
                    format!(
                        "{trace:016x}: gateways[{gateway}] was told at {} that pay_servers[{server}] drains or is gone, \
                         and sent to it at {}",
                        seconds(since),
                        seconds(at)
                    )
                });
            }
        }
        if count == 1 {
            self.take_from_ceiling(at, trace);
        }
    }

    /// Whether a fault explains that a try at this gateway got no answer.
    pub(super) fn explained_by_fault(&self, setup: &Setup, gateway: u16, from: Nanos, to: Nanos) -> bool {
        let end = End::Gateway(gateway);
        let affects = |fault: &DrawnFault| match fault.kind {
            FaultKind::Kill | FaultKind::Restart | FaultKind::Wipe | FaultKind::Stop => {
                fault.victims.contains(&end)
            }
            // A gateway that is told to end answers what it has taken.
            FaultKind::Term | FaultKind::FullDisk => false,
            FaultKind::Cut | FaultKind::Delay | FaultKind::Lose | FaultKind::Duplicate => {
                let between = |a: End, b: End| {
                    fault.victims.contains(&a) && (fault.from.is_empty() || fault.from.contains(&b))
                };
                between(end, End::Clients) || between(End::Clients, end)
            }
        };
        let by_fault = setup.faults.iter().enumerate().any(|(i, fault)| {
            let i = i as u16;
            let Some(&began) = self.fault_starts.get(&i) else { return false };
            let over =
                self.fault_ends.get(&i).filter(|_| fault.until.is_some()).copied().unwrap_or(Nanos::MAX);
            affects(fault) && from <= over.saturating_add(FAULT_AFTERMATH) && to >= began
        });
        by_fault || self.crashes.iter().any(|(of, at)| *of == end && to + FAULT_AFTERMATH >= *at)
    }

    pub(super) fn check_tries(&mut self, setup: &Setup) {
        let mut traces: BTreeMap<u32, BTreeSet<Trace>> = BTreeMap::new();
        for it in std::mem::take(&mut self.tries) {
            let Try { trace, gateway, began, .. } = it;
            if it.more_ends > 0 {
                self.broken("one_final_answer", || format!("{trace:016x} has more than one end"));
            }
            let lost = match (it.ended, it.afterwards) {
                (None, _) => Some((Nanos::MAX, "has no end")),
                // Whoever closes a first request unanswered has not lost it, by the operators' terms.
                (Some((at, Outcome::Reset { first: false })), _) => Some((at, "was cut off unanswered")),
                (Some((_, Outcome::TimedOut)), Some((at, false))) => Some((at, "was never answered")),
                _ => None,
            };
            if let Some((at, how)) = lost {
                if !self.explained_by_fault(setup, gateway, began, at) {
                    self.broken("one_final_answer", || {
                        format!("{trace:016x} {how} by gateways[{gateway}], sent to it at {}", seconds(began))
                    });
                }
            }
            if self.requests.get(&it.request).is_some_and(|(_, class)| *class == UNSAFE) {
                traces.entry(it.request).or_default().insert(trace);
            }
        }
        // What must never run twice is the request, whichever of its tries it was.
        for (request, traces) in traces {
            let ids = traces.iter().flat_map(|trace| self.attempts_of_trace.get(trace).into_iter().flatten());
            let ran = ids.filter_map(|id| self.attempts.get(id).filter(|attempt| attempt.ran));
            let runs: Vec<(Nanos, Trace)> = ran.map(|attempt| (attempt.arrived, attempt.trace)).collect();
            if runs.len() < 2 {
                continue;
            }
            self.broken("never_ran_twice", || {
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
                let answered = pair[0].answered.map_or(Nanos::MAX, |(at, _)| at);
                let closed = self.closed.get(&pair[0].connection).copied().unwrap_or(Nanos::MAX);
                let next = pair[1].arrived;
                if answered.min(closed) > next + self.slack(next) {
                    overlaps.push((next, *trace));
                }
            }
        }
        overlaps.sort_unstable();
        for (at, trace) in overlaps {
            self.broken("attempts_one_at_a_time", || {
                format!("{trace:016x}: one arrived at {} while another was out", seconds(at))
            });
        }
    }
}
