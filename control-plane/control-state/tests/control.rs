//! Only one of two submissions with the same base is accepted, and resubmissions of an accepted one are
//! acknowledged.

use marblecroft_chain_replication::{StateMachine, View};
use marblecroft_control_state::{ControlState, Operation, Output};
use marblecroft_rpc::Bytes;

fn replace(base: u64, generation: u64, body: &str) -> Operation {
    Operation::ReplaceConfiguration { base, generation, body: Bytes(body.into()) }
}

#[test]
fn of_two_submissions_with_the_same_base_only_the_first_is_accepted() {
    let mut control = ControlState::default();
    let transcript = [
        (replace(0, 3, "first"), Output::Accepted),
        (replace(0, 3, "first"), Output::Accepted),
        (replace(0, 3, "other"), Output::Conflict(3)),
        (replace(3, 7, "left"), Output::Accepted),
        (replace(3, 7, "right"), Output::Conflict(7)),
        (replace(3, 8, "right"), Output::Conflict(7)),
        (replace(7, 7, "same"), Output::GenerationTooLow(7)),
        (replace(7, 5, "old"), Output::GenerationTooLow(7)),
        (replace(7, 9, "next"), Output::Accepted),
        (replace(3, 7, "left"), Output::Accepted),
        (replace(0, 3, "first"), Output::Accepted),
    ];
    for (operation, expected) in transcript {
        assert_eq!(control.apply(operation.clone()), expected, "{operation:?}");
    }
    assert_eq!((control.generation(), control.sequence()), (9, 3));
    assert_eq!(control.body(), Some(&b"next"[..]));
    assert!(control.has_accepted(7, b"left") && !control.has_accepted(7, b"right"));
    assert_eq!(ControlState::restore(&control.snapshot()), Some(control));
}

fn complete(generation: u64, routes: &str) -> String {
    format!("{{\"generation\":{generation},\"routes\":[{routes}],\"services\":[{{\"name\":\"s\"}}]}}")
}

fn route(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"x\",\"path_prefix\":\"/{name}/\",\"route_type\":\"idempotent\",\
         \"backend\":\"s\"}}"
    )
}

fn update(base: u64, generation: u64, body: &str) -> Operation {
    let change = format!("{{\"generation\":{generation},{body}}}");
    Operation::UpdateConfiguration { base, generation, change: Bytes(change.into_bytes()) }
}

#[test]
fn updates_and_complete_configurations_are_accepted_in_one_sequence() {
    let mut control = ControlState::default();
    let upsert = |name: &str| format!("\"upsert\":{{\"routes\":[{}]}}", route(name));
    let no_configuration = "not an update: there is no configuration to change".to_owned();
    let no_service = "route a: no service is named s".to_owned();
    let transcript = [
        (update(0, 2, "\"upsert\":{}"), Output::Invalid(no_configuration)),
        (replace(0, 3, &complete(3, &route("a"))), Output::Accepted),
        (update(3, 7, &upsert("b")), Output::Accepted),
        (update(3, 7, &upsert("b")), Output::Accepted),
        (update(3, 7, &upsert("c")), Output::Conflict(7)),
        (replace(3, 8, &complete(8, "")), Output::Conflict(7)),
        (update(7, 7, &upsert("c")), Output::GenerationTooLow(7)),
        (update(7, 8, "\"remove\":{\"services\":[\"s\"]}"), Output::Invalid(no_service)),
        (replace(7, 9, &complete(9, &route("d"))), Output::Accepted),
        (update(9, 12, "\"remove\":{\"routes\":[\"d\"]}"), Output::Accepted),
        (update(3, 7, &upsert("b")), Output::Accepted),
        (replace(0, 3, &complete(3, &route("a"))), Output::Accepted),
    ];
    for (operation, expected) in transcript {
        assert_eq!(control.apply(operation.clone()), expected, "{operation:?}");
        let restored = ControlState::restore(&control.snapshot()).expect("a valid snapshot");
        assert_eq!(restored, control, "a restored snapshot is the same state");
        control = restored;
    }
    assert_eq!((control.generation(), control.sequence()), (12, 4));
    assert_eq!(control.body(), Some(complete(12, "").as_bytes()));
}

#[test]
fn a_resubmitted_update_is_acknowledged_after_999_later_ones() {
    let mut control = ControlState::default();
    assert_eq!(control.apply(replace(0, 1, &complete(1, ""))), Output::Accepted);
    let change = |base: u64| update(base, base + 1, &format!("\"upsert\":{{\"routes\":[{}]}}", route("a")));
    for base in 1..=1000 {
        assert_eq!(control.apply(change(base)), Output::Accepted);
    }
    assert_eq!(control.apply(change(1)), Output::Accepted);
    assert_eq!(control.generation(), 1001);
}

#[test]
fn store_views_are_installed_in_sequence_without_gaps() {
    let mut control = ControlState::default();
    let view = |number| Operation::InstallStoreView(View { number, ..View::default() });
    assert_eq!(control.apply(view(2)), Output::Ignored);
    assert_eq!(control.apply(view(1)), Output::Applied);
    assert_eq!(control.apply(view(1)), Output::Ignored);
    assert_eq!(control.apply(view(2)), Output::Applied);
    assert_eq!(control.store_view().number, 2);
}

#[test]
fn each_issued_reader_token_is_higher_than_all_earlier_ones() {
    let mut control = ControlState::default();
    assert_eq!(control.apply(Operation::IssueReaderToken), Output::Token(1));
    let mut restored = ControlState::restore(&control.snapshot()).expect("a valid snapshot");
    assert_eq!(restored.apply(Operation::IssueReaderToken), Output::Token(2));
}
