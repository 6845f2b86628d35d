//! What is known of one server, and of the attempts that it has not answered.

use crate::api::{AttemptNo, RequestId, ServerInfo, Settings, Time};
use crate::arithmetic::{ewma, sanitize};
use crate::failure_rate::FailureRate;
use crate::rate::Rate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Seconds in which slowness and failures halve (ours: lets such a server be tried again).
pub(crate) const SLOWNESS_HALF_LIFE_SECS: f64 = 6.0;
/// Seconds in which a load report loses its weight (ours).
pub(crate) const REPORT_TIME_CONSTANT_SECS: f64 = 1.0;
/// Seconds for which a server that was enabled again may have been restarted without the list reporting it
/// (ours: an update takes up to five). It counts as warming up, like one that has just started.
pub(crate) const REENABLED_SLOW_START_SECS: f64 = 6.0;
/// Time constant of the rates of requests, sends and answers, in seconds (ours).
pub(crate) const RATE_TIME_CONSTANT_SECS: f64 = 3.0;
/// An attempt's server is doubted after so many mean latencies ...
pub(crate) const DOUBT_LATENCIES: f64 = 6.0;
/// ... and after this share of the latency target at the least (ours).
pub(crate) const MIN_DOUBT_TARGET_SHARE: f64 = 0.5;
/// A server of unknown latency ratio is like the others.
const TYPICAL_LATENCY_RATIO: f64 = 1.0;
/// The least share of its capacity that a server is taken to have while it warms up.
const MIN_WARM_SHARE: f64 = 0.01;
/// Share of what a warming-up server can do in the settings' window that it is sent at once: with what comes
/// while that is spent, less than it can do, by a margin.
const SLOW_START_BURST_SHARE: f64 = 0.5;

/// An attempt that its server has not answered.
#[derive(Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) id: RequestId,
    pub(crate) attempt: AttemptNo,
    pub(crate) sent_at: Time,
    /// When its server is doubted.
    pub(crate) doubted_at: Time,
    /// The mean latency of its class when it was sent, in seconds.
    pub(crate) mean_latency_at_send: f64,
    /// The slowest pace, in its class's mean latencies, of answers to attempts that were sent there after it.
    pub(crate) slowest_overtaking_pace: Option<f64>,
    /// A long body is in transit, the request's or the answer's: its age says nothing of the server.
    pub(crate) body_in_transit: bool,
}

impl InFlightAttempt {
    /// Whether it has taken so many times as long as what is doubted at the pace of the answers that overtook
    /// it: the server lives, but has lost this attempt.
    ///
    /// Covers servers that swallow some requests or never end some answers, and dead connections. Hurts where
    /// a few requests are by nature many times as long as others, which then cost a retry. A queue overtakes
    /// nothing, and a slow server sets a slow pace.
    pub(crate) fn is_lost(&self, now: Time, times: f64) -> bool {
        let doubted_after = |pace: f64| {
            self.doubted_at.since(self.sent_at).max(DOUBT_LATENCIES * pace * self.mean_latency_at_send)
        };
        !self.body_in_transit
            && self
                .slowest_overtaking_pace
                .is_some_and(|pace| now.since(self.sent_at) >= times * doubted_after(pace))
    }

    /// Whether it is work for its server: no body is in transit, and it is not lost by
    /// [`is_lost`](Self::is_lost).
    pub(crate) fn is_work(&self, now: Time, times: f64) -> bool {
        !self.body_in_transit && !self.is_lost(now, times)
    }
}

/// A server as this gateway knows it. Written by name for the gateway's next process.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Server {
    pub(crate) info: ServerInfo,
    #[serde(skip)]
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Attempts that another process of this gateway has in flight here.
    pub(crate) elsewhere: u32,
    pub(crate) last_answer: Time,
    /// Mean of latencies here against what their classes take over all servers.
    #[serde(rename = "slow")]
    pub(crate) latency_ratio: f64,
    #[serde(rename = "slow_at")]
    pub(crate) latency_ratio_at: Time,
    /// Failures of each class, by its index.
    #[serde(rename = "sick")]
    pub(crate) failures: BTreeMap<usize, FailureRate>,
    #[serde(rename = "answers")]
    pub(crate) answer_rate: Rate,
    /// Requests that the server last reported as waiting.
    pub(crate) queue: f64,
    pub(crate) queue_at: Time,
    /// Share of its processor that the server last reported as busy.
    #[serde(rename = "util")]
    pub(crate) utilization: Option<f64>,
    /// Requests that a warming-up server may still be sent.
    #[serde(rename = "cold_tokens")]
    pub(crate) slow_start_tokens: f64,
    #[serde(rename = "cold_at")]
    pub(crate) slow_start_refilled_at: Time,
    /// When operators enabled it again, if it may have been restarted since and the list has not reported it.
    #[serde(rename = "back")]
    pub(crate) reenabled_at: Option<Time>,
    /// It was enabled again, and has been sent nothing since.
    #[serde(rename = "owed")]
    pub(crate) is_owed_request: bool,
    /// It is in the subset that this gateway prefers.
    #[serde(rename = "near")]
    pub(crate) is_in_subset: bool,
}

impl Server {
    pub(crate) fn new(info: ServerInfo, now: Time) -> Server {
        Server {
            info,
            latency_ratio: TYPICAL_LATENCY_RATIO,
            last_answer: now,
            slow_start_refilled_at: now,
            answer_rate: Rate::new(RATE_TIME_CONSTANT_SECS, now),
            ..Server::default()
        }
    }

    /// The share of its capacity that the server has at the least while it warms up; 1 when it is warm.
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

    /// Attempts in flight from this gateway, without those whose body is in transit.
    pub(crate) fn in_flight_count(&self) -> f64 {
        let here = self.in_flight.iter().filter(|attempt| !attempt.body_in_transit).count();
        here as f64 + f64::from(self.elsewhere)
    }

    /// Its capacity against the mean of all servers.
    pub(crate) fn relative_capacity(&self, mean: f64) -> f64 {
        (self.info.capacity / mean).clamp(0.1, 10.0)
    }

    /// Whether a warming-up server may be sent a request: it gets its share of what a warm one is sent, which
    /// is `rate` a second, from the gateways that prefer it.
    pub(crate) fn admits_during_slow_start(&mut self, now: Time, rate: f64, settings: &Settings) -> bool {
        let window = settings.slow_start_window.as_secs_f64();
        let max_tokens = (SLOW_START_BURST_SHARE * rate * window).max(1.0);
        let refilled = self.slow_start_tokens + now.since(self.slow_start_refilled_at) * rate;
        self.slow_start_tokens = refilled.min(max_tokens);
        self.slow_start_refilled_at = now;
        self.slow_start_tokens >= 1.0 && (self.is_in_subset || self.is_owed_request)
    }

    /// Its latency ratio, which fades towards what its kind of machine shows.
    pub(crate) fn slowness(&self, now: Time, kind: f64) -> f64 {
        let weight = 0.5_f64.powf(now.since(self.latency_ratio_at) / SLOWNESS_HALF_LIFE_SECS);
        ewma(kind, self.latency_ratio, weight)
    }

    /// Records a latency against its class's mean.
    pub(crate) fn record_slowness(&mut self, now: Time, kind: f64, ratio: f64, weight: f64) {
        self.latency_ratio = ewma(self.slowness(now, kind), ratio, weight);
        self.latency_ratio_at = now;
    }

    /// Records the queue that the server reports.
    pub(crate) fn record_queue(&mut self, now: Time, queue: f64) {
        (self.queue, self.queue_at) = (sanitize(queue), now);
    }

    /// The reported queue, which fades as it ages: a server that gets no more requests sends no more reports,
    /// and its last one would keep the admitted fraction down and the server unchosen for good.
    pub(crate) fn decayed_queue(&self, now: Time) -> f64 {
        self.queue * (-now.since(self.queue_at) / REPORT_TIME_CONSTANT_SECS).exp()
    }
}
