//! Each time a machine has caught up after a loss, the next one is lost. No acknowledged change may be lost,
//! and a majority of the coordinators must remain.

#[allow(dead_code, reason = "not every test file uses all of the helpers")]
mod common;

use common::{run_all, seconds, Scenario};
use marblecroft_simulation::cluster::Role;
use marblecroft_simulation::faults::{Fault, Target, CATCH_UP_TIME};
use marblecroft_simulation::ClusterSpec;

/// Time between two losses, longer than [`CATCH_UP_TIME`].
const STEP_SECONDS: f64 = 7.0;

/// Sizes of clusters: coordinators and tolerated losses f, with at least 2f + 1 coordinators.
const SIZES: [(usize, usize); 7] = [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (7, 2), (9, 2)];

fn losses(target: Target) -> [Fault; 4] {
    [
        Fault::Wipe { target, restart_after: seconds(0.3) },
        Fault::Replace { target },
        Fault::CorruptDisk { target },
        Fault::Terminate { target },
    ]
}

fn spec(seed: u64, (coordinators, tolerated): (usize, usize)) -> ClusterSpec {
    ClusterSpec {
        seed,
        coordinators,
        stores: 2 * tolerated + 2,
        tolerated_machines: tolerated,
        diskless_coordinators: 0,
    }
}

fn targets(role: Role) -> [Target; 2] {
    [Target::Head(role), Target::Tail(role)]
}

#[test]
fn successive_losses_after_catching_up_are_tolerated() {
    let mut scenarios = Vec::new();
    let step = CATCH_UP_TIME.as_secs_f64().max(STEP_SECONDS);
    for (number, size) in SIZES.into_iter().enumerate() {
        for role in [Role::Coordinator, Role::Store] {
            for (case, (first, second)) in targets(role)
                .into_iter()
                .flat_map(losses)
                .zip(targets(role).into_iter().rev().flat_map(losses).cycle().skip(1))
                .enumerate()
            {
                let faults = vec![(6.0, first), (6.0 + step, second), (6.0 + 2.0 * step, first)];
                let seed = (number * 100 + case) as u64;
                let name = format!("{first:?}, {second:?}, {first:?}");
                scenarios.push(Scenario::new(name, spec(seed, size), faults, 8.0 + 3.0 * step));
            }
        }
    }
    run_all(scenarios);
}

#[test]
fn disk_losses_are_tolerated_while_all_other_machines_lose_power() {
    let mut scenarios = Vec::new();
    for (number, size) in SIZES.into_iter().enumerate() {
        for seed in 0..6 {
            let fault = Fault::WipeAndPowerOff { disks: size.1 };
            let faults = vec![(6.0, fault), (6.0 + 12.0, fault), (6.0 + 24.0, fault)];
            let seed = 1000 + (number * 10) as u64 + seed;
            scenarios.push(Scenario::new(format!("{fault:?}"), spec(seed, size), faults, 36.0));
        }
    }
    run_all(scenarios);
}

#[test]
fn the_maximum_of_disk_losses_is_tolerated_after_a_replacement() {
    let mut scenarios = Vec::new();
    for (number, size) in SIZES.into_iter().enumerate() {
        for role in [Role::Coordinator, Role::Store] {
            let wipe = |target| Fault::Wipe { target, restart_after: seconds(0.5) };
            let wipes = [wipe(Target::Head(role)), wipe(Target::Tail(role))];
            let replacement = Fault::Replace { target: Target::Any(role) };
            let mut faults = vec![(6.0, replacement)];
            faults.extend(wipes.into_iter().take(size.1).map(|fault| (6.0 + STEP_SECONDS, fault)));
            let name = format!("{replacement:?}, then {} disks", size.1);
            scenarios.push(Scenario::new(name, spec(2000 + number as u64, size), faults, 16.0));
        }
    }
    run_all(scenarios);
}
