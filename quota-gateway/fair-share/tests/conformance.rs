//! Conformance tables of quota shares. Each row shows one clause of the design page, and runs through the
//! limiters of all gateways and the allocator.

use marblecroft_control_messages::published::{Decision, DecisionReader, Stamp};
use marblecroft_control_messages::report::{AppliedDecisions, Report};
use marblecroft_fair_share::allocator::ShareAllocator;
use marblecroft_fair_share::decision::ShareDecision;
use marblecroft_fair_share::limiter::{FirmQuota, ShareLimiter, SHRINK_INTERVAL};
use marblecroft_test_support::conformance::{check_rows, RowResult};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Tables {
    clause: BTreeMap<String, String>,
    share: Vec<Row>,
}

/// Demand of firms at gateways, and the expected rate of each firm at the end.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    id: String,
    clause: String,
    because: String,
    capacity: f64,
    /// For each firm its weight, and its demand at each gateway in units per second.
    firms: Vec<(f64, Vec<f64>)>,
    /// Maximum number of immediate retries of a rejected request.
    #[serde(default, rename = "again")]
    max_immediate_retries: u32,
    /// Units per second that a firm's quota admits at each of its gateways.
    #[serde(default = "no_quota")]
    quota: f64,
    /// Number of seconds at the end without an allocator, so that the last decision expires.
    #[serde(default, rename = "alone_s")]
    seconds_without_allocator: u64,
    /// Units per second of each firm in the last second, within a twentieth of the capacity.
    #[serde(rename = "gets")]
    expected_rates: Vec<f64>,
}

fn no_quota() -> f64 {
    f64::INFINITY
}

const VALIDITY: Duration = Duration::from_secs(5);
/// Requests of a firm per second at one gateway, without retries.
const REQUESTS_PER_SECOND: u64 = 100;

impl Row {
    fn run(&self) -> Result<(), String> {
        let gateways = self.firms.iter().map(|(_, demands)| demands.len()).max().unwrap_or(0);
        let mut limiters: Vec<ShareLimiter> = (0..gateways as u32).map(ShareLimiter::new).collect();
        let mut readers: Vec<DecisionReader<ShareDecision>> = vec![DecisionReader::default(); gateways];
        let at = |ms: u64| Duration::from_millis(ms);
        let mut allocator = ShareAllocator::new(at(0), VALIDITY, SHRINK_INTERVAL, at(1500), None);
        allocator.set_capacity(self.capacity);
        let seconds_with_allocator = 12;
        let last_second = seconds_with_allocator + self.seconds_without_allocator;
        let mut rates = vec![0.0; self.firms.len()];
        let mut revision = 0;
        for second in 0..=last_second {
            for request in 0..REQUESTS_PER_SECOND {
                let now = at(second * 1000 + request * 1000 / REQUESTS_PER_SECOND);
                for (f, (weight, demands)) in self.firms.iter().enumerate() {
                    let total_demand: f64 = demands.iter().sum();
                    for (g, demand) in demands.iter().enumerate().filter(|(_, demand)| **demand > 0.0) {
                        let quota = FirmQuota {
                            weight: *weight,
                            local_fraction: demand / total_demand,
                            equal_fraction: demand / total_demand,
                            rate_limit: self.quota,
                        };
                        let units = demand / REQUESTS_PER_SECOND as f64;
                        for retry in 0..=self.max_immediate_retries {
                            if limiters[g].request(now, f as u64, quota, units, retry > 0) {
                                limiters[g].charge(f as u64, units);
                                rates[f] += if second == last_second { units } else { 0.0 };
                                break;
                            }
                        }
                    }
                }
                if request % 25 == 0 {
                    limiters
                        .iter_mut()
                        .zip(&readers)
                        .for_each(|(limiter, reader)| limiter.apply_decision(now, reader));
                }
            }
            let now = at(second * 1000 + 990);
            if second >= seconds_with_allocator {
                continue;
            }
            for (g, limiter) in limiters.iter_mut().enumerate() {
                let applied_decisions = AppliedDecisions {
                    shares: readers[g].stamp().unwrap_or_default(),
                    ..AppliedDecisions::default()
                };
                let report = Report {
                    gateway: g as u32,
                    incarnation: 1,
                    sequence: second + 1,
                    zone: "hall-a".to_owned(),
                    span_ms: 1000,
                    requested_units: 1.0,
                    zones: Vec::new(),
                    demand: limiter.sample_demand(now),
                    applied_decisions,
                };
                allocator.handle_report(now, &report).map_err(|error| error.to_string())?;
            }
            revision += 1;
            let stamp = Stamp { token: 1, revision };
            if let Some(body) = allocator.decide(now, stamp) {
                let decision = Decision { stamp, valid_ms: VALIDITY.as_millis() as u32, body };
                for reader in &mut readers {
                    reader.accept(now, decision.clone());
                }
            } else {
                readers.iter_mut().for_each(|reader| reader.renew(now));
            }
        }
        let is_close = |(actual, expected): (&f64, &f64)| (actual - expected).abs() <= 0.05 * self.capacity;
        let matches =
            rates.len() == self.expected_rates.len() && rates.iter().zip(&self.expected_rates).all(is_close);
        matches.then_some(()).ok_or_else(|| format!("units per second of each firm: {rates:.1?}"))
    }
}

#[test]
fn every_clause_has_rows_and_every_row_passes() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/conformance/shares.toml"));
    let tables: Tables =
        toml::from_str(&text.expect("the table file is readable")).expect("the table file is valid");
    let rows = tables.share.iter().map(|row| RowResult {
        id: row.id.clone(),
        clause: row.clause.clone(),
        because: row.because.clone(),
        outcome: row.run(),
    });
    check_rows(&tables.clause, rows);
}
