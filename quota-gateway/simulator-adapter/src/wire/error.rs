//! Errors of events that are well-formed JSON.

use quick_error::quick_error;

quick_error! {
    /// A value of an event that is none of those that its field may hold.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EventError {
        /// The scope of a server list.
        UnknownScope(word: String) {
            display("Sync: unknown Scope {word:?}")
        }
        /// The lifecycle of a server.
        UnknownLifecycle(word: String) {
            display("Sync: unknown Lifecycle {word:?}")
        }
        /// The status of an attempt.
        UnknownStatus(code: u32) {
            display("Settled: unknown Status {code}")
        }
        /// A customer's identifier that is not hexadecimal.
        InvalidClientId(text: String, cause: std::num::ParseIntError) {
            display("NewRequest: ClientId {text:?}: {cause}")
            source(cause)
        }
    }
}
