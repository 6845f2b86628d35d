//! The meter: what each customer used in the last finished period, told late.
//!
//! Models: one count over all pay servers, in periods, each told a fixed time after its end. Leaves out: losses and noise in
//! the meter itself, and that some pay servers hear of it later than others.

use crate::deployment::{Nanos, METER_PERIOD, SECOND};
use std::collections::{HashMap, VecDeque};

/// Periods that are kept of a customer; the oldest is far older than any that is told.
const KEPT: usize = 256;

/// Meters the units of the customers, and reports them late.
pub struct Meter {
    late: Nanos,
    /// Rates of the customers' plans, in units a second.
    rates: Vec<f64>,
    used: HashMap<u32, VecDeque<(u64, f64)>>,
}

impl Meter {
    /// Returns a meter for customers with these rates.
    pub fn new(late: Nanos, rates: Vec<f64>) -> Meter {
        Meter { late, rates, used: HashMap::new() }
    }

    /// A try has taken its units.
    pub fn took(&mut self, now: Nanos, customer: u32, units: f64) {
        let period = now / METER_PERIOD;
        let used = self.used.entry(customer).or_default();
        match used.back_mut() {
            Some((last, sum)) if *last == period => *sum += units,
            _ => used.push_back((period, units)),
        }
        if used.len() > KEPT {
            used.pop_front();
        }
    }

    /// The customer's use in percent of its rate, over the last period that the meter has summed; `None` before the first.
    pub fn told(&self, now: Nanos, customer: u32) -> Option<u32> {
        let period = (now.checked_sub(self.late)? / METER_PERIOD).checked_sub(1)?;
        let used = self.used.get(&customer).and_then(|used| used.iter().find(|(at, _)| *at == period));
        let rate = self.rates.get(customer as usize)?;
        let full = rate * METER_PERIOD as f64 / SECOND as f64;
        Some((used.map_or(0.0, |(_, units)| *units) / full * 100.0).round() as u32)
    }
}
