//! The behaviour of the stand-ins.

use serde::{Deserialize, Serialize};

/// Figures of the site that the stand-ins go by. The defaults lie within the ranges that the operators publish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Site {
    /// Mean work of a request, in milliseconds of one core.
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
    /// The latency target in milliseconds.
    pub aim_ms: u64,
    /// The deadline of a request in milliseconds.
    pub deadline_ms: u64,
    /// The least share of the deadline that a client waits for a try.
    pub try_share: f64,
    /// A client's pause before a retry, in milliseconds.
    pub backoff_ms: u64,
    /// The share of refusals whose `Retry-After` is honoured.
    pub honour: f64,
    /// A front notices a dead gateway this late.
    pub notice_ms: u64,
    /// Mean speed of a pay server, against one core of the reference.
    pub speed: f64,
    /// Coefficient of variation of the speed.
    pub speed_cv: f64,
    /// Requests that a pay server runs at once, for each core.
    pub slots_per_core: u32,
    /// Requests that wait at a pay server, for each core.
    pub queue_per_core: u32,
    /// Each request beyond `thrash_at` for each core slows all by this share.
    pub thrash: f64,
    /// Requests for each core up to which nothing slows down.
    pub thrash_at: f64,
    /// The share of requests that fail at a pay server.
    pub error_rate: f64,
    /// Waiting work is dropped when its connection ends.
    pub drops_queued: bool,
    /// The share of its speed that a pay server starts with.
    pub cold_from: f64,
    /// A pay server has its full speed after this time, in milliseconds.
    pub cold_ms: u64,
    /// A pay server at this multiple of its capacity crashes, ...
    pub fall_multiple: f64,
    /// ... after this time, in milliseconds.
    pub fall_ms: u64,
    /// Connections that a pay server accepts, for each core.
    pub connections_per_core: u32,
    /// Work that a new connection costs a pay server, in us of one core.
    pub handshake_us: u64,
    /// The meter reports this late, in milliseconds.
    pub meter_late_ms: u64,
    /// The list tells of a server that drains or dies this late, ...
    pub list_notice_ms: u64,
    /// ... and of a new one this late.
    pub list_add_ms: u64,
    /// Calls a second that the counter bears.
    pub counter_per_s: f64,
    /// How unevenly a customer's requests come in through its gateways: 0 evenly.
    pub skew: f64,
    /// The plans.
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
}

impl Default for Site {
    fn default() -> Site {
        let plan = |name: &str, share, rate, burst_s, price, over_cost, open, ceiling| Plan {
            name: name.to_owned(),
            share,
            rate,
            burst_s,
            price,
            over_cost,
            open,
            ceiling,
        };
        Site {
            work_ms: 140.0,
            work_cv: 0.9,
            aim_ms: 1000,
            deadline_ms: 4000,
            try_share: 0.75,
            backoff_ms: 200,
            honour: 0.65,
            notice_ms: 2500,
            speed: 1.0,
            speed_cv: 0.1,
            slots_per_core: 4,
            queue_per_core: 20,
            thrash: 0.1,
            thrash_at: 5.0,
            error_rate: 0.0002,
            drops_queued: true,
            cold_from: 0.33,
            cold_ms: 12_000,
            fall_multiple: 2.0,
            fall_ms: 3000,
            connections_per_core: 700,
            handshake_us: 1000,
            meter_late_ms: 800,
            list_notice_ms: 2000,
            list_add_ms: 1000,
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

/// A plan; customers are given to plans so that each has its `share` of the use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its share of the use.
    pub share: f64,
    /// Units a second, before they are scaled to the load.
    pub rate: f64,
    /// The store's depth, in seconds of the rate.
    pub burst_s: f64,
    /// The worth of a unit within the quota.
    pub price: f64,
    /// The cost of a unit beyond the quota.
    pub over_cost: f64,
    /// Attempts out at once; 0: no such quota.
    #[serde(default)]
    pub open: u32,
    /// The hard ceiling in multiples of the rate; 0: none.
    #[serde(default)]
    pub ceiling: f64,
}
