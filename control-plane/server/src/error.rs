//! The reasons why a process cannot start.

use quick_error::quick_error;
use std::io;

quick_error! {
    /// Why a coordinator or a store cannot start. The display text is one line for the operator.
    #[derive(Debug)]
    pub enum StartError {
        /// The settings file is valid, but lacks a key that this role needs.
        MissingSetting(key: &'static str) {
            display("{} is missing", key)
        }
        /// A socket or a file could not be opened, or a thread could not be started.
        Io(error: io::Error) {
            from()
            display("{}", error)
            source(error)
        }
    }
}
