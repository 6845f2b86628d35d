//! Operators submit a change again after its response was lost, and two operators may choose the same
//! generation. In every run the operators do so through random coordinators. Here, in addition, a machine
//! that acknowledges changes fails while changes are in flight.

#[allow(dead_code, reason = "not every test file uses all of the helpers")]
mod common;

use common::{run_all, seconds, Scenario};
use marblecroft_chain_replication::StateMachine;
use marblecroft_control_state::{ControlState, Operation, Output, MAX_RETAINED_GENERATIONS};
use marblecroft_rpc::Bytes;
use marblecroft_simulation::cluster::{LinkFault, Role};
use marblecroft_simulation::faults::{Fault, PartitionDirection, PartitionScope, Target};
use marblecroft_simulation::ClusterSpec;

#[test]
fn resubmission_is_safe_after_a_fault_of_the_acknowledging_machine() {
    let head = Target::Head(Role::Coordinator);
    let tail = Target::Tail(Role::Coordinator);
    let partition = |target, direction| Fault::Partition {
        target,
        scope: PartitionScope::MachinesAndClients,
        direction,
        link_fault: LinkFault::Drop,
        duration: seconds(6.0),
    };
    let faults_of_acknowledgers = [
        Fault::Kill { target: head, power: false, restart_after: seconds(0.3) },
        Fault::Kill { target: head, power: true, restart_after: seconds(4.0) },
        Fault::Wipe { target: head, restart_after: seconds(0.3) },
        Fault::Wipe { target: tail, restart_after: seconds(0.3) },
        Fault::Terminate { target: head },
        partition(head, PartitionDirection::Outbound),
        partition(head, PartitionDirection::Inbound),
        partition(tail, PartitionDirection::Outbound),
        Fault::KillAll { power: true },
    ];
    let mut scenarios = Vec::new();
    for (number, fault) in faults_of_acknowledgers.into_iter().enumerate() {
        for step in 0..6u32 {
            let spec = ClusterSpec {
                seed: (number * 10) as u64 + u64::from(step),
                coordinators: 3,
                stores: 3,
                tolerated_machines: 1,
                diskless_coordinators: 0,
            };
            // Each step injects the fault at a different stage of the changes in flight.
            let at = 6.0 + 0.0037 * f64::from(step);
            let faults = vec![(at, fault), (at + 14.0, fault)];
            let mut scenario = Scenario::new(format!("{fault:?}"), spec, faults, 28.0);
            scenario.think_time_spread_ms = 60;
            scenarios.push(scenario);
        }
    }
    run_all(scenarios);
}

#[test]
fn a_change_older_than_the_retained_generations_is_neither_acknowledged_nor_rejected() {
    let mut control = ControlState::default();
    let body = |generation: u64| Bytes(format!("body {generation}").into_bytes());
    let replace =
        |base, generation| Operation::ReplaceConfiguration { base, generation, body: body(generation) };
    let retained = MAX_RETAINED_GENERATIONS as u64;
    for generation in 1..=retained + 5 {
        assert_eq!(control.apply(replace(generation - 1, generation)), Output::Accepted);
    }
    assert_eq!(control.apply(replace(5, 6)), Output::Accepted, "generation 6 is retained");
    for generation in 1..=5 {
        assert_eq!(control.apply(replace(generation - 1, generation)), Output::GenerationPruned);
    }
    let restored = ControlState::restore(&control.snapshot()).expect("the snapshot is valid");
    assert_eq!(restored, control);
    // For each change a coordinator retains a digest of 32 bytes, a number and their lengths.
    let size = control.snapshot().len();
    assert!(size < MAX_RETAINED_GENERATIONS * 64, "the snapshot has {size} bytes");
}
