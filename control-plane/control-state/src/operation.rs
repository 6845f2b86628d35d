//! Operations that change the replicated state, and their outputs.

use marblecroft_chain_replication::View;
use marblecroft_rpc::Bytes;
use musli::{Decode, Encode};

/// An operation on the replicated state, as it is proposed and logged.
///
/// Variants and fields are encoded by their position: new ones are appended, and none is reordered.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Operation {
    /// Puts a complete configuration in force. Sent by the operator; its validity is checked before it is
    /// proposed.
    ReplaceConfiguration {
        /// Generation that must be in force for the operation to be accepted; 0 before the first
        /// configuration.
        base: u64,
        /// Generation of the new configuration; higher than `base`.
        generation: u64,
        /// The configuration as the operator submitted it, in JSON.
        body: Bytes,
    },
    /// Installs the next view of the stores' chain. Ignored unless its number is one above the current
    /// view's.
    InstallStoreView(View),
    /// Retires a store machine: its replica is removed from the stores' chain.
    RetireStore {
        /// Node name of the machine.
        node: String,
    },
    /// Registers a store machine.
    RegisterStore {
        /// Node name of the machine.
        node: String,
    },
    /// Issues a fencing token to a process that starts to poll the platform's server list; the token is
    /// higher than any issued before.
    IssueReaderToken,
    /// Changes named items of the configuration in force. Sent by the operator.
    UpdateConfiguration {
        /// Generation that must be in force for the operation to be accepted.
        base: u64,
        /// Generation of the resulting configuration; higher than `base`.
        generation: u64,
        /// The change as the operator submitted it, in JSON.
        change: Bytes,
    },
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The configuration is now in force, or the same submission was accepted before.
    Accepted,
    /// The generation in force, given here, differs from the base of the operation.
    Conflict(u64),
    /// The generation of the operation is not higher than the one in force, which is given here.
    GenerationTooLow(u64),
    /// The generation of the operation is not higher than the highest pruned one, so it cannot be determined
    /// whether the operation was accepted before.
    GenerationPruned,
    /// The change does not result in a valid configuration, for this reason.
    Invalid(String),
    /// The operation changed the state, or the state was already as requested.
    Applied,
    /// The view does not directly follow the current one, so the operation changed nothing.
    Ignored,
    /// The fencing token that was issued.
    Token(u64),
}
