//! A bounded part of the search; `marblecroft-simulation search` does the rest. A seed replays exactly.

#[allow(dead_code)]
mod common;

use common::{play_all, Scenario};
use marblecroft_simulation::faults::{self, Plan};
use marblecroft_simulation::ClusterSpec;

/// Seeds of each size.
const SEEDS: u64 = 24;
/// Coordinators, others without a disk, stores and tolerated machines.
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
fn seeds_of_every_size_break_no_rule() {
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
            scenarios.push(Scenario { name: format!("seed {seed}"), spec, plan, change_pause: 700 });
        }
    }
    play_all(scenarios);
}

#[test]
fn a_seed_replays_exactly() {
    let spec =
        ClusterSpec { seed: 77, coordinators: 4, stores: 4, tolerated_machines: 1, diskless_coordinators: 0 };
    let plan = Plan::draw(&spec);
    let (first, again) = (faults::run(spec, &plan), faults::run(spec, &plan));
    assert_eq!((first.trace, first.counts), (again.trace, again.counts));
    let other = ClusterSpec { seed: 78, ..spec };
    assert_ne!(first.trace, faults::run(other, &Plan::draw(&other)).trace);
}
