//! Why a settings file is refused.

use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// Why a settings file is refused; its text is one line for the operator.
    #[derive(Debug)]
    pub enum Error {
        /// The environment names no file.
        NoPath {
            display("the variable {} names no settings file", crate::PATH_VARIABLE)
        }
        /// The file cannot be read.
        Unreadable(path: PathBuf, cause: io::Error) {
            display("settings file {}: {}", path.display(), cause)
            source(cause)
        }
        /// A line has no `=`.
        Line(number: usize) {
            display("line {number}: expected key=value")
        }
        /// A key that every process needs is absent or empty.
        Missing(key: &'static str) {
            display("{key} is missing")
        }
        /// A value cannot be used.
        Value(key: String, value: String, allowed: &'static str) {
            display("{key}={value}: expected {allowed}")
        }
    }
}
