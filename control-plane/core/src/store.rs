//! A store: a member of the chain that keeps batch jobs, and where gateways submit them and ask for work.

use crate::gateways::Gateways;
use crate::numbered::Numbered;
use crate::patience::leaves_until;
use crate::{Node, Time};
use marblecroft_batch_state::capacity::Capacity;
use marblecroft_batch_state::lease::{ItemKey, Leases};
use marblecroft_batch_state::{Batch, ItemOutcome, NewJob, Operation, Output as Outcome};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{
    Chain, Options, Output as ChainOutput, Refused, Replica, ToSuccessor, Token,
};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, StoreDirective, StoreReport};
use marblecroft_protocol::store::{
    GrantedItem, ItemName, NamedResult, ResultsPage, StoreReply, StoreRequest, WorkReply, WorkRequest,
};
use std::net::SocketAddr;
use std::time::Duration;
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
/// Pause between two lines of the log on the items.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// Jobs are kept for so long beyond what is asked. Covers clocks that differ, and jobs that take long.
const KEPT_BEYOND: Duration = Duration::from_secs(60);

/// The chain of the stores.
pub type BatchChain<S> = Chain<Batch, S>;

/// What a store is told of its deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    pub node_name: String,
    pub zone: String,
    /// Where other processes call it.
    pub address: SocketAddr,
    /// Where coordinators may be found.
    pub coordinators: Vec<SocketAddr>,
    /// Machines with a disk that may be lost at once.
    pub tolerated_machines: usize,
    /// How long results stay readable after a job was sent.
    pub status_time: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace_period: Duration,
    /// Drawn by every process anew.
    pub session: u64,
}

#[derive(Debug)]
pub enum Input {
    /// A call of another process.
    Request { token: Token, request: StoreRequest },
    /// The answer of another store to a call of this process, or that there was none within its time.
    StoreReply { call: u64, reply: Option<StoreReply> },
    /// The answer of a coordinator.
    CoordinatorReply { call: u64, reply: Option<CoordinatorReply> },
    /// SIGTERM.
    Terminate,
    /// Time has passed.
    Wake,
}

#[derive(Debug)]
pub enum Output {
    Answer {
        token: Token,
        reply: StoreReply,
    },
    CallStore {
        call: u64,
        to: SocketAddr,
        request: StoreRequest,
        within: Duration,
    },
    CallCoordinator {
        call: u64,
        to: SocketAddr,
        request: CoordinatorRequest,
        within: Duration,
    },
    /// End the process.
    Exit,
}

/// What a call of this process was made for.
enum CallPurpose {
    Chain(u64),
    Report { to: SocketAddr },
    Fetch { source: SocketAddr },
}

/// What waits for the chain.
enum Waiting {
    Submit {
        token: Token,
    },
    /// A job that did not fit is refused when a round has confirmed it.
    Refuse {
        token: Token,
        job: NewJob,
    },
    End {
        token: Token,
    },
    Read(Reading),
    Body {
        token: Token,
        job: String,
        item: String,
    },
    /// A result that a gateway tells; its number is that of the work.
    Record {
        work: u64,
    },
    Grant(Work),
    Forget,
}

/// A question for the results of a job.
struct Reading {
    token: Token,
    job: String,
    start: u64,
    until: Duration,
}

/// What a gateway has told, and waits to be granted.
struct Work {
    token: Token,
    finished: Vec<ItemKey>,
    running: Vec<ItemKey>,
    gateway: String,
    room: usize,
    zone: String,
    /// The digest of the peers that it knows.
    peers: u64,
}

/// Work whose results are being recorded.
struct Recording {
    work: Work,
    left: usize,
    failed: Option<Refused>,
}

/// Leases, how many there may be, and since when this process grants them.
#[derive(Default)]
struct Granting {
    leases: Leases,
    capacity: Capacity,
    gateways: Gateways,
    /// The view that they belong to, and since when grants may be made in it.
    view: Option<(u64, Duration)>,
}

/// Where this store reports to.
struct Reporting {
    coordinators: Vec<SocketAddr>,
    at: usize,
    head: Option<SocketAddr>,
    under_way: bool,
    next_at: Duration,
}

pub struct Store<S> {
    settings: Settings,
    chain: BatchChain<S>,
    granting: Granting,
    waiting: Numbered<Waiting>,
    recording: Numbered<Recording>,
    /// Questions that are asked again later.
    held: Vec<(Duration, Reading)>,
    reporting: Reporting,
    fetching: bool,
    forget_at: Duration,
    tell_at: Duration,
    /// When the process ends whether it was left out or not, once it was told to.
    ends_at: Option<Duration>,
    calls: Numbered<CallPurpose>,
    out: Vec<Output>,
}

impl<S: Storage> Store<S> {
    /// A store that starts at `now` with this state.
    pub fn new(settings: Settings, replica: Replica<Batch, S>, now: Duration) -> Store<S> {
        let options = Options {
            heartbeat: Duration::from_millis(250),
            member_time: Duration::from_millis(400),
            install_time: Duration::from_secs(4),
            copies: settings.tolerated_machines + 1,
            is_durable: true,
            suspect_after: Duration::from_millis(500),
        };
        Store {
            chain: Chain::new(replica, options, settings.session),
            granting: Granting::default(),
            waiting: Numbered::default(),
            recording: Numbered::default(),
            held: Vec::new(),
            reporting: Reporting {
                coordinators: settings.coordinators.clone(),
                at: 0,
                head: None,
                under_way: false,
                next_at: now,
            },
            fetching: false,
            forget_at: now + FORGET_EVERY,
            tell_at: now,
            ends_at: None,
            calls: Numbered::default(),
            out: Vec::new(),
            settings,
        }
    }

    /// The input that says that a call had no answer within its time.
    pub fn no_answer(&self, call: u64) -> Input {
        match self.calls.get(call) {
            Some(CallPurpose::Report { .. }) => Input::CoordinatorReply { call, reply: None },
            _ => Input::StoreReply { call, reply: None },
        }
    }

    pub fn chain(&self) -> &BatchChain<S> {
        &self.chain
    }

    fn submit(&mut self, now: Duration, operation: Operation, waiting: Waiting) {
        let token = self.waiting.insert(waiting);
        self.chain.submit(token, operation, now + CHANGE_TIME);
    }

    fn begin_read(&mut self, now: Duration, waiting: Waiting) {
        let token = self.waiting.insert(waiting);
        self.chain.begin_read(token, now + READ_TIME);
    }

    fn answer(&mut self, token: Token, reply: StoreReply) {
        self.out.push(Output::Answer { token, reply });
    }

    fn take(&mut self, time: Time, input: Input) {
        let now = time.steady;
        match input {
            Input::Request { token, request } => self.take_request(time, token, request),
            Input::StoreReply { call, reply } => self.take_store_reply(time, call, reply),
            Input::CoordinatorReply { call, reply } => self.take_coordinator_reply(now, call, reply),
            Input::Terminate => {
                if self.ends_at.is_none() {
                    info!("told to end: is to be left out of the chain");
                    self.chain.leave();
                    self.ends_at = Some(leaves_until(now, self.settings.grace_period));
                }
            }
            Input::Wake => {}
        }
    }

    fn take_request(&mut self, time: Time, token: Token, request: StoreRequest) {
        let now = time.steady;
        let mut chain_out = Vec::new();
        match request {
            StoreRequest::Append(append) => self.chain.on_append(now, token, &append, &mut chain_out),
            StoreRequest::Install(install) => self.chain.on_install(token, &install, &mut chain_out),
            StoreRequest::Status => {
                let status = self.chain.status(now);
                self.answer(token, StoreReply::Status(status));
            }
            StoreRequest::Fetch => {
                let state = self.chain.replica().install_message();
                self.answer(token, StoreReply::State(state));
            }
            request if !self.chain.is_head() => {
                drop(request);
                self.answer(token, StoreReply::NotHead(self.chain.head_address()));
            }
            StoreRequest::Submit(mut job) => {
                job.taken_at_ms = time.wall_ms;
                self.take_job(now, token, job);
            }
            StoreRequest::Read { job, start, wait_ms } => {
                let until = now + Duration::from_millis(wait_ms.into());
                self.begin_read(now, Waiting::Read(Reading { token, job, start, until }));
            }
            StoreRequest::Body { job, item } => self.begin_read(now, Waiting::Body { token, job, item }),
            StoreRequest::End { job } => self.submit(now, Operation::End { job }, Waiting::End { token }),
            StoreRequest::Work(work) => self.take_work(now, token, work),
        }
        self.take_chain(time, chain_out);
    }

    /// Takes a job. One that does not fit costs the chain no more than a reading: its refusal is final, so it needs proof
    /// that this state is the newest.
    fn take_job(&mut self, now: Duration, token: Token, job: NewJob) {
        if self.chain.replica().machine().fits(&job) {
            self.submit(now, Operation::Submit(job), Waiting::Submit { token });
        } else {
            self.begin_read(now, Waiting::Refuse { token, job });
        }
    }

    /// Records what a gateway has run; then its leases are renewed and it is granted more.
    fn take_work(&mut self, now: Duration, token: Token, request: WorkRequest) {
        let key = |name: &ItemName| (name.job.clone(), name.item);
        self.granting.capacity.note(&request.gateway, request.load.live, request.load.slots, now);
        self.granting.gateways.note(now, &request);
        let work = Work {
            token,
            finished: request.finished.iter().map(|finished| key(&finished.name)).collect(),
            running: request.running.iter().map(key).collect(),
            gateway: request.gateway.clone(),
            room: request.room as usize,
            zone: request.zone.clone(),
            peers: request.peers,
        };
        if request.finished.is_empty() {
            self.begin_read(now, Waiting::Grant(work));
            return;
        }
        let recording = Recording { work, left: request.finished.len(), failed: None };
        let number = self.recording.insert(recording);
        for finished in request.finished {
            let (job, item) = (finished.name.job, finished.name.item);
            let operation = Operation::Record { job, item, outcome: finished.outcome };
            self.submit(now, operation, Waiting::Record { work: number });
        }
    }

    fn take_store_reply(&mut self, time: Time, call: u64, reply: Option<StoreReply>) {
        match self.calls.remove(call) {
            Some(CallPurpose::Chain(chain_call)) => {
                let reply = match reply {
                    Some(StoreReply::Append(reply)) => Some(reply),
                    _ => None,
                };
                let mut chain_out = Vec::new();
                self.chain.on_reply(time.steady, chain_call, reply, &mut chain_out);
                self.take_chain(time, chain_out);
            }
            Some(CallPurpose::Fetch { source }) => {
                self.fetching = false;
                let Some(StoreReply::State(state)) = reply else {
                    warn!("no state could be fetched from {source}");
                    return;
                };
                info!("fetched {} bytes from {source}", state.machine.0.len());
                if let Err(e) = self.chain.with_replica(|replica| replica.adopt(&state)) {
                    warn!("a state that was fetched could not be kept: {e}");
                }
            }
            Some(CallPurpose::Report { .. }) | None => {}
        }
    }

    fn take_coordinator_reply(&mut self, now: Duration, call: u64, reply: Option<CoordinatorReply>) {
        let Some(CallPurpose::Report { to }) = self.calls.remove(call) else { return };
        self.reporting.under_way = false;
        self.reporting.next_at = now + REPORT_EVERY;
        match reply {
            Some(CoordinatorReply::Stores(directive)) => self.follow_directive(to, directive),
            Some(CoordinatorReply::NotHead(other)) => {
                self.reporting.head = other.filter(|other| *other != to);
                self.reporting.at += 1;
            }
            _ => {
                self.reporting.head = None;
                self.reporting.at += 1;
            }
        }
    }

    fn follow_directive(&mut self, from: SocketAddr, directive: StoreDirective) {
        self.reporting.head = Some(from);
        self.chain.learn(&directive.view);
        for coordinator in directive.coordinators {
            if !self.reporting.coordinators.contains(&coordinator) {
                self.reporting.coordinators.push(coordinator);
            }
        }
        if let Some(source) = directive.fetch_from.filter(|_| !self.fetching) {
            self.fetching = true;
            let call = self.calls.insert(CallPurpose::Fetch { source });
            let (request, within) = (StoreRequest::Fetch, FETCH_TIME);
            self.out.push(Output::CallStore { call, to: source, request, within });
        }
    }

    /// Tells the head of the coordinators of this store, whose answer names the view.
    fn report(&mut self, now: Duration) {
        let reporting = &mut self.reporting;
        if reporting.under_way || now < reporting.next_at || reporting.coordinators.is_empty() {
            return;
        }
        let next = reporting.coordinators[reporting.at % reporting.coordinators.len()];
        let to = reporting.head.unwrap_or(next);
        reporting.under_way = true;
        let report = StoreReport {
            node: self.settings.node_name.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.address,
            status: self.chain.status(now),
        };
        let call = self.calls.insert(CallPurpose::Report { to });
        let request = CoordinatorRequest::Report(report);
        self.out.push(Output::CallCoordinator { call, to, request, within: REPORT_TIME });
    }

    /// Carries out what the chain puts out.
    fn take_chain(&mut self, time: Time, outputs: Vec<ChainOutput<Outcome>>) {
        for output in outputs {
            match output {
                ChainOutput::Call { call, to, message, within } => {
                    let request = match message {
                        ToSuccessor::Append(append) => StoreRequest::Append(append),
                        ToSuccessor::Install(install) => StoreRequest::Install(install),
                    };
                    let call = self.calls.insert(CallPurpose::Chain(call));
                    self.out.push(Output::CallStore { call, to: to.address, request, within });
                }
                ChainOutput::Reply { token, reply } => self.answer(token, StoreReply::Append(reply)),
                ChainOutput::Finished { token, result } => self.finished(time.steady, token, result),
                ChainOutput::Readable { token, result } => self.readable(time, token, result),
            }
        }
    }

    fn finished(&mut self, now: Duration, token: Token, result: Result<Outcome, Refused>) {
        match self.waiting.remove(token) {
            Some(Waiting::Submit { token }) => {
                let reply = match result {
                    Ok(Outcome::Accepted) => StoreReply::Accepted,
                    Ok(Outcome::OverQuota) => StoreReply::OverQuota,
                    Ok(Outcome::Conflict) => StoreReply::Conflict,
                    Ok(Outcome::Done | Outcome::Unknown) => StoreReply::Unknown,
                    Err(e) => refused(e),
                };
                self.answer(token, reply);
            }
            Some(Waiting::End { token }) => {
                let reply = match result {
                    Ok(Outcome::Unknown) => StoreReply::NotFound,
                    Ok(_) => StoreReply::Ended,
                    Err(e) => refused(e),
                };
                self.answer(token, reply);
            }
            Some(Waiting::Record { work }) => self.recorded(now, work, result.err()),
            _ => {}
        }
    }

    /// A result of a gateway's was recorded, or not.
    fn recorded(&mut self, now: Duration, number: u64, failed: Option<Refused>) {
        let Some(recording) = self.recording.get_mut(number) else { return };
        recording.left -= 1;
        recording.failed = failed.or(recording.failed.take());
        if recording.left > 0 {
            return;
        }
        let Some(recording) = self.recording.remove(number) else { return };
        match recording.failed {
            Some(e) => self.answer(recording.work.token, refused(e)),
            None => self.begin_read(now, Waiting::Grant(recording.work)),
        }
    }

    fn readable(&mut self, time: Time, token: Token, result: Result<(), Refused>) {
        let Some(waiting) = self.waiting.remove(token) else { return };
        if let Err(e) = result {
            let token = match waiting {
                Waiting::Refuse { token, .. } | Waiting::Body { token, .. } => token,
                Waiting::Read(reading) => reading.token,
                Waiting::Grant(work) => work.token,
                _ => return,
            };
            self.answer(token, refused(e));
            return;
        }
        match waiting {
            Waiting::Refuse { token, job } => {
                if self.chain.replica().machine().fits(&job) {
                    self.submit(time.steady, Operation::Submit(job), Waiting::Submit { token });
                } else {
                    self.answer(token, StoreReply::OverQuota);
                }
            }
            Waiting::Read(reading) => self.read(time.steady, reading),
            Waiting::Body { token, job, item } => {
                let job = self.chain.replica().machine().job(&job).filter(|job| !job.is_ended());
                let body = job.and_then(|job| Some(job.unlisted_by_id(&item)?.body.0.clone()));
                self.answer(token, body.map_or(StoreReply::NotFound, StoreReply::Body));
            }
            Waiting::Grant(work) => self.grant(time, work),
            _ => {}
        }
    }

    /// Answers with the results of a job, or holds the question until there are some.
    fn read(&mut self, now: Duration, reading: Reading) {
        let Some(found) = page(self.chain.replica().machine(), &reading.job, reading.start) else {
            self.answer(reading.token, StoreReply::NotFound);
            return;
        };
        let left = reading.until.saturating_sub(now);
        if !found.page.results.is_empty() || !found.open || left < LOOK_AGAIN {
            self.answer(reading.token, StoreReply::Results(found.page));
        } else {
            self.held.push((now + LOOK_AGAIN, reading));
        }
    }

    fn grant(&mut self, time: Time, work: Work) {
        let now = time.steady;
        let view = self.chain.replica().view().number;
        let (granting, batch) = (&mut self.granting, self.chain.replica().machine());
        granting.enter(view, now);
        work.finished.iter().for_each(|key| granting.leases.finish(key, now));
        granting.leases.sweep(now);
        let own = work.running.len();
        let stop = granting.leases.renew(batch, &work.gateway, work.running, now, LEASE);
        let left = granting.capacity.items().saturating_sub(granting.leases.len());
        let of_one = granting.capacity.items_of_one().saturating_sub(own);
        let room = if granting.settled(now) { work.room.min(left).min(of_one) } else { 0 };
        let granted = granting.leases.grant(batch, &work.gateway, room, now, time.wall_ms, LEASE);
        let reply = WorkReply {
            granted: granted.iter().filter_map(|key| granted_item(batch, key)).collect(),
            stop: stop.into_iter().map(|(job, item)| ItemName { job, item }).collect(),
            lease_ms: u32::try_from(LEASE.as_millis()).unwrap_or(u32::MAX),
            peers: granting.gateways.peers(&work.gateway, &work.zone, work.peers),
            zones: granting.gateways.zones(),
            gateways: granting.gateways.count(),
            live: granting.capacity.live() as f32,
        };
        self.answer(work.token, StoreReply::Work(reply));
    }

    /// Tells now and then, as the head, how many items wait and run.
    fn tell_work(&mut self, now: Duration) {
        if now < self.tell_at {
            return;
        }
        self.tell_at = now + TELL_EVERY;
        let batch = self.chain.replica().machine();
        let open: usize = batch.open_jobs().map(|(_, job)| job.total() - job.results().len()).sum();
        if !self.chain.is_head() || open == 0 {
            return;
        }
        let (leased, capacity) = (self.granting.leases.len(), &self.granting.capacity);
        info!(
            "{open} items open, {leased} run, {} may run beside {:.0} live",
            capacity.items(),
            capacity.live()
        );
    }

    /// Forgets old jobs now and then, as the head.
    fn forget(&mut self, time: Time) {
        if time.steady < self.forget_at {
            return;
        }
        self.forget_at = time.steady + FORGET_EVERY;
        if self.chain.is_head() {
            let kept = self.settings.status_time + KEPT_BEYOND;
            let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
            let taken_before_ms = time.wall_ms.saturating_sub(kept_ms);
            self.submit(time.steady, Operation::Forget { taken_before_ms }, Waiting::Forget);
        }
    }

    /// Asks questions again that were held long enough.
    fn ask_again(&mut self, now: Duration) {
        for (at, reading) in std::mem::take(&mut self.held) {
            if at > now {
                self.held.push((at, reading));
            } else if self.chain.is_head() {
                self.begin_read(now, Waiting::Read(reading));
            } else {
                self.answer(reading.token, StoreReply::NotHead(self.chain.head_address()));
            }
        }
    }

    fn end_when_left_out(&mut self, now: Duration) {
        let Some(ends_at) = self.ends_at else { return };
        let is_member = self.chain.replica().view().contains(self.chain.replica().identity());
        if !is_member || now >= ends_at {
            self.out.push(Output::Exit);
        }
    }
}

impl<S: Storage> Node for Store<S> {
    type Input = Input;
    type Output = Output;

    fn handle(&mut self, time: Time, input: Input) -> Vec<Output> {
        let now = time.steady;
        self.take(time, input);
        self.report(now);
        self.forget(time);
        self.tell_work(now);
        self.ask_again(now);
        loop {
            let mut chain_out = Vec::new();
            self.chain.pump(now, &mut chain_out);
            if chain_out.is_empty() {
                break;
            }
            self.take_chain(time, chain_out);
        }
        self.end_when_left_out(now);
        std::mem::take(&mut self.out)
    }

    fn next_wake(&self) -> Duration {
        let held = self.held.iter().map(|held| held.0).min().unwrap_or(Duration::MAX);
        let report = if self.reporting.under_way { Duration::MAX } else { self.reporting.next_at };
        let ends = self.ends_at.unwrap_or(Duration::MAX);
        self.chain.next_wake().min(held).min(report).min(self.forget_at).min(ends)
    }
}

impl Granting {
    /// Leases of another view are another head's.
    fn enter(&mut self, view: u64, now: Duration) {
        if self.view.is_none_or(|known| known.0 != view) {
            // The head of the first view has nothing to wait for.
            let waits = self.view.is_some() || view > 1;
            self.leases = Leases::default();
            self.view = Some((view, if waits { now + SETTLING } else { now }));
        }
    }

    fn settled(&self, now: Duration) -> bool {
        self.view.is_some_and(|(_, from)| now >= from)
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
