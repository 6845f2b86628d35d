//! Runs a fixed number of seeds for clusters of several sizes, and checks that a seed replays exactly. More
//! seeds can be run with `marblecroft-simulation search`.

#[allow(dead_code, reason = "not every test file uses all of the helpers")]
mod common;

use common::{run_all, Scenario};
use marblecroft_simulation::{runner, ClusterSpec, Plan};

/// Number of seeds for each size of cluster.
const SEEDS: u64 = 24;
/// Sizes of clusters: coordinators with a disk, coordinators without a disk, stores and tolerated losses.
const SIZES: [(usize, usize, usize, usize); 8] = [
    (3, 0, 4, 1),
    (4, 0, 5, 1),
    (4, 0, 6, 2),
    (5, 0, 6, 2),
    (9, 0, 8, 2),
    (3, 1, 4, 1),
    (4, 2, 4, 1),
    (4, 3, 5, 1),
];

#[test]
fn seeds_of_every_size_have_no_violation() {
    let mut scenarios = Vec::new();
    for (coordinators, without_disk, stores, tolerated) in SIZES {
        for seed in 1..=SEEDS {
            let spec = ClusterSpec {
                seed,
                coordinators,
                stores,
                tolerated_machines: tolerated,
                diskless_coordinators: without_disk,
            };
            let plan = Plan::draw(&spec);
            scenarios.push(Scenario { name: format!("seed {seed}"), spec, plan, think_time_spread_ms: 700 });
        }
    }
    run_all(scenarios);
}

#[test]
fn a_seed_replays_exactly() {
    let spec =
        ClusterSpec { seed: 77, coordinators: 4, stores: 4, tolerated_machines: 1, diskless_coordinators: 0 };
    let plan = Plan::draw(&spec);
    let (first, second) = (runner::run(spec, &plan), runner::run(spec, &plan));
    assert_eq!((first.event_digest, first.counts), (second.event_digest, second.counts));
    let other = ClusterSpec { seed: 78, ..spec };
    assert_ne!(first.event_digest, runner::run(other, &Plan::draw(&other)).event_digest);
}
