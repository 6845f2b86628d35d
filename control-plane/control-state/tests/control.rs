//! Of two changes on one base one wins; what was taken is acknowledged again.

use marblecroft_chain_replication::{StateMachine, View};
use marblecroft_control_state::{ControlState, Operation, Output};
use marblecroft_rpc::Bytes;

fn replace(base: u64, generation: u64, body: &str) -> Operation {
    Operation::ReplaceConfiguration { base, generation, body: Bytes(body.into()) }
}

#[test]
fn a_transcript_of_two_operators() {
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

fn whole(generation: u64, routes: &str) -> String {
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
fn a_transcript_of_changes_of_named_items_and_whole_configurations() {
    let mut control = ControlState::default();
    let adds = |name: &str| format!("\"upsert\":{{\"routes\":[{}]}}", route(name));
    let nothing_yet = "not an update: there is no configuration to change".to_owned();
    let no_service = "route a: no service is named s".to_owned();
    let transcript = [
        (update(0, 2, "\"upsert\":{}"), Output::Invalid(nothing_yet)),
        (replace(0, 3, &whole(3, &route("a"))), Output::Accepted),
        (update(3, 7, &adds("b")), Output::Accepted),
        (update(3, 7, &adds("b")), Output::Accepted),
        (update(3, 7, &adds("c")), Output::Conflict(7)),
        (replace(3, 8, &whole(8, "")), Output::Conflict(7)),
        (update(7, 7, &adds("c")), Output::GenerationTooLow(7)),
        (update(7, 8, "\"remove\":{\"services\":[\"s\"]}"), Output::Invalid(no_service)),
        (replace(7, 9, &whole(9, &route("d"))), Output::Accepted),
        (update(9, 12, "\"remove\":{\"routes\":[\"d\"]}"), Output::Accepted),
        (update(3, 7, &adds("b")), Output::Accepted),
        (replace(0, 3, &whole(3, &route("a"))), Output::Accepted),
    ];
    for (operation, expected) in transcript {
        assert_eq!(control.apply(operation.clone()), expected, "{operation:?}");
        let restored = ControlState::restore(&control.snapshot()).expect("a snapshot");
        assert_eq!(restored, control, "a member that installs the state goes on from the same");
        control = restored;
    }
    assert_eq!((control.generation(), control.sequence()), (12, 4));
    assert_eq!(control.body(), Some(whole(12, "").as_bytes()));
}

#[test]
fn a_change_is_acknowledged_again_after_a_thousand_others() {
    let mut control = ControlState::default();
    assert_eq!(control.apply(replace(0, 1, &whole(1, ""))), Output::Accepted);
    let change = |base: u64| update(base, base + 1, &format!("\"upsert\":{{\"routes\":[{}]}}", route("a")));
    for base in 1..=1000 {
        assert_eq!(control.apply(change(base)), Output::Accepted);
    }
    assert_eq!(control.apply(change(1)), Output::Accepted);
    assert_eq!(control.generation(), 1001);
}

#[test]
fn views_of_the_stores_follow_each_other_without_gaps() {
    let mut control = ControlState::default();
    let view = |number| Operation::InstallStoreView(View { number, ..View::default() });
    assert_eq!(control.apply(view(2)), Output::Ignored);
    assert_eq!(control.apply(view(1)), Output::Applied);
    assert_eq!(control.apply(view(1)), Output::Ignored);
    assert_eq!(control.apply(view(2)), Output::Applied);
    assert_eq!(control.store_view().number, 2);
}

#[test]
fn every_reader_of_the_list_has_a_higher_token_than_all_before() {
    let mut control = ControlState::default();
    assert_eq!(control.apply(Operation::IssueReaderToken), Output::Token(1));
    let mut restored = ControlState::restore(&control.snapshot()).expect("a snapshot");
    assert_eq!(restored.apply(Operation::IssueReaderToken), Output::Token(2));
}
