//! What only the system knows, asked of it directly: the crates that are used here have no call for it.

use std::time::Duration;

/// Time since the machine's start, on the clock of [`std::time::Instant`], which is one for all processes and is never
/// set. An `Instant` cannot be told to another process.
#[allow(unsafe_code)]
pub fn monotonic() -> Duration {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: it writes one `timespec`, which `now` is.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now) };
    // It fails for no argument given here.
    debug_assert_eq!(result, 0);
    Duration::new(u64::try_from(now.tv_sec).unwrap_or(0), u32::try_from(now.tv_nsec).unwrap_or(0))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Instant;

    #[test]
    fn the_clock_is_that_of_instants() {
        let (instant, before) = (Instant::now(), monotonic());
        std::thread::sleep(Duration::from_millis(5));
        let (after, took) = (monotonic(), instant.elapsed());
        assert!(after - before <= took && after - before >= Duration::from_millis(5));
    }
}
