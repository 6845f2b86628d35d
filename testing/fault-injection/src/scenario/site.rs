//! The behaviour of the stand-ins.

use serde::{Deserialize, Serialize};

/// Parameters of the site that the stand-ins simulate. The defaults are within the ranges that the operators
/// publish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Site {
    /// Mean work of a request, in milliseconds of one core.
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
    /// The latency target in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: u64,
    /// The deadline of a request in milliseconds.
    pub deadline_ms: u64,
    /// Minimum timeout of a client attempt, as a share of the deadline.
    #[serde(rename = "try_share")]
    pub min_timeout_share: f64,
    /// A client's backoff before a retry, in milliseconds.
    pub backoff_ms: u64,
    /// Share of the refusals whose `Retry-After` the clients honour.
    pub honour: f64,
    /// Delay after which the load balancer detects a failed gateway, in milliseconds.
    #[serde(rename = "notice_ms")]
    pub failure_detection_ms: u64,
    /// Mean speed of a pay server, relative to a reference core.
    pub speed: f64,
    /// Coefficient of variation of the speed.
    pub speed_cv: f64,
    /// Number of requests that a pay server runs concurrently, for each core.
    pub slots_per_core: u32,
    /// Length of a pay server's queue, for each core.
    pub queue_per_core: u32,
    /// Share by which each request above `thrash_at` slows down all requests.
    pub thrash: f64,
    /// Number of requests for each core up to which there is no slowdown.
    pub thrash_at: f64,
    /// Share of requests that fail at a pay server.
    pub error_rate: f64,
    /// Whether a pay server drops queued work when its connection ends.
    pub drops_queued: bool,
    /// Speed of a pay server after its start, as a share of its full speed.
    #[serde(rename = "cold_from")]
    pub initial_speed_share: f64,
    /// Time from a pay server's start to its full speed, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warmup_ms: u64,
    /// Multiple of its capacity at which a pay server crashes if the load lasts for `overload_window_ms`.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Duration of an overload after which a pay server crashes, in milliseconds.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// Number of connections that a pay server accepts, for each core.
    pub connections_per_core: u32,
    /// Cost of a new connection at a pay server, in microseconds of one core.
    pub handshake_us: u64,
    /// Delay of the meter's reports, in milliseconds.
    #[serde(rename = "meter_late_ms")]
    pub meter_delay_ms: u64,
    /// Delay after which discovery shows that a server drains or has failed, in milliseconds.
    #[serde(rename = "list_notice_ms")]
    pub discovery_removal_delay_ms: u64,
    /// Delay after which discovery shows a new server, in milliseconds.
    #[serde(rename = "list_add_ms")]
    pub discovery_add_delay_ms: u64,
    /// Calls per second that the counter can serve.
    pub counter_per_s: f64,
    /// Skew of the distribution of a customer's requests over its gateways; 0 distributes them evenly.
    pub skew: f64,
    /// The plans.
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
}

impl Default for Site {
    fn default() -> Site {
        let plan = |name: &str, share, rate, burst_s, price, over_cost, open, rate_limit_multiple| Plan {
            name: name.to_owned(),
            share,
            rate,
            burst_s,
            price,
            over_cost,
            open,
            rate_limit_multiple,
        };
        Site {
            work_ms: 140.0,
            work_cv: 0.9,
            latency_target_ms: 1000,
            deadline_ms: 4000,
            min_timeout_share: 0.75,
            backoff_ms: 200,
            honour: 0.65,
            failure_detection_ms: 2500,
            speed: 1.0,
            speed_cv: 0.1,
            slots_per_core: 4,
            queue_per_core: 20,
            thrash: 0.1,
            thrash_at: 5.0,
            error_rate: 0.0002,
            drops_queued: true,
            initial_speed_share: 0.33,
            warmup_ms: 12_000,
            overload_multiple: 2.0,
            overload_window_ms: 3000,
            connections_per_core: 700,
            handshake_us: 1000,
            meter_delay_ms: 800,
            discovery_removal_delay_ms: 2000,
            discovery_add_delay_ms: 1000,
            counter_per_s: 640.0,
            skew: 0.7,
            plans: vec![
                plan("starter", 0.37, 0.8, 4.3, 0.72, 0.8, 0, 0.0),
                plan("standard", 0.38, 1.5, 4.4, 1.3, 1.2, 2, 0.0),
                plan("enterprise", 0.25, 6.1, 1.6, 1.6, 0.8, 0, 2.1),
            ],
        }
    }
}

/// A plan. Customers are assigned to plans so that each plan has its `share` of the usage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// The plan's share of the usage.
    pub share: f64,
    /// Units per second, before they are scaled to the load.
    pub rate: f64,
    /// Depth of the token bucket, in seconds of the rate.
    pub burst_s: f64,
    /// Price of a unit within the quota.
    pub price: f64,
    /// The cost of a unit beyond the quota.
    pub over_cost: f64,
    /// Maximum number of concurrent attempts; 0 for no limit.
    #[serde(default)]
    pub open: u32,
    /// The hard rate limit as a multiple of `rate`; 0 for none.
    #[serde(rename = "ceiling", default)]
    pub rate_limit_multiple: f64,
}
