//! Group commit: one thread or task writes; what waits for it is written together and shares one sync.
//!
//! After a write that fails nothing more is written until the next start: what is on the disk then is as after a crash, and is
//! read as such.

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

/// Writes that share one sync at most.
const MAX_BATCH_WRITES: usize = 1024;
/// Writes that wait at most; whoever has another one waits until there is room.
const MAX_QUEUED_WRITES: usize = 8192;

/// What writes to the disk.
#[derive(Clone)]
pub enum Writer {
    /// A thread of its own, which a sync may block.
    Thread,
    /// A task, for virtual clocks: a sync takes as long as this returns.
    Task(Rc<dyn Fn() -> Duration>),
}

/// The number of writes, and of the syncs that they took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Writes.
    pub writes: u64,
    /// Syncs.
    pub syncs: u64,
}

/// One change of the store, and who waits for it.
pub(super) enum Write {
    /// Appends encoded entries, and stores how far the log is known to be committed: that costs no sync of its own.
    Append { entries: Vec<(u64, Vec<u8>)>, committed: Option<Vec<u8>>, flushed: LogFlushed<Types> },
    /// Removes the entries from this index on.
    Truncate { from: u64 },
    /// Removes the entries up to this index.
    Purge { up_to: u64, record: Vec<u8> },
    /// Replaces a record beside the log.
    Meta { name: &'static str, record: Vec<u8>, done: oneshot::Sender<io::Result<()>> },
}

/// Submits writes to the writer, and counts them.
#[derive(Clone)]
pub(super) struct WriteQueue {
    writes: Sender<Write>,
    counts: Arc<Mutex<Counts>>,
}

impl WriteQueue {
    /// Starts a writer. Without `group_commit` each write has its own sync.
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
                // It ends with the last sender, or with a write that fails.
                thread.spawn(move || batches.run())?;
            }
            Writer::Task(sync_time) => drop(spawn_local(batches.run_as_task(sync_time))),
        }
        Ok(WriteQueue { writes, counts })
    }

    pub(super) async fn submit(&self, write: Write) -> io::Result<()> {
        self.writes.send(write).await.map_err(|_| writer_has_ended())
    }

    /// Replaces a record, and waits until that is durable.
    pub(super) async fn write_record(&self, name: &'static str, record: Vec<u8>) -> io::Result<()> {
        let (done, durable) = oneshot::channel();
        self.submit(Write::Meta { name, record, done }).await?;
        durable.await.map_err(|_| writer_has_ended())?
    }

    /// The same where there is no runtime.
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

/// Takes writes from the queue, and writes them in batches.
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

    /// The first write, and what waits behind it.
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

/// Reports the result to those that wait; returns whether more may be written.
fn acknowledge(batch: Vec<Write>, written: Result<(), Arc<redb::Error>>) -> bool {
    for write in batch {
        let result = written.clone().map_err(io::Error::other);
        match write {
            Write::Append { flushed, .. } => flushed.log_io_completed(result),
            // Whoever waited may have gone.
            Write::Meta { done, .. } => drop(done.send(result)),
            Write::Truncate { .. } | Write::Purge { .. } => {}
        }
    }
    written.is_ok()
}
