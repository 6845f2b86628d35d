//! Group commit: one thread or task does all writes. Queued writes are written together and share one sync.
//!
//! After a failed write, nothing more is written until the next start. The disk is then in the same state as
//! after a crash, and the next start recovers from it in the same way.

use super::contents::write_batch;
use super::error::StoreError;
use crate::raft_types::Types;
use openraft::storage::LogFlushed;
use prometheus_client::metrics::histogram::Histogram;
use redb::Database;
use std::io;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Maximum number of writes that share one sync.
const MAX_BATCH_WRITES: usize = 1024;
/// Maximum number of queued writes. When the queue is full, submitting a write waits.
const MAX_QUEUED_WRITES: usize = 8192;

/// How writes to the disk are run.
#[derive(Clone)]
pub enum Writer {
    /// By a dedicated thread, which may block on a sync.
    Thread,
    /// By a task, for virtual clocks: each sync takes the time that the function returns.
    Task(Rc<dyn Fn() -> Duration>),
}

/// The number of writes, and the number of syncs that they needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of writes.
    pub writes: u64,
    /// Number of syncs.
    pub syncs: u64,
}

/// One change of the store, and where to report its completion.
pub(super) enum Write {
    /// Appends encoded entries. Also stores the committed log id, which saves a separate sync.
    Append { entries: Vec<(u64, Vec<u8>)>, committed: Option<Vec<u8>>, flushed: LogFlushed<Types> },
    /// Removes the entries from this index on.
    Truncate { from: u64 },
    /// Removes the entries up to and including this index.
    Purge { up_to: u64, record: Vec<u8> },
    /// Replaces a record that is not a log entry.
    Meta { name: &'static str, record: Vec<u8>, done: oneshot::Sender<io::Result<()>> },
}

/// The queue of writes, and the counts of the writer.
#[derive(Clone)]
pub(super) struct WriteQueue {
    writes: Sender<Write>,
    counts: Arc<Mutex<Counts>>,
}

impl WriteQueue {
    /// Starts a writer. Without `group_commit`, each write has its own sync.
    pub(super) fn start(
        database: Database,
        group_commit: bool,
        writer: Writer,
        sync_times: Histogram,
    ) -> Result<WriteQueue, StoreError> {
        let (writes, queue) = channel(MAX_QUEUED_WRITES);
        let counts: Arc<Mutex<Counts>> = Arc::default();
        let max_batch_writes = if group_commit { MAX_BATCH_WRITES } else { 1 };
        let batches = BatchWriter { database, queue, max_batch_writes, counts: counts.clone(), sync_times };
        match writer {
            Writer::Thread => {
                let thread = thread::Builder::new().name("log".to_owned());
                // The thread ends when the last sender is dropped, or after a failed write.
                thread.spawn(move || batches.run())?;
            }
            Writer::Task(sync_time) => drop(spawn_local(batches.run_as_task(sync_time))),
        }
        Ok(WriteQueue { writes, counts })
    }

    pub(super) async fn submit(&self, write: Write) -> io::Result<()> {
        self.writes.send(write).await.map_err(|_| writer_has_ended())
    }

    /// Replaces a record, and waits until it is durable.
    pub(super) async fn write_record(&self, name: &'static str, record: Vec<u8>) -> io::Result<()> {
        let (done, durable) = oneshot::channel();
        self.submit(Write::Meta { name, record, done }).await?;
        durable.await.map_err(|_| writer_has_ended())?
    }

    /// Like [`Self::write_record`], but blocks. For use outside a runtime.
    pub(super) fn write_record_blocking(&self, name: &'static str, record: Vec<u8>) -> io::Result<()> {
        let (done, durable) = oneshot::channel();
        self.writes.blocking_send(Write::Meta { name, record, done }).map_err(|_| writer_has_ended())?;
        durable.blocking_recv().map_err(|_| writer_has_ended())?
    }

    pub(super) fn counts(&self) -> Counts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn writer_has_ended() -> io::Error {
    io::Error::other("a write failed before; nothing is written until the next start")
}

/// Writes the queued writes in batches.
struct BatchWriter {
    database: Database,
    queue: Receiver<Write>,
    max_batch_writes: usize,
    counts: Arc<Mutex<Counts>>,
    sync_times: Histogram,
}

impl BatchWriter {
    fn run(mut self) {
        while let Some(first) = self.queue.blocking_recv() {
            let batch = self.next_batch(first);
            let written = self.write(&batch);
            if !acknowledge(batch, written) {
                return;
            }
        }
    }

    async fn run_as_task(mut self, sync_time: Rc<dyn Fn() -> Duration>) {
        while let Some(first) = self.queue.recv().await {
            let batch = self.next_batch(first);
            let written = self.write(&batch);
            tokio::time::sleep(sync_time()).await;
            if !acknowledge(batch, written) {
                return;
            }
        }
    }

    /// Returns the first write and the writes that are queued behind it, up to the size of a batch.
    fn next_batch(&mut self, first: Write) -> Vec<Write> {
        let mut batch = vec![first];
        while batch.len() < self.max_batch_writes {
            match self.queue.try_recv() {
                Ok(next) => batch.push(next),
                Err(_) => break,
            }
        }
        batch
    }

    fn write(&self, batch: &[Write]) -> Result<(), Arc<redb::Error>> {
        let started_at = Instant::now();
        let written = write_batch(&self.database, batch).map_err(Arc::new);
        self.sync_times.observe(started_at.elapsed().as_secs_f64());
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.writes += batch.len() as u64;
        counts.syncs += 1;
        written
    }
}

/// Reports the result of a batch to its callers. Returns whether more may be written.
fn acknowledge(batch: Vec<Write>, written: Result<(), Arc<redb::Error>>) -> bool {
    for write in batch {
        let result = written.clone().map_err(io::Error::other);
        match write {
            Write::Append { flushed, .. } => flushed.log_io_completed(result),
            // The caller may have given up.
            Write::Meta { done, .. } => drop(done.send(result)),
            Write::Truncate { .. } | Write::Purge { .. } => {}
        }
    }
    written.is_ok()
}
