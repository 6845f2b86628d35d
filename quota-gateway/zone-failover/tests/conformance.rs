//! Conformance tables of zone failover. Each row shows one clause of the design page; a clause without a row
//! is a failure.

use marblecroft_test_support::conformance::{check_rows, RowResult};
use marblecroft_zone_failover::allocation::{allocate, Load};
use marblecroft_zone_failover::decision::ZoneState;
use marblecroft_zone_failover::settings::{Settings, ZoneSettings};
use marblecroft_zone_failover::verdict::Verdict;
use marblecroft_zone_failover::zone::Zone;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Tables {
    clause: BTreeMap<String, String>,
    flow: Vec<FlowRow>,
    state: Vec<StateRow>,
}

/// Demand and capacity of zones, and the expected allocation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FlowRow {
    id: String,
    clause: String,
    because: String,
    regions: Vec<String>,
    #[serde(rename = "asked")]
    demand: Vec<f64>,
    #[serde(rename = "room")]
    capacity: Vec<f64>,
    /// Zones that others may not send to.
    #[serde(default, rename = "shut")]
    closed: Vec<usize>,
    /// Partitioned links, from one zone to another.
    #[serde(default, rename = "cut")]
    partitioned: Vec<(usize, usize)>,
    /// Expected units that each zone (row) sends to each zone (column), within 1.5 units.
    sends: Vec<Vec<f64>>,
}

/// A sequence of verdicts and operator commands on a zone: time in milliseconds, verdict or command, and
/// expected state after it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateRow {
    id: String,
    clause: String,
    because: String,
    #[serde(default = "yes", rename = "may_fall")]
    may_fail_over: bool,
    steps: Vec<(u64, String, String)>,
    /// Expected fraction of its capacity that is open to traffic at the end.
    #[serde(rename = "open")]
    open_fraction: Option<f64>,
}

fn yes() -> bool {
    true
}

fn settings(regions: &[String]) -> Settings {
    let zone =
        |(i, region): (usize, &String)| ZoneSettings { name: format!("hall-{i}"), region: region.clone() };
    Settings { zones: regions.iter().enumerate().map(zone).collect(), ..Settings::default() }
}

impl FlowRow {
    fn play(&self) -> Result<(), String> {
        let n = self.demand.len();
        let open: Vec<bool> = (0..n).map(|zone| !self.closed.contains(&zone)).collect();
        let load = Load {
            demand: self.demand.clone(),
            capacity: self.capacity.clone(),
            accepts_probes: open.clone(),
            accepts_traffic: open,
            is_suspect: vec![false; n],
            is_partitioned: (0..n)
                .map(|from| (0..n).map(|to| self.partitioned.contains(&(from, to))).collect())
                .collect(),
        };
        let shares = allocate(&settings(&self.regions), &load);
        let sent: Vec<Vec<f64>> = shares
            .iter()
            .zip(&self.demand)
            .map(|(row, demand)| row.iter().map(|share| share * demand.max(1.0)).collect())
            .collect();
        let is_close = |a: &Vec<f64>, b: &Vec<f64>| a.iter().zip(b).all(|(a, b)| (a - b).abs() <= 1.5);
        let matches =
            sent.len() == self.sends.len() && sent.iter().zip(&self.sends).all(|(a, b)| is_close(a, b));
        matches.then_some(()).ok_or_else(|| format!("units sent: {sent:.1?}"))
    }
}

impl StateRow {
    fn play(&self) -> Result<(), String> {
        let settings =
            Settings { min_failover_ms: 4000, slow_start_ms: 10_000, ..settings(&["".to_owned()]) };
        let mut zone = Zone::new(Duration::ZERO, ZoneState::Serving, 0);
        let mut now = Duration::ZERO;
        for (at, step, expected) in &self.steps {
            now = ms(*at);
            let mut apply = |verdict, has_servers| {
                zone.apply_verdict(now, &settings, verdict, self.may_fail_over, has_servers)
            };
            match step.as_str() {
                "healthy" => apply(Verdict::Healthy, true),
                "inconclusive" => apply(Verdict::Inconclusive, true),
                "lost" => apply(Verdict::Lost, true),
                "without servers" => apply(Verdict::WithoutServers, false),
                "unobserved" => apply(Verdict::Unobserved, true),
                "unobserved without servers" => apply(Verdict::Unobserved, false),
                "hold" => zone.hold_by_operator(now),
                "return" => zone.return_by_operator(now),
                other => return Err(format!("unknown step {other}")),
            }
            if zone.state.name() != expected {
                return Err(format!("state {} at {at} ms", zone.state.name()));
            }
        }
        let open_fraction = zone.open_fraction(now, &settings);
        let is_wrong = self.open_fraction.is_some_and(|expected| (expected - open_fraction).abs() > 0.005);
        (!is_wrong).then_some(()).ok_or_else(|| format!("open fraction {open_fraction}"))
    }
}

#[test]
fn every_clause_has_rows_and_every_row_passes() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/conformance/zones.toml"));
    let tables: Tables =
        toml::from_str(&text.expect("the table file is readable")).expect("the table file is valid");
    let played = |id: &String, clause: &String, because: &String, outcome| RowResult {
        id: id.clone(),
        clause: clause.clone(),
        because: because.clone(),
        outcome,
    };
    let flows = tables.flow.iter().map(|row| played(&row.id, &row.clause, &row.because, row.play()));
    let states = tables.state.iter().map(|row| played(&row.id, &row.clause, &row.because, row.play()));
    check_rows(&tables.clause, flows.chain(states));
}

#[test]
fn errors_of_invalid_settings_name_the_field() {
    let read = |text: &str| {
        toml::from_str::<Settings>(text)
            .map_err(|e| e.to_string())
            .and_then(|s| s.check().map_err(|e| e.to_string()))
    };
    assert_eq!(read("places = [{ name = 'a' }]"), Ok(()));
    for (text, field) in [
        ("", "places"),
        ("places = [{ name = 'a' }, { name = 'a' }]", "places[1].name"),
        ("places = [{ name = '' }]", "places[0]"),
        ("places = [{ name = 'a' }]\nhold_ms = 0", "hold_ms"),
        ("places = [{ name = 'a' }]\nserver_bears = -1.0", "server_bears"),
        ("places = [{ name = 'a' }]\nmore = 1", "more"),
    ] {
        let e = read(text).expect_err(text);
        assert!(e.contains(field), "{text}: {e}");
    }
    assert_eq!(ZoneState::HeldByOperator.name(), "held_out");
}
