//! The control plane's replicated state: the configuration in force, the submissions that were accepted, the
//! view of the stores' chain, and the store machines that are registered or retired.
//!
//! Each coordinator applies the same [`Operation`]s in the same order to its replica of [`ControlState`]:
//! `operation` defines the operations and their outputs, `state` the state and its queries, and `acceptance`
//! the rules by which a configuration is accepted. This module combines them into a [`StateMachine`].
//!
//! A complete configuration is validated before [`Operation::ReplaceConfiguration`] is proposed, and not in
//! this crate. The result of an [`Operation::UpdateConfiguration`] depends on the configuration in force, so
//! it is validated when it is applied. The log contains the change and not its result, because all replicas
//! derive the same result.
#![forbid(unsafe_code)]

mod acceptance;
mod operation;
mod state;

pub use acceptance::MAX_RETAINED_GENERATIONS;
pub use operation::{Operation, Output};
pub use state::ControlState;

use marblecroft_chain_replication::{StateMachine, View};
use marblecroft_rpc::{decode, encode};

impl StateMachine for ControlState {
    type Operation = Operation;
    type Output = Output;

    fn apply(&mut self, operation: Operation) -> Output {
        match operation {
            Operation::ReplaceConfiguration { base, generation, body } => {
                acceptance::replace_configuration(self, base, generation, body)
            }
            Operation::UpdateConfiguration { base, generation, change } => {
                acceptance::update_configuration(self, base, generation, &change)
            }
            Operation::InstallStoreView(view) => install_store_view(self, view),
            Operation::IssueReaderToken => {
                self.reader_token += 1;
                Output::Token(self.reader_token)
            }
            Operation::RetireStore { node } => {
                self.retired_stores.insert(node);
                Output::Applied
            }
            Operation::RegisterStore { node } => {
                self.registered_stores.insert(node);
                Output::Applied
            }
        }
    }

    fn size_of(operation: &Operation) -> usize {
        match operation {
            Operation::ReplaceConfiguration { body, .. } => body.0.len(),
            Operation::UpdateConfiguration { change, .. } => change.0.len(),
            _ => 0,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(self)
    }

    fn restore(snapshot: &[u8]) -> Option<ControlState> {
        decode(snapshot).ok()
    }
}

/// Installs a view if it directly follows the current one. Two coordinators may propose views concurrently;
/// only the first in the order of the log takes effect, so the stores' views form a single sequence.
fn install_store_view(state: &mut ControlState, view: View) -> Output {
    if view.number != state.store_view.number + 1 {
        return Output::Ignored;
    }
    state.store_view = view;
    Output::Applied
}
