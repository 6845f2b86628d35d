//! The shared counter: named totals with a life, and nothing else.
//!
//! Models: the text lines of the published page, one behind another; a bounded number of calls a second, and `busy`
//! beyond it; the loss of a share of all counts. Leaves out: its division into parts, and totals beyond seven digits.

use crate::deployment::{Nanos, MS, SECOND};
use rand::Rng;
use std::collections::BTreeMap;

const NAME_MOST: usize = 64;
const AMOUNT_MOST: f64 = 1e9;
const LIFE_MOST: Nanos = 60 * SECOND;
/// Calls that wait for their turn, in time.
const WAIT_MOST: Nanos = 200 * MS;
const NAMES_MOST: usize = 200_000;

/// The shared counter of the quotas.
pub struct Counter {
    totals: BTreeMap<String, (f64, Nanos)>,
    /// What a call takes.
    each: Nanos,
    free: Nanos,
}

/// An answer without its line's end, and when it is due.
#[derive(Debug, PartialEq)]
pub struct Reply {
    /// The text of the reply.
    pub text: String,
    /// When it is sent, in nanoseconds.
    pub at: Nanos,
    /// Whether the call is rejected as too much.
    pub busy: bool,
}

impl Counter {
    /// Returns a counter that bears this many calls a second.
    pub fn new(calls_per_s: f64) -> Counter {
        Counter { totals: BTreeMap::new(), each: (SECOND as f64 / calls_per_s) as Nanos, free: 0 }
    }

    /// One line, without its end.
    pub fn call(&mut self, now: Nanos, line: &str) -> Reply {
        let at_once = |text: &str, busy| Reply { text: text.to_owned(), at: now, busy };
        if line == "ping" {
            return at_once("pong", false);
        }
        let Some((name, amount, life)) = parse(line) else { return at_once("error", false) };
        let at = self.free.max(now) + self.each;
        if at > now + WAIT_MOST || self.totals.len() >= NAMES_MOST {
            return at_once("busy", true);
        }
        self.free = at;
        let total = match self.totals.get_mut(name).filter(|(_, ends)| *ends > now) {
            Some((total, _)) => {
                *total += amount;
                *total
            }
            None => {
                self.totals.insert(name.to_owned(), (amount, now + life.clamp(1, LIFE_MOST)));
                amount
            }
        };
        Reply { text: format!("ok {total}"), at, busy: false }
    }

    /// A share of all counts is lost.
    pub fn lose(&mut self, share: f64, rng: &mut impl Rng) {
        self.totals.retain(|_, _| rng.random::<f64>() >= share);
    }
}

fn parse(line: &str) -> Option<(&str, f64, Nanos)> {
    let mut words = line.strip_prefix("incr ")?.split(' ');
    let (name, amount, life) = (words.next()?, words.next()?, words.next()?);
    let amount: f64 = amount.parse().ok().filter(|amount: &f64| amount.abs() <= AMOUNT_MOST)?;
    let life: u64 = life.parse().ok().filter(|life| *life >= 1)?;
    let usable = !name.is_empty() && name.len() <= NAME_MOST && words.next().is_none();
    usable.then_some((name, amount, life.saturating_mul(MS)))
}
