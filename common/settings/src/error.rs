//! The reasons to reject a settings file.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// Why a settings file is rejected. The display text is one line for the operator.
    #[derive(Debug)]
    pub enum Error {
        /// The environment variable that names the file is not set.
        NoPath(variable: &'static str) {
            display("the environment variable {variable} is not set")
        }
        /// The file cannot be read.
        Unreadable(path: PathBuf, cause: io::Error) {
            display("settings file {}: {}", path.display(), cause)
            source(cause)
        }
        /// A line has no `=`. Lines are numbered from 1.
        MalformedLine(number: usize) {
            display("line {number}: expected key=value")
        }
        /// A required key is absent or its value is empty.
        MissingKey(key: &'static str) {
            display("{key} is missing")
        }
        /// The value of a key is invalid.
        InvalidValue(key: String, value: String, allowed: &'static str) {
            display("{key}={value}: expected {allowed}")
        }
    }
}
