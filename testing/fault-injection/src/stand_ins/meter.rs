//! The meter: reports the use of each customer in the last finished period, with a delay.
//!
//! Models: one count over all pay servers per period, reported a fixed time after the end of the period.
//! Leaves out: losses and noise in the meter, and differences in the delay between pay servers.

use crate::deployment::{Nanos, METER_PERIOD, SECOND};
use std::collections::{HashMap, VecDeque};

/// Periods that are kept for a customer; the oldest is far older than any that is reported.
const MAX_PERIODS: usize = 256;

/// Meters the units of the customers, and reports them with a delay.
pub struct Meter {
    delay: Nanos,
    /// Rates of the customers' plans, in units per second.
    rates: Vec<f64>,
    used: HashMap<u32, VecDeque<(u64, f64)>>,
}

impl Meter {
    /// Returns a meter for customers with these rates.
    pub fn new(delay: Nanos, rates: Vec<f64>) -> Meter {
        Meter { delay, rates, used: HashMap::new() }
    }

    /// Adds the units of a client attempt.
    pub fn add_units(&mut self, now: Nanos, customer: u32, units: f64) {
        let period = now / METER_PERIOD;
        let used = self.used.entry(customer).or_default();
        match used.back_mut() {
            Some((last, sum)) if *last == period => *sum += units,
            _ => used.push_back((period, units)),
        }
        if used.len() > MAX_PERIODS {
            used.pop_front();
        }
    }

    /// Returns the use of a customer in percent of its rate, over the last reported period, or `None` before
    /// the first report.
    pub fn reported_percent(&self, now: Nanos, customer: u32) -> Option<u32> {
        let period = (now.checked_sub(self.delay)? / METER_PERIOD).checked_sub(1)?;
        let used = self.used.get(&customer).and_then(|used| used.iter().find(|(at, _)| *at == period));
        let rate = self.rates.get(customer as usize)?;
        let units_at_full_rate = rate * METER_PERIOD as f64 / SECOND as f64;
        Some((used.map_or(0.0, |(_, units)| *units) / units_at_full_rate * 100.0).round() as u32)
    }
}
