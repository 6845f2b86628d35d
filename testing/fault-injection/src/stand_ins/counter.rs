//! The shared counter: named totals with a time to live.
//!
//! Models: the specified text protocol, with calls processed one after the other; a limited number of calls
//! per second, and `busy` beyond it; the loss of a share of all totals. Leaves out: partitioning, and totals
//! of more than seven digits.

use crate::deployment::{Nanos, MS, SECOND};
use rand::Rng;
use std::collections::BTreeMap;

const MAX_NAME_BYTES: usize = 64;
const MAX_AMOUNT: f64 = 1e9;
const MAX_TTL: Nanos = 60 * SECOND;
/// A call that would wait longer than this is rejected.
const MAX_QUEUEING_DELAY: Nanos = 200 * MS;
const MAX_NAMES: usize = 200_000;

/// The shared counter of the quotas.
pub struct Counter {
    totals: BTreeMap<String, (f64, Nanos)>,
    /// Processing time of a call.
    time_per_call: Nanos,
    free_at: Nanos,
}

/// A reply without its line ending, and when it is sent.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// The text of the reply.
    pub text: String,
    /// When it is sent, in nanoseconds.
    pub at: Nanos,
    /// Whether the call is rejected because of overload.
    pub busy: bool,
}

impl Counter {
    /// Returns a counter that processes this many calls per second.
    pub fn new(calls_per_s: f64) -> Counter {
        Counter { totals: BTreeMap::new(), time_per_call: (SECOND as f64 / calls_per_s) as Nanos, free_at: 0 }
    }

    /// Processes one line, without its line ending.
    pub fn call(&mut self, now: Nanos, line: &str) -> Reply {
        let immediate_reply = |text: &str, busy| Reply { text: text.to_owned(), at: now, busy };
        if line == "ping" {
            return immediate_reply("pong", false);
        }
        let Some((name, amount, ttl)) = parse(line) else { return immediate_reply("error", false) };
        let at = self.free_at.max(now) + self.time_per_call;
        if at > now + MAX_QUEUEING_DELAY || self.totals.len() >= MAX_NAMES {
            return immediate_reply("busy", true);
        }
        self.free_at = at;
        let total = match self.totals.get_mut(name).filter(|(_, expires_at)| *expires_at > now) {
            Some((total, _)) => {
                *total += amount;
                *total
            }
            None => {
                self.totals.insert(name.to_owned(), (amount, now + ttl.clamp(1, MAX_TTL)));
                amount
            }
        };
        Reply { text: format!("ok {total}"), at, busy: false }
    }

    /// Removes a random share of all totals.
    pub fn lose_share(&mut self, share: f64, rng: &mut impl Rng) {
        self.totals.retain(|_, _| rng.random::<f64>() >= share);
    }
}

fn parse(line: &str) -> Option<(&str, f64, Nanos)> {
    let mut fields = line.strip_prefix("incr ")?.split(' ');
    let (name, amount, ttl) = (fields.next()?, fields.next()?, fields.next()?);
    let amount: f64 = amount.parse().ok().filter(|amount: &f64| amount.abs() <= MAX_AMOUNT)?;
    let ttl: u64 = ttl.parse().ok().filter(|ttl| *ttl >= 1)?;
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && fields.next().is_none();
    is_valid.then_some((name, amount, ttl.saturating_mul(MS)))
}
