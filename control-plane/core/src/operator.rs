//! The operator's API: what a call asks for, and what is answered.
//!
//! Every answer that depends on the state, refusals included, is given by the head after a round that began later than the
//! call. Where there is no such round the answer is 503, or 504 where the order may have been carried out.

use crate::coordinator::Coordinator;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{Refused, Token};
use marblecroft_configuration::{Configuration, Invalid, Update};
use marblecroft_control_state::{Operation, Output};
use marblecroft_rpc::http::Reply;
use marblecroft_rpc::Bytes;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::info;

/// The operator gives up a call after a second; a change that takes longer is found again when it is sent again.
const CHANGE_TIME: Duration = Duration::from_millis(2500);
const READ_TIME: Duration = Duration::from_millis(900);

const REPLACE: &str = "/-/Config.Replace";
const UPDATE: &str = "/-/Config.Update";
const READ: &str = "/-/Config.Read";
const RETIRE_START: &str = "/-/Retire.Start/";
const RETIRE_READ: &str = "/-/Retire.Read/";

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
pub(crate) enum Pending {
    /// A whole configuration, or a change of named items.
    Change {
        generation: u64,
    },
    Read,
    /// Whether a machine may be emptied is read first.
    RetireRead {
        node: String,
    },
    Retire,
    Retired {
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
fn read_replace(base: u64, body: Vec<u8>) -> Result<(u64, Operation), Invalid> {
    let generation = Configuration::parse(&body)?.generation;
    Ok((generation, Operation::Replace { base, generation, body: Bytes(body) }))
}

/// The generation of a change of named items, and the order to make it.
fn read_update(base: u64, body: Vec<u8>) -> Result<(u64, Operation), Invalid> {
    let generation = Update::parse(&body)?.generation;
    Ok((generation, Operation::Update { base, generation, change: Bytes(body) }))
}

impl<S: Storage> Coordinator<S> {
    /// Begins a call; the answer, where it needs no state.
    pub(crate) fn begin_operator_call(&mut self, now: Duration, token: Token, call: Call) -> Option<Reply> {
        let path = call.url.split('?').next().unwrap_or_default().to_owned();
        let known = [REPLACE, UPDATE, READ].contains(&path.as_str())
            || [RETIRE_START, RETIRE_READ].iter().any(|prefix| path.starts_with(prefix));
        if !known {
            return Some(Reply::text(404, "no such call"));
        }
        if !self.chain().is_head() {
            return Some(self.redirect(now, &call.url));
        }
        let caller = Caller { token, url: call.url.clone() };
        let pending = if let Some(node) = path.strip_prefix(RETIRE_START) {
            (call.method == Method::Post).then(|| Pending::RetireRead { node: node.to_owned() })
        } else if let Some(node) = path.strip_prefix(RETIRE_READ) {
            Some(Pending::Retired { node: node.to_owned() })
        } else if [REPLACE, UPDATE].contains(&path.as_str()) && call.method == Method::Post {
            return self.begin_change(now, caller, call, path == UPDATE);
        } else {
            (path == READ && call.method == Method::Get).then_some(Pending::Read)
        };
        let Some(pending) = pending else { return Some(Reply::text(405, "not with this method")) };
        self.read_for_operator(now + READ_TIME, caller, pending);
        None
    }

    fn begin_change(&mut self, now: Duration, caller: Caller, call: Call, is_update: bool) -> Option<Reply> {
        let base = match call.base.map(|value| value.trim().parse::<u64>()) {
            Some(Ok(base)) => base,
            Some(Err(_)) => return Some(Reply::text(400, "X-Base-Version: expected a whole number")),
            None => return Some(Reply::text(400, "X-Base-Version is missing")),
        };
        let read = if is_update { read_update } else { read_replace };
        match read(base, call.body) {
            Ok((generation, operation)) => {
                let pending = Pending::Change { generation };
                self.submit_for_operator(now + CHANGE_TIME, caller, pending, operation);
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
        let knows_head = self.is_fresh(now) || self.membership.has_asked_lately(now);
        match (self.chain().head_address(), self.settings().operator_port) {
            (Some(head), Some(port)) if knows_head && head != self.settings().address => {
                let to = SocketAddr::new(head.ip(), port);
                Reply::status(307).with("Location", format!("http://{to}{url}"))
            }
            _ => unavailable("no head is known at the moment"),
        }
    }

    pub(crate) fn refuse_operator(&self, now: Duration, caller: &Caller, refused: &Refused) -> Reply {
        match refused {
            Refused::NotHead(_) => self.redirect(now, &caller.url),
            Refused::TooFew => unavailable("too few coordinators are in touch"),
            Refused::Unknown => unknown_outcome(),
        }
    }

    /// The answer to a call whose operation was carried out.
    pub(crate) fn operator_finished(&self, pending: &Pending, output: &Output) -> Reply {
        match (pending, output) {
            (Pending::Change { generation }, Output::Taken) => {
                info!("configuration {generation} is in force");
                Reply::status(200)
            }
            (Pending::Change { .. }, Output::Conflict(current)) => {
                Reply::text(412, &format!("version {current} is current"))
            }
            (Pending::Change { generation }, Output::NotHigher(current)) => {
                Reply::text(400, &format!("generation {generation} is not higher than {current}"))
            }
            (Pending::Change { .. }, Output::Forgotten) => unknown_outcome(),
            (Pending::Change { .. }, Output::Invalid(why)) => {
                info!("a change was refused: {why}");
                Reply::text(400, why)
            }
            (Pending::Retire, Output::Done) => Reply::status(200),
            _ => Reply::status(500),
        }
    }

    /// The answer to a call once the state may be read; `None` where it goes on.
    pub(crate) fn operator_readable(
        &mut self,
        now: Duration,
        caller: Caller,
        pending: Pending,
    ) -> Option<(Token, Reply)> {
        let reply = match pending {
            Pending::Read => self.read_configuration(),
            Pending::Retired { node } => self.retirement(now, &node),
            Pending::RetireRead { node } => match self.may_retire(now, &node) {
                Some(reply) => reply,
                None => {
                    let operation = Operation::Retire { node };
                    self.submit_for_operator(now + CHANGE_TIME, caller, Pending::Retire, operation);
                    return None;
                }
            },
            Pending::Change { .. } | Pending::Retire => Reply::status(500),
        };
        Some((caller.token, reply))
    }

    fn read_configuration(&self) -> Reply {
        match self.chain().replica().machine().body() {
            Some(body) => {
                Reply::bytes(200, body.to_vec()).with("Content-Type", "application/json".to_owned())
            }
            None => unavailable("there is no configuration yet"),
        }
    }

    /// The answer to an order to empty a machine, where it is not to be carried out.
    fn may_retire(&self, now: Duration, node: &str) -> Option<Reply> {
        let control = self.chain().replica().machine();
        if control.is_retired(node) {
            return Some(Reply::status(200));
        }
        let known = control.knows_store(node) || self.store_views().nodes(now).any(|other| other == node);
        let retired = |other: &str| other == node || control.is_retired(other);
        let remain = self.store_views().usable(now, retired) > self.settings().tolerated_machines;
        if known && remain {
            return None;
        }
        // A head that has just begun has not heard from all stores yet.
        if !self.knows_stores(now) {
            return Some(unavailable("the stores have not all been heard from"));
        }
        Some(if known {
            Reply::text(409, "too few stores would remain")
        } else {
            Reply::text(404, "no store machine of this name is known")
        })
    }

    fn retirement(&self, now: Duration, node: &str) -> Reply {
        let control = self.chain().replica().machine();
        if !control.is_retired(node) {
            return Reply::text(404, "this machine is not being emptied");
        }
        let view = control.store_view();
        let gone = view.members.iter().all(|member| member.node != node);
        let enough = view.members.len() > self.settings().tolerated_machines;
        let completed = gone && enough && self.knows_stores(now) && self.store_views().is_whole(now, view);
        let state = if completed { "completed" } else { "in_progress" };
        Reply::json(200, format!("{{\"state\":\"{state}\"}}"))
    }
}
