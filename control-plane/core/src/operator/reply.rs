//! Replies to the operator's calls that do not depend on which process sends them.

use super::PendingCall;
use marblecroft_control_state::Output;
use marblecroft_rpc::http::Reply;
use tracing::info;

/// Returns the reply to a call that cannot be carried out at the moment and has changed nothing.
pub(crate) fn unavailable(reason: &str) -> Reply {
    Reply::text(503, reason)
}

/// Returns the reply to a call whose operation may have been carried out. Calls are idempotent, so the
/// operator can send it again.
pub(crate) fn unknown_outcome() -> Reply {
    Reply::text(504, "the outcome is not known; send it again")
}

/// Returns the reply to a call whose operation was applied with this output.
pub(crate) fn applied(pending: &PendingCall, output: &Output) -> Reply {
    match (pending, output) {
        (PendingCall::Change { generation }, Output::Accepted) => {
            info!(generation, "configuration in force");
            Reply::status(200)
        }
        (PendingCall::Change { .. }, Output::Conflict(current)) => {
            Reply::text(412, &format!("version {current} is current"))
        }
        (PendingCall::Change { generation }, Output::GenerationTooLow(current)) => {
            Reply::text(400, &format!("generation {generation} is not higher than {current}"))
        }
        (PendingCall::Change { .. }, Output::GenerationPruned) => unknown_outcome(),
        (PendingCall::Change { .. }, Output::Invalid(reason)) => {
            info!(%reason, "configuration change rejected");
            Reply::text(400, reason)
        }
        (PendingCall::Retire, Output::Applied) => Reply::status(200),
        _ => Reply::status(500),
    }
}
