//! What the harness measures of itself, and its progress on a terminal.

use crate::deployment::{Nanos, MS, SECOND};
use crate::history::Event;
use crate::shell::clients::Clients;
use crate::shell::World;
use rustix::time::{clock_gettime, ClockId};
use std::fs;
use std::io::IsTerminal;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Pause between two checks of the harness' own clock.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(5);
/// A check that is later than this is recorded.
const MAX_LATENESS: Duration = Duration::from_millis(15);

/// Returns the wall clock's time in microseconds since 1970.
pub(super) fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Processor time of children that have ended, user and system together (fields 16 and 17 of this process's `stat`); clock
/// ticks are 10 ms on every machine that this runs on.
pub(super) fn children_cpu() -> Nanos {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold spaces; the third field follows it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i - 3).and_then(|ticks| ticks.parse::<u64>().ok()).unwrap_or(0);
    (ticks(16) + ticks(17)) * 10 * MS
}

/// Processor time of this process so far, or of the one thread that does nearly all.
pub(super) fn own_cpu(of: ClockId) -> Nanos {
    let time = clock_gettime(of);
    time.tv_sec as Nanos * SECOND + time.tv_nsec as Nanos
}

/// Tells when the lab's own clock was late, and how busy it is.
pub(super) async fn heartbeat(world: Rc<World>) {
    let (mut second, mut before) = (world.now(), own_cpu(ClockId::ThreadCPUTime));
    loop {
        let due = world.instant(world.now()) + HEARTBEAT_INTERVAL;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed();
        if late > MAX_LATENESS {
            world.record(Event::Stalled { late: late.as_nanos() as u64 });
        }
        let now = world.now();
        if now >= second + SECOND {
            let cpu = own_cpu(ClockId::ThreadCPUTime);
            // For a second that was longer than one, as much as of one.
            let taken = (cpu - before) as f64 * SECOND as f64 / (now - second) as f64;
            world.record(Event::HarnessCpu { cpu: taken as Nanos });
            (second, before) = (now, cpu);
        }
    }
}

/// A line on a terminal.
pub(super) async fn progress(clients: Rc<Clients>, from: Nanos) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let at = clients.now().saturating_sub(from) / SECOND;
        let (asked, served, open) = (clients.asked.get(), clients.served.get(), clients.open.get());
        eprint!("\r{at} s: {asked} asked, {served} served, {open} open ");
    }
}
