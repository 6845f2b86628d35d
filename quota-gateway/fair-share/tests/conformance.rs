//! Tables of conformance of shares: rows from the design page, a clause each, played through both sides.

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

/// Firms at gateways, and what each gets in the end.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    id: String,
    clause: String,
    because: String,
    capacity: f64,
    /// Of each firm its weight, and what it asks for at each gateway.
    firms: Vec<(f64, Vec<f64>)>,
    /// Each further try within a moment of the first is one of these many.
    #[serde(default)]
    again: u32,
    /// What each firm's quota lets through at each of its gateways.
    #[serde(default = "no_quota")]
    quota: f64,
    /// The owner and its decisions are gone for so long at the end.
    #[serde(default)]
    alone_s: u64,
    /// Units a second of each firm, to within a twentieth of the capacity.
    gets: Vec<f64>,
}

fn no_quota() -> f64 {
    f64::INFINITY
}

const VALID: Duration = Duration::from_secs(5);
/// Tries of a firm in a second at one gateway.
const ATTEMPTS_PER_SECOND: u64 = 100;

impl Row {
    fn play(&self) -> Result<(), String> {
        let gateways = self.firms.iter().map(|(_, at)| at.len()).max().unwrap_or(0);
        let mut limiters: Vec<ShareLimiter> = (0..gateways as u32).map(ShareLimiter::new).collect();
        let mut readers: Vec<DecisionReader<ShareDecision>> = vec![DecisionReader::default(); gateways];
        let at = |ms: u64| Duration::from_millis(ms);
        let mut allocator = ShareAllocator::new(at(0), VALID, SHRINK_INTERVAL, at(1500), None);
        allocator.set_capacity(self.capacity);
        let decided_for = 12;
        let last = decided_for + self.alone_s;
        let mut gets = vec![0.0; self.firms.len()];
        let mut revision = 0;
        for second in 0..=last {
            for attempt in 0..ATTEMPTS_PER_SECOND {
                let now = at(second * 1000 + attempt * 1000 / ATTEMPTS_PER_SECOND);
                for (f, (weight, asks)) in self.firms.iter().enumerate() {
                    let all: f64 = asks.iter().sum();
                    for (g, asks) in asks.iter().enumerate().filter(|(_, asks)| **asks > 0.0) {
                        let known = FirmQuota {
                            weight: *weight,
                            local_fraction: asks / all,
                            equal_fraction: asks / all,
                            rate_limit: self.quota,
                        };
                        let units = asks / ATTEMPTS_PER_SECOND as f64;
                        for repetition in 0..=self.again {
                            if limiters[g].request(now, f as u64, known, units, repetition > 0) {
                                limiters[g].charge(f as u64, units);
                                gets[f] += if second == last { units } else { 0.0 };
                                break;
                            }
                        }
                    }
                }
                if attempt % 25 == 0 {
                    limiters
                        .iter_mut()
                        .zip(&readers)
                        .for_each(|(limiter, reader)| limiter.apply_decision(now, reader));
                }
            }
            let now = at(second * 1000 + 990);
            if second >= decided_for {
                continue;
            }
            for (g, limiter) in limiters.iter_mut().enumerate() {
                let goes_by = AppliedDecisions {
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
                    applied_decisions: goes_by,
                };
                allocator.handle_report(now, &report).map_err(|why| why.to_string())?;
            }
            revision += 1;
            let stamp = Stamp { token: 1, revision };
            if let Some(body) = allocator.decide(now, stamp) {
                let decision = Decision { stamp, valid_ms: VALID.as_millis() as u32, body };
                for reader in &mut readers {
                    reader.accept(now, decision.clone());
                }
            } else {
                readers.iter_mut().for_each(|reader| reader.renew(now));
            }
        }
        let near = |(seen, wanted): (&f64, &f64)| (seen - wanted).abs() <= 0.05 * self.capacity;
        let same = gets.len() == self.gets.len() && gets.iter().zip(&self.gets).all(near);
        same.then_some(()).ok_or_else(|| format!("{gets:.1?}"))
    }
}

#[test]
fn every_clause_has_rows_and_every_row_passes() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/conformance/shares.toml"));
    let tables: Tables = toml::from_str(&text.expect("readable")).expect("tables");
    let rows = tables.share.iter().map(|row| RowResult {
        id: row.id.clone(),
        clause: row.clause.clone(),
        because: row.because.clone(),
        outcome: row.play(),
    });
    check_rows(&tables.clause, rows);
}
