//! One run: starts the fleet, applies the load and the faults of the scenario, and records the history.
//!
//! - `setup`: the stand-ins and processes; `running_fleet`: the sequence of a run.
//! - `gateways`, `discovery`, `coordinators`, `controllers`: each kind of process.
//! - `faults`: injection of faults and recovery from them.
//! - `measurement`: clock delays and processor time of the harness.

mod controllers;
mod coordinators;
mod discovery;
mod faults;
mod gateways;
mod measurement;
mod process_config;
mod running_fleet;
mod setup;

use crate::deployment::{Deployment, Nanos, SECOND};
use crate::error::RunError;
use crate::harness::process::raise_descriptor_limit;
use crate::harness::RunContext;
use crate::history::Writer;
use crate::scenario::Scenario;
use setup::set_up_and_run;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::timeout;

/// File name of the history.
pub const HISTORY: &str = "history.bin";
/// File name of the scenario.
pub const SCENARIO: &str = "scenario.toml";
/// File name of the summary.
pub const SUMMARY: &str = "summary.json";

/// The fleet's name in the coordination service.
const FLEET: &str = "lab";
/// Maximum number of gateways that start concurrently; with more, they would only slow each other down.
const MAX_STARTING: usize = 16;
/// Time from the start of draining until the server is killed, if the fault that drains it is permanent.
const DRAIN_TIME: Nanos = 4 * SECOND;
/// Lease of a registration at the discovery service.
const LEASE_MS: u64 = 3000;
/// Interval between renewals of a registration.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of each step of replacing a coordinator that lost its disk.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum duration of a run beyond the duration of its load.
const MAX_OVERRUN: Duration = Duration::from_secs(120);

/// A scenario to run, with its options.
pub struct RunSpec {
    /// The scenario's name.
    pub name: String,
    /// The text of the scenario's file.
    pub text: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The folder for the history and the logs of the run.
    pub dir: PathBuf,
    /// The program of the harness; the other programs are in the same folder.
    pub harness: PathBuf,
}

/// Runs a scenario to its end and writes its history to the folder of the run.
///
/// # Errors
///
/// See [`RunError`].
pub fn run(spec: &RunSpec) -> Result<(), RunError> {
    let scenario = Scenario::parse(&spec.text)?;
    let deployment = Deployment::draw(&scenario, spec.seed)?;
    raise_descriptor_limit(descriptors_needed(&scenario))?;
    let unusable = |error| RunError::File(spec.dir.clone(), error);
    fs::create_dir_all(spec.dir.join("logs")).map_err(unusable)?;
    fs::write(spec.dir.join(SCENARIO), &spec.text).map_err(unusable)?;
    let file = File::create(spec.dir.join(HISTORY)).map_err(unusable)?;
    let history = Writer::new(file).map_err(unusable)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default())
        .map_err(RunError::Runtime)?;
    let max_duration = Duration::from_millis(scenario.load.duration_ms) + MAX_OVERRUN;
    runtime.block_on(async {
        let context = RunContext::new(scenario, deployment, spec.seed, history);
        let result = timeout(max_duration, set_up_and_run(&context, spec)).await;
        result.unwrap_or(Err(RunError::TooLong(max_duration.as_secs())))
    })
}

/// Returns the maximum number of connections, pipes and files of the harness itself.
fn descriptors_needed(scenario: &Scenario) -> u64 {
    let fleet = &scenario.fleet;
    // For each gateway: 8 for its pipe, its watch of discovery and its counter connection; up to 24 for the
    // servers that it uses; 20 for the load balancer's connections to it.
    let each = 8 + u64::from(fleet.pay_servers.min(24)) + 20;
    256 + u64::from(fleet.pay_servers) * 2 + u64::from(fleet.gateways) * each
}

/// Returns the default output folder of a run.
pub fn default_dir(name: &str, seed: u64) -> PathBuf {
    Path::new("target").join("lab").join(format!("{name}-{seed}"))
}
