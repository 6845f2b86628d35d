//! The state machine that a chain replicates.

use marblecroft_rpc::Message;

/// A deterministic state that operations change. Its default is the state before the first operation.
pub trait StateMachine: Default {
    /// A change of the state, encoded in the entries of the log.
    type Operation: Message;
    /// What the head reports of an operation to its submitter.
    type Output;

    /// Applies one operation. Every member applies the same operations in the same order, so the result must depend on the
    /// state and the operation alone.
    fn apply(&mut self, operation: Self::Operation) -> Self::Output;

    /// Returns the approximate size of an operation in bytes; bounds the size of one entry.
    fn size_of(operation: &Self::Operation) -> usize;

    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;

    /// Decodes a state; `None` where the snapshot cannot be read.
    fn restore(snapshot: &[u8]) -> Option<Self>;
}
