//! Errors of running a scenario and of reading a recorded run.

use crate::endpoint::Endpoint;
use crate::history::Damage;
use crate::scenario::ScenarioError;
use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// An error that ends a run. Its text is one line.
    #[derive(Debug)]
    pub enum RunError {
        /// The scenario cannot be used.
        Scenario(error: ScenarioError) {
            display("{}", error)
            source(error)
            from()
        }
        /// A file or a folder cannot be read or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The history cannot be written.
        History(error: io::Error) {
            display("the history cannot be written: {}", error)
            source(error)
        }
        /// The runtime cannot be set up.
        Runtime(error: io::Error) {
            display("{}", error)
            source(error)
        }
        /// A stand-in cannot listen.
        Listen(error: io::Error) {
            display("a stand-in cannot listen: {}", error)
            source(error)
        }
        /// A restarted pay server cannot listen.
        ListenAgain(endpoint: Endpoint, error: io::Error) {
            display("{} cannot listen again: {}", endpoint, error)
            source(error)
        }
        /// A program is missing in this program's folder.
        ProgramMissing(path: PathBuf) {
            display("{} is missing; build it first", path.display())
        }
        /// The program that the scenario names is missing.
        NamedProgramMissing(path: PathBuf) {
            display("fleet.program: {} is missing", path.display())
        }
        /// A process cannot be started.
        Start(endpoint: Endpoint, program: PathBuf, reason: String) {
            display("{}: {}: {}", endpoint, program.display(), reason)
        }
        /// A part of a process's configuration cannot be encoded.
        Configuration(field: &'static str, reason: String) {
            display("{}: {}", field, reason)
        }
        /// The coordinators do not form a cluster.
        Cluster(error: io::Error) {
            display("cannot form a cluster of the coordinators: {}", error)
            source(error)
        }
        /// A coordinator that lost its disk cannot be replaced.
        Replacement(endpoint: Endpoint, reason: String) {
            display("{}: {}", endpoint, reason)
        }
        /// A step of the run has not finished in time.
        NotInTime(what: &'static str) {
            display("{}", what)
        }
        /// No customer of the scenario has any demand.
        NoDemand {
            display("no customer sends any requests")
        }
        /// The run took longer than this, in seconds.
        TooLong(seconds: u64) {
            display("the run took more than {} s", seconds)
        }
        /// The fleet needs more file descriptors than this process may open.
        Descriptors(needed: u64, limit: u64) {
            display("this fleet needs {} descriptors, and the limit is {} (ulimit -Hn)", needed, limit)
        }
        /// The limit on file descriptors cannot be raised.
        DescriptorLimit(error: io::Error) {
            display("cannot raise the limit on file descriptors: {}", error)
            source(error)
        }
    }
}

quick_error! {
    /// The reason why a history is incomplete and cannot be checked.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum IncompleteHistory {
        /// It does not contain the setup.
        NoSetup {
            display("the history has no setup")
        }
        /// It ends before the end of the run.
        Unfinished {
            display("the history ends before the end of the run")
        }
    }
}

quick_error! {
    /// An error of checking or reporting a recorded run.
    #[derive(Debug)]
    pub enum RecordingError {
        /// A file cannot be read.
        File(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The history is damaged.
        Damaged(path: PathBuf, damage: Damage) {
            display("{}: {}", path.display(), damage)
        }
        /// The history is incomplete.
        Incomplete(path: PathBuf, error: IncompleteHistory) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The history's scenario cannot be used.
        Scenario(error: ScenarioError) {
            display("the scenario in the history cannot be used: {}", error)
            source(error)
        }
        /// The summary file is not valid.
        Summary(path: PathBuf, error: serde_json::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The text is not a trace id.
        TraceId(text: String) {
            display("{:?} is not a trace id of up to 16 hex digits", text)
        }
        /// The folder does not contain a run.
        NoRun(path: PathBuf) {
            display("{}: the folder does not contain a run", path.display())
        }
        /// A plot cannot be drawn.
        Plot(reason: String) {
            display("cannot draw a plot: {}", reason)
        }
    }
}
