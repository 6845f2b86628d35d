//! The operator's API: what a call asks for, and what is answered.
//!
//! Every answer that depends on the state, refusals included, is given by the head after a round that began later than the
//! call. Where there is no such round the answer is 503, or 504 where the order may have been carried out.

use crate::coordinator::Coordinator;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{ProposalError, Token};
use marblecroft_configuration::{Configuration, ConfigurationError, Update};
use marblecroft_control_state::{Operation, Output};
use marblecroft_rpc::http::Reply;
use marblecroft_rpc::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::info;

/// The operator gives up a call after a second; a change that takes longer is found again when it is sent again.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2500);
const READ_TIMEOUT: Duration = Duration::from_millis(900);

const REPLACE_PATH: &str = "/-/Config.Replace";
const UPDATE_PATH: &str = "/-/Config.Update";
const READ_PATH: &str = "/-/Config.Read";
const RETIRE_START_PREFIX: &str = "/-/Retire.Start/";
const RETIRE_READ_PREFIX: &str = "/-/Retire.Read/";

/// The methods that the API knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Get,
    Post,
    Other,
}

/// A call as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub method: Method,
    /// Path and query.
    pub url: String,
    /// The value of `X-Base-Version`.
    pub base: Option<String>,
    pub body: Vec<u8>,
}

/// A call that waits for the chain.
#[derive(Debug)]
pub(crate) enum PendingCall {
    /// A whole configuration, or a change of named items.
    Change {
        generation: u64,
    },
    Read,
    /// Whether a machine may be emptied is read first.
    CheckRetirement {
        node: String,
    },
    Retire,
    ReadRetirement {
        node: String,
    },
}

/// Where a call came from, for its answer.
#[derive(Debug)]
pub(crate) struct Caller {
    pub token: Token,
    pub url: String,
}

fn unavailable(why: &str) -> Reply {
    Reply::text(503, why)
}

fn unknown_outcome() -> Reply {
    Reply::text(504, "the outcome is not known; send it again")
}

/// The generation of a whole configuration, and the order to put it in force.
fn parse_replace(base: u64, body: Vec<u8>) -> Result<(u64, Operation), ConfigurationError> {
    let generation = Configuration::parse(&body)?.generation;
    Ok((generation, Operation::ReplaceConfiguration { base, generation, body: Bytes(body) }))
}

/// The generation of a change of named items, and the order to make it.
fn parse_update(base: u64, body: Vec<u8>) -> Result<(u64, Operation), ConfigurationError> {
    let generation = Update::parse(&body)?.generation;
    Ok((generation, Operation::UpdateConfiguration { base, generation, change: Bytes(body) }))
}

impl<S: Storage> Coordinator<S> {
    /// Begins a call; the answer, where it needs no state.
    pub(crate) fn handle_operator_call(&mut self, now: Duration, token: Token, call: Call) -> Option<Reply> {
        let path = call.url.split('?').next().unwrap_or_default().to_owned();
        let known = [REPLACE_PATH, UPDATE_PATH, READ_PATH].contains(&path.as_str())
            || [RETIRE_START_PREFIX, RETIRE_READ_PREFIX].iter().any(|prefix| path.starts_with(prefix));
        if !known {
            return Some(Reply::text(404, "no such call"));
        }
        if !self.chain().is_head() {
            return Some(self.redirect(now, &call.url));
        }
        let caller = Caller { token, url: call.url.clone() };
        let pending = if let Some(node) = path.strip_prefix(RETIRE_START_PREFIX) {
            (call.method == Method::Post).then(|| PendingCall::CheckRetirement { node: node.to_owned() })
        } else if let Some(node) = path.strip_prefix(RETIRE_READ_PREFIX) {
            Some(PendingCall::ReadRetirement { node: node.to_owned() })
        } else if [REPLACE_PATH, UPDATE_PATH].contains(&path.as_str()) && call.method == Method::Post {
            return self.handle_change_call(now, caller, call, path == UPDATE_PATH);
        } else {
            (path == READ_PATH && call.method == Method::Get).then_some(PendingCall::Read)
        };
        let Some(pending) = pending else { return Some(Reply::text(405, "not with this method")) };
        self.read_for_operator(now + READ_TIMEOUT, caller, pending);
        None
    }

    fn handle_change_call(
        &mut self,
        now: Duration,
        caller: Caller,
        call: Call,
        is_update: bool,
    ) -> Option<Reply> {
        let base = match call.base.map(|value| value.trim().parse::<u64>()) {
            Some(Ok(base)) => base,
            Some(Err(_)) => return Some(Reply::text(400, "X-Base-Version: expected a whole number")),
            None => return Some(Reply::text(400, "X-Base-Version is missing")),
        };
        let read = if is_update { parse_update } else { parse_replace };
        match read(base, call.body) {
            Ok((generation, operation)) => {
                let pending = PendingCall::Change { generation };
                self.propose_for_operator(now + CHANGE_TIMEOUT, caller, pending, operation);
                None
            }
            Err(e) => {
                info!("a configuration was refused: {e}");
                Some(Reply::text(400, &e.to_string()))
            }
        }
    }

    /// Sends the caller to the head, where this process knows who that is: a member by its lease, another one because it has
    /// asked a moment ago. Whoever is named answers only what it can prove.
    fn redirect(&self, now: Duration, url: &str) -> Reply {
        let knows_head = self.has_valid_lease(now) || self.membership.has_recent_view(now);
        match (self.chain().head_address(), self.settings().operator_port) {
            (Some(head), Some(port)) if knows_head && head != self.settings().address => {
                let to = SocketAddr::new(head.ip(), port);
                Reply::status(307).with_header("Location", format!("http://{to}{url}"))
            }
            _ => unavailable("no head is known at the moment"),
        }
    }

    pub(crate) fn rejection_reply(&self, now: Duration, caller: &Caller, refused: &ProposalError) -> Reply {
        match refused {
            ProposalError::NotHead(_) => self.redirect(now, &caller.url),
            ProposalError::NotEnoughReplicas => unavailable("too few coordinators are in touch"),
            ProposalError::OutcomeUnknown => unknown_outcome(),
        }
    }

    /// The answer to a call whose operation was carried out.
    pub(crate) fn applied_reply(&self, pending: &PendingCall, output: &Output) -> Reply {
        match (pending, output) {
            (PendingCall::Change { generation }, Output::Accepted) => {
                info!("configuration {generation} is in force");
                Reply::status(200)
            }
            (PendingCall::Change { .. }, Output::Conflict(current)) => {
                Reply::text(412, &format!("version {current} is current"))
            }
            (PendingCall::Change { generation }, Output::GenerationTooLow(current)) => {
                Reply::text(400, &format!("generation {generation} is not higher than {current}"))
            }
            (PendingCall::Change { .. }, Output::GenerationForgotten) => unknown_outcome(),
            (PendingCall::Change { .. }, Output::Invalid(why)) => {
                info!("a change was refused: {why}");
                Reply::text(400, why)
            }
            (PendingCall::Retire, Output::Applied) => Reply::status(200),
            _ => Reply::status(500),
        }
    }

    /// The answer to a call once the state may be read; `None` where it goes on.
    pub(crate) fn on_operator_readable(
        &mut self,
        now: Duration,
        caller: Caller,
        pending: PendingCall,
    ) -> Option<(Token, Reply)> {
        let reply = match pending {
            PendingCall::Read => self.configuration_reply(),
            PendingCall::ReadRetirement { node } => self.retirement_reply(now, &node),
            PendingCall::CheckRetirement { node } => match self.retirement_rejection(now, &node) {
                Some(reply) => reply,
                None => {
                    let operation = Operation::RetireStore { node };
                    self.propose_for_operator(now + CHANGE_TIMEOUT, caller, PendingCall::Retire, operation);
                    return None;
                }
            },
            PendingCall::Change { .. } | PendingCall::Retire => Reply::status(500),
        };
        Some((caller.token, reply))
    }

    fn configuration_reply(&self) -> Reply {
        match self.chain().replica().machine().body() {
            Some(body) => {
                Reply::bytes(200, body.to_vec()).with_header("Content-Type", "application/json".to_owned())
            }
            None => unavailable("there is no configuration yet"),
        }
    }

    /// The answer to an order to empty a machine, where it is not to be carried out.
    fn retirement_rejection(&self, now: Duration, node: &str) -> Option<Reply> {
        let control = self.chain().replica().machine();
        if control.is_retired(node) {
            return Some(Reply::status(200));
        }
        let known = control.is_registered_store(node)
            || self.store_views().live_node_names(now).any(|other| other == node);
        let retired = |other: &str| other == node || control.is_retired(other);
        let remain = self.store_views().usable_stores(now, retired) > self.settings().tolerated_machines;
        if known && remain {
            return None;
        }
        // A head that has just begun has not heard from all stores yet.
        if !self.has_heard_all_stores(now) {
            return Some(unavailable("the stores have not all been heard from"));
        }
        Some(if known {
            Reply::text(409, "too few stores would remain")
        } else {
            Reply::text(404, "no store machine of this name is known")
        })
    }

    fn retirement_reply(&self, now: Duration, node: &str) -> Reply {
        let control = self.chain().replica().machine();
        if !control.is_retired(node) {
            return Reply::text(404, "this machine is not being emptied");
        }
        let view = control.store_view();
        let gone = view.members.iter().all(|member| member.node_name != node);
        let enough = view.members.len() > self.settings().tolerated_machines;
        let completed = gone
            && enough
            && self.has_heard_all_stores(now)
            && self.store_views().is_fully_replicated(now, view);
        let state = if completed { "completed" } else { "in_progress" };
        Reply::json(200, format!("{{\"state\":\"{state}\"}}"))
    }
}
