//! What is known of one server, and of the attempts that it has not answered.

use crate::api::{AttemptNo, RequestId, ServerInfo, Settings, Time};
use crate::numbers::{ewma, sanitize, FailureRate, Rate};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Seconds in which slowness and failures are half forgotten (ours: lets such a server be tried again).
pub(crate) const SLOWNESS_HALF_LIFE_SECS: f64 = 6.0;
/// Seconds in which a load report loses its weight (ours).
pub(crate) const REPORT_TIME_CONSTANT_SECS: f64 = 1.0;
/// Seconds for which a server that was put back may have been restarted without the list telling (ours: news
/// of it takes up to five). It counts as cold as one that has just started.
pub(crate) const REENABLED_SLOW_START_SECS: f64 = 6.0;
/// Seconds of memory of rates of asks, sends and answers (ours).
pub(crate) const RATE_TIME_CONSTANT_SECS: f64 = 3.0;
/// Silence of an attempt's server: so many mean latencies, and at least this share of the aim (ours).
pub(crate) const SILENT: (f64, f64) = (6.0, 0.5);

/// An attempt that its server has not answered.
#[derive(Clone)]
pub(crate) struct InFlightAttempt {
    pub(crate) id: RequestId,
    pub(crate) attempt: AttemptNo,
    pub(crate) sent_at: Time,
    /// When its server is doubted, and the mean latency of its class when it was sent.
    pub(crate) doubted_at: Time,
    pub(crate) mean_latency_at_send: f64,
    /// The slowest pace, in its class's mean latencies, of answers to what was sent there after it.
    pub(crate) slowest_overtaking_pace: Option<f64>,
    /// A long body passes, the request's or the answer's: its age says nothing of the server.
    pub(crate) body_in_transit: bool,
}

impl InFlightAttempt {
    /// Whether it has taken so many times as long as what is doubted at the pace of those that overtook it:
    /// the server lives, but has lost this one. Covers servers that swallow some requests or never end some
    /// answers, and connections gone dead; hurts where a few requests are by nature many times as long as
    /// others, which cost a repeat then. A queue overtakes nothing, and a slow server sets a slow pace.
    pub(crate) fn is_lost(&self, now: Time, times: f64) -> bool {
        let patience =
            |pace: f64| self.doubted_at.since(self.sent_at).max(SILENT.0 * pace * self.mean_latency_at_send);
        !self.body_in_transit
            && self
                .slowest_overtaking_pace
                .is_some_and(|pace| now.since(self.sent_at) >= times * patience(pace))
    }
}

#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Server {
    pub(crate) info: ServerInfo,
    #[serde(skip)]
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Attempts that another process of this gateway has out here.
    pub(crate) elsewhere: u32,
    pub(crate) last_answer: Time,
    /// Latency against what its class takes on average over all servers; none: like its kind's.
    pub(crate) slow: f64,
    pub(crate) slow_at: Time,
    /// How far each class has failed here of late.
    pub(crate) sick: BTreeMap<usize, FailureRate>,
    pub(crate) answers: Rate,
    pub(crate) queue: f64,
    pub(crate) queue_at: Time,
    pub(crate) util: Option<f64>,
    /// Sends a cold server may still get, and when that was reckoned.
    pub(crate) cold_tokens: f64,
    pub(crate) cold_at: Time,
    /// The operators put it back: when, if it may have been restarted since it was left out and the list has
    /// not said so; and whether it has been sent nothing since.
    pub(crate) back: Option<Time>,
    pub(crate) owed: bool,
    /// Among those that this gateway prefers.
    pub(crate) near: bool,
}

impl Server {
    pub(crate) fn new(info: ServerInfo, now: Time) -> Server {
        let answers = Rate::new(RATE_TIME_CONSTANT_SECS, now);
        Server { info, slow: 1.0, last_answer: now, cold_at: now, answers, ..Server::default() }
    }

    /// Share of its capacity that a started server has at least; 1 when warm.
    pub(crate) fn warm_share(&self, now: Time, cfg: &Settings) -> f64 {
        let ramp = cfg.slow_start_duration.as_secs_f64();
        let from = sanitize(cfg.slow_start_initial_share).clamp(0.01, 1.0);
        if self.back.is_some_and(|back| now.since(back) < REENABLED_SLOW_START_SECS) {
            return from;
        }
        match self.info.started {
            Some(started) if now.since(started) < ramp => from + (1.0 - from) * now.since(started) / ramp,
            _ => 1.0,
        }
    }

    /// Attempts out from this gateway.
    pub(crate) fn in_flight_count(&self) -> f64 {
        self.in_flight.iter().filter(|o| !o.body_in_transit).count() as f64 + f64::from(self.elsewhere)
    }

    /// Size against the mean of all servers.
    pub(crate) fn relative_capacity(&self, mean: f64) -> f64 {
        (self.info.capacity / mean).clamp(0.1, 10.0)
    }

    /// Whether a cold server may take a send: it gets its part of what a warm one is sent, as `rate` tells,
    /// from those that prefer it.
    pub(crate) fn admits_during_slow_start(&mut self, now: Time, rate: f64, cfg: &Settings) -> bool {
        // With what comes while it is spent, less than what it can do in the window by a margin.
        let most = (0.5 * rate * cfg.slow_start_window.as_secs_f64()).max(1.0);
        self.cold_tokens = (self.cold_tokens + now.since(self.cold_at) * rate).min(most);
        self.cold_at = now;
        self.cold_tokens >= 1.0 && (self.near || self.owed)
    }

    /// Own slowness, forgotten towards what its kind of machine shows.
    pub(crate) fn slowness(&self, now: Time, kind: f64) -> f64 {
        ewma(kind, self.slow, 0.5_f64.powf(now.since(self.slow_at) / SLOWNESS_HALF_LIFE_SECS))
    }

    /// The reported queue, forgotten as it ages: a server that gets no more requests sends no more reports,
    /// and what it said last would keep f down and itself unchosen for good.
    pub(crate) fn decayed_queue(&self, now: Time) -> f64 {
        self.queue * (-now.since(self.queue_at) / REPORT_TIME_CONSTANT_SECS).exp()
    }
}
