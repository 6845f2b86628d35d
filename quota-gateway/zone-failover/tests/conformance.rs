//! Tables of conformance of the decision: rows from the design page on zones, a clause each. A clause without a row is a failure.

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

/// Who sends where.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FlowRow {
    id: String,
    clause: String,
    because: String,
    regions: Vec<String>,
    asked: Vec<f64>,
    room: Vec<f64>,
    /// Zones that others may not send to.
    #[serde(default)]
    shut: Vec<usize>,
    #[serde(default)]
    cut: Vec<(usize, usize)>,
    /// Units that each zone (row) sends to each (column), to within a unit.
    sends: Vec<Vec<f64>>,
}

/// A zone through time: at these ms these verdicts, and its state just behind each.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateRow {
    id: String,
    clause: String,
    because: String,
    #[serde(default = "yes")]
    may_fall: bool,
    steps: Vec<(u64, String, String)>,
    /// The share that is open to it at the end.
    open: Option<f64>,
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
        let n = self.asked.len();
        let open: Vec<bool> = (0..n).map(|zone| !self.shut.contains(&zone)).collect();
        let load = Load {
            demand: self.asked.clone(),
            capacity: self.room.clone(),
            accepts_probes: open.clone(),
            accepts_traffic: open,
            is_suspect: vec![false; n],
            is_partitioned: (0..n)
                .map(|from| (0..n).map(|to| self.cut.contains(&(from, to))).collect())
                .collect(),
        };
        let shares = allocate(&settings(&self.regions), &load);
        let seen: Vec<Vec<f64>> = shares
            .iter()
            .zip(&self.asked)
            .map(|(row, asked)| row.iter().map(|share| share * asked.max(1.0)).collect())
            .collect();
        let near = |a: &Vec<f64>, b: &Vec<f64>| a.iter().zip(b).all(|(a, b)| (a - b).abs() <= 1.5);
        let same = seen.len() == self.sends.len() && seen.iter().zip(&self.sends).all(|(a, b)| near(a, b));
        same.then_some(()).ok_or_else(|| format!("{seen:.1?}"))
    }
}

impl StateRow {
    fn play(&self) -> Result<(), String> {
        let settings =
            Settings { min_failover_ms: 4000, slow_start_ms: 10_000, ..settings(&["".to_owned()]) };
        let mut zone = Zone::new(Duration::ZERO, ZoneState::Serving, 0);
        let mut now = Duration::ZERO;
        for (at, verdict, state) in &self.steps {
            now = ms(*at);
            let mut judge =
                |verdict, servers| zone.apply_verdict(now, &settings, verdict, self.may_fall, servers);
            match verdict.as_str() {
                "well" => judge(Verdict::Healthy, true),
                "doubtful" => judge(Verdict::Inconclusive, true),
                "lost" => judge(Verdict::Lost, true),
                "gone" => judge(Verdict::WithoutServers, false),
                "unseen" => judge(Verdict::Unobserved, true),
                "no servers" => judge(Verdict::Unobserved, false),
                "hold" => zone.hold_by_operator(now),
                "return" => zone.return_by_operator(now),
                other => return Err(format!("no verdict is called {other}")),
            }
            if zone.state.name() != state {
                return Err(format!("{} at {at}", zone.state.name()));
            }
        }
        let open = zone.open_fraction(now, &settings);
        let wrong = self.open.is_some_and(|wanted| (wanted - open).abs() > 0.005);
        (!wrong).then_some(()).ok_or_else(|| format!("open {open}"))
    }
}

#[test]
fn every_clause_has_rows_and_every_row_passes() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/conformance/zones.toml"));
    let tables: Tables = toml::from_str(&text.expect("readable")).expect("tables");
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

/// A configuration that can't be used is named by its field.
#[test]
fn settings_that_cannot_be_used_are_named() {
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
