//! The runtime of a coordinator or a store: the queue of inputs, and the thread pool for blocking calls.
//!
//! No thread is joined. The signal thread, the listeners and the pool own no resources that outlive the
//! process, and the process exits when `main` returns after the event loop.

use crate::pending_replies::PendingReplies;
use crate::thread_pool::ThreadPool;
use marblecroft_chain_replication::Token;
use marblecroft_protocol::coordinator_address;
use marblecroft_settings::Settings;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// Submits inputs of type `I` to the event loop, from any thread.
pub struct Runtime<I> {
    inputs: Sender<I>,
    pool: ThreadPool,
}

// Not derived, because the derived implementation would require `I: Clone`.
impl<I> Clone for Runtime<I> {
    fn clone(&self) -> Runtime<I> {
        Runtime { inputs: self.inputs.clone(), pool: self.pool.clone() }
    }
}

impl<I: Send + 'static> Runtime<I> {
    /// Creates a runtime, and the receiver for the event loop.
    pub fn new() -> (Runtime<I>, Receiver<I>) {
        let (inputs, receiver) = channel();
        (Runtime { inputs, pool: ThreadPool::default() }, receiver)
    }

    /// Submits an input.
    pub fn submit(&self, input: I) {
        // Fails only if the event loop has ended, and then the process is about to exit.
        let _ = self.inputs.send(input);
    }

    /// Submits the input that `input` creates for a new token, and blocks until the reply arrives. Returns
    /// `None` after a timeout.
    pub fn request<R>(&self, replies: &PendingReplies<R>, input: impl FnOnce(Token) -> I) -> Option<R> {
        replies.wait_for(|token| self.submit(input(token)))
    }

    /// Runs a blocking call on a thread of the pool, and submits the input that it returns.
    pub fn spawn(&self, call: impl FnOnce() -> I + Send + 'static) {
        let runtime = self.clone();
        self.pool.run(move || runtime.submit(call()));
    }

    /// Submits the input that `terminate` creates on every SIGTERM. SIGHUP means that the settings file has
    /// changed. It is ignored, because the settings that a control plane process uses do not change while it
    /// runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the handlers cannot be installed or the thread cannot be started.
    pub fn forward_signals(&self, terminate: impl Fn() -> I + Send + 'static) -> io::Result<()> {
        use signal_hook::consts::{SIGHUP, SIGTERM};
        let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGHUP])?;
        let inputs = self.inputs.clone();
        let forward = move || {
            for signal in signals.forever() {
                if signal == SIGTERM && inputs.send(terminate()).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("signals".to_owned()).spawn(forward)?;
        Ok(())
    }
}

/// Returns the addresses of the coordinators on the seed machines.
pub fn seed_coordinators(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| coordinator_address(*seed, settings.ephemeral_ports)).collect()
}
