//! Tables of conformance: rows from the design page and from the protocol's table of outcomes, driven through the module's
//! public face. `conformance/clauses.toml` names every clause; a clause without a row, or a row of no clause, is a failure.
//!
//! How a row reads f from outside: as many requests of one priority as `count` says, asked in one instant and called off at
//! once; the share of them that is let in is the allowed fraction, to within one of them.

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
    /// How the expected figures follow from the clause.
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
    meter_ms: u64,
    attempts: u32,
    /// Worth and effect of each class; the aim is 800 ms and the deadline 3 s.
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
    over_worth: f64,
    over_cost: f64,
}

impl Default for GivenPlan {
    fn default() -> GivenPlan {
        GivenPlan { rate: 1e6, burst: 1e6, price: 1.0, over_worth: 0.0, over_cost: 1.0 }
    }
}

impl Default for Given {
    fn default() -> Given {
        let classes = vec![(1.0, "safe".to_owned())];
        Given {
            gateways: 1,
            servers: 1,
            meter_ms: 0,
            attempts: 4,
            classes,
            plans: vec![GivenPlan::default()],
            seed: 1,
        }
    }
}

/// Who asks, for what.
#[derive(Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Who {
    class: usize,
    plan: usize,
    customer: u64,
    units: f64,
}

impl Default for Who {
    fn default() -> Who {
        Who { class: 0, plan: 0, customer: 1, units: 1.0 }
    }
}

#[derive(Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Requests that end so after so long, in one instant of the module's clock; again each 100 ms, `steps` times.
    Answer {
        count: u32,
        ms: u64,
        #[serde(default = "served")]
        status: String,
        #[serde(default)]
        who: Who,
        util: Option<f64>,
        metered: Option<f64>,
        #[serde(default = "one")]
        steps: u32,
    },
    Pass {
        ms: u64,
    },
    /// Requests in one instant; the share that is let in lies between these, or they are let in in this order.
    Ask {
        count: u32,
        #[serde(default)]
        who: Who,
        share: Option<(f64, f64)>,
        sequence: Option<String>,
        /// All refusals advise to wait for this many ms.
        advice: Option<(u64, u64)>,
    },
    /// One request whose attempts end so, one after another; what is done about the last of them.
    Ends {
        who: Who,
        attempts: Vec<String>,
        then: String,
    },
}

fn served() -> String {
    "ok".to_owned()
}

fn one() -> u32 {
    1
}

fn status(name: &str) -> Status {
    match name {
        "ok" => Status::Ok,
        "error" => Status::Error,
        "turned away" => Status::Rejected,
        "timed out" => Status::TimedOut,
        "could not connect" => Status::ConnectFailed,
        "reset" => Status::Reset,
        other => panic!("no outcome is called {other}"),
    }
}

fn begun(given: &Given) -> Door {
    let effect = |name: &str| match name {
        "safe" => Effect::Safe,
        "unsafe" => Effect::Unsafe,
        other => panic!("no effect is called {other}"),
    };
    let classes = given.classes.iter().map(|(worth, name)| class(effect(name), *worth)).collect();
    let plan = |p: &GivenPlan| Plan {
        rate: p.rate,
        burst: p.burst,
        price: p.price,
        over_quota_value: p.over_worth,
        over_quota_cost: p.over_cost,
        ..Plan::default()
    };
    let mut settings = settings(classes, given.plans.iter().map(plan).collect());
    settings.gateways = given.gateways;
    settings.meter_period = ms(given.meter_ms);
    settings.max_attempts = given.attempts;
    settings.max_units = 1.0;
    let mut door = Door::seeded(settings, given.servers, given.seed);
    door.spread = given.gateways;
    door
}

impl Step {
    /// The error says what was seen.
    fn play(&self, door: &mut Door) -> Result<(), String> {
        match self {
            Step::Answer { count, ms, status: end, who, util, metered, steps } => {
                for _ in 0..*steps {
                    for _ in 0..*count {
                        let (id, actions) = door.request_of(who.class, who.plan, who.customer, who.units);
                        if sent(&actions).is_some() {
                            let report = LoadReport { utilization: *util, queue: None };
                            let told = outcome(id, 0, status(end), *ms);
                            door.event(Event::Outcome(Outcome {
                                report,
                                metered_use: *metered,
                                not_retryable: true,
                                ..told
                            }));
                        }
                    }
                    if *steps > 1 {
                        door.pass(100);
                    }
                }
                Ok(())
            }
            Step::Pass { ms } => {
                door.pass(*ms);
                Ok(())
            }
            Step::Ask { count, who, share, sequence, advice } => {
                let mut seen = String::new();
                for _ in 0..*count {
                    let (id, actions) = door.request_of(who.class, who.plan, who.customer, who.units);
                    let entered = sent(&actions).is_some();
                    seen.push(if entered { '1' } else { '0' });
                    if entered {
                        door.event(Event::ClientDisconnected(id));
                        door.settle(id, 0, Status::Cancelled, 0);
                    }
                    let told = actions.iter().find_map(|action| match action {
                        Action::Reject { retry_after, .. } => Some(retry_after.as_millis() as u64),
                        _ => None,
                    });
                    if entered != told.is_none() {
                        return Err(format!("neither sent nor refused at once: {actions:?}"));
                    }
                    if let (Some((least, most)), Some(told)) = (advice, told) {
                        if !(*least..=*most).contains(&told) {
                            return Err(format!("advice {told} ms"));
                        }
                    }
                }
                let entered = seen.matches('1').count() as f64 / f64::from(*count);
                let outside = share.is_some_and(|(least, most)| !(least..=most).contains(&entered));
                if outside || sequence.as_ref().is_some_and(|sequence| *sequence != seen) {
                    return Err(format!("{entered} let in, in the order {}", &seen[..seen.len().min(60)]));
                }
                Ok(())
            }
            Step::Ends { who, attempts, then } => {
                let (id, mut actions) = door.request_of(who.class, who.plan, who.customer, who.units);
                for (number, end) in attempts.iter().enumerate() {
                    if sent(&actions).is_none() {
                        return Err(format!("attempt {number} is not sent: {actions:?}"));
                    }
                    actions = door.settle(id, number as u32, status(end), 5);
                }
                let seen = match (sent(&actions).is_some(), refused(&actions), failed(&actions)) {
                    (true, false, false) => "another attempt",
                    (false, true, false) => "refused",
                    (false, false, true) => "failed",
                    (false, false, false) => "answered",
                    _ => "several at once",
                };
                (seen == then).then_some(()).ok_or_else(|| seen.to_owned())
            }
        }
    }
}

#[derive(Deserialize)]
struct Clauses {
    clause: BTreeMap<String, String>,
}

#[test]
fn every_clause_has_rows_and_every_row_holds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/conformance");
    let read = |path: &Path| std::fs::read_to_string(path).expect("readable");
    let clauses: Clauses = toml::from_str(&read(&folder.join("clauses.toml"))).expect("clauses");
    let mut files: Vec<_> =
        std::fs::read_dir(&folder).expect("a folder").map(|f| f.expect("a file").path()).collect();
    files.sort();
    let mut rows = Vec::new();
    for file in files.iter().filter(|file| !file.ends_with("clauses.toml")) {
        let table: Table = toml::from_str(&read(file)).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
        rows.extend(table.row.into_iter().map(|row| {
            let mut door = begun(&row.given);
            let mut steps = row.steps.iter().enumerate();
            let miss = steps.find_map(|(at, step)| Some((at, step.play(&mut door).err()?)));
            let outcome = miss.map_or(Ok(()), |(at, seen)| Err(format!("step {at}: {seen}")));
            RowResult { id: row.id, clause: row.clause, because: row.because, outcome }
        }));
    }
    check_rows(&clauses.clause, rows);
}
