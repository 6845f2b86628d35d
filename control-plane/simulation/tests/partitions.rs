//! A machine is partitioned for 20 seconds while changes are submitted: once, twice, and while another
//! machine is replaced, joins or terminates. It must not serve an old configuration, must not
//! acknowledge a change that the cluster rejects, and must not reject one that the cluster accepts. The same
//! holds for a frozen machine that resumes.

#[allow(dead_code, reason = "not every test file uses all of the helpers")]
mod common;

use common::{run_all, seconds, Scenario};
use marblecroft_simulation::cluster::{LinkFault, Role};
use marblecroft_simulation::faults::{Fault, PartitionDirection, PartitionScope, Target};
use marblecroft_simulation::ClusterSpec;

const PARTITION_SECONDS: f64 = 20.0;
const TARGETS: [Target; 5] = [
    Target::Head(Role::Coordinator),
    Target::Tail(Role::Coordinator),
    Target::Machine(1),
    Target::Head(Role::Store),
    Target::Tail(Role::Store),
];

fn spec(seed: u64) -> ClusterSpec {
    ClusterSpec { seed, coordinators: 4, stores: 4, tolerated_machines: 1, diskless_coordinators: 0 }
}

fn partition(
    target: Target,
    scope: PartitionScope,
    direction: PartitionDirection,
    link_fault: LinkFault,
) -> Fault {
    Fault::Partition { target, scope, direction, link_fault, duration: seconds(PARTITION_SECONDS) }
}

/// Returns partitions of every target, scope and direction, with lost messages and with resets.
fn all_partitions() -> Vec<Fault> {
    let mut partitions = Vec::new();
    for target in TARGETS {
        for scope in [PartitionScope::Peers, PartitionScope::Machines, PartitionScope::MachinesAndClients] {
            for direction in
                [PartitionDirection::Both, PartitionDirection::Inbound, PartitionDirection::Outbound]
            {
                partitions.extend(
                    [LinkFault::Drop, LinkFault::Reset]
                        .map(|link_fault| partition(target, scope, direction, link_fault)),
                );
            }
        }
    }
    partitions
}

#[test]
fn a_partitioned_machine_serves_no_stale_configuration() {
    let scenario = |(number, fault): (usize, Fault)| {
        Scenario::new(format!("{fault:?}"), spec(number as u64), vec![(6.0, fault)], 6.0 + PARTITION_SECONDS)
    };
    run_all(all_partitions().into_iter().enumerate().map(scenario).collect());
}

#[test]
fn a_machine_that_is_partitioned_twice_serves_no_stale_configuration() {
    let scenario = |(number, fault): (usize, Fault)| {
        let faults = vec![(6.0, fault), (6.0 + PARTITION_SECONDS + 1.0, fault)];
        Scenario::new(
            format!("twice {fault:?}"),
            spec(100 + number as u64),
            faults,
            7.0 + 2.0 * PARTITION_SECONDS,
        )
    };
    run_all(all_partitions().into_iter().step_by(4).enumerate().map(scenario).collect());
}

#[test]
fn a_partition_is_safe_while_another_machine_is_replaced_joins_or_terminates() {
    let mut scenarios = Vec::new();
    for (number, fault) in all_partitions().into_iter().step_by(3).enumerate() {
        let target = Target::Tail(Role::Coordinator);
        for (other, at) in [
            (Fault::Replace { target }, 5.0),
            (Fault::Add { role: Role::Coordinator }, 6.2),
            (Fault::Terminate { target }, 5.9),
        ] {
            let faults = vec![(at, other), (6.0, fault)];
            let name = format!("{other:?} and {fault:?}");
            scenarios.push(Scenario::new(name, spec(200 + number as u64), faults, 8.0 + PARTITION_SECONDS));
        }
    }
    run_all(scenarios);
}

#[test]
fn a_resumed_machine_serves_no_stale_configuration() {
    let mut scenarios = Vec::new();
    for (number, target) in TARGETS.into_iter().enumerate() {
        for (step, time) in [0.4, 0.9, 1.6, 3.0, 8.0, 20.0].into_iter().enumerate() {
            let fault = Fault::Freeze { target, duration: seconds(time) };
            let faults = vec![(6.0, fault), (6.5 + time, fault)];
            let seed = 300 + (number * 10 + step) as u64;
            scenarios.push(Scenario::new(format!("twice {fault:?}"), spec(seed), faults, 7.0 + 2.0 * time));
        }
    }
    run_all(scenarios);
}

#[test]
fn messages_queued_during_a_freeze_renew_no_lease() {
    let mut scenarios = Vec::new();
    for machine in 0..4 {
        for (step, time) in [1.2, 3.0, 8.0, 20.0].into_iter().enumerate() {
            // The machine resumes while it is partitioned from its peers, so that it first receives messages
            // that were sent long before.
            let target = Target::Machine(machine);
            let freeze = Fault::Freeze { target, duration: seconds(time) };
            let partition = Fault::Partition {
                target,
                scope: PartitionScope::Peers,
                direction: PartitionDirection::Both,
                link_fault: LinkFault::Drop,
                duration: seconds(4.0),
            };
            let faults = vec![(6.0, freeze), (5.9 + time, partition)];
            let seed = 400 + (machine * 10 + step) as u64;
            let mut scenario =
                Scenario::new(format!("{freeze:?}, {partition:?}"), spec(seed), faults, 11.0 + time);
            scenario.think_time_spread_ms = 60;
            scenarios.push(scenario);
        }
    }
    run_all(scenarios);
}
