//! Messages between members of a chain, as calls.

use marblecroft_chain::{Append, AppendReply, Install, Member, Transport};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_wire::Caller;
use std::net::SocketAddr;
use std::time::Duration;

/// Calls to other coordinators.
#[derive(Clone, Default)]
pub struct CoordinatorTransport {
    pub caller: Caller,
}

impl CoordinatorTransport {
    /// A call whose failure means only that there is no answer.
    pub fn ask(
        &self,
        to: SocketAddr,
        request: &CoordinatorRequest,
        within: Duration,
    ) -> Option<CoordinatorReply> {
        self.caller.call(to, request, within).ok()
    }
}

impl Transport for CoordinatorTransport {
    fn append(&self, to: &Member, message: &Append, within: Duration) -> Option<AppendReply> {
        match self.ask(to.address, &CoordinatorRequest::Append(message.clone()), within)? {
            CoordinatorReply::Append(reply) => Some(reply),
            _ => None,
        }
    }

    fn install(&self, to: &Member, message: &Install, within: Duration) -> Option<AppendReply> {
        match self.ask(to.address, &CoordinatorRequest::Install(message.clone()), within)? {
            CoordinatorReply::Append(reply) => Some(reply),
            _ => None,
        }
    }
}

/// Calls to other stores.
#[derive(Clone, Default)]
pub struct StoreTransport {
    caller: Caller,
}

impl StoreTransport {
    fn ask(&self, to: &Member, request: &StoreRequest, within: Duration) -> Option<AppendReply> {
        match self.caller.call(to.address, request, within).ok()? {
            StoreReply::Append(reply) => Some(reply),
            _ => None,
        }
    }
}

impl Transport for StoreTransport {
    fn append(&self, to: &Member, message: &Append, within: Duration) -> Option<AppendReply> {
        self.ask(to, &StoreRequest::Append(message.clone()), within)
    }

    fn install(&self, to: &Member, message: &Install, within: Duration) -> Option<AppendReply> {
        self.ask(to, &StoreRequest::Install(message.clone()), within)
    }
}
