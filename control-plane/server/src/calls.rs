//! Threads that wait for the answers to this process's calls, and for the answers to the calls of others.

use marblecroft_chain_replication::Token;
use std::collections::HashMap;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use tracing::warn;

/// Stack of a thread that waits for an answer, in bytes.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// A thread without work ends after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Whoever has called is answered within this time, or not at all.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panicked has left a state that was whole between two statements.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs jobs that block, each on a thread of its own; threads are used again.
#[derive(Clone, Default)]
pub struct ThreadPool {
    idle: Arc<Mutex<Vec<SyncSender<Job>>>>,
}

impl ThreadPool {
    /// Runs a job at once.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        let mut job: Job = Box::new(job);
        loop {
            let Some(thread) = lock(&self.idle).pop() else { break };
            match thread.send(job) {
                Ok(()) => return,
                // It has ended meanwhile.
                Err(returned) => job = returned.0,
            }
        }
        let pool = self.clone();
        let spawned = thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(move || pool.work(job));
        if let Err(e) = spawned {
            warn!("no thread for a call: {e}");
        }
    }

    fn work(&self, first: Job) {
        // Without room in the channel a job is handed over or given back: a thread that has just stopped waiting takes none
        // along.
        let (sender, jobs) = sync_channel(0);
        let mut job = first;
        loop {
            job();
            lock(&self.idle).push(sender.clone());
            job = match jobs.recv_timeout(IDLE_TIMEOUT) {
                Ok(job) => job,
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
            };
        }
    }
}

/// Callers that wait for an answer, by token.
pub struct PendingReplies<R> {
    waiting: Mutex<(Token, HashMap<Token, SyncSender<R>>)>,
}

impl<R> Default for PendingReplies<R> {
    fn default() -> PendingReplies<R> {
        PendingReplies { waiting: Mutex::new((0, HashMap::new())) }
    }
}

impl<R> PendingReplies<R> {
    /// Hands in a call with `hand_in`, and waits for its answer.
    pub fn call(&self, hand_in: impl FnOnce(Token)) -> Option<R> {
        let (token, answer) = self.register();
        hand_in(token);
        let reply = answer.recv_timeout(REPLY_TIMEOUT).ok();
        lock(&self.waiting).1.remove(&token);
        reply
    }

    fn register(&self) -> (Token, Receiver<R>) {
        let (sender, answer) = sync_channel(1);
        let mut waiting = lock(&self.waiting);
        waiting.0 += 1;
        let token = waiting.0;
        waiting.1.insert(token, sender);
        (token, answer)
    }

    /// Answers a call.
    pub fn reply(&self, token: Token, reply: R) {
        if let Some(sender) = lock(&self.waiting).1.remove(&token) {
            // Whoever asked may have given up.
            drop(sender.try_send(reply));
        }
    }
}
