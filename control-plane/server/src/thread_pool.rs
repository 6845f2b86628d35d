//! Threads that run blocking calls.

use std::sync::mpsc::{sync_channel, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use tracing::warn;

/// Stack size of a thread. Calls encode and decode messages without recursion.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// Time after which a thread without a job ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Runs each blocking job immediately on its own thread; idle threads are reused.
///
/// The number of threads is not limited: a job that waited for a thread would run into its timeout. Threads
/// are not joined: each ends after [`IDLE_TIMEOUT`] without a job, or with the process, and jobs hold no
/// resources that must be cleaned up.
#[derive(Clone, Default)]
pub struct ThreadPool {
    idle: Arc<Mutex<Vec<SyncSender<Job>>>>,
}

impl ThreadPool {
    /// Runs a job immediately. If no thread can be started, the job is dropped and the caller must rely on
    /// its timeout.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        let mut job: Job = Box::new(job);
        loop {
            let Some(thread) = self.idle_threads().pop() else { break };
            match thread.send(job) {
                Ok(()) => return,
                // The thread has ended in the meantime.
                Err(returned) => job = returned.0,
            }
        }
        let pool = self.clone();
        let spawned = thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(move || pool.run_jobs(job));
        if let Err(error) = spawned {
            warn!(%error, "cannot start a thread for a call");
        }
    }

    fn run_jobs(&self, first: Job) {
        // The channel has no capacity, so a job is either received or returned to the sender. No job is lost
        // if the thread has just stopped waiting.
        let (sender, jobs) = sync_channel(0);
        let mut job = first;
        loop {
            job();
            self.idle_threads().push(sender.clone());
            job = match jobs.recv_timeout(IDLE_TIMEOUT) {
                Ok(job) => job,
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
            };
        }
    }

    fn idle_threads(&self) -> MutexGuard<'_, Vec<SyncSender<Job>>> {
        // The list is consistent after each statement, so it can be used even if a thread has panicked.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
