//! The capacity of one warm server of a zone, estimated from the observed throughput of such servers.

use marblecroft_control_messages::published::Instant;

/// Fraction by which the estimate exceeds the observed peak while servers are not overloaded, so that the
/// peak can rise in small steps.
const PROBE_STEP: f64 = 0.25;
/// Fraction by which the observed peak falls per second of overload, but not below the current throughput.
const OVERLOAD_STEP: f64 = 0.15;
/// Half-life of the observed peak, in seconds.
const PEAK_HALF_LIFE_SECONDS: f64 = 600.0;
/// Lower bound of the estimate, in units per second. It can be small because the first seconds of traffic
/// raise the estimate.
const MIN_SERVER_CAPACITY: f64 = 1.0;
/// Minimum number of warm servers for an observation. The throughput of a fraction of one server in slow
/// start is not meaningful.
const MIN_WARM_SERVERS: f64 = 0.5;
/// Upper bound of the time that counts between two observations, in seconds.
const MAX_OBSERVATION_GAP_SECONDS: f64 = 10.0;
/// Upper bound of the overload time that one observation accounts for, in seconds.
const MAX_OVERLOAD_SECONDS: f64 = 1.0;

/// The estimated capacity of one warm server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerCapacity {
    /// Decaying peak of the throughput of one server, in units per second.
    peak: f64,
    observed_at: Instant,
}

impl ServerCapacity {
    /// Creates an estimate from an earlier peak in units per second.
    pub fn from_peak(peak: f64, now: Instant) -> ServerCapacity {
        ServerCapacity { peak, observed_at: now }
    }

    /// Records the units per second that `warm_servers` served, and whether they are overloaded.
    pub fn observe(&mut self, now: Instant, served: f64, warm_servers: f64, is_overloaded: bool) {
        let elapsed_seconds =
            now.saturating_sub(self.observed_at).as_secs_f64().min(MAX_OBSERVATION_GAP_SECONDS);
        self.observed_at = now;
        if warm_servers < MIN_WARM_SERVERS {
            return;
        }
        let served_per_server = served / warm_servers;
        self.peak *= 0.5_f64.powf(elapsed_seconds / PEAK_HALF_LIFE_SECONDS);
        if is_overloaded {
            self.peak *= 1.0 - OVERLOAD_STEP * elapsed_seconds.min(MAX_OVERLOAD_SECONDS);
        }
        self.peak = self.peak.max(served_per_server);
    }

    /// Returns the capacity in units per second: `configured` if positive, otherwise an estimate.
    pub fn estimate(&self, configured: f64, is_overloaded: bool) -> f64 {
        if configured > 0.0 {
            return configured;
        }
        let margin = if is_overloaded { 1.0 } else { 1.0 + PROBE_STEP };
        (self.peak * margin).max(MIN_SERVER_CAPACITY)
    }
}
