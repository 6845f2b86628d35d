//! One run: the fleet is started, loaded and broken as the scenario says, and its history is written.
//!
//! - `setup`: the stand-ins and processes; `harness`: the way of a run.
//! - `gateways`, `discovery`, `coordinators`, `stewards`: each kind of process.
//! - `faults`: what breaks, and its repair.
//! - `measurement`: the harness' own clock and processor time.

mod coordinators;
mod discovery;
mod faults;
mod gateways;
mod harness;
mod measurement;
mod process_config;
mod setup;
mod stewards;

use crate::deployment::{Deployment, Nanos, SECOND};
use crate::error::RunError;
use crate::history::Writer;
use crate::scenario::Scenario;
use crate::shell::process::descriptors;
use crate::shell::World;
use setup::set_up_and_play;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::timeout;

/// File names of a run.
pub const HISTORY: &str = "history.bin";
/// The scenario's file.
pub const SCENARIO: &str = "scenario.toml";
/// The summary's file.
pub const SUMMARY: &str = "summary.json";

/// The fleet's name in the coordination service.
const FLEET: &str = "lab";
/// Processes that start at once: more would only wait for each other.
const MAX_STARTING: usize = 16;
/// After a fault that is for good a server that drains is gone this much later.
const DRAIN_TIME: Nanos = 4 * SECOND;
/// A registration at the list service lasts so long, and is renewed so often.
const LEASE_MS: u64 = 3000;
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A coordinator that lost its disk is replaced within this time.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(20);
/// What a run may take beyond its load, and what follows on a fault.
const MAX_OVERRUN: Duration = Duration::from_secs(120);

/// What to run.
pub struct RunSpec {
    /// The scenario's name.
    pub name: String,
    /// The text of the scenario's file.
    pub text: String,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// The folder of the run, where its history and its logs are kept.
    pub dir: PathBuf,
    /// This program; the others are beside it.
    pub harness: PathBuf,
}

/// Runs a scenario to its end. What happened is then in the run's folder.
///
/// # Errors
///
/// See [`RunError`].
pub fn run(spec: &RunSpec) -> Result<(), RunError> {
    let scenario = Scenario::parse(&spec.text)?;
    let deployment = Deployment::draw(&scenario, spec.seed)?;
    descriptors(descriptors_needed(&scenario))?;
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
        let world = World::new(scenario, deployment, spec.seed, history);
        let played = timeout(max_duration, set_up_and_play(&world, spec)).await;
        played.unwrap_or(Err(RunError::TooLong(max_duration.as_secs())))
    })
}

/// Connections, pipes and files of the lab itself, at the most.
fn descriptors_needed(scenario: &Scenario) -> u64 {
    let fleet = &scenario.fleet;
    // Its pipe, the watch of the list and the counter; the servers that it prefers and some that it tries; what the front
    // keeps to it.
    let each = 8 + u64::from(fleet.pay_servers.min(24)) + 20;
    256 + u64::from(fleet.pay_servers) * 2 + u64::from(fleet.gateways) * each
}

/// Where a run is kept whose folder nobody named.
pub fn usual_dir(name: &str, seed: u64) -> PathBuf {
    Path::new("target").join("lab").join(format!("{name}-{seed}"))
}
