//! Transfer of another store's state, which a store needs before it joins the chain.

use super::context::Context;
use super::operations::CallPurpose;
use marblecroft_chain_replication::storage::Storage;
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Timeout of the transfer of a complete state.
const FETCH_TIMEOUT: Duration = Duration::from_secs(4);

/// The transfer in progress. There is at most one.
#[derive(Default)]
pub(super) struct StateTransfer {
    in_flight: bool,
}

impl StateTransfer {
    /// Fetches the state of the store at `source`, unless a transfer is in flight.
    pub(super) fn start<S: Storage>(&mut self, ctx: &mut Context<S>, source: SocketAddr) {
        if !self.in_flight {
            self.in_flight = true;
            ctx.call_store(source, StoreRequest::Fetch, FETCH_TIMEOUT, CallPurpose::Fetch { source });
        }
    }

    /// Installs the fetched state as a learner.
    pub(super) fn handle_reply<S: Storage>(
        &mut self,
        ctx: &mut Context<S>,
        source: SocketAddr,
        reply: Option<StoreReply>,
    ) {
        self.in_flight = false;
        let Some(StoreReply::State(state)) = reply else {
            warn!(%source, "state transfer failed");
            return;
        };
        info!(%source, bytes = state.machine.0.len(), "state fetched");
        if let Err(error) = ctx.chain_mut().with_replica(|replica| replica.install_as_learner(&state)) {
            warn!(%source, %error, "fetched state could not be stored");
        }
    }
}
