//! Why a call has no result.

use crate::state::Refused;
use quick_error::quick_error;

quick_error! {
    /// Why a call has no result. The variant says whether the operation may have been carried out.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// The state machine refused the operation. Nothing was changed.
        Refused(reason: Refused) {
            display("refused: {:?}", reason)
        }
        /// The service rejected the request, for this reason in one line. Nothing was changed.
        Rejected(reason: String) {
            display("{}", reason)
        }
        /// There was no reply in time. The operation may have been carried out, or may yet be.
        TimedOut {
            display("no answer in time")
        }
    }
}
