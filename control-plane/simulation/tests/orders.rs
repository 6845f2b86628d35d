//! Point 2: two operators under one number, and orders that are sent again after a lost answer. The operators of every run
//! choose the same numbers, and send acknowledged orders again to any coordinator; here whoever holds a confirmation is
//! struck at the moment at which changes are under way.

#[allow(dead_code)]
mod common;

use common::{play_all, seconds, Scenario};
use marblecroft_chain_replication::StateMachine;
use marblecroft_control_state::{ControlState, Operation, Output, MAX_RETAINED_GENERATIONS};
use marblecroft_rpc::Bytes;
use marblecroft_simulation::cluster::{LinkFault, Role};
use marblecroft_simulation::faults::{Fault, PartitionDirection, PartitionScope, Target};
use marblecroft_simulation::ClusterSpec;

#[test]
fn whoever_holds_a_confirmation_is_struck_and_the_order_sent_again() {
    let head = Target::Head(Role::Coordinator);
    let tail = Target::Tail(Role::Coordinator);
    let cut = |target, ways| Fault::Partition {
        target,
        from: PartitionScope::MachinesAndClients,
        ways,
        how: LinkFault::Drop,
        time: seconds(6.0),
    };
    let strikes = [
        Fault::Kill { target: head, power: false, back_after: seconds(0.3) },
        Fault::Kill { target: head, power: true, back_after: seconds(4.0) },
        Fault::Wipe { target: head, back_after: seconds(0.3) },
        Fault::Wipe { target: tail, back_after: seconds(0.3) },
        Fault::Terminate { target: head },
        cut(head, PartitionDirection::Outbound),
        cut(head, PartitionDirection::Inbound),
        cut(tail, PartitionDirection::Outbound),
        Fault::KillAll { power: true },
    ];
    let mut scenarios = Vec::new();
    for (number, strike) in strikes.into_iter().enumerate() {
        for step in 0..6u32 {
            let spec = ClusterSpec {
                seed: (number * 10) as u64 + u64::from(step),
                coordinators: 3,
                stores: 3,
                tolerated_machines: 1,
                diskless_coordinators: 0,
            };
            // At ever other moments of the changes that are under way.
            let at = 6.0 + 0.0037 * f64::from(step);
            let faults = vec![(at, strike), (at + 14.0, strike)];
            let mut scenario = Scenario::new(format!("{strike:?}"), spec, faults, 28.0);
            scenario.change_pause = 60;
            scenarios.push(scenario);
        }
    }
    play_all(scenarios);
}

#[test]
fn behind_what_is_remembered_an_order_is_neither_confirmed_nor_refused() {
    let mut control = ControlState::default();
    let body = |generation: u64| Bytes(format!("body {generation}").into_bytes());
    let replace =
        |base, generation| Operation::ReplaceConfiguration { base, generation, body: body(generation) };
    let most = MAX_RETAINED_GENERATIONS as u64;
    for generation in 1..=most + 5 {
        assert_eq!(control.apply(replace(generation - 1, generation)), Output::Accepted);
    }
    assert_eq!(control.apply(replace(5, 6)), Output::Accepted, "remembered");
    for generation in 1..=5 {
        assert_eq!(control.apply(replace(generation - 1, generation)), Output::GenerationPruned);
    }
    let restored = ControlState::restore(&control.snapshot()).expect("a snapshot");
    assert_eq!(restored, control);
    // What a coordinator keeps for each order: a digest of 32 bytes, a number and their lengths.
    let size = control.snapshot().len();
    assert!(size < MAX_RETAINED_GENERATIONS * 64, "{size} bytes");
}
