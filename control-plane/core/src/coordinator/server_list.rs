//! Reads of the platform's list of servers by the head, and the broadcast of the list along the chain.

use super::context::Context;
use super::io::Output;
use super::operations::PendingOperation;
use crate::server_list_reader::{ServerListReader, Step};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_control_state::Operation;
use marblecroft_protocol::servers::Server;
use marblecroft_rpc::encode;
use std::time::Duration;
use tracing::warn;

/// Performs the reader's next step. This process must be the head with a valid lease.
pub(super) fn step<S: Storage>(reader: &mut ServerListReader, ctx: &mut Context<S>, now: Duration) {
    let view = ctx.view().number;
    match reader.step(now, view) {
        Step::Wait => {}
        Step::RequestToken => {
            let purpose = PendingOperation::ReaderToken { view };
            ctx.propose_internal(now, Operation::IssueReaderToken, purpose);
        }
        Step::Read => ctx.outputs.push(Output::ReadServerList),
    }
}

/// Handles the result of a read, which is `None` if the read failed. Broadcasts a new list if this process is
/// still the head with a valid lease.
pub(super) fn on_list_read<S: Storage>(
    reader: &mut ServerListReader,
    ctx: &mut Context<S>,
    now: Duration,
    servers: Option<Vec<Server>>,
) {
    if servers.is_none() {
        warn!("server list could not be read");
    }
    let is_leading = ctx.is_leading(now);
    if let Some(list) = reader.on_list(servers).filter(|_| is_leading) {
        let broadcast = encode(list);
        ctx.chain_mut().set_broadcast(broadcast);
    }
}
