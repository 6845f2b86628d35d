//! Runs a state machine: one thread passes it the inputs in the order of their arrival, with the current
//! time, and executes its outputs before the next input.

use marblecroft_control_plane_core::{Node, Time};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::info;

/// Delay between the end of the event loop and the exit of the process. In this time other threads write the
/// last replies to their sockets.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// The clocks of a process.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts the monotonic clock at zero.
    pub fn start() -> Clock {
        Clock { started_at: Instant::now() }
    }

    /// Returns the current time.
    pub fn time(&self) -> Time {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        Time { monotonic: self.started_at.elapsed(), wall_ms }
    }
}

/// Whether the event loop continues after an output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFlow {
    /// The event loop continues.
    Continue,
    /// The event loop ends and the process exits.
    Exit,
}

/// Runs `node` until one of its outputs ends the process, then waits for the last replies to be sent. `wake`
/// creates an input without content, which is used when the node's next timer expires.
pub fn run<N: Node>(
    node: &mut N,
    clock: Clock,
    inputs: &Receiver<N::Input>,
    wake: impl Fn() -> N::Input,
    execute: impl Fn(N::Output) -> ControlFlow,
) {
    let mut input = wake();
    loop {
        for output in node.handle(clock.time(), input) {
            if execute(output) == ControlFlow::Exit {
                info!("process exits");
                thread::sleep(FLUSH_DELAY);
                return;
            }
        }
        let timeout = node.next_wake().saturating_sub(clock.time().monotonic);
        input = match inputs.recv_timeout(timeout) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => wake(),
            // No thread that could submit an input remains.
            Err(RecvTimeoutError::Disconnected) => return,
        };
    }
}
