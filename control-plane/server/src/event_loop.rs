//! Runs a process's decisions: one thread hands in inputs in the order in which they come, with the time, and carries out
//! what is put out.

use marblecroft_control_plane_core::{Node, Time};
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::info;

/// The clocks of a process.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn time(&self) -> Time {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        Time { monotonic: self.0.elapsed(), wall_ms }
    }
}

/// What carrying out an output leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Continue,
    Exit,
}

/// Runs `node` until it ends itself.
pub fn run<N: Node>(
    node: &mut N,
    clock: Clock,
    inputs: &Receiver<N::Input>,
    wake: impl Fn() -> N::Input,
    carry_out: impl Fn(N::Output) -> Next,
) {
    let mut input = wake();
    loop {
        for output in node.handle(clock.time(), input) {
            if carry_out(output) == Next::Exit {
                info!("ends");
                return;
            }
        }
        let wait = node.next_wake().saturating_sub(clock.time().monotonic);
        input = match inputs.recv_timeout(wait) {
            Ok(input) => input,
            Err(RecvTimeoutError::Timeout) => wake(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
    }
}

/// Hands in SIGTERM. SIGHUP says that the settings file has changed; what a control process uses of it does not change while
/// it runs, and the signal must not end the process.
pub fn forward_signals<I: Send + 'static>(
    inputs: Sender<I>,
    terminate: impl Fn() -> I + Send + 'static,
) -> io::Result<()> {
    use signal_hook::consts::{SIGHUP, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGHUP])?;
    let listen = move || {
        for signal in signals.forever() {
            if signal == SIGTERM && inputs.send(terminate()).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("signals".to_owned()).spawn(listen).map(drop)
}

/// Time that the last answers have to leave before the process ends.
pub const FLUSH_TIME: Duration = Duration::from_millis(50);
