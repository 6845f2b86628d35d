//! A running coordinator or store: its inbox, its clock, and the conversion of inputs to those of the real node.

use super::message::{Origin, Request, Response};
use crate::disk::Disk;
use marblecroft_chain_replication::Token;
use marblecroft_control_plane_core::coordinator::{self, Coordinator};
use marblecroft_control_plane_core::store::{self, Store};
use marblecroft_control_plane_core::{Node, Time};
use marblecroft_protocol::servers::Server;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub(super) enum Process {
    Coordinator(Box<Coordinator<Disk>>),
    Store(Box<Store<Disk>>),
}

pub(super) enum Input {
    Request { origin: Origin, request: Request },
    Response { call: u64, response: Option<Response> },
    ServerList(Option<Vec<Server>>),
    Terminate,
    Wake,
}

pub(super) enum Output {
    Coordinator(coordinator::Output),
    Store(store::Output),
}

pub(super) struct RunningProcess {
    pub(super) process: Process,
    pub(super) incarnation: u64,
    pub(super) started_at: Duration,
    /// Speed of its monotonic clock against virtual time.
    pub(super) clock_rate: f64,
    pub(super) busy_until: Duration,
    pub(super) wake_at: Option<Duration>,
    pub(super) inbox: VecDeque<Input>,
    pub(super) origins: BTreeMap<Token, Origin>,
    pub(super) last_token: Token,
    /// Consecutive inputs after which it asked to be woken at once.
    pub(super) immediate_wakes: u32,
}

impl RunningProcess {
    pub(super) fn handle(&mut self, time: Time, input: Input) -> (Vec<Output>, Duration) {
        let mut token_of = |origin| {
            self.last_token += 1;
            self.origins.insert(self.last_token, origin);
            self.last_token
        };
        match &mut self.process {
            Process::Coordinator(node) => {
                use coordinator::Input as In;
                let input = match input {
                    Input::Request { origin, request: Request::Coordinator(request) } => {
                        In::Request { token: token_of(origin), request }
                    }
                    Input::Request { origin, request: Request::Operator(call) } => {
                        In::Operator { token: token_of(origin), call }
                    }
                    Input::Response { call, response } => {
                        let reply = match response {
                            Some(Response::Coordinator(reply)) => Some(reply),
                            _ => None,
                        };
                        In::Reply { call, reply }
                    }
                    Input::ServerList(servers) => In::ServerList(servers),
                    Input::Terminate => In::Terminate,
                    Input::Wake | Input::Request { .. } => In::Wake,
                };
                let outputs = node.handle(time, input).into_iter().map(Output::Coordinator).collect();
                (outputs, node.next_wake())
            }
            Process::Store(node) => {
                use store::Input as In;
                let input = match input {
                    Input::Request { origin, request: Request::Store(request) } => {
                        In::Request { token: token_of(origin), request }
                    }
                    Input::Response { call, response } => match response {
                        Some(Response::Store(reply)) => In::StoreReply { call, reply: Some(reply) },
                        Some(Response::Coordinator(reply)) => {
                            In::CoordinatorReply { call, reply: Some(reply) }
                        }
                        Some(Response::Operator(_)) => In::Wake,
                        None => node.timeout_input(call),
                    },
                    Input::Terminate => In::Terminate,
                    Input::Wake | Input::ServerList(_) | Input::Request { .. } => In::Wake,
                };
                let outputs = node.handle(time, input).into_iter().map(Output::Store).collect();
                (outputs, node.next_wake())
            }
        }
    }
}
