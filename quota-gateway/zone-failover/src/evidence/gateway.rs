//! One gateway: its last report, and a decaying sum of the attempts of all its reports.

use marblecroft_control_messages::published::Instant;
use marblecroft_control_messages::report::{AttemptCounts, Report};

/// Decayed attempts at a zone above which [`DECAY_FACTOR`] applies.
const MANY_ATTEMPTS: f64 = 8.0;
/// Factor that the decayed attempts are multiplied by with each report.
const DECAY_FACTOR: f64 = 0.5;
/// The same factor for few attempts, as at a zone that only gets probes. With a faster decay these would
/// never add up to a vote.
const SLOW_DECAY_FACTOR: f64 = 0.8;

/// Number of servers of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCounts {
    /// Servers that are listed as serving.
    pub listed: f64,
    /// Warm servers; a server in slow start counts with its current fraction.
    pub warm: f64,
}

/// The state of a gateway. Vectors are indexed by zone.
#[derive(Clone, Debug)]
pub(super) struct Gateway {
    pub(super) reported_at: Instant,
    incarnation: u64,
    sequence: u64,
    pub(super) zone: usize,
    /// Units per second that clients request from it.
    pub(super) demand: f64,
    /// Decaying sum of the attempts of all reports.
    pub(super) decayed_attempts: Vec<AttemptCounts>,
    /// Attempts in the last report.
    pub(super) latest_attempts: Vec<AttemptCounts>,
    pub(super) servers: Vec<Option<ServerCounts>>,
    /// Units per second that each zone served to it, in the last report.
    pub(super) served: Vec<f64>,
}

impl Gateway {
    /// Creates the state from a report. `observed` are the indices of the report's zones, and
    /// `decayed_attempts` the decayed attempts before this report.
    pub(super) fn from_report(
        now: Instant,
        report: &Report,
        zone: usize,
        observed: &[usize],
        mut decayed_attempts: Vec<AttemptCounts>,
    ) -> Gateway {
        let zone_count = decayed_attempts.len();
        for (zone, attempts) in decayed_attempts.iter_mut().enumerate() {
            let observation = report.zones.iter().zip(observed).find(|(_, index)| **index == zone);
            let new = observation.map_or_else(AttemptCounts::default, |(zone, _)| zone.attempts);
            *attempts = decay_and_add(*attempts, new);
        }
        let mut gateway = Gateway {
            reported_at: now,
            incarnation: report.incarnation,
            sequence: report.sequence,
            zone,
            demand: report.requested_units,
            decayed_attempts,
            latest_attempts: vec![AttemptCounts::default(); zone_count],
            servers: vec![None; zone_count],
            served: vec![0.0; zone_count],
        };
        let span_seconds = f64::from(report.span_ms) / 1000.0;
        for (observation, &zone) in report.zones.iter().zip(observed) {
            gateway.servers[zone] =
                Some(ServerCounts { listed: observation.servers, warm: observation.warm });
            gateway.served[zone] = observation.attempts.served / span_seconds;
            gateway.latest_attempts[zone] = observation.attempts;
        }
        gateway
    }

    /// Returns whether a report is from the same incarnation.
    pub(super) fn is_same_incarnation(&self, report: &Report) -> bool {
        self.incarnation == report.incarnation
    }

    /// Returns whether a report is a duplicate, or older than the last one.
    pub(super) fn is_stale(&self, report: &Report) -> bool {
        self.is_same_incarnation(report) && self.sequence >= report.sequence
    }
}

/// Returns the decayed attempts after a report.
fn decay_and_add(decayed: AttemptCounts, new: AttemptCounts) -> AttemptCounts {
    let factor = if decayed.total() > MANY_ATTEMPTS { DECAY_FACTOR } else { SLOW_DECAY_FACTOR };
    let add = |decayed: f64, new: f64| factor * decayed + new;
    AttemptCounts {
        served: add(decayed.served, new.served),
        rejected: add(decayed.rejected, new.rejected),
        failed: add(decayed.failed, new.failed),
        connect_failed: add(decayed.connect_failed, new.connect_failed),
    }
}
