//! A store: a member of the chain that keeps batch jobs, and where gateways submit them and ask for work.

use crate::disk;
use crate::transport::StoreTransport;
use marblecroft_batch::capacity::Capacity;
use marblecroft_batch::lease::{ItemKey, Leases};
use marblecroft_batch::{Batch, ItemOutcome, NewJob, Operation, Output};
use marblecroft_chain::{Chain, Options, Refused};
use marblecroft_log::Log;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, StoreReport};
use marblecroft_protocol::store::{
    GrantedItem, ItemName, NamedResult, ResultsPage, StoreReply, StoreRequest, WorkReply, WorkRequest,
};
use marblecroft_protocol::{coordinator_address, internal_address};
use marblecroft_settings::Settings;
use marblecroft_wire::{http, serve, Caller};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Time for an operation, and for a reading.
const CHANGE_TIME: Duration = Duration::from_millis(2500);
const READ_TIME: Duration = Duration::from_millis(1200);
/// A lease that is not renewed ends after this time.
const LEASE: Duration = Duration::from_millis(1500);
/// A new head gives out nothing for so long: gateways tell it what they run.
const SETTLING: Duration = Duration::from_millis(700);
/// A question that is held is looked at again after this time.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// Results in one answer, in bytes.
const PAGE_MOST: usize = 900_000;
/// Pause between two reports to the coordinators.
const REPORT_EVERY: Duration = Duration::from_millis(200);
/// Time for fetching a whole state.
const FETCH_TIME: Duration = Duration::from_secs(4);
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Pause between two sweeps of what is to be forgotten.
const FORGET_EVERY: Duration = Duration::from_secs(20);
/// Jobs are kept for so long beyond what is asked. Covers clocks that differ, and jobs that take long.
const KEPT_BEYOND: Duration = Duration::from_secs(60);

/// The chain of the stores.
type BatchChain = Chain<Batch, Log, StoreTransport>;

/// Leases, how many there may be, and since when this process grants them.
#[derive(Default)]
struct Granting {
    leases: Leases,
    capacity: Capacity,
    /// The view that they belong to, and since when it is known.
    view: Option<(u64, Instant)>,
}

struct Store {
    settings: Settings,
    chain: BatchChain,
    address: SocketAddr,
    granting: Arc<Mutex<Granting>>,
    started: Instant,
}

fn options(settings: &Settings) -> Options {
    Options {
        heartbeat: Duration::from_millis(250),
        member_time: Duration::from_millis(400),
        install_time: Duration::from_secs(4),
        copies: settings.tolerated_machines + 1,
        suspect_after: Duration::from_millis(500),
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Runs a store until the process ends.
pub fn run(settings: &Settings) -> io::Result<()> {
    let missing = || io::Error::new(io::ErrorKind::InvalidInput, "data_dir is missing");
    let folder = settings.data_dir.as_ref().ok_or_else(missing)?;
    let address = internal_address(IpAddr::V4(settings.ip), settings.ephemeral_ports);
    let replica = disk::open::<Batch>(folder, &address.to_string(), None)?;
    info!("store {:x} starts in view {}", replica.identity(), replica.view().number);
    let store = Arc::new(Store {
        chain: Chain::new(replica, StoreTransport::default(), options(settings)),
        address,
        granting: Arc::default(),
        started: Instant::now(),
        settings: settings.clone(),
    });
    let internal = store.clone();
    serve(http::listen(address)?, move |request| internal.answer(request))?;
    let head = store.clone();
    thread::spawn(move || head.chain.run_head());
    let forgetting = store.clone();
    thread::spawn(move || forgetting.forget());
    store.report()
}

impl Store {
    fn answer(&self, request: StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Append(append) => StoreReply::Append(self.chain.handle_append(&append)),
            StoreRequest::Install(install) => StoreReply::Append(self.chain.handle_install(&install)),
            StoreRequest::Status => StoreReply::Status(self.chain.status()),
            StoreRequest::Fetch => {
                StoreReply::State(self.chain.with_replica(|replica| replica.install_message()))
            }
            StoreRequest::Submit(job) => self.submit(job),
            StoreRequest::Read { job, start, wait_ms } => self.read(&job, start, wait_ms),
            StoreRequest::Body { job, item } => self.body(job, item),
            StoreRequest::End { job } => self.end(job),
            StoreRequest::Work(work) => self.work(work),
        }
    }

    fn submit(&self, mut job: NewJob) -> StoreReply {
        job.taken_at_ms = now_ms();
        // Refused here it costs the chain nothing, and a refusal binds nobody.
        if self.chain.is_head() && self.chain.with_replica(|replica| !replica.machine().fits(&job)) {
            return StoreReply::OverQuota;
        }
        match self.chain.submit(Operation::Submit(job), CHANGE_TIME) {
            Ok(Output::Accepted) => {
                self.chain.notify_change();
                StoreReply::Accepted
            }
            Ok(Output::OverQuota) => StoreReply::OverQuota,
            Ok(Output::Done | Output::Unknown) => StoreReply::Unknown,
            Err(e) => refused(e),
        }
    }

    fn end(&self, job: String) -> StoreReply {
        match self.chain.submit(Operation::End { job }, CHANGE_TIME) {
            Ok(Output::Unknown) => StoreReply::NotFound,
            Ok(_) => StoreReply::Ended,
            Err(e) => refused(e),
        }
    }

    fn read(&self, job: &str, start: u64, wait_ms: u32) -> StoreReply {
        let until = Instant::now() + Duration::from_millis(wait_ms.into());
        loop {
            let name = job.to_owned();
            let page = self.chain.read(move |batch| page(batch, &name, start), READ_TIME);
            match page {
                Ok(Some(found)) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.page.results.is_empty() || !found.open || left < LOOK_AGAIN {
                        return StoreReply::Results(found.page);
                    }
                    thread::sleep(LOOK_AGAIN);
                }
                Ok(None) => return StoreReply::NotFound,
                Err(e) => return refused(e),
            }
        }
    }

    fn body(&self, job: String, item: String) -> StoreReply {
        let body = move |batch: &Batch| {
            let job = batch.job(&job).filter(|job| !job.is_ended())?;
            job.unlisted_by_id(&item).map(|item| item.body.0.clone())
        };
        match self.chain.read(body, READ_TIME) {
            Ok(Some(body)) => StoreReply::Body(body),
            Ok(None) => StoreReply::NotFound,
            Err(e) => refused(e),
        }
    }

    /// Records what a gateway has run, renews its leases and grants it more.
    fn work(&self, work: WorkRequest) -> StoreReply {
        let finished: Vec<ItemKey> =
            work.finished.iter().map(|finished| (finished.name.job.clone(), finished.name.item)).collect();
        if !work.finished.is_empty() {
            let operations = work.finished.into_iter().map(|finished| Operation::Record {
                job: finished.name.job,
                item: finished.name.item,
                outcome: finished.outcome,
            });
            if let Err(e) = self.chain.submit_all(operations.collect(), CHANGE_TIME) {
                return refused(e);
            }
        }
        let view = self.chain.status().view.number;
        let granting = self.granting.clone();
        let now = self.started.elapsed();
        let (gateway, room, load) = (work.gateway, work.room as usize, work.load);
        let running: Vec<ItemKey> = work.running.into_iter().map(|name| (name.job, name.item)).collect();
        let grant = move |batch: &Batch| {
            let mut granting = granting.lock().unwrap_or_else(PoisonError::into_inner);
            granting.enter(view);
            finished.iter().for_each(|key| granting.leases.release(key));
            granting.leases.sweep(now);
            granting.capacity.note(&gateway, load.live, load.slots, now);
            let own = running.len();
            let stop = granting.leases.renew(batch, &gateway, running, now, LEASE);
            let left = granting.capacity.items().saturating_sub(granting.leases.len());
            let of_one = granting.capacity.items_of_one().saturating_sub(own);
            let room = if granting.settled() { room.min(left).min(of_one) } else { 0 };
            let granted = granting.leases.grant(batch, &gateway, room, now, now_ms(), LEASE);
            WorkReply {
                granted: granted.iter().filter_map(|key| granted_item(batch, key)).collect(),
                stop: stop.into_iter().map(|(job, item)| ItemName { job, item }).collect(),
                lease_ms: u32::try_from(LEASE.as_millis()).unwrap_or(u32::MAX),
            }
        };
        match self.chain.read(grant, READ_TIME) {
            Ok(reply) => StoreReply::Work(reply),
            Err(e) => refused(e),
        }
    }

    /// Forgets old jobs now and then, as the head.
    fn forget(&self) {
        loop {
            thread::sleep(FORGET_EVERY);
            if self.chain.is_head() {
                let kept = self.settings.bounds.status + KEPT_BEYOND;
                let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
                let taken_before_ms = now_ms().saturating_sub(kept_ms);
                drop(self.chain.submit(Operation::Forget { taken_before_ms }, CHANGE_TIME));
            }
        }
    }

    /// Tells the head of the coordinators of this store, and follows the view that it names, until the process ends.
    fn report(&self) -> io::Result<()> {
        let caller = Caller::default();
        let seeds = self.settings.seeds.iter();
        let mut coordinators: Vec<SocketAddr> =
            seeds.map(|seed| coordinator_address(*seed, self.settings.ephemeral_ports)).collect();
        let mut at = 0;
        let mut head: Option<SocketAddr> = None;
        loop {
            let Some(to) = head.or_else(|| coordinators.get(at % coordinators.len().max(1)).copied()) else {
                return Err(io::Error::new(io::ErrorKind::InvalidInput, "no seeds are named"));
            };
            let report = StoreReport {
                node: self.settings.node_name.clone(),
                zone: self.settings.zone.clone(),
                address: self.address,
                status: self.chain.status(),
            };
            match caller.call(to, &CoordinatorRequest::Report(report), REPORT_TIME) {
                Ok(CoordinatorReply::Stores(directive)) => {
                    head = Some(to);
                    self.chain.learn(&directive.view);
                    if let Some(source) = directive.fetch_from {
                        self.fetch(&caller, source);
                    }
                    for coordinator in directive.coordinators {
                        if !coordinators.contains(&coordinator) {
                            coordinators.push(coordinator);
                        }
                    }
                }
                Ok(CoordinatorReply::NotHead(other)) => {
                    head = other.filter(|other| *other != to);
                    at += 1;
                }
                Ok(_) | Err(_) => {
                    head = None;
                    at += 1;
                }
            }
            thread::sleep(REPORT_EVERY);
        }
    }
}

impl Store {
    /// Takes a member's whole state ahead of joining it, so that the chain does not wait for it then.
    fn fetch(&self, caller: &Caller, source: SocketAddr) {
        match caller.call(source, &StoreRequest::Fetch, FETCH_TIME) {
            Ok(StoreReply::State(state)) => {
                info!("fetched {} bytes from {source}", state.machine.0.len());
                if let Err(e) = self.chain.with_replica(|replica| replica.adopt(&state)) {
                    warn!("a state that was fetched could not be kept: {e}");
                }
            }
            Ok(_) | Err(_) => warn!("no state could be fetched from {source}"),
        }
    }
}

impl Granting {
    /// Leases of another view are another head's.
    fn enter(&mut self, view: u64) {
        if self.view.is_none_or(|known| known.0 != view) {
            let granted_before = self.view.is_some();
            self.leases = Leases::default();
            // The head of the first view has nothing to wait for.
            let since = Instant::now();
            let since =
                if granted_before || view > 1 { since } else { since.checked_sub(SETTLING).unwrap_or(since) };
            self.view = Some((view, since));
        }
    }

    fn settled(&self) -> bool {
        self.view.is_some_and(|(_, since)| since.elapsed() >= SETTLING)
    }
}

fn refused(refused: Refused) -> StoreReply {
    match refused {
        Refused::NotHead(head) => StoreReply::NotHead(head),
        Refused::TooFew => StoreReply::Unavailable,
        Refused::Unknown => StoreReply::Unknown,
    }
}

/// Results, and whether there will be more.
struct Found {
    page: ResultsPage,
    open: bool,
}

fn page(batch: &Batch, job: &str, start: u64) -> Option<Found> {
    let job = batch.job(job)?;
    let start = usize::try_from(start).unwrap_or(usize::MAX).min(job.results().len());
    let mut page = ResultsPage { total: job.total() as u64, results: Vec::new() };
    let mut bytes = 0;
    for listed in &job.results()[start..] {
        bytes += match &listed.outcome {
            ItemOutcome::Completed(text) => text.len(),
            ItemOutcome::DeadLettered => 0,
        };
        if bytes > PAGE_MOST && !page.results.is_empty() {
            break;
        }
        let id = job.item_id(listed.item).unwrap_or_default().to_owned();
        page.results.push(NamedResult { id, outcome: listed.outcome.clone() });
    }
    Some(Found { page, open: job.is_open() })
}

fn granted_item(batch: &Batch, key: &ItemKey) -> Option<GrantedItem> {
    let job = batch.job(&key.0)?;
    Some(GrantedItem {
        name: ItemName { job: key.0.clone(), item: key.1 },
        host: job.host.clone(),
        route: job.route.clone(),
        item: job.unlisted(key.1)?.clone(),
        taken_at_ms: job.taken_at_ms,
    })
}
