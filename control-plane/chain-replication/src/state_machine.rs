//! The state machine that a chain replicates.

use marblecroft_rpc::Message;

/// A deterministic state machine. Its default value is the state before the first operation.
pub trait StateMachine: Default {
    /// A change of the state, encoded in the entries of the log.
    type Operation: Message;
    /// The result of an operation, which the head returns to the submitter.
    type Output;

    /// Applies one operation. Every member applies the same operations in the same order, so the result must
    /// depend only on the state and the operation.
    fn apply(&mut self, operation: Self::Operation) -> Self::Output;

    /// Returns the approximate size of an operation in bytes; bounds the size of one entry.
    fn size_of(operation: &Self::Operation) -> usize;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Decodes a state; returns `None` if the snapshot cannot be decoded.
    fn restore(snapshot: &[u8]) -> Option<Self>;
}
