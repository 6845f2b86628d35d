//! One gateway: its last report, and its attempts with a decaying memory.

use marblecroft_control_messages::published::Instant;
use marblecroft_control_messages::report::{AttemptCounts, Report};

/// Attempts above which the memory of a zone fades by [`FADE`].
const MANY_ATTEMPTS: f64 = 8.0;
/// Factor of the remembered attempts with each report.
const FADE: f64 = 0.5;
/// That factor where there are few attempts, as at a zone that is only probed: more slowly, or they would never make a vote.
const SLOW_FADE: f64 = 0.8;

/// Number of servers of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCounts {
    /// Servers that are listed as serving.
    pub listed: f64,
    /// Servers that are warm; one in slow start counts by its current fraction.
    pub warm: f64,
}

/// The state of a gateway; vectors are by zone.
#[derive(Clone, Debug)]
pub(super) struct Gateway {
    pub(super) reported_at: Instant,
    incarnation: u64,
    sequence: u64,
    pub(super) zone: usize,
    /// Units per second that clients request from it.
    pub(super) demand: f64,
    /// Attempts with memory.
    pub(super) remembered: Vec<AttemptCounts>,
    /// Attempts in the last report.
    pub(super) latest: Vec<AttemptCounts>,
    pub(super) servers: Vec<Option<ServerCounts>>,
    /// Units per second that were served to it, in the last report.
    pub(super) served: Vec<f64>,
}

impl Gateway {
    /// Creates the state from a report. `observed` are the indices of the report's zones, and `remembered` the attempts so far.
    pub(super) fn from_report(
        now: Instant,
        report: &Report,
        zone: usize,
        observed: &[usize],
        mut remembered: Vec<AttemptCounts>,
    ) -> Gateway {
        let zone_count = remembered.len();
        for (zone, attempts) in remembered.iter_mut().enumerate() {
            let observation = report.zones.iter().zip(observed).find(|(_, index)| **index == zone);
            let new = observation.map_or_else(AttemptCounts::default, |(zone, _)| zone.attempts);
            *attempts = blend(*attempts, new);
        }
        let mut gateway = Gateway {
            reported_at: now,
            incarnation: report.incarnation,
            sequence: report.sequence,
            zone,
            demand: report.requested_units,
            remembered,
            latest: vec![AttemptCounts::default(); zone_count],
            servers: vec![None; zone_count],
            served: vec![0.0; zone_count],
        };
        let span_seconds = f64::from(report.span_ms) / 1000.0;
        for (observation, &zone) in report.zones.iter().zip(observed) {
            gateway.servers[zone] =
                Some(ServerCounts { listed: observation.servers, warm: observation.warm });
            gateway.served[zone] = observation.attempts.served / span_seconds;
            gateway.latest[zone] = observation.attempts;
        }
        gateway
    }

    /// Returns whether a report is of the same incarnation.
    pub(super) fn is_same_incarnation(&self, report: &Report) -> bool {
        self.incarnation == report.incarnation
    }

    /// Returns whether a report is a duplicate, or older than the last one.
    pub(super) fn is_stale(&self, report: &Report) -> bool {
        self.is_same_incarnation(report) && self.sequence >= report.sequence
    }
}

/// Returns the remembered attempts after a report.
fn blend(remembered: AttemptCounts, new: AttemptCounts) -> AttemptCounts {
    let fade = if remembered.total() > MANY_ATTEMPTS { FADE } else { SLOW_FADE };
    let blend = |remembered: f64, new: f64| fade * remembered + new;
    AttemptCounts {
        served: blend(remembered.served, new.served),
        rejected: blend(remembered.rejected, new.rejected),
        failed: blend(remembered.failed, new.failed),
        connect_failed: blend(remembered.connect_failed, new.connect_failed),
    }
}
