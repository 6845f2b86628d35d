//! Many changes, during which members are absent, restarted, corrupted, and so far behind that they can only
//! catch up by a full state transfer. A new segment starts every few hundred records.

#[allow(dead_code, reason = "not every test file uses all of the helpers")]
mod common;

use common::{run_all, seconds, Scenario};
use marblecroft_simulation::cluster::{LinkFault, Role};
use marblecroft_simulation::faults::{Fault, PartitionDirection, PartitionScope, Target};
use marblecroft_simulation::ClusterSpec;

#[test]
fn a_member_that_is_absent_during_many_changes_catches_up() {
    let mut scenarios = Vec::new();
    for (number, absence) in [0.5, 2.0, 6.0, 15.0, 30.0].into_iter().enumerate() {
        let target = Target::Machine(number % 3);
        for (case, fault) in [
            Fault::Kill { target, power: true, restart_after: seconds(absence) },
            Fault::Freeze { target, duration: seconds(absence) },
            Fault::Partition {
                target,
                scope: PartitionScope::Machines,
                direction: PartitionDirection::Both,
                link_fault: LinkFault::Drop,
                duration: seconds(absence),
            },
        ]
        .into_iter()
        .enumerate()
        {
            let spec = ClusterSpec {
                seed: (number * 10 + case) as u64,
                coordinators: 3,
                stores: 3,
                tolerated_machines: 1,
                diskless_coordinators: 0,
            };
            let corruption = Fault::CorruptDisk { target: Target::Tail(Role::Coordinator) };
            let wipe = Fault::Wipe { target: Target::Head(Role::Coordinator), restart_after: seconds(0.2) };
            let later = 8.0 + absence + 8.0;
            let faults = vec![(8.0, fault), (later, corruption), (later + 8.0, wipe)];
            let mut scenario = Scenario::new(format!("{fault:?}"), spec, faults, later + 10.0);
            scenario.think_time_spread_ms = 15;
            scenarios.push(scenario);
        }
    }
    run_all(scenarios);
}

#[test]
fn a_run_without_faults_acknowledges_a_thousand_changes() {
    let spec =
        ClusterSpec { seed: 5, coordinators: 3, stores: 3, tolerated_machines: 1, diskless_coordinators: 0 };
    let mut scenario = Scenario::new("no faults".to_owned(), spec, Vec::new(), 100.0);
    scenario.think_time_spread_ms = 15;
    let verdict = scenario.run();
    assert_eq!(verdict.violations, Vec::<String>::new());
    let acknowledged = verdict.counts["acknowledged"];
    assert!(acknowledged >= 1000, "{acknowledged} changes were acknowledged");
}
