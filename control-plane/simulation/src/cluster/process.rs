//! A running coordinator or store: its inbox, its clock, and the conversion of inputs to those of the node.

use super::message::{Origin, Request, Response};
use crate::disk::Disk;
use marblecroft_chain_replication::Token;
use marblecroft_control_plane_core::coordinator::{self, Coordinator};
use marblecroft_control_plane_core::store::{self, Store};
use marblecroft_control_plane_core::{Node, Time};
use marblecroft_protocol::servers::Server;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A node of either role.
pub(super) enum Process {
    Coordinator(Box<Coordinator<Disk>>),
    Store(Box<Store<Disk>>),
}

/// An input in the inbox of a process.
pub(super) enum Input {
    Request { origin: Origin, request: Request },
    Response { call: u64, response: Option<Response> },
    ServerList(Option<Vec<Server>>),
    Terminate,
    Wake,
}

/// An output of a node of either role.
pub(super) enum Output {
    Coordinator(coordinator::Output),
    Store(store::Output),
}

/// A running process, with its queued inputs and the requests that it has not replied to.
pub(super) struct RunningProcess {
    pub(super) process: Process,
    pub(super) incarnation: u64,
    pub(super) started_at: Duration,
    /// Speed of its monotonic clock relative to virtual time.
    pub(super) clock_rate: f64,
    /// Instant at which the writes of its last input are synced.
    pub(super) busy_until: Duration,
    /// Instant at which its timer fires.
    pub(super) wake_at: Option<Duration>,
    pub(super) inbox: VecDeque<Input>,
    /// Origins of the requests that it has not replied to, by token.
    pub(super) origins: BTreeMap<Token, Origin>,
    pub(super) last_token: Token,
    /// Number of consecutive inputs after which it requested an immediate wake-up.
    pub(super) immediate_wakes: u32,
}

/// A next wake-up at this node time or later means that no wake-up is needed.
const NO_WAKE: Duration = Duration::from_secs(1 << 30);
/// Delay by which every timer fires late.
const TIMER_LATENESS: Duration = Duration::from_micros(50);

impl RunningProcess {
    /// Sets the timer to a time of the process's monotonic clock. Returns its instant if a new event must be
    /// scheduled for it.
    pub(super) fn reset_timer(&mut self, now: Duration, next_wake: Duration) -> Option<Duration> {
        if next_wake >= NO_WAKE {
            return None;
        }
        let wake_at = self.started_at + next_wake.div_f64(self.clock_rate) + TIMER_LATENESS;
        let wake_at = wake_at.max(self.busy_until);
        let is_needed = self.wake_at.is_none_or(|at| wake_at < at || at < now);
        is_needed.then(|| *self.wake_at.insert(wake_at))
    }

    /// Handles an input at a time of the process's clocks. Returns the outputs and the monotonic time of the
    /// next wake-up.
    pub(super) fn handle(&mut self, time: Time, input: Input) -> (Vec<Output>, Duration) {
        let mut token_of = |origin| {
            self.last_token += 1;
            self.origins.insert(self.last_token, origin);
            self.last_token
        };
        match &mut self.process {
            Process::Coordinator(node) => {
                let input = coordinator_input(input, &mut token_of);
                let outputs = node.handle(time, input).into_iter().map(Output::Coordinator).collect();
                (outputs, node.next_wake())
            }
            Process::Store(node) => {
                let input = store_input(node, input, &mut token_of);
                let outputs = node.handle(time, input).into_iter().map(Output::Store).collect();
                (outputs, node.next_wake())
            }
        }
    }
}

/// Converts an input to one of a coordinator. An input that coordinators don't handle becomes a wake-up.
fn coordinator_input(input: Input, token_of: &mut impl FnMut(Origin) -> Token) -> coordinator::Input {
    match input {
        Input::Request { origin, request: Request::Coordinator(request) } => {
            coordinator::Input::Request { token: token_of(origin), request }
        }
        Input::Request { origin, request: Request::Operator(call) } => {
            coordinator::Input::Operator { token: token_of(origin), call }
        }
        Input::Response { call, response } => {
            let reply = match response {
                Some(Response::Coordinator(reply)) => Some(reply),
                _ => None,
            };
            coordinator::Input::Reply { call, reply }
        }
        Input::ServerList(servers) => coordinator::Input::ServerList(servers),
        Input::Terminate => coordinator::Input::Terminate,
        Input::Wake | Input::Request { .. } => coordinator::Input::Wake,
    }
}

/// Converts an input to one of a store. An input that stores don't handle becomes a wake-up.
fn store_input(node: &Store<Disk>, input: Input, token_of: &mut impl FnMut(Origin) -> Token) -> store::Input {
    match input {
        Input::Request { origin, request: Request::Store(request) } => {
            store::Input::Request { token: token_of(origin), request }
        }
        Input::Response { call, response } => match response {
            Some(Response::Store(reply)) => store::Input::StoreReply { call, reply: Some(reply) },
            Some(Response::Coordinator(reply)) => store::Input::CoordinatorReply { call, reply: Some(reply) },
            Some(Response::Operator(_)) => store::Input::Wake,
            None => node.timeout_input(call),
        },
        Input::Terminate => store::Input::Terminate,
        Input::Wake | Input::ServerList(_) | Input::Request { .. } => store::Input::Wake,
    }
}
