//! Of two changes on one base one wins; what was taken is acknowledged again.

use marblecroft_chain::{StateMachine, View};
use marblecroft_control_state::{Control, Operation, Output};
use marblecroft_wire::Bytes;

fn replace(base: u64, generation: u64, body: &str) -> Operation {
    Operation::Replace { base, generation, body: Bytes(body.into()) }
}

#[test]
fn a_transcript_of_two_operators() {
    let mut control = Control::default();
    let transcript = [
        (replace(0, 3, "first"), Output::Taken),
        (replace(0, 3, "first"), Output::Taken),
        (replace(0, 3, "other"), Output::Conflict(3)),
        (replace(3, 7, "left"), Output::Taken),
        (replace(3, 7, "right"), Output::Conflict(7)),
        (replace(3, 8, "right"), Output::Conflict(7)),
        (replace(7, 7, "same"), Output::NotHigher(7)),
        (replace(7, 5, "old"), Output::NotHigher(7)),
        (replace(7, 9, "next"), Output::Taken),
        (replace(3, 7, "left"), Output::Taken),
        (replace(0, 3, "first"), Output::Taken),
    ];
    for (operation, expected) in transcript {
        assert_eq!(control.apply(operation.clone()), expected, "{operation:?}");
    }
    assert_eq!((control.generation(), control.sequence()), (9, 3));
    assert_eq!(control.body(), Some(&b"next"[..]));
    assert!(control.has_taken(7, b"left") && !control.has_taken(7, b"right"));
    assert_eq!(Control::restore(&control.snapshot()), Some(control));
}

#[test]
fn views_of_the_stores_follow_each_other_without_gaps() {
    let mut control = Control::default();
    let view = |number| Operation::StoreView(View { number, ..View::default() });
    assert_eq!(control.apply(view(2)), Output::Ignored);
    assert_eq!(control.apply(view(1)), Output::Done);
    assert_eq!(control.apply(view(1)), Output::Ignored);
    assert_eq!(control.apply(view(2)), Output::Done);
    assert_eq!(control.store_view().number, 2);
}

#[test]
fn every_reader_of_the_list_has_a_higher_token_than_all_before() {
    let mut control = Control::default();
    assert_eq!(control.apply(Operation::TakeReader), Output::Token(1));
    let mut restored = Control::restore(&control.snapshot()).expect("a snapshot");
    assert_eq!(restored.apply(Operation::TakeReader), Output::Token(2));
}
