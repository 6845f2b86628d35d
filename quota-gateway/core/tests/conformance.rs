//! Conformance tables: rows derived from the clauses of the design page and of the protocol's table of
//! outcomes, run against the public interface. `conformance/clauses.toml` lists the clauses. A clause without
//! a row, or a row without a clause, is a failure.
//!
//! To measure the admitted fraction f through the public interface, `count` requests of one priority are sent
//! at one instant and cancelled at once. The fraction of them that is admitted is f, to within one request.

mod common;

use common::*;
use marblecroft_quota_gateway_core::*;
use marblecroft_test_support::conformance::{check_rows, RowResult};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    row: Vec<Row>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    id: String,
    clause: String,
    /// How the expected values follow from the clause.
    because: String,
    #[serde(default)]
    given: Given,
    steps: Vec<Step>,
}

#[derive(Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Given {
    gateways: u32,
    servers: u32,
    meter_period_ms: u64,
    max_attempts: u32,
    /// Value and effect of each class. The latency target is 800 ms and the deadline 3 s.
    classes: Vec<(f64, String)>,
    plans: Vec<GivenPlan>,
    seed: u64,
}

#[derive(Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct GivenPlan {
    rate: f64,
    burst: f64,
    price: f64,
    over_quota_value: f64,
    over_quota_cost: f64,
}

impl Default for GivenPlan {
    fn default() -> GivenPlan {
        GivenPlan { rate: 1e6, burst: 1e6, price: 1.0, over_quota_value: 0.0, over_quota_cost: 1.0 }
    }
}

impl Default for Given {
    fn default() -> Given {
        let classes = vec![(1.0, "safe".to_owned())];
        Given {
            gateways: 1,
            servers: 1,
            meter_period_ms: 0,
            max_attempts: 4,
            classes,
            plans: vec![GivenPlan::default()],
            seed: 1,
        }
    }
}

/// The properties of a request.
#[derive(Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RequestProperties {
    class: usize,
    plan: usize,
    customer: u64,
    units: f64,
}

impl Default for RequestProperties {
    fn default() -> RequestProperties {
        RequestProperties { class: 0, plan: 0, customer: 1, units: 1.0 }
    }
}

#[derive(Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Sends `count` requests at one instant, each of which ends with `status` after `latency_ms`. Repeated
    /// every 100 ms, `steps` times.
    Finish {
        count: u32,
        latency_ms: u64,
        #[serde(default = "default_status")]
        status: String,
        #[serde(default)]
        request: RequestProperties,
        utilization: Option<f64>,
        metered_use: Option<f64>,
        #[serde(default = "default_steps")]
        steps: u32,
    },
    Advance {
        ms: u64,
    },
    /// Sends `count` requests at one instant. Checks that the admitted share is in a range, or which of them
    /// are admitted, as a sequence of 1 and 0.
    Request {
        count: u32,
        #[serde(default)]
        request: RequestProperties,
        admitted_share: Option<(f64, f64)>,
        admitted_sequence: Option<String>,
        /// Range of the retry-after of all rejections, in ms.
        retry_after_ms: Option<(u64, u64)>,
    },
    /// Sends one request whose attempts end with these results, one after another. Checks what follows the
    /// last one.
    Attempts {
        request: RequestProperties,
        results: Vec<String>,
        next: String,
    },
}

fn default_status() -> String {
    "ok".to_owned()
}

fn default_steps() -> u32 {
    1
}

fn status(name: &str) -> Status {
    match name {
        "ok" => Status::Ok,
        "error" => Status::Error,
        "rejected" => Status::Rejected,
        "timed out" => Status::TimedOut,
        "connect failed" => Status::ConnectFailed,
        "reset" => Status::Reset,
        other => panic!("unknown status {other}"),
    }
}

fn new_harness(given: &Given) -> Harness {
    let effect = |name: &str| match name {
        "safe" => Effect::Safe,
        "unsafe" => Effect::Unsafe,
        other => panic!("unknown effect {other}"),
    };
    let classes = given.classes.iter().map(|(value, name)| class(effect(name), *value)).collect();
    let plan = |p: &GivenPlan| Plan {
        rate: p.rate,
        burst: p.burst,
        price: p.price,
        over_quota_value: p.over_quota_value,
        over_quota_cost: p.over_quota_cost,
        ..Plan::default()
    };
    let mut settings = settings(classes, given.plans.iter().map(plan).collect());
    settings.gateways = given.gateways;
    settings.meter_period = ms(given.meter_period_ms);
    settings.max_attempts = given.max_attempts;
    settings.max_units = 1.0;
    let mut harness = Harness::with_seed(settings, given.servers, given.seed);
    harness.customer_gateways = given.gateways;
    harness
}

impl Step {
    /// Runs the step. The error describes what was observed.
    fn run(&self, harness: &mut Harness) -> Result<(), String> {
        match self {
            Step::Finish { count, latency_ms, status: end, request, utilization, metered_use, steps } => {
                for _ in 0..*steps {
                    for _ in 0..*count {
                        let (id, actions) = harness.request_with_units(
                            request.class,
                            request.plan,
                            request.customer,
                            request.units,
                        );
                        if sent_to(&actions).is_some() {
                            let report = LoadReport { utilization: *utilization, queue: None };
                            let result = outcome(id, 0, status(end), *latency_ms);
                            harness.handle(Event::Outcome(Outcome {
                                report,
                                metered_use: *metered_use,
                                not_retryable: true,
                                ..result
                            }));
                        }
                    }
                    if *steps > 1 {
                        harness.advance(100);
                    }
                }
                Ok(())
            }
            Step::Advance { ms } => {
                harness.advance(*ms);
                Ok(())
            }
            Step::Request { count, request, admitted_share, admitted_sequence, retry_after_ms } => {
                let mut observed = String::new();
                for _ in 0..*count {
                    let (id, actions) = harness.request_with_units(
                        request.class,
                        request.plan,
                        request.customer,
                        request.units,
                    );
                    let is_admitted = sent_to(&actions).is_some();
                    observed.push(if is_admitted { '1' } else { '0' });
                    if is_admitted {
                        harness.handle(Event::ClientDisconnected(id));
                        harness.finish_attempt(id, 0, Status::Cancelled, 0);
                    }
                    let advised_ms = actions.iter().find_map(|action| match action {
                        Action::Reject { retry_after, .. } => Some(retry_after.as_millis() as u64),
                        _ => None,
                    });
                    if is_admitted != advised_ms.is_none() {
                        return Err(format!("must be either sent or rejected: {actions:?}"));
                    }
                    if let (Some((least, most)), Some(advised_ms)) = (retry_after_ms, advised_ms) {
                        if !(*least..=*most).contains(&advised_ms) {
                            return Err(format!("retry-after of {advised_ms} ms"));
                        }
                    }
                }
                let share = observed.matches('1').count() as f64 / f64::from(*count);
                let outside = admitted_share.is_some_and(|(least, most)| !(least..=most).contains(&share));
                if outside || admitted_sequence.as_ref().is_some_and(|sequence| *sequence != observed) {
                    return Err(format!(
                        "admitted share {share}, sequence {}",
                        &observed[..observed.len().min(60)]
                    ));
                }
                Ok(())
            }
            Step::Attempts { request, results, next } => {
                let (id, mut actions) =
                    harness.request_with_units(request.class, request.plan, request.customer, request.units);
                for (number, end) in results.iter().enumerate() {
                    if sent_to(&actions).is_none() {
                        return Err(format!("attempt {number} was not sent: {actions:?}"));
                    }
                    actions = harness.finish_attempt(id, number as u32, status(end), 5);
                }
                let observed = match (sent_to(&actions).is_some(), rejected(&actions), failed(&actions)) {
                    (true, false, false) => "another attempt",
                    (false, true, false) => "rejected",
                    (false, false, true) => "failed",
                    (false, false, false) => "answered",
                    _ => "several actions",
                };
                (observed == next).then_some(()).ok_or_else(|| observed.to_owned())
            }
        }
    }
}

#[derive(Deserialize)]
struct Clauses {
    clause: BTreeMap<String, String>,
}

#[test]
fn every_clause_has_rows_and_every_row_passes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/conformance");
    let read = |path: &Path| std::fs::read_to_string(path).expect("a readable table");
    let clauses: Clauses = toml::from_str(&read(&folder.join("clauses.toml"))).expect("valid clauses.toml");
    let mut files: Vec<_> = std::fs::read_dir(&folder)
        .expect("the folder of the tables")
        .map(|f| f.expect("a table").path())
        .collect();
    files.sort();
    let mut rows = Vec::new();
    for file in files.iter().filter(|file| !file.ends_with("clauses.toml")) {
        let table: Table = toml::from_str(&read(file)).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
        rows.extend(table.row.into_iter().map(|row| {
            let mut harness = new_harness(&row.given);
            let mut steps = row.steps.iter().enumerate();
            let failure = steps.find_map(|(index, step)| Some((index, step.run(&mut harness).err()?)));
            let outcome =
                failure.map_or(Ok(()), |(index, observed)| Err(format!("step {index}: {observed}")));
            RowResult { id: row.id, clause: row.clause, because: row.because, outcome }
        }));
    }
    check_rows(&clauses.clause, rows);
}
