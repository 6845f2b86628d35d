//! Errors of the client's calls.

use crate::state::OperationError;
use quick_error::quick_error;

quick_error! {
    /// The reason why a call has no result. The variant shows whether the operation may have taken effect.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// The state machine rejected the operation with this error. The state has not changed.
        Refused(reason: OperationError) {
            display("refused: {:?}", reason)
        }
        /// The service rejected the request, for this reason in one line. The state has not changed.
        Rejected(reason: String) {
            display("{}", reason)
        }
        /// There was no reply in time. The operation may have taken effect, or may still do so.
        TimedOut {
            display("timed out without a reply")
        }
    }
}
