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
    let view = |number| Operation::StoreView(View { number, members: Vec::new() });
    assert_eq!(control.apply(view(2)), Output::Ignored);
    assert_eq!(control.apply(view(1)), Output::Done);
    assert_eq!(control.apply(view(1)), Output::Ignored);
    assert_eq!(control.apply(view(2)), Output::Done);
    assert_eq!(control.store_view().number, 2);
}
