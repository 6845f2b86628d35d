//! Measurements of the harness itself, and its progress on a terminal.

use crate::deployment::{Nanos, MS, SECOND};
use crate::harness::clients::Clients;
use crate::harness::RunContext;
use crate::history::Event;
use rustix::time::{clock_gettime, ClockId};
use std::fs;
use std::io::IsTerminal;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Pause between two checks of the harness' own clock.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// A check that is delayed by more than this is recorded.
const MAX_LATENESS: Duration = Duration::from_millis(15);
/// Readings of the two clocks, of which the narrowest is used.
const CLOCK_READINGS: usize = 8;

/// Returns the wall clock's time in microseconds since 1970.
pub(super) fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// A reading of the wall clock between two readings of the clock of the run.
struct ClockReading {
    before: Nanos,
    unix_us: u64,
    after: Nanos,
}

impl ClockReading {
    fn take(wall_clock_us: impl Fn() -> u64, run_clock: impl Fn() -> Nanos) -> ClockReading {
        let before = run_clock();
        let unix_us = wall_clock_us();
        let after = run_clock();
        ClockReading { before, unix_us, after }
    }

    fn width(&self) -> Nanos {
        self.after - self.before
    }

    /// Returns the wall clock's time at the start of the run.
    fn run_start_unix_us(&self) -> u64 {
        let run_time = self.before + self.width() / 2;
        self.unix_us.saturating_sub(run_time / 1000)
    }
}

/// Returns the wall clock's time at the start of the run in microseconds since 1970, from the wall clock in
/// the same unit and from the clock of the run.
///
/// The two clocks cannot be read at the same instant, and the process may be preempted between the reads. The
/// clocks are therefore read [`CLOCK_READINGS`] times, and the reading that took the least time is used.
pub(super) fn run_start_unix_us(wall_clock_us: impl Fn() -> u64, run_clock: impl Fn() -> Nanos) -> u64 {
    let mut narrowest = ClockReading::take(&wall_clock_us, &run_clock);
    for _ in 1..CLOCK_READINGS {
        let reading = ClockReading::take(&wall_clock_us, &run_clock);
        if reading.width() < narrowest.width() {
            narrowest = reading;
        }
    }
    narrowest.run_start_unix_us()
}

/// Returns the user and system processor time of ended child processes (fields 16 and 17 of this process's
/// `stat`). Clock ticks are 10 ms on all supported machines.
pub(super) fn children_cpu() -> Nanos {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program name in parentheses may contain spaces; the third field follows it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i - 3).and_then(|ticks| ticks.parse::<u64>().ok()).unwrap_or(0);
    (ticks(16) + ticks(17)) * 10 * MS
}

/// Returns the processor time of this process, or of this thread, which does nearly all of the work.
pub(super) fn own_cpu(clock: ClockId) -> Nanos {
    let time = clock_gettime(clock);
    time.tv_sec as Nanos * SECOND + time.tv_nsec as Nanos
}

/// Records delays of the harness' clock, and its processor time every second.
pub(super) async fn monitor_harness(context: Rc<RunContext>) {
    let (mut second_start, mut cpu_before) = (context.now(), own_cpu(ClockId::ThreadCPUTime));
    loop {
        let due = context.instant(context.now()) + HEARTBEAT_INTERVAL;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed();
        if late > MAX_LATENESS {
            context.record(Event::Stalled { late: late.as_nanos() as u64 });
        }
        let now = context.now();
        if now >= second_start + SECOND {
            let cpu = own_cpu(ClockId::ThreadCPUTime);
            // Scales the processor time to one second, as the interval may be longer.
            let scaled = (cpu - cpu_before) as f64 * SECOND as f64 / (now - second_start) as f64;
            context.record(Event::HarnessCpu { cpu: scaled as Nanos });
            (second_start, cpu_before) = (now, cpu);
        }
    }
}

/// Prints the progress on standard error every second, if it is a terminal.
pub(super) async fn progress(clients: Rc<Clients>, load_from: Nanos) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let at = clients.now().saturating_sub(load_from) / SECOND;
        let (started, served, open) = (clients.started.get(), clients.served.get(), clients.open.get());
        eprint!("\r{at} s: {started} started, {served} served, {open} open ");
    }
}

#[cfg(test)]
mod tests;
