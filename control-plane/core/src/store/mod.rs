//! A store: a member of the chain that replicates batch jobs. Gateways submit jobs to its head and request
//! work from it.
//!
//! [`Store::handle`] works in a fixed order, because the order determines the ids of calls and operations:
//!
//! 1. The input itself.
//! 2. Timed work: the report to the coordinators, the expiry of jobs, and deferred reads.
//! 3. The chain. It is advanced until it emits nothing, because handling its outputs may submit further
//!    operations.
//!
//! Modules:
//!
//! - `jobs`, `results`, `work`: requests of gateways, which only the head serves.
//! - `leases`: the assignment of items to gateways.
//! - `reporting`, `state_transfer`: receive the view, and the state that a store needs before it joins.
//! - `expiry`: removal of old jobs.

mod context;
mod expiry;
mod io;
mod jobs;
mod leases;
mod operations;
mod reporting;
mod results;
mod settings;
mod state_transfer;
mod work;

pub use context::BatchChain;
pub use io::{Input, Output};
pub use settings::Settings;

use crate::drain::drain_deadline;
use crate::{Node, Time};
use context::{rejection_reply, Context};
use expiry::JobExpiry;
use marblecroft_batch_state::{BatchState, Operation, Output as Outcome};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{
    Chain, Config, Output as ChainOutput, ProposalError, Replica, ToSuccessor, Token,
};
use marblecroft_protocol::coordinator::CoordinatorReply;
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use operations::{CallPurpose, PendingOperation, ResultsRead};
use reporting::CoordinatorReporting;
use results::DeferredReads;
use state_transfer::StateTransfer;
use std::time::Duration;
use tracing::info;
use work::WorkDispatcher;

/// A member of the stores' chain, as a state machine without I/O.
pub struct Store<S> {
    settings: Settings,
    context: Context<S>,
    work: WorkDispatcher,
    deferred_reads: DeferredReads,
    reporting: CoordinatorReporting,
    state_transfer: StateTransfer,
    expiry: JobExpiry,
    /// Time at which the process exits even if it is still a member; set by [`Input::Terminate`].
    drain_deadline: Option<Duration>,
}

/// Returns the configuration of the stores' chain.
fn chain_config(settings: &Settings) -> Config {
    Config {
        heartbeat_interval: Duration::from_millis(250),
        append_timeout: Duration::from_millis(400),
        install_timeout: Duration::from_secs(4),
        min_replicas: settings.tolerated_machines + 1,
        is_durable: true,
        // Unlike coordinators, stores rely on no lease of the chain, so this need only outlast one lost
        // append.
        suspect_timeout: Duration::from_millis(500),
    }
}

impl<S: Storage> Store<S> {
    /// Creates a store that starts at `now` from the durable state in `replica`.
    pub fn new(settings: Settings, replica: Replica<BatchState, S>, now: Duration) -> Store<S> {
        let chain = Chain::new(replica, chain_config(&settings), settings.session);
        Store {
            context: Context::new(chain),
            work: WorkDispatcher::new(now),
            deferred_reads: DeferredReads::default(),
            reporting: CoordinatorReporting::new(settings.coordinators.clone(), now),
            state_transfer: StateTransfer::default(),
            expiry: JobExpiry::new(now),
            drain_deadline: None,
            settings,
        }
    }

    /// Returns the input for a call that had no reply within its timeout.
    pub fn timeout_input(&self, call: u64) -> Input {
        match self.context.calls.get(call) {
            Some(CallPurpose::Report { .. }) => Input::CoordinatorReply { call, reply: None },
            _ => Input::StoreReply { call, reply: None },
        }
    }

    /// Returns this member's part of the chain.
    pub fn chain(&self) -> &BatchChain<S> {
        self.context.chain()
    }

    fn handle_input(&mut self, time: Time, input: Input) {
        match input {
            Input::Request { token, request } => self.handle_request(time, token, request),
            Input::StoreReply { call, reply } => self.handle_store_reply(time, call, reply),
            Input::CoordinatorReply { call, reply } => {
                self.handle_coordinator_reply(time.monotonic, call, reply)
            }
            Input::Terminate => self.on_terminate(time.monotonic),
            Input::Wake => {}
        }
    }

    fn on_terminate(&mut self, now: Duration) {
        if self.drain_deadline.is_none() {
            info!("terminating: leaving the chain");
            self.context.chain_mut().start_draining();
            self.drain_deadline = Some(drain_deadline(now, self.settings.grace_period));
        }
    }

    /// Handles a request. Every member serves the first four kinds; only the head serves requests of
    /// gateways.
    fn handle_request(&mut self, time: Time, token: Token, request: StoreRequest) {
        let now = time.monotonic;
        let ctx = &mut self.context;
        let mut chain_outputs = Vec::new();
        match request {
            StoreRequest::Append(append) => {
                ctx.chain_mut().handle_append(now, token, &append, &mut chain_outputs)
            }
            StoreRequest::Install(install) => {
                ctx.chain_mut().handle_install(token, &install, &mut chain_outputs)
            }
            StoreRequest::Status => {
                let status = ctx.chain().status(now);
                ctx.reply(token, StoreReply::Status(status));
            }
            // A write of a suspended replica has failed, so its state may not be the one on its disk.
            StoreRequest::Fetch if ctx.chain().replica().is_suspended() => ctx.reply_not_head(token),
            StoreRequest::Fetch => {
                let state = ctx.chain().replica().snapshot_message();
                ctx.reply(token, StoreReply::State(state));
            }
            _ if !ctx.chain().is_head() => ctx.reply_not_head(token),
            StoreRequest::SubmitJob(mut job) => {
                job.accepted_at_ms = time.wall_ms;
                jobs::submit(ctx, now, token, job);
            }
            StoreRequest::ReadResults { job, start, wait_ms } => {
                let deadline = now + Duration::from_millis(wait_ms.into());
                let read = ResultsRead { token, job, start, deadline };
                ctx.read_index(now, PendingOperation::ReadResults(read));
            }
            StoreRequest::ReadItemBody { job, item } => {
                ctx.read_index(now, PendingOperation::ReadItemBody { token, job, item })
            }
            StoreRequest::EndJob { job } => {
                ctx.propose(now, Operation::EndJob { job }, PendingOperation::EndJob { token })
            }
            StoreRequest::Work(work) => self.work.handle_work(ctx, now, token, work),
        }
        self.handle_chain_outputs(time, chain_outputs);
    }

    fn handle_store_reply(&mut self, time: Time, call: u64, reply: Option<StoreReply>) {
        match self.context.calls.remove(call) {
            Some(CallPurpose::Chain(chain_call)) => {
                let reply = match reply {
                    Some(StoreReply::Append(reply)) => Some(reply),
                    _ => None,
                };
                let mut chain_outputs = Vec::new();
                let chain = self.context.chain_mut();
                chain.handle_reply(time.monotonic, chain_call, reply, &mut chain_outputs);
                self.handle_chain_outputs(time, chain_outputs);
            }
            Some(CallPurpose::Fetch { source }) => {
                self.state_transfer.handle_reply(&mut self.context, source, reply)
            }
            Some(CallPurpose::Report { .. }) | None => {}
        }
    }

    fn handle_coordinator_reply(&mut self, now: Duration, call: u64, reply: Option<CoordinatorReply>) {
        let Some(CallPurpose::Report { to }) = self.context.calls.remove(call) else { return };
        let Some(directive) = self.reporting.handle_reply(now, to, reply) else { return };
        self.context.chain_mut().install_view(&directive.view);
        if let Some(source) = directive.fetch_from {
            self.state_transfer.start(&mut self.context, source);
        }
    }

    fn handle_chain_outputs(&mut self, time: Time, outputs: Vec<ChainOutput<Outcome>>) {
        for output in outputs {
            match output {
                ChainOutput::Call { call, to, message, within } => {
                    let request = match message {
                        ToSuccessor::Append(append) => StoreRequest::Append(append),
                        ToSuccessor::Install(install) => StoreRequest::Install(install),
                    };
                    self.context.call_store(to.address, request, within, CallPurpose::Chain(call));
                }
                ChainOutput::Reply { token, reply } => self.context.reply(token, StoreReply::Append(reply)),
                ChainOutput::Applied { token, result } => self.on_applied(time.monotonic, token, result),
                ChainOutput::Readable { token, result } => self.on_readable(time, token, result),
            }
        }
    }

    fn on_applied(&mut self, now: Duration, token: Token, result: Result<Outcome, ProposalError>) {
        let ctx = &mut self.context;
        match ctx.client.complete(token) {
            Some(PendingOperation::SubmitJob { token }) => ctx.reply(token, jobs::submission_reply(result)),
            Some(PendingOperation::EndJob { token }) => ctx.reply(token, jobs::end_reply(result)),
            Some(PendingOperation::RecordResult { recording }) => {
                self.work.on_result_recorded(ctx, now, recording, result.err())
            }
            _ => {}
        }
    }

    fn on_readable(&mut self, time: Time, token: Token, result: Result<(), ProposalError>) {
        let ctx = &mut self.context;
        let Some(pending) = ctx.client.complete(token) else { return };
        if let Err(error) = result {
            if let Some(token) = pending.read_token() {
                ctx.reply(token, rejection_reply(error));
            }
            return;
        }
        let now = time.monotonic;
        match pending {
            PendingOperation::ConfirmOverQuota { token, job } => {
                jobs::confirm_over_quota(ctx, now, token, job)
            }
            PendingOperation::ReadResults(read) => self.deferred_reads.on_readable(ctx, now, read),
            PendingOperation::ReadItemBody { token, job, item } => {
                let reply = jobs::item_body_reply(ctx, &job, &item);
                ctx.reply(token, reply);
            }
            PendingOperation::GrantWork(work) => self.work.grant(ctx, time, work),
            PendingOperation::SubmitJob { .. }
            | PendingOperation::EndJob { .. }
            | PendingOperation::RecordResult { .. }
            | PendingOperation::ExpireJobs => {}
        }
    }

    fn exit_when_drained(&mut self, now: Duration) {
        let Some(deadline) = self.drain_deadline else { return };
        let replica = self.context.chain().replica();
        if !replica.view().contains(replica.identity()) || now >= deadline {
            self.context.outputs.push(Output::Exit);
        }
    }
}

impl<S: Storage> Node for Store<S> {
    type Input = Input;
    type Output = Output;

    fn handle(&mut self, time: Time, input: Input) -> Vec<Output> {
        let now = time.monotonic;
        self.handle_input(time, input);
        let ctx = &mut self.context;
        self.reporting.send_if_due(ctx, &self.settings, now);
        self.expiry.propose_if_due(ctx, time, self.settings.result_retention);
        self.work.log_items(ctx, now);
        self.deferred_reads.retry(ctx, now);
        while let Some(outputs) = self.context.client.advance(now) {
            self.handle_chain_outputs(time, outputs);
        }
        self.exit_when_drained(now);
        std::mem::take(&mut self.context.outputs)
    }

    fn next_wake(&self) -> Duration {
        self.context
            .chain()
            .next_wake()
            .min(self.deferred_reads.next_wake())
            .min(self.reporting.next_wake())
            .min(self.expiry.next_wake())
            .min(self.drain_deadline.unwrap_or(Duration::MAX))
    }
}
