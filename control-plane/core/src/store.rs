//! A store: a member of the chain that keeps batch jobs, and where gateways submit them and ask for work.

use crate::gateways::GatewayDirectory;
use crate::pending_calls::PendingCalls;
use crate::timeouts::drain_deadline;
use crate::{Node, Time};
use marblecroft_batch_state::capacity::ItemCapacity;
use marblecroft_batch_state::lease::{LeaseTerms, Leases};
use marblecroft_batch_state::{BatchState, ItemOutcome, NewJob, Operation, Output as Outcome};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{
    Chain, Config, Output as ChainOutput, ProposalError, Replica, ToSuccessor, Token,
};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest, StoreDirective, StoreReport};
use marblecroft_protocol::store::{
    GrantedItem, ItemId, NamedResult, ResultsPage, StoreReply, StoreRequest, WorkReply, WorkRequest,
};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Time for an operation, and for a reading.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2500);
const READ_TIMEOUT: Duration = Duration::from_millis(1200);
/// A lease that is not renewed ends after this time.
const LEASE_DURATION: Duration = Duration::from_millis(1500);
/// A new head gives out nothing for so long: gateways tell it what they run.
const NEW_HEAD_GRANT_DELAY: Duration = Duration::from_millis(700);
/// A question that is held is looked at again after this time.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Results in one answer, in bytes.
const MAX_PAGE_BYTES: usize = 900_000;
/// Pause between two reports to the coordinators.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for fetching a whole state.
const FETCH_TIMEOUT: Duration = Duration::from_secs(4);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two sweeps of what is to be forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(20);
/// Pause between two lines of the log on the items.
const WORK_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Jobs are kept for so long beyond what is asked. Covers clocks that differ, and jobs that take long.
const EXTRA_RETENTION: Duration = Duration::from_secs(60);

/// The chain of the stores.
pub type BatchChain<S> = Chain<BatchState, S>;

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
    pub result_retention: Duration,
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
        timeout: Duration,
    },
    CallCoordinator {
        call: u64,
        to: SocketAddr,
        request: CoordinatorRequest,
        timeout: Duration,
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
enum PendingOperation {
    SubmitJob {
        token: Token,
    },
    /// A job that did not fit is refused when a round has confirmed it.
    ConfirmOverQuota {
        token: Token,
        job: NewJob,
    },
    EndJob {
        token: Token,
    },
    ReadResults(ResultsRead),
    ReadItemBody {
        token: Token,
        job: String,
        item: String,
    },
    /// A result that a gateway tells; its number is that of the work.
    RecordResult {
        work: u64,
    },
    GrantWork(WorkCall),
    ExpireJobs,
}

/// A question for the results of a job.
struct ResultsRead {
    token: Token,
    job: String,
    start: u64,
    deadline: Duration,
}

/// What a gateway has told, and waits to be granted.
struct WorkCall {
    token: Token,
    finished: Vec<ItemId>,
    running: Vec<ItemId>,
    gateway: String,
    capacity: usize,
    zone: String,
    /// The digest of the peers that it knows.
    peers_digest: u64,
}

/// Work whose results are being recorded.
struct ResultRecording {
    work: WorkCall,
    remaining: usize,
    error: Option<ProposalError>,
}

/// Leases, how many there may be, and since when this process grants them.
#[derive(Default)]
struct LeaseManager {
    leases: Leases,
    capacity: ItemCapacity,
    gateways: GatewayDirectory,
    /// The view that they belong to, and since when grants may be made in it.
    granting_in_view: Option<(u64, Duration)>,
}

/// Where this store reports to.
struct CoordinatorReporting {
    coordinators: Vec<SocketAddr>,
    next_coordinator: usize,
    head: Option<SocketAddr>,
    in_flight: bool,
    next_report_at: Duration,
}

pub struct Store<S> {
    settings: Settings,
    chain: BatchChain<S>,
    lease_manager: LeaseManager,
    pending_operations: PendingCalls<PendingOperation>,
    recordings: PendingCalls<ResultRecording>,
    /// Questions that are asked again later.
    deferred_reads: Vec<(Duration, ResultsRead)>,
    reporting: CoordinatorReporting,
    fetch_in_flight: bool,
    next_expiry_at: Duration,
    next_work_log_at: Duration,
    /// When the process ends whether it was left out or not, once it was told to.
    drain_deadline: Option<Duration>,
    pending_calls: PendingCalls<CallPurpose>,
    outputs: Vec<Output>,
}

impl<S: Storage> Store<S> {
    /// A store that starts at `now` with this state.
    pub fn new(settings: Settings, replica: Replica<BatchState, S>, now: Duration) -> Store<S> {
        let options = Config {
            heartbeat_interval: Duration::from_millis(250),
            append_timeout: Duration::from_millis(400),
            install_timeout: Duration::from_secs(4),
            min_replicas: settings.tolerated_machines + 1,
            is_durable: true,
            suspect_timeout: Duration::from_millis(500),
        };
        Store {
            chain: Chain::new(replica, options, settings.session),
            lease_manager: LeaseManager::default(),
            pending_operations: PendingCalls::default(),
            recordings: PendingCalls::default(),
            deferred_reads: Vec::new(),
            reporting: CoordinatorReporting {
                coordinators: settings.coordinators.clone(),
                next_coordinator: 0,
                head: None,
                in_flight: false,
                next_report_at: now,
            },
            fetch_in_flight: false,
            next_expiry_at: now + EXPIRY_INTERVAL,
            next_work_log_at: now,
            drain_deadline: None,
            pending_calls: PendingCalls::default(),
            outputs: Vec::new(),
            settings,
        }
    }

    /// The input that says that a call had no answer within its time.
    pub fn timeout_input(&self, call: u64) -> Input {
        match self.pending_calls.get(call) {
            Some(CallPurpose::Report { .. }) => Input::CoordinatorReply { call, reply: None },
            _ => Input::StoreReply { call, reply: None },
        }
    }

    pub fn chain(&self) -> &BatchChain<S> {
        &self.chain
    }

    fn propose(&mut self, now: Duration, operation: Operation, waiting: PendingOperation) {
        let token = self.pending_operations.insert(waiting);
        self.chain.propose(token, operation, now + CHANGE_TIMEOUT);
    }

    fn read_index(&mut self, now: Duration, waiting: PendingOperation) {
        let token = self.pending_operations.insert(waiting);
        self.chain.read_index(token, now + READ_TIMEOUT);
    }

    fn answer(&mut self, token: Token, reply: StoreReply) {
        self.outputs.push(Output::Answer { token, reply });
    }

    fn handle_input(&mut self, time: Time, input: Input) {
        let now = time.monotonic;
        match input {
            Input::Request { token, request } => self.handle_request(time, token, request),
            Input::StoreReply { call, reply } => self.handle_store_reply(time, call, reply),
            Input::CoordinatorReply { call, reply } => self.handle_coordinator_reply(now, call, reply),
            Input::Terminate => {
                if self.drain_deadline.is_none() {
                    info!("told to end: is to be left out of the chain");
                    self.chain.start_draining();
                    self.drain_deadline = Some(drain_deadline(now, self.settings.grace_period));
                }
            }
            Input::Wake => {}
        }
    }

    fn handle_request(&mut self, time: Time, token: Token, request: StoreRequest) {
        let now = time.monotonic;
        let mut chain_out = Vec::new();
        match request {
            StoreRequest::Append(append) => self.chain.handle_append(now, token, &append, &mut chain_out),
            StoreRequest::Install(install) => self.chain.handle_install(token, &install, &mut chain_out),
            StoreRequest::Status => {
                let status = self.chain.status(now);
                self.answer(token, StoreReply::Status(status));
            }
            StoreRequest::Fetch => {
                let state = self.chain.replica().snapshot_message();
                self.answer(token, StoreReply::State(state));
            }
            request if !self.chain.is_head() => {
                drop(request);
                self.answer(token, StoreReply::NotHead(self.chain.head_address()));
            }
            StoreRequest::SubmitJob(mut job) => {
                job.accepted_at_ms = time.wall_ms;
                self.handle_submit(now, token, job);
            }
            StoreRequest::ReadResults { job, start, wait_ms } => {
                let until = now + Duration::from_millis(wait_ms.into());
                self.read_index(
                    now,
                    PendingOperation::ReadResults(ResultsRead { token, job, start, deadline: until }),
                );
            }
            StoreRequest::ReadItemBody { job, item } => {
                self.read_index(now, PendingOperation::ReadItemBody { token, job, item })
            }
            StoreRequest::EndJob { job } => {
                self.propose(now, Operation::EndJob { job }, PendingOperation::EndJob { token })
            }
            StoreRequest::Work(work) => self.handle_work(now, token, work),
        }
        self.handle_chain_outputs(time, chain_out);
    }

    /// Takes a job. One that does not fit costs the chain no more than a reading: its refusal is final, so it needs proof
    /// that this state is the newest.
    fn handle_submit(&mut self, now: Duration, token: Token, job: NewJob) {
        if self.chain.replica().machine().fits_quota(&job) {
            self.propose(now, Operation::SubmitJob(job), PendingOperation::SubmitJob { token });
        } else {
            self.read_index(now, PendingOperation::ConfirmOverQuota { token, job });
        }
    }

    /// Records what a gateway has run; then its leases are renewed and it is granted more.
    fn handle_work(&mut self, now: Duration, token: Token, request: WorkRequest) {
        self.lease_manager.capacity.record_report(
            &request.gateway,
            request.load.live_requests,
            request.load.slots,
            now,
        );
        self.lease_manager.gateways.record_work_request(now, &request);
        let work = WorkCall {
            token,
            finished: request.finished.iter().map(|finished| finished.id.clone()).collect(),
            running: request.running.clone(),
            gateway: request.gateway.clone(),
            capacity: request.capacity as usize,
            zone: request.zone.clone(),
            peers_digest: request.peers_digest,
        };
        if request.finished.is_empty() {
            self.read_index(now, PendingOperation::GrantWork(work));
            return;
        }
        let recording = ResultRecording { work, remaining: request.finished.len(), error: None };
        let number = self.recordings.insert(recording);
        for finished in request.finished {
            let (job, item) = (finished.id.job, finished.id.item);
            let operation = Operation::RecordResult { job, item, outcome: finished.outcome };
            self.propose(now, operation, PendingOperation::RecordResult { work: number });
        }
    }

    fn handle_store_reply(&mut self, time: Time, call: u64, reply: Option<StoreReply>) {
        match self.pending_calls.remove(call) {
            Some(CallPurpose::Chain(chain_call)) => {
                let reply = match reply {
                    Some(StoreReply::Append(reply)) => Some(reply),
                    _ => None,
                };
                let mut chain_out = Vec::new();
                self.chain.handle_reply(time.monotonic, chain_call, reply, &mut chain_out);
                self.handle_chain_outputs(time, chain_out);
            }
            Some(CallPurpose::Fetch { source }) => {
                self.fetch_in_flight = false;
                let Some(StoreReply::State(state)) = reply else {
                    warn!("no state could be fetched from {source}");
                    return;
                };
                info!("fetched {} bytes from {source}", state.machine.0.len());
                if let Err(e) = self.chain.with_replica(|replica| replica.install_as_learner(&state)) {
                    warn!("a state that was fetched could not be kept: {e}");
                }
            }
            Some(CallPurpose::Report { .. }) | None => {}
        }
    }

    fn handle_coordinator_reply(&mut self, now: Duration, call: u64, reply: Option<CoordinatorReply>) {
        let Some(CallPurpose::Report { to }) = self.pending_calls.remove(call) else { return };
        self.reporting.in_flight = false;
        self.reporting.next_report_at = now + REPORT_INTERVAL;
        match reply {
            Some(CoordinatorReply::Stores(directive)) => self.apply_directive(to, directive),
            Some(CoordinatorReply::NotHead(other)) => {
                self.reporting.head = other.filter(|other| *other != to);
                self.reporting.next_coordinator += 1;
            }
            _ => {
                self.reporting.head = None;
                self.reporting.next_coordinator += 1;
            }
        }
    }

    fn apply_directive(&mut self, from: SocketAddr, directive: StoreDirective) {
        self.reporting.head = Some(from);
        self.chain.install_view(&directive.view);
        for coordinator in directive.coordinators {
            if !self.reporting.coordinators.contains(&coordinator) {
                self.reporting.coordinators.push(coordinator);
            }
        }
        if let Some(source) = directive.fetch_from.filter(|_| !self.fetch_in_flight) {
            self.fetch_in_flight = true;
            let call = self.pending_calls.insert(CallPurpose::Fetch { source });
            let (request, within) = (StoreRequest::Fetch, FETCH_TIMEOUT);
            self.outputs.push(Output::CallStore { call, to: source, request, timeout: within });
        }
    }

    /// Tells the head of the coordinators of this store, whose answer names the view.
    fn report_to_coordinators(&mut self, now: Duration) {
        let reporting = &mut self.reporting;
        if reporting.in_flight || now < reporting.next_report_at || reporting.coordinators.is_empty() {
            return;
        }
        let next = reporting.coordinators[reporting.next_coordinator % reporting.coordinators.len()];
        let to = reporting.head.unwrap_or(next);
        reporting.in_flight = true;
        let report = StoreReport {
            node_name: self.settings.node_name.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.address,
            status: self.chain.status(now),
        };
        let call = self.pending_calls.insert(CallPurpose::Report { to });
        let request = CoordinatorRequest::Report(report);
        self.outputs.push(Output::CallCoordinator { call, to, request, timeout: REPORT_TIMEOUT });
    }

    /// Carries out what the chain puts out.
    fn handle_chain_outputs(&mut self, time: Time, outputs: Vec<ChainOutput<Outcome>>) {
        for output in outputs {
            match output {
                ChainOutput::Call { call, to, message, within } => {
                    let request = match message {
                        ToSuccessor::Append(append) => StoreRequest::Append(append),
                        ToSuccessor::Install(install) => StoreRequest::Install(install),
                    };
                    let call = self.pending_calls.insert(CallPurpose::Chain(call));
                    self.outputs.push(Output::CallStore { call, to: to.address, request, timeout: within });
                }
                ChainOutput::Reply { token, reply } => self.answer(token, StoreReply::Append(reply)),
                ChainOutput::Applied { token, result } => self.on_applied(time.monotonic, token, result),
                ChainOutput::Readable { token, result } => self.on_readable(time, token, result),
            }
        }
    }

    fn on_applied(&mut self, now: Duration, token: Token, result: Result<Outcome, ProposalError>) {
        match self.pending_operations.remove(token) {
            Some(PendingOperation::SubmitJob { token }) => {
                let reply = match result {
                    Ok(Outcome::Accepted) => StoreReply::Accepted,
                    Ok(Outcome::OverQuota) => StoreReply::OverQuota,
                    Ok(Outcome::Conflict) => StoreReply::Conflict,
                    Ok(Outcome::Applied | Outcome::UnknownJob) => StoreReply::OutcomeUnknown,
                    Err(e) => rejection_reply(e),
                };
                self.answer(token, reply);
            }
            Some(PendingOperation::EndJob { token }) => {
                let reply = match result {
                    Ok(Outcome::UnknownJob) => StoreReply::NotFound,
                    Ok(_) => StoreReply::Ended,
                    Err(e) => rejection_reply(e),
                };
                self.answer(token, reply);
            }
            Some(PendingOperation::RecordResult { work }) => self.on_result_recorded(now, work, result.err()),
            _ => {}
        }
    }

    /// A result of a gateway's was recorded, or not.
    fn on_result_recorded(&mut self, now: Duration, number: u64, failed: Option<ProposalError>) {
        let Some(recording) = self.recordings.get_mut(number) else { return };
        recording.remaining -= 1;
        recording.error = failed.or(recording.error.take());
        if recording.remaining > 0 {
            return;
        }
        let Some(recording) = self.recordings.remove(number) else { return };
        match recording.error {
            Some(e) => self.answer(recording.work.token, rejection_reply(e)),
            None => self.read_index(now, PendingOperation::GrantWork(recording.work)),
        }
    }

    fn on_readable(&mut self, time: Time, token: Token, result: Result<(), ProposalError>) {
        let Some(waiting) = self.pending_operations.remove(token) else { return };
        if let Err(e) = result {
            let token = match waiting {
                PendingOperation::ConfirmOverQuota { token, .. }
                | PendingOperation::ReadItemBody { token, .. } => token,
                PendingOperation::ReadResults(reading) => reading.token,
                PendingOperation::GrantWork(work) => work.token,
                _ => return,
            };
            self.answer(token, rejection_reply(e));
            return;
        }
        match waiting {
            PendingOperation::ConfirmOverQuota { token, job } => {
                if self.chain.replica().machine().fits_quota(&job) {
                    self.propose(
                        time.monotonic,
                        Operation::SubmitJob(job),
                        PendingOperation::SubmitJob { token },
                    );
                } else {
                    self.answer(token, StoreReply::OverQuota);
                }
            }
            PendingOperation::ReadResults(reading) => self.read_results(time.monotonic, reading),
            PendingOperation::ReadItemBody { token, job, item } => {
                let job = self.chain.replica().machine().job(&job).filter(|job| !job.is_ended());
                let body = job.and_then(|job| Some(job.pending_item_by_id(&item)?.body.0.clone()));
                self.answer(token, body.map_or(StoreReply::NotFound, StoreReply::Body));
            }
            PendingOperation::GrantWork(work) => self.grant_work(time, work),
            _ => {}
        }
    }

    /// Answers with the results of a job, or holds the question until there are some.
    fn read_results(&mut self, now: Duration, reading: ResultsRead) {
        let Some(found) = results_from(self.chain.replica().machine(), &reading.job, reading.start) else {
            self.answer(reading.token, StoreReply::NotFound);
            return;
        };
        let left = reading.deadline.saturating_sub(now);
        if !found.page.results.is_empty() || !found.open || left < READ_RETRY_INTERVAL {
            self.answer(reading.token, StoreReply::Results(found.page));
        } else {
            self.deferred_reads.push((now + READ_RETRY_INTERVAL, reading));
        }
    }

    fn grant_work(&mut self, time: Time, work: WorkCall) {
        let now = time.monotonic;
        let view = self.chain.replica().view().number;
        let (granting, batch) = (&mut self.lease_manager, self.chain.replica().machine());
        granting.enter_view(view, now);
        work.finished.iter().for_each(|key| granting.leases.finish(key, now));
        granting.leases.remove_expired(now);
        let own = work.running.len();
        let terms = LeaseTerms { gateway: &work.gateway, now, duration: LEASE_DURATION };
        let stop = granting.leases.renew(&terms, batch, work.running);
        let left = granting.capacity.max_running_items().saturating_sub(granting.leases.len());
        let of_one = granting.capacity.max_running_items_per_gateway().saturating_sub(own);
        let room = if granting.may_grant(now) { work.capacity.min(left).min(of_one) } else { 0 };
        let granted = granting.leases.grant(&terms, batch, room, time.wall_ms);
        let reply = WorkReply {
            granted: granted.iter().filter_map(|id| granted_item(batch, id)).collect(),
            stop,
            lease_ms: u32::try_from(LEASE_DURATION.as_millis()).unwrap_or(u32::MAX),
            peers: granting.gateways.peers_of(&work.gateway, &work.zone, work.peers_digest),
            zone_loads: granting.gateways.zone_loads(),
            gateway_count: granting.gateways.count(),
            live_requests: granting.capacity.live_requests() as f32,
        };
        self.answer(work.token, StoreReply::Work(reply));
    }

    /// Tells now and then, as the head, how many items wait and run.
    fn log_work(&mut self, now: Duration) {
        if now < self.next_work_log_at {
            return;
        }
        self.next_work_log_at = now + WORK_LOG_INTERVAL;
        let batch = self.chain.replica().machine();
        let open: usize = batch.open_jobs().map(|(_, job)| job.total() - job.results().len()).sum();
        if !self.chain.is_head() || open == 0 {
            return;
        }
        let (leased, capacity) = (self.lease_manager.leases.len(), &self.lease_manager.capacity);
        info!(
            "{open} items open, {leased} run, {} may run beside {:.0} live",
            capacity.max_running_items(),
            capacity.live_requests()
        );
    }

    /// Forgets old jobs now and then, as the head.
    fn expire_jobs(&mut self, time: Time) {
        if time.monotonic < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = time.monotonic + EXPIRY_INTERVAL;
        if self.chain.is_head() {
            let kept = self.settings.result_retention + EXTRA_RETENTION;
            let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
            let taken_before_ms = time.wall_ms.saturating_sub(kept_ms);
            self.propose(
                time.monotonic,
                Operation::ExpireJobs { accepted_before_ms: taken_before_ms },
                PendingOperation::ExpireJobs,
            );
        }
    }

    /// Asks questions again that were held long enough.
    fn retry_deferred_reads(&mut self, now: Duration) {
        for (at, reading) in std::mem::take(&mut self.deferred_reads) {
            if at > now {
                self.deferred_reads.push((at, reading));
            } else if self.chain.is_head() {
                self.read_index(now, PendingOperation::ReadResults(reading));
            } else {
                self.answer(reading.token, StoreReply::NotHead(self.chain.head_address()));
            }
        }
    }

    fn exit_when_removed(&mut self, now: Duration) {
        let Some(ends_at) = self.drain_deadline else { return };
        let is_member = self.chain.replica().view().contains(self.chain.replica().identity());
        if !is_member || now >= ends_at {
            self.outputs.push(Output::Exit);
        }
    }
}

impl<S: Storage> Node for Store<S> {
    type Input = Input;
    type Output = Output;

    fn handle(&mut self, time: Time, input: Input) -> Vec<Output> {
        let now = time.monotonic;
        self.handle_input(time, input);
        self.report_to_coordinators(now);
        self.expire_jobs(time);
        self.log_work(now);
        self.retry_deferred_reads(now);
        loop {
            let mut chain_out = Vec::new();
            self.chain.advance(now, &mut chain_out);
            if chain_out.is_empty() {
                break;
            }
            self.handle_chain_outputs(time, chain_out);
        }
        self.exit_when_removed(now);
        std::mem::take(&mut self.outputs)
    }

    fn next_wake(&self) -> Duration {
        let held = self.deferred_reads.iter().map(|held| held.0).min().unwrap_or(Duration::MAX);
        let report = if self.reporting.in_flight { Duration::MAX } else { self.reporting.next_report_at };
        let ends = self.drain_deadline.unwrap_or(Duration::MAX);
        self.chain.next_wake().min(held).min(report).min(self.next_expiry_at).min(ends)
    }
}

impl LeaseManager {
    /// Leases of another view are another head's.
    fn enter_view(&mut self, view: u64, now: Duration) {
        if self.granting_in_view.is_none_or(|known| known.0 != view) {
            // The head of the first view has nothing to wait for.
            let waits = self.granting_in_view.is_some() || view > 1;
            self.leases = Leases::default();
            self.granting_in_view = Some((view, if waits { now + NEW_HEAD_GRANT_DELAY } else { now }));
        }
    }

    fn may_grant(&self, now: Duration) -> bool {
        self.granting_in_view.is_some_and(|(_, from)| now >= from)
    }
}

fn rejection_reply(refused: ProposalError) -> StoreReply {
    match refused {
        ProposalError::NotHead(head) => StoreReply::NotHead(head),
        ProposalError::NotEnoughReplicas => StoreReply::Unavailable,
        ProposalError::OutcomeUnknown => StoreReply::OutcomeUnknown,
    }
}

/// Results, and whether there will be more.
struct ResultsRange {
    page: ResultsPage,
    open: bool,
}

fn results_from(batch: &BatchState, job: &str, start: u64) -> Option<ResultsRange> {
    let job = batch.job(job)?;
    let start = usize::try_from(start).unwrap_or(usize::MAX).min(job.results().len());
    let mut page = ResultsPage { total: job.total() as u64, results: Vec::new() };
    let mut bytes = 0;
    for listed in &job.results()[start..] {
        bytes += match &listed.outcome {
            ItemOutcome::Completed(text) => text.len(),
            ItemOutcome::DeadLettered => 0,
        };
        if bytes > MAX_PAGE_BYTES && !page.results.is_empty() {
            break;
        }
        let id = job.item_id(listed.item).unwrap_or_default().to_owned();
        page.results.push(NamedResult { id, outcome: listed.outcome.clone() });
    }
    Some(ResultsRange { page, open: job.is_open() })
}

fn granted_item(batch: &BatchState, id: &ItemId) -> Option<GrantedItem> {
    let job = batch.job(&id.job)?;
    Some(GrantedItem {
        id: id.clone(),
        host: job.host.clone(),
        route: job.route.clone(),
        item: job.pending_item(id.item)?.clone(),
        accepted_at_ms: job.accepted_at_ms,
    })
}
