//! The encodings of operations and state and the outputs of operations are stable. Each value is encoded and
//! compared with the fixture, which is also decoded and encoded again. A state that was stored by an earlier
//! release can be restored.

#[path = "../../../testing/support/golden/encoding.rs"]
mod encoding;

use encoding::{check, decode_hex};
use marblecroft_chain_replication::{Member, StateMachine, View};
use marblecroft_control_state::{ControlState, Operation, Output};
use marblecroft_rpc::Bytes;
use std::net::SocketAddr;

fn member(last: u8) -> Member {
    let identity = 0x1122_3344_5566_7700 + u64::from(last);
    let address = SocketAddr::from(([10, 1, 2, last], 7100));
    Member { address, identity, node_name: format!("node-{last}") }
}

fn view(number: u64) -> View {
    View { number, members: vec![member(3), member(4)], voters: vec![member(4), member(3), member(6)] }
}

const COMPLETE: &str = r#"{"generation":5,"routes":[{"name":"a","hostname":"x","path_prefix":"/a/","route_type":"batch","backend":"s"}],"services":[{"name":"s"},{"name":"t"}]}"#;
const CHANGE: &str = r#"{"generation":9,"upsert":{"services":[{"name":"u","max_connections":7}]},"remove":{"services":["t"]}}"#;
const CHANGED: &str = r#"{"generation":9,"routes":[{"name":"a","hostname":"x","path_prefix":"/a/","route_type":"batch","backend":"s"}],"services":[{"name":"s"},{"name":"u","max_connections":7}]}"#;

fn operations() -> [(&'static str, Operation); 8] {
    let replace = Operation::ReplaceConfiguration { base: 0, generation: 5, body: Bytes(COMPLETE.into()) };
    let update = Operation::UpdateConfiguration { base: 5, generation: 9, change: Bytes(CHANGE.into()) };
    [
        ("replace", replace),
        ("view", Operation::InstallStoreView(view(1))),
        ("next_view", Operation::InstallStoreView(view(2))),
        ("retire", Operation::RetireStore { node: "store-7".to_owned() }),
        ("know_store", Operation::RegisterStore { node: "store-8".to_owned() }),
        ("take_reader", Operation::IssueReaderToken),
        ("update", update),
        ("late_view", Operation::InstallStoreView(view(7))),
    ]
}

#[test]
fn operations_on_the_control_state_keep_their_bytes() {
    check(include_str!("golden/operations.hex"), &operations());
}

#[test]
fn the_state_after_all_operations_keeps_its_bytes() {
    let mut control = ControlState::default();
    let outputs = operations().map(|(_, operation)| control.apply(operation));
    let applied = Output::Applied;
    let expected = [
        Output::Accepted,
        applied.clone(),
        applied.clone(),
        applied.clone(),
        applied,
        Output::Token(1),
        Output::Accepted,
        Output::Ignored,
    ];
    assert_eq!(outputs, expected);
    check(include_str!("golden/state.hex"), &[("state", control), ("none", ControlState::default())]);
}

#[test]
fn a_stored_control_state_is_restored_and_usable() {
    let line = include_str!("golden/state.hex").lines().next().expect("the fixture has a line");
    let bytes = decode_hex(line.split(' ').nth(1).expect("the line has a value"));
    let mut control = ControlState::restore(&bytes).expect("a valid snapshot");
    assert_eq!(control.snapshot(), bytes);
    assert_eq!((control.generation(), control.sequence()), (9, 2));
    assert_eq!(control.body(), Some(CHANGED.as_bytes()));
    assert_eq!(control.store_view(), &view(2));
    assert!(control.is_retired("store-7") && !control.is_retired("store-8"));
    assert!(control.is_registered_store("store-8") && !control.is_registered_store("store-7"));
    assert!(control.has_accepted(5, COMPLETE.as_bytes()) && control.has_accepted(9, CHANGE.as_bytes()));
    let replace =
        |base, generation| Operation::ReplaceConfiguration { base, generation, body: Bytes(b"{}".to_vec()) };
    let remove = r#"{"generation":11,"remove":{"services":["s"]}}"#;
    let remove = Operation::UpdateConfiguration { base: 9, generation: 11, change: Bytes(remove.into()) };
    let invalid = "route a: no service is named s".to_owned();
    let cases = [
        (operations()[0].1.clone(), Output::Accepted),
        (operations()[6].1.clone(), Output::Accepted),
        (Operation::IssueReaderToken, Output::Token(2)),
        (replace(8, 10), Output::Conflict(9)),
        (replace(9, 4), Output::GenerationTooLow(9)),
        (remove, Output::Invalid(invalid)),
    ];
    for (operation, expected) in cases {
        assert_eq!(control.apply(operation.clone()), expected, "{operation:?}");
    }
}
