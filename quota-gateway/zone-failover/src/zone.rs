//! The state machine of one zone, driven by verdicts and operator commands.

use crate::decision::ZoneState;
use crate::settings::Settings;
use crate::verdict::Verdict;
use marblecroft_control_messages::published::Instant;
use std::time::Duration;

/// Time in service after which the flap count is decreased by one, as a multiple of the slow start.
const FLAP_SLOW_STARTS: u32 = 3;
/// Fraction of its traffic that a zone gets at the beginning of a return.
pub const INITIAL_RETURN_FRACTION: f64 = 0.1;

/// The state of one zone, with the times that its transitions depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Zone {
    /// The state.
    pub state: ZoneState,
    /// Time at which the state was entered or the flap count was last decreased.
    since: Instant,
    /// Time since which the evidence has been against the zone without interruption.
    lost_since: Option<Instant>,
    /// Number of failures during recent returns.
    pub flap_count: u32,
}

impl Zone {
    /// Creates a zone that enters `state` at `now`.
    pub fn new(now: Instant, state: ZoneState, flap_count: u32) -> Zone {
        Zone { state, since: now, lost_since: None, flap_count }
    }

    fn enter(&mut self, now: Instant, state: ZoneState) {
        (self.state, self.since) = (state, now);
    }

    fn time_in_state(&self, now: Instant) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Returns the fraction of its capacity that is open to traffic.
    pub fn open_fraction(&self, now: Instant, settings: &Settings) -> f64 {
        match self.state {
            ZoneState::Serving | ZoneState::Suspect => 1.0,
            ZoneState::FailedOver | ZoneState::HeldByOperator => 0.0,
            ZoneState::Returning => {
                let progress = self.time_in_state(now).as_secs_f64() / settings.slow_start().as_secs_f64();
                (INITIAL_RETURN_FRACTION + (1.0 - INITIAL_RETURN_FRACTION) * progress).min(1.0)
            }
        }
    }

    /// Applies a verdict. The zone fails over only if `may_fail_over`, and begins its return only if
    /// `has_servers`.
    pub fn apply_verdict(
        &mut self,
        now: Instant,
        settings: &Settings,
        verdict: Verdict,
        may_fail_over: bool,
        has_servers: bool,
    ) {
        self.lost_since = match verdict {
            Verdict::Lost | Verdict::WithoutServers => self.lost_since.or(Some(now)),
            // A zone that gets no traffic is no longer observed, so the last evidence against it remains
            // in force.
            Verdict::Unobserved => self.lost_since,
            Verdict::Healthy | Verdict::Inconclusive => None,
        };
        let is_lasting = verdict == Verdict::WithoutServers
            || self.lost_since.is_some_and(|since| now.saturating_sub(since) >= settings.failover_delay());
        let time_in_state = self.time_in_state(now);
        match (self.state, verdict) {
            (ZoneState::HeldByOperator, _) => {}
            (ZoneState::Serving, Verdict::WithoutServers) if may_fail_over => self.fail_over(now),
            (ZoneState::Serving, Verdict::Lost | Verdict::WithoutServers | Verdict::Inconclusive) => {
                self.enter(now, ZoneState::Suspect);
            }
            (ZoneState::Suspect, Verdict::Healthy) => self.enter(now, ZoneState::Serving),
            (ZoneState::Suspect, _) if is_lasting && may_fail_over => self.fail_over(now),
            // A single report against a returning zone has no effect: it is based on little traffic, and may
            // be from before the return.
            (ZoneState::Returning, Verdict::Lost | Verdict::WithoutServers)
                if is_lasting && may_fail_over =>
            {
                self.flap_count = self.flap_count.saturating_add(1);
                self.fail_over(now);
            }
            (ZoneState::Returning, _) if time_in_state >= settings.slow_start() => {
                self.enter(now, ZoneState::Serving);
            }
            (ZoneState::FailedOver, _)
                if time_in_state >= settings.failover_time(self.flap_count) && has_servers =>
            {
                self.lost_since = None;
                self.enter(now, ZoneState::Returning);
            }
            (ZoneState::Serving, _)
                if self.flap_count > 0 && time_in_state >= settings.slow_start() * FLAP_SLOW_STARTS =>
            {
                // It has served for long enough without a failure.
                (self.flap_count, self.since) = (self.flap_count - 1, now);
            }
            _ => {}
        }
    }

    fn fail_over(&mut self, now: Instant) {
        self.lost_since = None;
        self.enter(now, ZoneState::FailedOver);
    }

    /// Takes it out of service until the operator's next command.
    pub fn hold_by_operator(&mut self, now: Instant) {
        self.lost_since = None;
        self.enter(now, ZoneState::HeldByOperator);
    }

    /// Begins its return immediately, on the command of an operator.
    pub fn return_by_operator(&mut self, now: Instant) {
        if matches!(self.state, ZoneState::HeldByOperator | ZoneState::FailedOver) {
            self.lost_since = None;
            self.enter(now, ZoneState::Returning);
        }
    }
}
