//! Errors of the settings object.

use quick_error::quick_error;

quick_error! {
    /// A field of the settings object has an unknown value.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SettingsError {
        /// The value of `Discovery`, which determines how server lists are received, is unknown.
        UnknownDiscovery(value: String) {
            display("unknown Discovery {value:?}")
        }
        /// The value of `Effect`, which determines whether requests of a class may be executed more than
        /// once, is unknown.
        UnknownEffect(value: String) {
            display("unknown Effect {value:?}")
        }
        /// The value of `Group`, which determines the servers that share an idempotency key, is unknown.
        UnknownGroup(value: String) {
            display("unknown Group {value:?}")
        }
    }
}
