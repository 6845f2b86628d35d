//! Carries out the operator's calls. [`crate::operator`] describes the steps.

use super::context::Context;
use super::membership::Membership;
use super::operations::PendingOperation;
use super::store_supervision::StoreSupervision;
use crate::operator::reply::{unavailable, unknown_outcome};
use crate::operator::request::{Endpoint, Request, RequestError};
use crate::operator::{reply, Call, Caller, PendingCall};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{ProposalError, Token};
use marblecroft_control_state::{Operation, Output as Outcome};
use marblecroft_rpc::http::Reply;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::info;

/// Timeout of a change. The operator abandons a call after 1 s. A change that takes longer can still be
/// applied; it is then acknowledged when the operator sends it again.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of a read. Shorter than the 1 s after which the operator abandons a call, so that it receives the
/// 503.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// The parts of a coordinator that the operator's calls use.
pub(super) struct OperatorCalls<'a, S> {
    pub(super) ctx: &'a mut Context<S>,
    pub(super) membership: &'a Membership,
    pub(super) stores: &'a StoreSupervision,
    pub(super) now: Duration,
}

impl<S: Storage> OperatorCalls<'_, S> {
    /// Replies to a call at once if the reply does not depend on the state; otherwise submits the call to the
    /// chain.
    pub(super) fn handle(&mut self, token: Token, call: Call) {
        if let Err(reply) = self.submit(token, call) {
            self.ctx.reply_to_operator(token, reply);
        }
    }

    fn submit(&mut self, token: Token, call: Call) -> Result<(), Reply> {
        let endpoint = Endpoint::parse(&call.url).map_err(|error| error.reply())?;
        if !self.ctx.chain().is_head() {
            return Err(self.redirect(&call.url));
        }
        let caller = Caller { token, url: call.url.clone() };
        let request = Request::parse(endpoint, call).map_err(|error| {
            if let RequestError::InvalidConfiguration(error) = &error {
                info!(%error, "configuration rejected");
            }
            error.reply()
        })?;
        let pending = match request {
            Request::Change { generation, operation } => {
                self.propose(caller, PendingCall::Change { generation }, operation);
                return Ok(());
            }
            Request::ReadConfiguration => PendingCall::Read,
            Request::StartRetirement { node } => PendingCall::CheckRetirement { node },
            Request::ReadRetirement { node } => PendingCall::ReadRetirement { node },
        };
        let purpose = PendingOperation::Operator { caller, pending };
        self.ctx.client.read_index(purpose, self.now + READ_TIMEOUT);
        Ok(())
    }

    fn propose(&mut self, caller: Caller, pending: PendingCall, operation: Operation) {
        let purpose = PendingOperation::Operator { caller, pending };
        self.ctx.client.propose(operation, purpose, self.now + CHANGE_TIMEOUT);
    }

    /// Returns a redirect to the head if this process knows the head: a member by its lease, another process
    /// by a recent query of the view. A redirect to a former head is harmless, because that process replies
    /// from its state only after a round of the chain has confirmed that the state is the newest.
    fn redirect(&self, url: &str) -> Reply {
        let is_head_known = self.ctx.has_valid_lease(self.now) || self.membership.has_recent_view(self.now);
        match (self.ctx.chain().head_address(), self.ctx.settings.operator_port) {
            (Some(head), Some(port)) if is_head_known && head != self.ctx.settings.address => {
                let to = SocketAddr::new(head.ip(), port);
                Reply::status(307).with_header("Location", format!("http://{to}{url}"))
            }
            _ => unavailable("no head is known at the moment"),
        }
    }

    /// Replies to a call after the chain has applied or rejected its operation.
    pub(super) fn on_applied(
        &mut self,
        caller: Caller,
        pending: &PendingCall,
        result: Result<Outcome, ProposalError>,
    ) {
        let reply = match result {
            Ok(output) => reply::applied(pending, &output),
            Err(error) => self.rejection_reply(&caller, &error),
        };
        self.ctx.reply_to_operator(caller.token, reply);
    }

    /// Continues a call after the chain has confirmed or rejected its read.
    pub(super) fn on_readable(
        &mut self,
        caller: Caller,
        pending: PendingCall,
        result: Result<(), ProposalError>,
    ) {
        let reply = match (result, pending) {
            // Nothing was proposed yet, so the state is certainly unchanged and the status is not 504.
            (Err(ProposalError::OutcomeUnknown), _) => {
                Reply::text(503, "the newest state could not be confirmed")
            }
            (Err(error), _) => self.rejection_reply(&caller, &error),
            (Ok(()), PendingCall::Read) => self.configuration_reply(),
            (Ok(()), PendingCall::ReadRetirement { node }) => self.retirement_reply(&node),
            (Ok(()), PendingCall::CheckRetirement { node }) => match self.retirement_rejection(&node) {
                Some(reply) => reply,
                None => {
                    self.propose(caller, PendingCall::Retire, Operation::RetireStore { node });
                    return;
                }
            },
            // These calls wait for an operation, never for a read.
            (Ok(()), PendingCall::Change { .. } | PendingCall::Retire) => Reply::status(500),
        };
        self.ctx.reply_to_operator(caller.token, reply);
    }

    fn rejection_reply(&self, caller: &Caller, error: &ProposalError) -> Reply {
        match error {
            ProposalError::NotHead(_) => self.redirect(&caller.url),
            ProposalError::NotEnoughReplicas => unavailable("too few coordinators are in touch"),
            ProposalError::OutcomeUnknown => unknown_outcome(),
        }
    }

    fn configuration_reply(&self) -> Reply {
        match self.ctx.chain().replica().machine().body() {
            Some(body) => {
                Reply::bytes(200, body.to_vec()).with_header("Content-Type", "application/json".to_owned())
            }
            None => unavailable("there is no configuration yet"),
        }
    }

    /// Returns the reply to a retirement that is rejected, or whose machine is retired already. Returns `None`
    /// if the retirement must be proposed.
    fn retirement_rejection(&self, node: &str) -> Option<Reply> {
        let control = self.ctx.chain().replica().machine();
        if control.is_retired(node) {
            return Some(Reply::status(200));
        }
        let views = self.stores.views();
        let is_known =
            control.is_registered_store(node) || views.live_node_names(self.now).any(|other| other == node);
        let is_retired = |other: &str| other == node || control.is_retired(other);
        let leaves_enough_stores =
            views.usable_stores(self.now, is_retired) > self.ctx.settings.tolerated_machines;
        if is_known && leaves_enough_stores {
            return None;
        }
        // A new head may not have received a report from every store yet.
        if !self.stores.has_discovered_all_stores(self.now) {
            return Some(unavailable("the stores have not all been heard from"));
        }
        Some(if is_known {
            Reply::text(409, "too few stores would remain")
        } else {
            Reply::text(404, "no store machine of this name is known")
        })
    }

    fn retirement_reply(&self, node: &str) -> Reply {
        let control = self.ctx.chain().replica().machine();
        if !control.is_retired(node) {
            return Reply::text(404, "this machine is not being emptied");
        }
        let view = control.store_view();
        let is_excluded = view.members.iter().all(|member| member.node_name != node);
        let has_enough_members = view.members.len() > self.ctx.settings.tolerated_machines;
        let is_completed = is_excluded
            && has_enough_members
            && self.stores.has_discovered_all_stores(self.now)
            && self.stores.views().is_fully_replicated(self.now, view);
        let state = if is_completed { "completed" } else { "in_progress" };
        Reply::json(200, format!("{{\"state\":\"{state}\"}}"))
    }
}
