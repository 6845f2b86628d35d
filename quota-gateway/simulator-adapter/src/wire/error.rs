//! Errors of events that can be parsed, but have invalid values.

use quick_error::quick_error;

quick_error! {
    /// A field of an event has an unknown or invalid value.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum EventError {
        /// The scope of a server list is unknown.
        UnknownScope(value: String) {
            display("Sync: unknown Scope {value:?}")
        }
        /// The lifecycle of a server is unknown.
        UnknownLifecycle(value: String) {
            display("Sync: unknown Lifecycle {value:?}")
        }
        /// The status of an attempt is unknown.
        UnknownStatus(code: u32) {
            display("Settled: unknown Status {code}")
        }
        /// A customer's identifier is not a hexadecimal number.
        InvalidClientId(text: String, cause: std::num::ParseIntError) {
            display("NewRequest: ClientId {text:?}: {cause}")
            source(cause)
        }
    }
}
