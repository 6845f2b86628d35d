//! Tests of the alignment of the clocks.

use super::{run_start_unix_us, CLOCK_READINGS};
use crate::deployment::{Nanos, MS, SECOND};
use std::cell::Cell;

const RUN_START_UNIX_US: u64 = 1_700_000_000_000_000;
const PREEMPTION: Nanos = 2 * MS + MS / 2;

/// Time for which the process is preempted before and after a read of the wall clock.
#[derive(Clone, Copy)]
struct Preemption {
    before: Nanos,
    after: Nanos,
}

/// Returns the result of [`run_start_unix_us`] if the process is preempted like this in each reading.
fn run_start_with(preemptions: [Preemption; CLOCK_READINGS]) -> u64 {
    let (now, readings) = (Cell::new(5 * SECOND), Cell::new(0));
    let unix_us = || {
        let preemption = preemptions[readings.get()];
        readings.set(readings.get() + 1);
        now.set(now.get() + preemption.before);
        let unix_us = RUN_START_UNIX_US + now.get() / 1000;
        now.set(now.get() + preemption.after);
        unix_us
    };
    let run_start = run_start_unix_us(unix_us, || now.get());
    assert_eq!(readings.get(), CLOCK_READINGS);
    run_start
}

#[test]
fn preemption_between_reads_of_the_clocks_does_not_shift_the_start_of_the_run() {
    let none = Preemption { before: 0, after: 0 };
    assert_eq!(run_start_with([none; CLOCK_READINGS]), RUN_START_UNIX_US);
    for preempted in [
        Preemption { before: PREEMPTION, after: 0 },
        Preemption { before: 0, after: PREEMPTION },
        Preemption { before: PREEMPTION, after: PREEMPTION },
    ] {
        for undisturbed in 0..CLOCK_READINGS {
            let mut preemptions = [preempted; CLOCK_READINGS];
            preemptions[undisturbed] = none;
            assert_eq!(run_start_with(preemptions), RUN_START_UNIX_US, "reading {undisturbed}");
        }
    }
}

#[test]
fn the_start_of_the_run_is_off_by_at_most_half_of_the_narrowest_reading() {
    for narrow in [Preemption { before: MS, after: 0 }, Preemption { before: 0, after: MS }] {
        let mut preemptions = [Preemption { before: PREEMPTION, after: 0 }; CLOCK_READINGS];
        preemptions[CLOCK_READINGS / 2] = narrow;
        let off_us = run_start_with(preemptions).abs_diff(RUN_START_UNIX_US);
        assert!(off_us <= MS / 2 / 1000, "{off_us} us");
    }
}
