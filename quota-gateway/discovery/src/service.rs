//! The service: executes commands, answers watches when the list changes, and expires leases.
//!
//! A change that the store has decided on is written to the journal, then applied to the store, and after a
//! short delay sent to the watches. Clients therefore never see a change that a crash could undo.

mod list_replies;
mod slot;

pub use list_replies::SharedReply;
pub use slot::Slot;

use crate::config::Config;
use crate::role::Role;
use list_replies::{FullListRateLimiter, ReplyCache};
use marblecroft_discovery::format::ListRequest;
use marblecroft_discovery::http::{
    ok_response, ApiRequest, HttpError, ReplicationRequest, ReplicationResponse,
};
use marblecroft_discovery::journal::{Folder, Journal};
use marblecroft_discovery::store::{Command, Decision, Record, Rejection, Store};
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use std::{fmt, io};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{error, info};

/// The delay after a failed write until the expiry of a lease is recorded again.
const EXPIRY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The minimum interval between checks for expired leases, which applies while this process may not record
/// them.
const LEASE_RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The interval between checks for expired leases while there are no leases.
const IDLE_LEASE_RECHECK_INTERVAL: Duration = Duration::from_secs(75);
/// The maximum wait of a replica's request. Without changes, the response after this wait is empty.
const MAX_REPLICA_WAIT: Duration = Duration::from_secs(1);

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}

/// The reason why a replica cannot apply a response of the writer.
#[derive(Debug)]
pub enum ReplicationError {
    /// The writer has a lower epoch than this process.
    LowerEpoch {
        /// The writer's epoch.
        writer: u64,
        /// This process's epoch.
        local: u64,
    },
    /// The journal could not be written.
    Journal(io::Error),
}

impl fmt::Display for ReplicationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplicationError::LowerEpoch { writer, local } => {
                write!(f, "the writer is at epoch {writer}, and this process at {local}")
            }
            ReplicationError::Journal(e) => write!(f, "{e}"),
        }
    }
}

impl Error for ReplicationError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ReplicationError::LowerEpoch { .. } => None,
            ReplicationError::Journal(e) => Some(e),
        }
    }
}

/// The state that all connections share.
pub struct Service {
    /// The configuration.
    pub config: Config,
    /// The role of this process, writer or replica.
    pub role: RefCell<Role>,
    /// The registered servers.
    pub store: RefCell<Store>,
    journal: RefCell<Journal<Folder>>,
    started_at: Instant,
    replies: RefCell<ReplyCache>,
    full_list_limiter: RefCell<FullListRateLimiter>,
    /// The version of which the watches were last notified.
    announced_version: watch::Sender<u64>,
    /// Whether a notification is scheduled. Changes until then are included in it.
    is_notification_scheduled: Cell<bool>,
    notification_scheduled: Notify,
    /// Wakes the expiry task when a lease may expire earlier than the one for which it waits.
    lease_changed: Notify,
    watches: Cell<usize>,
    /// The number of open connections.
    pub connections: Cell<usize>,
    /// The number of bytes of all responses so far.
    pub bytes_written: Cell<u64>,
    /// Whether the process is shutting down.
    pub closing: watch::Sender<bool>,
}

impl Service {
    /// Returns the service for a store that was restored from this journal.
    pub fn new(config: Config, role: Role, store: Store, journal: Journal<Folder>) -> Rc<Service> {
        let started_at = Instant::now();
        let full_list_limiter = FullListRateLimiter::new(config.limits.full_lists_per_s, started_at);
        Rc::new(Service {
            role: RefCell::new(role),
            announced_version: watch::channel(store.version()).0,
            store: RefCell::new(store),
            journal: RefCell::new(journal),
            started_at,
            replies: RefCell::default(),
            full_list_limiter: RefCell::new(full_list_limiter),
            is_notification_scheduled: Cell::new(false),
            notification_scheduled: Notify::new(),
            lease_changed: Notify::new(),
            watches: Cell::new(0),
            connections: Cell::new(0),
            bytes_written: Cell::new(0),
            closing: watch::channel(false).0,
            config,
        })
    }

    /// Returns the time on the store's clock.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the full list, or for a watch the changes after its version, as soon as there are any or its
    /// wait ends.
    pub async fn list(
        &self,
        request: ListRequest,
        closing: &mut watch::Receiver<bool>,
    ) -> Result<SharedReply, HttpError> {
        self.role.borrow().check_may_serve(&self.config, &self.store.borrow())?;
        let ListRequest::Watch { since, wait } = request else { return self.list_reply(None) };
        if since != self.store.borrow().version() || wait.is_zero() {
            return self.list_reply(Some(since));
        }
        let busy = || HttpError::busy("too many watches");
        let _slot = Slot::acquire(&self.watches, self.config.limits.watches).ok_or_else(busy)?;
        self.wait_for_version_after(since, wait, closing).await;
        self.list_reply(Some(since))
    }

    /// Returns the changes that a replica does not have yet, as soon as there are any or its wait ends.
    pub async fn replication_reply(
        &self,
        request: ReplicationRequest,
        closing: &mut watch::Receiver<bool>,
    ) -> Result<SharedReply, HttpError> {
        let ReplicationRequest { store: origin, epoch, version, wait_ms } = request;
        self.on_peer_epoch(epoch);
        self.role.borrow().check_may_serve(&self.config, &self.store.borrow())?;
        if !self.role.borrow().is_writer() {
            return Err(HttpError::new(
                409,
                "this process does not write, and replicas follow the one that does",
            ));
        }
        let is_same_history = |store: &Store| store.origin() == origin && store.epoch() == epoch;
        let is_current =
            { is_same_history(&self.store.borrow()) && self.store.borrow().version() == version };
        if is_current {
            let wait = Duration::from_millis(wait_ms).min(MAX_REPLICA_WAIT);
            self.wait_for_version_after(version, wait, closing).await;
        }
        let store = self.store.borrow();
        let records = if is_same_history(&store) { store.records_since(version) } else { None };
        let snapshot = records.is_none().then(|| store.snapshot());
        let response =
            ReplicationResponse { epoch: store.epoch(), records: records.unwrap_or_default(), snapshot };
        Ok(ok_response(&json(&response), true).into())
    }

    async fn wait_for_version_after(
        &self,
        version: u64,
        max_wait: Duration,
        closing: &mut watch::Receiver<bool>,
    ) {
        let mut announced = self.announced_version.subscribe();
        tokio::select! {
            _ = announced.wait_for(|announced| *announced > version) => {}
            _ = closing.wait_for(|closing| *closing) => {}
            () = sleep(max_wait) => {}
        }
    }

    /// Handles the epoch of another process of this store.
    pub fn on_peer_epoch(&self, epoch: u64) {
        let local = self.store.borrow().epoch();
        if epoch > local {
            self.role.borrow_mut().on_higher_epoch(&self.config, epoch);
        }
    }

    /// Applies a response of the writer.
    pub fn replicate(&self, response: ReplicationResponse) -> Result<(), ReplicationError> {
        let local = self.store.borrow().epoch();
        if response.epoch < local {
            return Err(ReplicationError::LowerEpoch { writer: response.epoch, local });
        }
        let now = self.now();
        if let Some(snapshot) = response.snapshot {
            let store = Store::restore_replica(snapshot, now);
            let written = self.journal.borrow_mut().compact(&store.snapshot());
            written.map_err(ReplicationError::Journal)?;
            *self.store.borrow_mut() = store;
            self.schedule_notification();
        } else if !response.records.is_empty() {
            let mut journal = self.journal.borrow_mut();
            journal.append(&response.records).map_err(ReplicationError::Journal)?;
            let mut store = self.store.borrow_mut();
            response.records.into_iter().for_each(|record| store.apply(record, now));
            if journal.is_compaction_due() {
                // An error is ignored: the records are durable in the log, and if the journal is broken, the
                // next append fails.
                let _ = journal.compact(&store.snapshot());
            }
            drop((journal, store));
            self.schedule_notification();
        }
        Ok(())
    }

    fn promote(&self, epoch: u64) -> Result<Vec<u8>, HttpError> {
        let record = self.store.borrow().promotion_record(epoch, unix_ms());
        let local = self.store.borrow().epoch();
        let record = record.ok_or_else(|| HttpError::new(409, format!("epoch: this store is at {local}")))?;
        self.commit(record).map_err(|e| {
            error!(error = %e, "not written: {e}");
            HttpError::busy("the promotion could not be written, and was not made")
        })?;
        self.store.borrow_mut().renew_all(self.now());
        self.role.replace(Role::promoted(&self.config));
        info!(epoch, "promoted to writer under epoch {epoch}");
        Ok(self.status())
    }

    /// Returns the list response for a reader that has this version, or for one that has none.
    fn list_reply(&self, since: Option<u64>) -> Result<SharedReply, HttpError> {
        let store = self.store.borrow();
        // A reader whose version is not covered by the history gets the full list, like a reader without a
        // version.
        let since = since.filter(|&since| store.has_history_since(since));
        if since.is_none() && !self.full_list_limiter.borrow_mut().try_acquire() {
            return Err(HttpError::busy("too many whole lists"));
        }
        Ok(self.replies.borrow_mut().get(&store, since))
    }

    /// Executes a request that is answered at once. Returns the body of the response.
    pub fn perform(&self, request: ApiRequest) -> Result<Vec<u8>, HttpError> {
        match request {
            ApiRequest::Command(command) => self.execute(&command),
            ApiRequest::Show { id } => self.show(&id),
            ApiRequest::Status => Ok(self.status()),
            ApiRequest::Promote { epoch } => self.promote(epoch),
            ApiRequest::List(_) | ApiRequest::Replicate(_) => Err(HttpError::new(404, "no such call")),
        }
    }

    fn execute(&self, command: &Command) -> Result<Vec<u8>, HttpError> {
        self.role.borrow().check_may_write(&self.config)?;
        let decision = self.store.borrow().decide(command, self.now(), unix_ms())?;
        match decision {
            Decision::Nothing => {}
            Decision::Renew(id) => self.store.borrow_mut().renew(&id, self.now()),
            Decision::Change(record) => self.commit(record).map_err(|e| {
                error!(error = %e, "not written: {e}");
                HttpError::busy("the change could not be written, and was not made")
            })?,
        }
        match command {
            Command::Register { server, .. } => self.show(&server.id),
            Command::Renew { id } | Command::Drain { id, .. } | Command::Undrain { id, .. } => self.show(id),
            Command::Deregister { id, .. } => Ok(json(&serde_json::json!({ "id": id, "state": "DELETED" }))),
        }
    }

    fn show(&self, id: &str) -> Result<Vec<u8>, HttpError> {
        let store = self.store.borrow();
        let details = store.entry_details(id, self.now()).ok_or(Rejection::Unknown)?;
        Ok(json(&details))
    }

    fn status(&self) -> Vec<u8> {
        let (store, journal) = (self.store.borrow(), self.journal.borrow());
        json(&serde_json::json!({
            "version": store.version(),
            "epoch": store.epoch(),
            "role": self.role.borrow().name(),
            "lag_ms": self.role.borrow().lag().map(|lag| lag.as_millis() as u64),
            "servers": store.len(),
            "connections": self.connections.get(),
            "watches": self.watches.get(),
            "log_bytes": journal.log_bytes(),
            "encodings": self.replies.borrow().encodings(),
            "bytes_written": self.bytes_written.get(),
        }))
    }

    /// Makes a change durable, applies it, and schedules the notification of the watches.
    fn commit(&self, record: Record) -> io::Result<()> {
        let mut journal = self.journal.borrow_mut();
        journal.append(std::slice::from_ref(&record))?;
        self.store.borrow_mut().apply(record, self.now());
        if journal.is_compaction_due() {
            if let Err(e) = journal.compact(&self.store.borrow().snapshot()) {
                error!(error = %e, "cannot make a snapshot: {e}");
            }
        }
        self.lease_changed.notify_one();
        self.schedule_notification();
        Ok(())
    }

    /// Schedules a notification of the watches after `batch_delay_ms`, so that changes in quick succession
    /// are sent together.
    fn schedule_notification(&self) {
        if !self.is_notification_scheduled.replace(true) {
            self.notification_scheduled.notify_one();
        }
    }

    /// Notifies the watches of changes. Never returns.
    pub async fn notify_watches(&self) {
        loop {
            self.notification_scheduled.notified().await;
            sleep(Duration::from_millis(self.config.limits.batch_delay_ms)).await;
            self.is_notification_scheduled.set(false);
            self.announced_version.send_replace(self.store.borrow().version());
        }
    }

    /// Records the expiry of each lease when it is due. Never returns.
    pub async fn expire_leases(&self) {
        loop {
            while let Some(record) = self.next_expiry_record() {
                let Record::Deleted { id, .. } = &record else { break };
                let message = format!("the lease of {id:?} has ended");
                if let Err(e) = self.commit(record) {
                    error!(error = %e, "not written: {e}");
                    sleep(EXPIRY_RETRY_DELAY).await;
                } else {
                    info!("{message}");
                }
            }
            let next_expiry = self.store.borrow().next_expiry();
            let next_check = match next_expiry {
                Some(expiry) => (self.started_at + expiry).max(Instant::now() + LEASE_RECHECK_INTERVAL),
                None => Instant::now() + IDLE_LEASE_RECHECK_INTERVAL,
            };
            tokio::select! {
                () = sleep_until(next_check) => {}
                () = self.lease_changed.notified() => {}
            }
        }
    }

    /// Returns the record of an expired lease, if this process may write. A replica receives such records
    /// from the writer.
    fn next_expiry_record(&self) -> Option<Record> {
        let record = self.store.borrow().expiry_record(self.now());
        record.filter(|_| self.role.borrow().check_may_write(&self.config).is_ok())
    }
}

fn json(value: &impl serde::Serialize) -> Vec<u8> {
    // Serialization of strings, numbers and addresses cannot fail.
    serde_json::to_vec(value).unwrap_or_default()
}
