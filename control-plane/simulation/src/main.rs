//! Searches seeds for broken rules: `marblecroft-simulation search`, and plays one again: `marblecroft-simulation replay`.

use marblecroft_simulation::faults::{self, Plan};
use marblecroft_simulation::scenarios::{random_faults, scenario, Model};
use marblecroft_simulation::ClusterSpec;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;
use std::{fs, io};

xflags::xflags! {
    /// Clusters of coordinators and stores on virtual networks, disks and clocks.
    cmd marblecroft-simulation {
        /// Plays seeds, and prints how many a second and which of them break a rule.
        cmd search {
            /// The first seed (1).
            optional --from from: u64
            /// How many seeds (1000).
            optional --seeds seeds: u64
            /// Coordinators (3).
            optional --coordinators coordinators: usize
            /// Stores (4).
            optional --stores stores: usize
            /// Machines with a disk that may be lost at once (1).
            optional --tolerated tolerated: usize
            /// Coordinators more without a disk (0).
            optional --without-disk without: usize
            /// Threads (4).
            optional --threads threads: usize
        }
        /// Writes days for the bench, one file each, and prints what strikes in them.
        cmd days {
            /// The site file whose first day gives traffic and marks.
            required --site site: PathBuf
            /// The folder that they are written to.
            required --out out: PathBuf
            /// The first day (0).
            optional --from from: usize
            /// How many (as many as there are kinds and variants).
            optional --days days: usize
            /// The seed (1).
            optional --seed seed: u64
        }
        /// Plays one seed and prints what happens.
        cmd replay {
            required --seed seed: u64
            optional --coordinators coordinators: usize
            optional --stores stores: usize
            optional --tolerated tolerated: usize
            optional --without-disk without: usize
        }
    }
}

/// The cluster that is played unless another one is asked for.
const COORDINATORS: usize = 3;
const STORES: usize = 4;
const TOLERATED: usize = 1;

fn spec_of(
    seed: u64,
    coordinators: Option<usize>,
    stores: Option<usize>,
    tolerated: Option<usize>,
    without_disk: Option<usize>,
) -> ClusterSpec {
    ClusterSpec {
        seed,
        coordinators: coordinators.unwrap_or(COORDINATORS),
        stores: stores.unwrap_or(STORES),
        tolerated_machines: tolerated.unwrap_or(TOLERATED),
        diskless_coordinators: without_disk.unwrap_or(0),
    }
}

fn search(from: u64, seeds: u64, spec: ClusterSpec, threads: usize) -> ExitCode {
    let (next, failed) = (AtomicU64::new(from), Mutex::new(Vec::new()));
    let counts = Mutex::new(BTreeMap::<&str, u64>::new());
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + seeds {
                    return;
                }
                let spec = ClusterSpec { seed, ..spec };
                let verdict = faults::run(spec, &Plan::draw(&spec));
                if let Ok(mut counts) = counts.lock() {
                    verdict.counts.iter().for_each(|(what, count)| *counts.entry(what).or_default() += count);
                }
                if let Some(first) = verdict.found.first() {
                    println!("seed {seed}: {first}");
                    if let Ok(mut failed) = failed.lock() {
                        failed.push(seed);
                    }
                }
            });
        }
    });
    println!("{:?}", counts.into_inner().unwrap_or_default());
    let failed = failed.into_inner().unwrap_or_default();
    let a_second = seeds as f64 / begun.elapsed().as_secs_f64();
    println!(
        "{} coordinators and {} without a disk, {} stores, {} tolerated: {seeds} seeds from {from}, {a_second:.1} a second, \
         {} failed",
        spec.coordinators,
        spec.diskless_coordinators,
        spec.stores,
        spec.tolerated_machines,
        failed.len()
    );
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn write_scenarios(site: &Path, out: &Path, from: usize, days: usize, seed: u64) -> io::Result<()> {
    let model = Model::read(&fs::read_to_string(site)?);
    let model =
        model.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "the site file has no day"))?;
    fs::create_dir_all(out)?;
    for number in from..from + days {
        let (text, told) = scenario(&model, number, seed);
        fs::write(out.join(format!("{number:03}.toml")), text)?;
        writeln!(io::stdout(), "{number:03} {told}")?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match MarblecroftSimulation::from_env_or_exit().subcommand {
        MarblecroftSimulationCmd::Search(s) => {
            let spec = spec_of(0, s.coordinators, s.stores, s.tolerated, s.without_disk);
            search(s.from.unwrap_or(1), s.seeds.unwrap_or(1000), spec, s.threads.unwrap_or(4))
        }
        MarblecroftSimulationCmd::Days(d) => {
            let (from, days) = (d.from.unwrap_or(0), d.days.unwrap_or_else(random_faults));
            match write_scenarios(&d.site, &d.out, from, days, d.seed.unwrap_or(1)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("marblecroft-simulation: {}: {e}", d.site.display());
                    ExitCode::FAILURE
                }
            }
        }
        MarblecroftSimulationCmd::Replay(r) => {
            marblecroft_logging::init("simulation", marblecroft_logging::LogConfig::default());
            let spec = spec_of(r.seed, r.coordinators, r.stores, r.tolerated, r.without_disk);
            let verdict = faults::run(spec, &Plan::draw(&spec));
            verdict.found.iter().for_each(|found| println!("FOUND {found}"));
            if verdict.found.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
    }
}
