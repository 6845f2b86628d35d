//! Connections to the store: calls carried out, watches that wait, leases that end.

use crate::config::Config;
use crate::replicas::Role;
use marblecroft_discovery::format::ListRequest;
use marblecroft_discovery::http::{
    self, No, Read, Replica, Replicated, Request, MAX_BODY_BYTES, MAX_HEAD_BYTES,
};
use marblecroft_discovery::journal::{Folder, Journal};
use marblecroft_discovery::store::{Command, Decision, Record, Refusal, Store};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tracing::{error, info, warn};

/// A call that has begun has this long to come.
const CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection on which nothing is asked for this long is closed: longer than any watch waits, so that a half-open one
/// goes at last.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Whoever takes nothing of an answer for this long is given up, and so no more than one answer waits for anybody.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// After SIGTERM the last answers have this long.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// After a write that failed, the end of a lease is tried again.
const RETRY: Duration = Duration::from_secs(1);
/// Pause after an accept that failed, for want of descriptors above all.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Leases that have ended and may not be written yet are looked at again after this time.
const LEASE_RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The longest that a replica waits for changes; it hears as often that there are none.
const MAX_REPLICA_WAIT: Duration = Duration::from_secs(1);
/// Answers that are kept to be shared: those who watch hold a few versions at the most.
const MAX_CACHED_REPLIES: usize = 64;

pub fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)
}

/// An answer, one for all who get the same.
type Shared = Rc<[u8]>;

/// Answers as they were encoded for the store's version.
#[derive(Default)]
struct Encoded {
    version: u64,
    /// By the version that the caller holds.
    by_since: HashMap<Option<u64>, Shared>,
}

/// Whole lists that may be sent, which refill with time.
struct FullListBudget {
    left: f64,
    at: Instant,
}

pub struct Service {
    pub config: Config,
    pub role: RefCell<Role>,
    begun: Instant,
    pub store: RefCell<Store>,
    journal: RefCell<Journal<Folder>>,
    encoded: RefCell<Encoded>,
    full_list_budget: RefCell<FullListBudget>,
    /// The version that those who wait have been woken for.
    announced_version: watch::Sender<u64>,
    gathering: Cell<bool>,
    changed: Notify,
    /// A lease may end sooner than it was reckoned.
    leases: Notify,
    connections: Cell<usize>,
    watches: Cell<usize>,
    encodings: Cell<u64>,
    bytes: Cell<u64>,
    closing: watch::Sender<bool>,
    left: Notify,
}

/// A place among those that are bounded.
struct Slot<'a>(&'a Cell<usize>);

impl<'a> Slot<'a> {
    fn take(count: &'a Cell<usize>, most: usize) -> Option<Slot<'a>> {
        (count.get() < most).then(|| {
            count.set(count.get() + 1);
            Slot(count)
        })
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Service {
    pub fn new(config: Config, role: Role, store: Store, journal: Journal<Folder>) -> Rc<Service> {
        let begun = Instant::now();
        let whole = FullListBudget { left: f64::from(config.limits.whole_lists_per_s), at: begun };
        Rc::new(Service {
            role: RefCell::new(role),
            begun,
            announced_version: watch::channel(store.version()).0,
            store: RefCell::new(store),
            journal: RefCell::new(journal),
            encoded: RefCell::default(),
            full_list_budget: RefCell::new(whole),
            gathering: Cell::new(false),
            changed: Notify::new(),
            leases: Notify::new(),
            connections: Cell::new(0),
            watches: Cell::new(0),
            encodings: Cell::new(0),
            bytes: Cell::new(0),
            closing: watch::channel(false).0,
            left: Notify::new(),
            config,
        })
    }

    /// Time on the store's clock.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Accepts connections until dropped.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let mut logged = false;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().hear(stream))),
                Err(e) => {
                    if !std::mem::replace(&mut logged, true) {
                        warn!(error = %e, "accept: {e}");
                    }
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Answers whoever waits and closes all connections.
    pub async fn close(&self) {
        self.closing.send_replace(true);
        let until = Instant::now() + SHUTDOWN_TIMEOUT;
        while self.connections.get() > 0 && Instant::now() < until {
            drop(timeout_at(until, self.left.notified()).await);
        }
    }

    async fn hear(self: Rc<Self>, mut stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Some(place) = Slot::take(&self.connections, self.config.limits.connections) else {
            let busy = http::no(&No::busy("too many connections"), false);
            drop(timeout(WRITE_TIMEOUT, stream.write_all(&busy)).await);
            return;
        };
        self.converse(&mut stream).await;
        drop(stream);
        drop(place);
        self.left.notify_one();
    }

    /// Calls one after another, until one of the two has had enough.
    async fn converse(&self, stream: &mut TcpStream) {
        let mut come = Vec::new();
        let mut closing = self.closing.subscribe();
        loop {
            let (call, used) = match self.call(stream, &mut come, &mut closing).await {
                Ok(Some(call)) => call,
                Ok(None) => return,
                Err(no) => {
                    self.write(stream, &http::no(&no, false)).await;
                    // What it still sends would reset the connection, and the answer with it.
                    drop(stream.shutdown().await);
                    drop(
                        timeout(Duration::from_secs(1), tokio::io::copy(stream, &mut tokio::io::sink()))
                            .await,
                    );
                    return;
                }
            };
            come.drain(..used);
            let keeps = call.keeps && !*closing.borrow();
            let answer = match http::understood(&call) {
                Ok(Request::Hosts(ask)) => {
                    tokio::select! {
                        answer = self.hosts(ask, &mut closing) => answer,
                        // One that has gone is not waited with.
                        () = wait_for_close(stream) => return,
                    }
                }
                Ok(Request::Records(replica)) => {
                    tokio::select! {
                        answer = self.records(replica, &mut closing) => answer,
                        () = wait_for_close(stream) => return,
                    }
                }
                Ok(request) => self.perform(request).map(|body| http::yes(&body, true).into()),
                Err(no) => Err(no),
            };
            let answer = answer.unwrap_or_else(|no| http::no(&no, true).into());
            let ends = !keeps || *closing.borrow();
            let lag = self.role.borrow().lag();
            let lag = lag.map(|lag| format!("X-List-Lag-Ms: {}\r\n", lag.as_millis())).unwrap_or_default();
            let more = if ends { lag + "Connection: close\r\n" } else { lag };
            let written = if more.is_empty() {
                self.write(stream, &answer).await
            } else {
                self.write(stream, &with(&answer, &more)).await
            };
            if !written || ends {
                return;
            }
        }
    }

    /// Waits for a whole call, and how many bytes it took; `None` when the connection is over.
    async fn call(
        &self,
        stream: &mut TcpStream,
        come: &mut Vec<u8>,
        closing: &mut watch::Receiver<bool>,
    ) -> Result<Option<(http::Call, usize)>, No> {
        let mut until = Instant::now() + if come.is_empty() { IDLE_TIMEOUT } else { CALL_TIMEOUT };
        loop {
            match http::read(come) {
                Read::Whole(call, used) => return Ok(Some((call, used))),
                Read::Unreadable(no) => return Err(no),
                Read::Part => {}
            }
            let mut piece = [0; 2048];
            let begun = !come.is_empty();
            let read = tokio::select! {
                read = timeout_at(until, stream.read(&mut piece)) => read,
                _ = closing.wait_for(|closing| *closing), if !begun => return Ok(None),
            };
            match read {
                Ok(Ok(0) | Err(_)) => return Ok(None),
                Ok(Ok(n)) => {
                    if !begun {
                        until = Instant::now() + CALL_TIMEOUT;
                    }
                    come.extend_from_slice(&piece[..n]);
                    // More than a call and the beginning of the next is nobody's here.
                    if come.len() > MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES + 2048 {
                        return Err(No::new(413, "more than one call at a time"));
                    }
                }
                Err(_) if begun => return Err(No::new(408, "the call did not come in time")),
                Err(_) => return Ok(None),
            }
        }
    }

    async fn write(&self, stream: &mut TcpStream, answer: &[u8]) -> bool {
        self.bytes.set(self.bytes.get() + answer.len() as u64);
        matches!(timeout(WRITE_TIMEOUT, stream.write_all(answer)).await, Ok(Ok(())))
    }

    /// The list, or what is newer than the caller's as soon as there is something.
    async fn hosts(&self, ask: ListRequest, closing: &mut watch::Receiver<bool>) -> Result<Shared, No> {
        self.role.borrow().serves(&self.config, &self.store.borrow())?;
        let ListRequest::Watch { since, wait } = ask else { return self.telling(None) };
        if since != self.store.borrow().version() || wait.is_zero() {
            return self.telling(Some(since));
        }
        let busy = || No::busy("too many watches");
        let _place = Slot::take(&self.watches, self.config.limits.watches).ok_or_else(busy)?;
        let mut told = self.announced_version.subscribe();
        tokio::select! {
            _ = told.wait_for(|told| *told > since) => {}
            _ = closing.wait_for(|closing| *closing) => {}
            () = sleep(wait) => {}
        }
        self.telling(Some(since))
    }

    /// What a replica lacks, as soon as it lacks something, or nothing after its wait.
    async fn records(&self, replica: Replica, closing: &mut watch::Receiver<bool>) -> Result<Shared, No> {
        let Replica { store, epoch, version, wait_ms } = replica;
        self.heard_of(epoch);
        self.role.borrow().serves(&self.config, &self.store.borrow())?;
        if !self.role.borrow().writes() {
            return Err(No::new(409, "this process does not write, and replicas follow the one that does"));
        }
        let same = |s: &Store| s.origin() == store && s.epoch() == epoch;
        let lacks = { same(&self.store.borrow()) && self.store.borrow().version() == version };
        if lacks {
            let mut told = self.announced_version.subscribe();
            tokio::select! {
                _ = told.wait_for(|told| *told > version) => {}
                _ = closing.wait_for(|closing| *closing) => {}
                () = sleep(Duration::from_millis(wait_ms).min(MAX_REPLICA_WAIT)) => {}
            }
        }
        let held = self.store.borrow();
        let records = if same(&held) { held.records(version) } else { None };
        let image = records.is_none().then(|| held.image());
        let replicated = Replicated { epoch: held.epoch(), records: records.unwrap_or_default(), image };
        Ok(http::yes(&json(&replicated), true).into())
    }

    /// Another process of this store is at this epoch.
    pub fn heard_of(&self, epoch: u64) {
        let own = self.store.borrow().epoch();
        if epoch > own {
            self.role.borrow_mut().superseded(&self.config, epoch);
        }
    }

    /// Takes over what the one that writes has told.
    pub fn replicate(&self, told: Replicated) -> Result<(), String> {
        let own = self.store.borrow().epoch();
        if told.epoch < own {
            return Err(format!("it is at epoch {}, and this one at {own}", told.epoch));
        }
        let now = self.now();
        if let Some(image) = told.image {
            let store = Store::follow(image, now);
            self.journal.borrow_mut().compact(&store.image()).map_err(|e| e.to_string())?;
            *self.store.borrow_mut() = store;
            self.schedule_notification();
        } else if !told.records.is_empty() {
            let mut journal = self.journal.borrow_mut();
            journal.append(&told.records).map_err(|e| e.to_string())?;
            let mut store = self.store.borrow_mut();
            told.records.into_iter().for_each(|record| store.apply(record, now));
            if journal.long() {
                drop(journal.compact(&store.image()));
            }
            drop((journal, store));
            self.schedule_notification();
        }
        Ok(())
    }

    fn promote(&self, epoch: u64) -> Result<Vec<u8>, No> {
        let record = self.store.borrow().promotion(epoch, unix_ms());
        let at = self.store.borrow().epoch();
        let record = record.ok_or_else(|| No::new(409, format!("epoch: this store is at {at}")))?;
        self.change(record).map_err(|e| {
            error!(error = %e, "not written: {e}");
            No::busy("the promotion could not be written, and was not made")
        })?;
        self.store.borrow_mut().renew_all(self.now());
        self.role.replace(Role::promoted(&self.config));
        info!(epoch, "promoted: writes under epoch {epoch}");
        Ok(self.status())
    }

    /// The answer for whoever holds this version, encoded once for all of them.
    fn telling(&self, since: Option<u64>) -> Result<Shared, No> {
        let store = self.store.borrow();
        let mut encoded = self.encoded.borrow_mut();
        if encoded.version != store.version() || encoded.by_since.len() >= MAX_CACHED_REPLIES {
            *encoded = Encoded { version: store.version(), by_since: HashMap::new() };
        }
        // Whoever holds nothing that this store knows gets the same as whoever holds nothing.
        let since = since.filter(|&since| store.knows(since));
        if since.is_none() && !self.full_list_budget.borrow_mut().take(self.config.limits.whole_lists_per_s) {
            return Err(No::busy("too many whole lists"));
        }
        let answer = encoded.by_since.entry(since).or_insert_with(|| {
            self.encodings.set(self.encodings.get() + 1);
            http::yes(&store.telling(since).unwrap_or_else(|| store.nothing()), true).into()
        });
        Ok(answer.clone())
    }

    /// Carries out what is no call for the list.
    fn perform(&self, request: Request) -> Result<Vec<u8>, No> {
        match request {
            Request::Command(command) => self.command(&command),
            Request::Show { id } => self.shown(&id),
            Request::Status => Ok(self.status()),
            Request::Promote { epoch } => self.promote(epoch),
            Request::Hosts(_) | Request::Records(_) => Err(No::new(404, "no such call")),
        }
    }

    fn command(&self, command: &Command) -> Result<Vec<u8>, No> {
        self.role.borrow().may_write(&self.config)?;
        let decision = self.store.borrow().decide(command, self.now(), unix_ms())?;
        match decision {
            Decision::Nothing => {}
            Decision::Renew(id) => self.store.borrow_mut().renew(&id, self.now()),
            Decision::Change(record) => self.change(record).map_err(|e| {
                error!(error = %e, "not written: {e}");
                No::busy("the change could not be written, and was not made")
            })?,
        }
        match command {
            Command::Register { server, .. } => self.shown(&server.id),
            Command::Renew { id } | Command::Drain { id, .. } | Command::Undrain { id, .. } => self.shown(id),
            Command::Deregister { id, .. } => Ok(json(&serde_json::json!({ "id": id, "state": "DELETED" }))),
        }
    }

    fn shown(&self, id: &str) -> Result<Vec<u8>, No> {
        let store = self.store.borrow();
        let shown = store.show(id, self.now()).ok_or(Refusal::Unknown)?;
        Ok(json(&shown))
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
            "log_bytes": journal.length(),
            "encodings": self.encodings.get(),
            "bytes_written": self.bytes.get(),
        }))
    }

    /// Makes a change durable, then makes it, and has those who wait told of it.
    fn change(&self, record: Record) -> std::io::Result<()> {
        let mut journal = self.journal.borrow_mut();
        journal.append(std::slice::from_ref(&record))?;
        self.store.borrow_mut().apply(record, self.now());
        if journal.long() {
            if let Err(e) = journal.compact(&self.store.borrow().image()) {
                error!(error = %e, "no snapshot was made: {e}");
            }
        }
        self.leases.notify_one();
        self.schedule_notification();
        Ok(())
    }

    /// Wakes those who wait, a moment later: what comes in the meantime is told along.
    fn schedule_notification(&self) {
        if !self.gathering.replace(true) {
            self.changed.notify_one();
        }
    }

    /// Tells of changes, for good.
    pub async fn notify_watchers(&self) {
        loop {
            self.changed.notified().await;
            sleep(Duration::from_millis(self.config.limits.gather_ms)).await;
            self.gathering.set(false);
            self.announced_version.send_replace(self.store.borrow().version());
        }
    }

    fn ended(&self) -> Option<Record> {
        self.store.borrow().ended(self.now())
    }

    /// Ends leases as their time comes, for good.
    pub async fn end_leases(&self) {
        loop {
            // A replica hears of it, and one that may not write leaves it for later.
            while let Some(record) =
                self.ended().filter(|_| self.role.borrow().may_write(&self.config).is_ok())
            {
                let Record::Gone { id, .. } = &record else { break };
                let line = format!("the lease of {id:?} has ended");
                if let Err(e) = self.change(record) {
                    error!(error = %e, "not written: {e}");
                    sleep(RETRY).await;
                } else {
                    info!("{line}");
                }
            }
            let next = self
                .store
                .borrow()
                .next_end()
                .map(|end| (self.begun + end).max(Instant::now() + LEASE_RECHECK_INTERVAL));
            tokio::select! {
                () = sleep_until(next.unwrap_or_else(|| Instant::now() + IDLE_TIMEOUT)) => {}
                () = self.leases.notified() => {}
            }
        }
    }
}

impl FullListBudget {
    /// Takes one; whether there is one.
    fn take(&mut self, rate: u32) -> bool {
        let (now, rate) = (Instant::now(), f64::from(rate));
        self.left = (self.left + (now - self.at).as_secs_f64() * rate).min(rate);
        self.at = now;
        let takes = self.left >= 1.0;
        self.left -= if takes { 1.0 } else { 0.0 };
        takes
    }
}

fn json(value: &impl serde::Serialize) -> Vec<u8> {
    // Names, numbers and addresses: there is nothing in it that JSON cannot hold.
    serde_json::to_vec(value).unwrap_or_default()
}

/// The same answer with further lines of its head, which are this caller's alone.
fn with(answer: &[u8], lines: &str) -> Vec<u8> {
    let line = answer.windows(2).position(|end| end == b"\r\n").map_or(answer.len(), |at| at + 2);
    [&answer[..line], lines.as_bytes(), &answer[line..]].concat()
}

/// Waits until the caller has closed its connection; what else it sends is its next call.
async fn wait_for_close(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // Seen again and again otherwise.
            Ok(_) => std::future::pending().await,
        }
    }
}
