//! What the threads of a coordinator and of a store have in common: the queue of inputs, and the pool for blocking calls.
//!
//! No thread here is joined. The signal thread, the listeners and the pool own nothing that outlives the process, and the
//! process ends when the event loop returns from `main`.

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

// Derived, it would ask that inputs can be cloned.
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
        // Fails only where the event loop has ended, and the process is about to.
        let _ = self.inputs.send(input);
    }

    /// Submits the input that `input` makes of a new token, and blocks until the reply; `None` where there is none in time.
    pub fn request<R>(&self, replies: &PendingReplies<R>, input: impl FnOnce(Token) -> I) -> Option<R> {
        replies.wait_for(|token| self.submit(input(token)))
    }

    /// Runs a blocking call on a thread of its own, and submits the input that it returns.
    pub fn spawn(&self, call: impl FnOnce() -> I + Send + 'static) {
        let runtime = self.clone();
        self.pool.run(move || runtime.submit(call()));
    }

    /// Submits `terminate` on every SIGTERM. SIGHUP means that the settings file has changed; what a process of the control
    /// plane uses of it does not change while it runs, so the signal is only kept from ending the process.
    ///
    /// # Errors
    ///
    /// The handlers or the thread cannot be installed.
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

/// Where the coordinators of the seeds are called.
pub fn seed_coordinators(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| coordinator_address(*seed, settings.ephemeral_ports)).collect()
}
