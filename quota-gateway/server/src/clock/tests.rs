use super::*;

/// Guards against a clock that follows the wall clock when it is set back by an hour between the starts of
/// two processes.
#[test]
fn a_continued_clock_does_not_jump_with_the_wall_clock() {
    let old = Clock::from_origin(Clock::start().origin() + 3_600_000_000_000);
    let before = old.now();
    let new = Clock::from_origin(old.origin());
    let after = new.now();
    assert!(after >= before && after.since(before) < 1.0, "{before:?} {after:?}");
    assert!(before.since(Clock::start().now()) > 3590.0, "a newly started clock is an hour off");
}
