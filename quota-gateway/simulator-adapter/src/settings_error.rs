//! Errors of the settings object.

use quick_error::quick_error;

quick_error! {
    /// A word in the settings object that is none of those that its field may hold.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SettingsError {
        /// The way in which server lists come.
        UnknownDiscovery(word: String) {
            display("unknown Discovery {word:?}")
        }
        /// Whether a request of the class may be executed more than once.
        UnknownEffect(word: String) {
            display("unknown Effect {word:?}")
        }
        /// The servers among which an idempotency key is known.
        UnknownGroup(word: String) {
            display("unknown Group {word:?}")
        }
    }
}
