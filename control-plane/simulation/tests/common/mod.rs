//! Scenarios, each a cluster with a plan of faults, and a function that runs many scenarios in parallel.

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
    pub think_time_spread_ms: u64,
}

impl Scenario {
    /// Returns a scenario of faults, each with its instant in seconds. All have ended at `faults_end_at`, in
    /// seconds.
    pub fn new(name: String, spec: ClusterSpec, faults: Vec<(f64, Fault)>, faults_end_at: f64) -> Scenario {
        let faults = faults.into_iter().map(|(at, fault)| (seconds(at), fault)).collect();
        let plan = Plan::of(faults, seconds(faults_end_at) + CATCH_UP_TIME);
        Scenario { name, spec, plan, think_time_spread_ms: 300 }
    }

    pub fn run(&self) -> Verdict {
        runner::run_with(self.spec, &self.plan, self.think_time_spread_ms)
    }
}

/// Runs all scenarios, and panics with the first violation of each scenario that has one.
pub fn run_all(scenarios: Vec<Scenario>) {
    assert!(!scenarios.is_empty());
    let (pending, violations) = (Mutex::new(scenarios), Mutex::new(Vec::new()));
    let next = || pending.lock().expect("no scenario panicked").pop();
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(4, usize::from).min(8) {
            scope.spawn(|| {
                while let Some(scenario) = next() {
                    let verdict = scenario.run();
                    if let Some(first) = verdict.violations.first() {
                        let line = format!("{} ({:?}): {first}", scenario.name, scenario.spec);
                        violations.lock().expect("no scenario panicked").push(line);
                    }
                }
            });
        }
    });
    let violations = violations.into_inner().expect("no scenario panicked");
    assert!(
        violations.is_empty(),
        "{} scenarios have violations:\n{}",
        violations.len(),
        violations.join("\n")
    );
}
