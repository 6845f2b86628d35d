//! Scenarios: a cluster, a plan of faults, and running many of them on all processors.

use marblecroft_simulation::faults::{Fault, Plan, CATCH_UP_TIME};
use marblecroft_simulation::runner::{self, Verdict};
use marblecroft_simulation::ClusterSpec;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A cluster with a plan of faults.
pub struct Scenario {
    pub name: String,
    pub spec: ClusterSpec,
    pub plan: Plan,
    pub max_think_time_ms: u64,
}

impl Scenario {
    /// Returns a scenario of faults with their instants in seconds; the last one is over at `quiet_from`.
    pub fn new(name: String, spec: ClusterSpec, faults: Vec<(f64, Fault)>, quiet_from: f64) -> Scenario {
        let faults = faults.into_iter().map(|(at, fault)| (seconds(at), fault)).collect();
        let plan = Plan::of(faults, seconds(quiet_from) + CATCH_UP_TIME);
        Scenario { name, spec, plan, max_think_time_ms: 300 }
    }

    pub fn run(&self) -> Verdict {
        runner::run_with(self.spec, &self.plan, self.max_think_time_ms)
    }
}

/// Runs all scenarios, and fails with the first violation of each that has one.
pub fn run_all(scenarios: Vec<Scenario>) {
    assert!(!scenarios.is_empty());
    let (pending, violations) = (Mutex::new(scenarios), Mutex::new(Vec::new()));
    let next = || pending.lock().expect("no panic").pop();
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(4, usize::from).min(8) {
            scope.spawn(|| {
                while let Some(scenario) = next() {
                    let verdict = scenario.run();
                    if let Some(first) = verdict.violations.first() {
                        let line = format!("{} ({:?}): {first}", scenario.name, scenario.spec);
                        violations.lock().expect("no panic").push(line);
                    }
                }
            });
        }
    });
    let violations = violations.into_inner().expect("no panic");
    assert!(violations.is_empty(), "{} scenarios:\n{}", violations.len(), violations.join("\n"));
}
