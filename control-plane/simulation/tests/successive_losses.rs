//! As soon as a machine has caught up the next one is lost, and then another one. Nothing that was acknowledged is lost, and
//! a majority stays.

#[allow(dead_code, reason = "not every test file uses all of the helpers")]
mod common;

use common::{run_all, seconds, Scenario};
use marblecroft_simulation::cluster::Role;
use marblecroft_simulation::faults::{Fault, Target, CATCH_UP_TIME};
use marblecroft_simulation::ClusterSpec;

/// A little more than the time in which a machine must catch up.
const STEP_SECONDS: f64 = 7.0;

/// Coordinators and tolerated losses f: at least 2f + 1 coordinators.
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
fn losses_follow_one_another_after_catching_up() {
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
fn disks_are_lost_while_all_other_machines_lose_power() {
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
fn as_many_disks_as_tolerated_are_lost_at_once_after_a_repair() {
    let mut scenarios = Vec::new();
    for (number, size) in SIZES.into_iter().enumerate() {
        for role in [Role::Coordinator, Role::Store] {
            let wipe = |target| Fault::Wipe { target, restart_after: seconds(0.5) };
            let both = [wipe(Target::Head(role)), wipe(Target::Tail(role))];
            let repaired = Fault::Replace { target: Target::Any(role) };
            let mut faults = vec![(6.0, repaired)];
            faults.extend(both.into_iter().take(size.1).map(|fault| (6.0 + STEP_SECONDS, fault)));
            let name = format!("{repaired:?}, then {} disks", size.1);
            scenarios.push(Scenario::new(name, spec(2000 + number as u64, size), faults, 16.0));
        }
    }
    run_all(scenarios);
}
