//! A coordinator: a member of the chain that replicates the configuration. Operators, gateways and stores
//! call it.
//!
//! [`Coordinator::handle`] works in a fixed order, because the order determines the ids of calls and
//! operations:
//!
//! 1. The input itself.
//! 2. The step of the membership.
//! 3. The tasks of the head: supervision of the stores and reading of the server list.
//! 4. The chain. It is advanced until it emits nothing, because handling its outputs may submit further
//!    operations.
//! 5. The pulls, last so that they include what this input has committed.
//!
//! Modules:
//!
//! - `membership`: the members and voters of the chain.
//! - `operator_calls`: the operator's API.
//! - `pulls`: long polls of gateways.
//! - `store_supervision`: the stores' reports, and the membership of the stores' chain.
//! - `server_list`: the platform's list of servers.

mod context;
mod io;
mod membership;
mod operations;
mod operator_calls;
mod pulls;
mod server_list;
mod settings;
mod store_supervision;

pub use context::{ControlChain, LEASE_DURATION};
pub use io::{Input, Output};
pub use settings::Settings;

use crate::server_list_reader::ServerListReader;
use crate::{Node, Time};
use context::Context;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{
    Chain, Config, Output as ChainOutput, ProposalError, Replica, ToSuccessor, Token,
};
use marblecroft_control_state::{ControlState, Output as Outcome};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use membership::Membership;
use operations::{CallPurpose, PendingOperation};
use operator_calls::OperatorCalls;
use pulls::PendingPulls;
use std::time::Duration;
use store_supervision::StoreSupervision;
use tracing::warn;

/// The head excludes a member at which rounds have failed for this time. It is more than a quarter longer
/// than [`LEASE_DURATION`] (600 ms), because the rates of monotonic clocks may differ by that much. A
/// member's lease has therefore expired when the member is excluded.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(800);

/// A member of the coordinators' chain, as a state machine without I/O.
pub struct Coordinator<S> {
    context: Context<S>,
    membership: Membership,
    stores: StoreSupervision,
    server_list_reader: ServerListReader,
    pulls: PendingPulls,
    last_input_at: Duration,
}

/// Returns the configuration of the coordinators' chain.
fn chain_config(settings: &Settings) -> Config {
    Config {
        // Several heartbeats fit into a lease (600 ms).
        heartbeat_interval: Duration::from_millis(150),
        append_timeout: Duration::from_millis(350),
        install_timeout: Duration::from_secs(3),
        min_replicas: settings.tolerated_machines + 1,
        is_durable: settings.is_durable,
        suspect_timeout: SUSPECT_TIMEOUT,
    }
}

impl<S: Storage> Coordinator<S> {
    /// Creates a coordinator that starts at `now` from the durable state in `replica`.
    pub fn new(settings: Settings, replica: Replica<ControlState, S>, now: Duration) -> Coordinator<S> {
        let mut chain = Chain::new(replica, chain_config(&settings), settings.session);
        if !settings.is_durable {
            chain.start_draining();
        }
        Coordinator {
            context: Context::new(settings, chain),
            membership: Membership::new(now),
            stores: StoreSupervision::new(now),
            server_list_reader: ServerListReader::default(),
            pulls: PendingPulls::default(),
            last_input_at: now,
        }
    }

    /// Returns this member's part of the chain.
    pub fn chain(&self) -> &ControlChain<S> {
        self.context.chain()
    }

    /// Returns the settings with which this coordinator was created.
    pub fn settings(&self) -> &Settings {
        &self.context.settings
    }

    /// Returns whether this process has a valid lease, which guarantees that its state is the newest.
    pub fn has_valid_lease(&self, now: Duration) -> bool {
        self.context.has_valid_lease(now)
    }

    fn operator_calls(&mut self, now: Duration) -> OperatorCalls<'_, S> {
        OperatorCalls { ctx: &mut self.context, membership: &self.membership, stores: &self.stores, now }
    }

    fn handle_input(&mut self, now: Duration, input: Input) {
        match input {
            Input::Request { token, request } => self.handle_request(now, token, request),
            Input::Operator { token, call } => self.operator_calls(now).handle(token, call),
            Input::Reply { call, reply } => self.handle_reply(now, call, reply),
            Input::ServerList(servers) => {
                server_list::on_list_read(&mut self.server_list_reader, &mut self.context, now, servers)
            }
            Input::Terminate => self.membership.on_terminate(&mut self.context, now),
            Input::Wake => {}
        }
    }

    fn handle_request(&mut self, now: Duration, token: Token, request: CoordinatorRequest) {
        let ctx = &mut self.context;
        let reply = match request {
            CoordinatorRequest::Append(append) => {
                let mut outputs = Vec::new();
                ctx.chain_mut().handle_append(now, token, &append, &mut outputs);
                return self.handle_chain_outputs(now, outputs);
            }
            CoordinatorRequest::Install(install) => {
                let mut outputs = Vec::new();
                ctx.chain_mut().handle_install(token, &install, &mut outputs);
                return self.handle_chain_outputs(now, outputs);
            }
            CoordinatorRequest::Pull(pull) => return self.pulls.insert(now, token, pull),
            CoordinatorRequest::Vote(vote) => CoordinatorReply::Vote(
                ctx.chain_mut().with_replica(|replica| replica.handle_vote_request(&vote)),
            ),
            CoordinatorRequest::Status => CoordinatorReply::Status(ctx.chain().status(now)),
            CoordinatorRequest::Join { member, position } => {
                self.membership.handle_join(ctx, now, member, position)
            }
            CoordinatorRequest::Leave(identity) => self.membership.handle_leave(ctx, identity),
            CoordinatorRequest::Report(report) => self.stores.handle_report(ctx, now, report),
        };
        ctx.reply(token, reply);
    }

    fn handle_reply(&mut self, now: Duration, call: u64, reply: Option<CoordinatorReply>) {
        let ctx = &mut self.context;
        match ctx.calls.remove(call) {
            Some(CallPurpose::Chain(chain_call)) => {
                let reply = match reply {
                    Some(CoordinatorReply::Append(reply)) => Some(reply),
                    _ => None,
                };
                let mut outputs = Vec::new();
                ctx.chain_mut().handle_reply(now, chain_call, reply, &mut outputs);
                self.handle_chain_outputs(now, outputs);
            }
            Some(CallPurpose::Task(call)) => self.membership.handle_task_reply(ctx, now, call, reply),
            Some(CallPurpose::Notification) | None => {}
        }
    }

    fn handle_chain_outputs(&mut self, now: Duration, outputs: Vec<ChainOutput<Outcome>>) {
        for output in outputs {
            match output {
                ChainOutput::Call { call, to, message, within } => {
                    let request = match message {
                        ToSuccessor::Append(append) => CoordinatorRequest::Append(append),
                        ToSuccessor::Install(install) => CoordinatorRequest::Install(install),
                    };
                    self.context.call(to.address, request, within, CallPurpose::Chain(call));
                }
                ChainOutput::Reply { token, reply } => {
                    self.context.reply(token, CoordinatorReply::Append(reply))
                }
                ChainOutput::Applied { token, result } => self.on_applied(now, token, result),
                ChainOutput::Readable { token, result } => self.on_readable(now, token, result),
            }
        }
    }

    fn on_applied(&mut self, now: Duration, token: Token, result: Result<Outcome, ProposalError>) {
        match self.context.client.complete(token) {
            Some(PendingOperation::Operator { caller, pending }) => {
                self.operator_calls(now).on_applied(caller, &pending, result)
            }
            Some(PendingOperation::ReaderToken { view }) => {
                let token = match result {
                    Ok(Outcome::Token(token)) => Some(token),
                    _ => None,
                };
                self.server_list_reader.on_token(view, token);
            }
            Some(PendingOperation::Internal) => {
                if let Err(error) = result {
                    warn!(%error, "internal operation failed");
                }
            }
            None => {}
        }
    }

    fn on_readable(&mut self, now: Duration, token: Token, result: Result<(), ProposalError>) {
        if let Some(PendingOperation::Operator { caller, pending }) = self.context.client.complete(token) {
            self.operator_calls(now).on_readable(caller, pending, result);
        }
    }

    /// Supervises the stores and reads the server list while this process is the head with a valid lease.
    fn step_leader(&mut self, now: Duration) {
        let ctx = &mut self.context;
        if !ctx.is_leading(now) {
            self.stores.stop();
            self.server_list_reader.stop();
            return;
        }
        self.stores.start(now);
        if ctx.settings.reads_server_list {
            server_list::step(&mut self.server_list_reader, ctx, now);
        }
        self.stores.check_if_due(ctx, now);
    }
}

impl<S: Storage> Node for Coordinator<S> {
    type Input = Input;
    type Output = Output;

    fn handle(&mut self, time: Time, input: Input) -> Vec<Output> {
        let now = time.monotonic;
        self.last_input_at = now;
        self.handle_input(now, input);
        self.membership.step(&mut self.context, now);
        self.step_leader(now);
        while let Some(outputs) = self.context.client.advance(now) {
            self.handle_chain_outputs(now, outputs);
        }
        self.pulls.reply_to_ready(&mut self.context, now);
        std::mem::take(&mut self.context.outputs)
    }

    fn next_wake(&self) -> Duration {
        let server_list =
            if self.stores.is_active() { self.server_list_reader.next_wake() } else { Duration::MAX };
        self.context
            .chain()
            .next_wake()
            .min(self.membership.next_wake())
            .min(self.stores.next_wake())
            .min(server_list)
            .min(self.pulls.next_wake(self.last_input_at))
    }
}
