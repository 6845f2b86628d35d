//! The state of one server, and its unanswered attempts.

use crate::api::{AttemptNo, RequestId, ServerInfo, Settings, Time};
use crate::arithmetic::{ewma, sanitize};
use crate::failure_rate::FailureRate;
use crate::rate::Rate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Half-life in seconds of a server's latency ratio and failure rates. They decay so that the server is tried
/// again.
pub(crate) const HEALTH_HALF_LIFE_SECS: f64 = 6.0;
/// Time constant in seconds with which a load report decays.
pub(crate) const REPORT_TIME_CONSTANT_SECS: f64 = 1.0;
/// Seconds for which a server that was enabled again counts as just started. It may have been restarted, and
/// the server list takes up to five seconds to report that.
pub(crate) const REENABLED_SLOW_START_SECS: f64 = 6.0;
/// Time constant in seconds of the rates of requests, sends and responses.
pub(crate) const RATE_TIME_CONSTANT_SECS: f64 = 3.0;
/// Response timeout of an attempt, in mean latencies of its class.
pub(crate) const RESPONSE_TIMEOUT_LATENCIES: f64 = 6.0;
/// Lower bound of the response timeout, as a share of the class's latency target.
pub(crate) const MIN_RESPONSE_TIMEOUT_TARGET_SHARE: f64 = 0.5;
/// Initial latency ratio of a server: that of an average server.
const TYPICAL_LATENCY_RATIO: f64 = 1.0;
/// Lower bound of the share of a server's capacity that is assumed available during slow start.
const MIN_WARM_SHARE: f64 = 0.01;
/// Burst that a server in slow start is sent at once, as a share of its work in
/// [`slow_start_window`](Settings::slow_start_window). Together with the requests that follow in the window,
/// it stays below the server's capacity by a margin.
const SLOW_START_BURST_SHARE: f64 = 0.5;

/// An attempt to which its server has not responded.
#[derive(Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) id: RequestId,
    pub(crate) attempt: AttemptNo,
    pub(crate) sent_at: Time,
    /// When the attempt becomes overdue.
    pub(crate) response_due_at: Time,
    /// The mean latency of its class when it was sent, in seconds.
    pub(crate) mean_latency_at_send: f64,
    /// The highest latency ratio among responses to attempts that were sent to the server after this one.
    pub(crate) slowest_overtaking_ratio: Option<f64>,
    /// Whether the body of the request or of the response is in transit. The attempt's age is then unrelated
    /// to the server's performance.
    pub(crate) body_in_transit: bool,
}

impl InFlightAttempt {
    /// Returns whether the server still responds but has lost this attempt: later attempts were answered, and
    /// this one has taken `timeouts` response timeouts, scaled by the latency ratio of those responses.
    ///
    /// This detects servers that drop some requests or never complete some responses, and dead connections.
    /// Requests that inherently take many times as long as others are wrongly detected and cost a retry.
    /// A request that waits in the server's queue is not overtaken, and a slow server raises the scaled
    /// timeout.
    pub(crate) fn is_lost(&self, now: Time, timeouts: f64) -> bool {
        let timeout_secs = |ratio: f64| {
            self.response_due_at
                .since(self.sent_at)
                .max(RESPONSE_TIMEOUT_LATENCIES * ratio * self.mean_latency_at_send)
        };
        !self.body_in_transit
            && self
                .slowest_overtaking_ratio
                .is_some_and(|ratio| now.since(self.sent_at) >= timeouts * timeout_secs(ratio))
    }

    /// Returns whether it uses capacity of its server: no body is in transit, and it is not
    /// [lost](Self::is_lost).
    pub(crate) fn occupies_capacity(&self, now: Time, timeouts: f64) -> bool {
        !self.body_in_transit && !self.is_lost(now, timeouts)
    }
}

/// A server's state at this gateway. Part of [`StateSnapshot`](crate::StateSnapshot), so fields are
/// serialized by name.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Server {
    pub(crate) info: ServerInfo,
    #[serde(skip)]
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Attempts that another process of this gateway has in flight at this server.
    #[serde(rename = "elsewhere")]
    pub(crate) peer_in_flight: u32,
    #[serde(rename = "last_answer")]
    pub(crate) last_response_at: Time,
    /// Mean of latencies relative to the mean latency of their class over all servers.
    #[serde(rename = "slow")]
    pub(crate) latency_ratio: f64,
    #[serde(rename = "slow_at")]
    pub(crate) latency_ratio_at: Time,
    /// Failure rate of each class, by the class's index.
    #[serde(rename = "sick")]
    pub(crate) failures: BTreeMap<usize, FailureRate>,
    #[serde(rename = "answers")]
    pub(crate) response_rate: Rate,
    /// Queue length in the server's last report.
    pub(crate) queue: f64,
    pub(crate) queue_at: Time,
    /// Processor utilization in the server's last report.
    #[serde(rename = "util")]
    pub(crate) utilization: Option<f64>,
    /// Requests that the server may still be sent during slow start.
    #[serde(rename = "cold_tokens")]
    pub(crate) slow_start_tokens: f64,
    #[serde(rename = "cold_at")]
    pub(crate) slow_start_refilled_at: Time,
    /// When operators enabled it again, if it may have been restarted without the list having reported that.
    #[serde(rename = "back")]
    pub(crate) reenabled_at: Option<Time>,
    /// Whether it was enabled again and has been sent nothing since. Such a server gets the next request that
    /// it may take.
    #[serde(rename = "owed")]
    pub(crate) needs_probe: bool,
    /// Whether it is in the subset that this gateway prefers.
    #[serde(rename = "near")]
    pub(crate) is_in_subset: bool,
}

impl Server {
    pub(crate) fn new(info: ServerInfo, now: Time) -> Server {
        Server {
            info,
            latency_ratio: TYPICAL_LATENCY_RATIO,
            last_response_at: now,
            slow_start_refilled_at: now,
            response_rate: Rate::new(RATE_TIME_CONSTANT_SECS, now),
            ..Server::default()
        }
    }

    /// Lower bound of the share of its capacity that the server has during slow start; 1 after it.
    pub(crate) fn warm_share(&self, now: Time, settings: &Settings) -> f64 {
        let duration = settings.slow_start_duration.as_secs_f64();
        let initial = sanitize(settings.slow_start_initial_share).clamp(MIN_WARM_SHARE, 1.0);
        if self.reenabled_at.is_some_and(|at| now.since(at) < REENABLED_SLOW_START_SECS) {
            return initial;
        }
        match self.info.started {
            Some(started) if now.since(started) < duration => {
                initial + (1.0 - initial) * now.since(started) / duration
            }
            _ => 1.0,
        }
    }

    /// Attempts in flight from this gateway, except those whose body is in transit.
    pub(crate) fn in_flight_count(&self) -> f64 {
        let here = self.in_flight.iter().filter(|attempt| !attempt.body_in_transit).count();
        here as f64 + f64::from(self.peer_in_flight)
    }

    /// Its capacity relative to `mean`.
    pub(crate) fn relative_capacity(&self, mean: f64) -> f64 {
        (self.info.capacity / mean).clamp(0.1, 10.0)
    }

    /// Returns whether the server may be sent a request during slow start. It gets `rate` requests per
    /// second, its share of what a warm server is sent, from the gateways that prefer it.
    pub(crate) fn admits_during_slow_start(&mut self, now: Time, rate: f64, settings: &Settings) -> bool {
        let window = settings.slow_start_window.as_secs_f64();
        let max_tokens = (SLOW_START_BURST_SHARE * rate * window).max(1.0);
        let refilled = self.slow_start_tokens + now.since(self.slow_start_refilled_at) * rate;
        self.slow_start_tokens = refilled.min(max_tokens);
        self.slow_start_refilled_at = now;
        self.slow_start_tokens >= 1.0 && (self.is_in_subset || self.needs_probe)
    }

    /// The latency ratio, which decays towards `kind`, the one of its machine type.
    pub(crate) fn decayed_latency_ratio(&self, now: Time, kind: f64) -> f64 {
        let weight = 0.5_f64.powf(now.since(self.latency_ratio_at) / HEALTH_HALF_LIFE_SECS);
        ewma(kind, self.latency_ratio, weight)
    }

    /// Records a latency relative to the mean of its class.
    pub(crate) fn record_latency_ratio(&mut self, now: Time, kind: f64, ratio: f64, weight: f64) {
        self.latency_ratio = ewma(self.decayed_latency_ratio(now, kind), ratio, weight);
        self.latency_ratio_at = now;
    }

    /// Records the queue length that the server reported.
    pub(crate) fn record_queue(&mut self, now: Time, queue: f64) {
        (self.queue, self.queue_at) = (sanitize(queue), now);
    }

    /// The reported queue length, which decays with age. A server that gets no requests sends no reports, so
    /// without decay its last report could keep the admitted fraction low and the server unused for good.
    pub(crate) fn decayed_queue(&self, now: Time) -> f64 {
        self.queue * (-now.since(self.queue_at) / REPORT_TIME_CONSTANT_SECS).exp()
    }
}
