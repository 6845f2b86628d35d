//! Why a run fails, and why a recorded one cannot be read.

use crate::endpoint::End;
use crate::history::Damage;
use crate::scenario::ScenarioError;
use quick_error::quick_error;
use std::io;
use std::path::PathBuf;

quick_error! {
    /// Why a run fails. Each is one line.
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
        /// A pay server that was down cannot listen again.
        ListenAgain(end: End, error: io::Error) {
            display("{} cannot listen again: {}", end, error)
            source(error)
        }
        /// A program beside this one is missing.
        ProgramMissing(path: PathBuf) {
            display("{} is missing; build it first", path.display())
        }
        /// The program that the scenario names is missing.
        NamedProgramMissing(path: PathBuf) {
            display("fleet.program: {} is missing", path.display())
        }
        /// A process cannot be started, for this reason.
        Start(end: End, program: PathBuf, reason: String) {
            display("{}: {}: {}", end, program.display(), reason)
        }
        /// A part of a configuration cannot be written, for this reason.
        Configuration(field: &'static str, reason: String) {
            display("{}: {}", field, reason)
        }
        /// The coordinators do not become a cluster.
        Cluster(error: io::Error) {
            display("the coordinators: {}", error)
            source(error)
        }
        /// A coordinator that lost its disk is not replaced, for this reason.
        Replacement(end: End, reason: String) {
            display("{}: {}", end, reason)
        }
        /// Something has not happened in time.
        NotInTime(what: &'static str) {
            display("{}", what)
        }
        /// No customer of the scenario asks for anything.
        NoDemand {
            display("no customer asks for anything")
        }
        /// The run took longer than this, in seconds.
        TooLong(seconds: u64) {
            display("the run took more than {} s", seconds)
        }
        /// The fleet needs more descriptors than this process may have.
        Descriptors(needed: u64, limit: u64) {
            display("this fleet needs {} descriptors, and the limit is {} (ulimit -Hn)", needed, limit)
        }
        /// The limit on descriptors cannot be raised.
        DescriptorLimit(error: io::Error) {
            display("the limit on descriptors: {}", error)
            source(error)
        }
    }
}

quick_error! {
    /// Why a history says too little for a verdict.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum IncompleteHistory {
        /// There is no setup in it.
        NoSetup {
            display("the history has no setup")
        }
        /// It ends before the run did.
        Unfinished {
            display("the history ends before the run did")
        }
    }
}

quick_error! {
    /// Why a recorded run cannot be judged or shown.
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
            display("the history's scenario: {}", error)
            source(error)
        }
        /// The summary is no JSON of a summary.
        Summary(path: PathBuf, error: serde_json::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The text is no id of a request.
        TraceId(text: String) {
            display("{:?} is no id of up to 16 hex digits", text)
        }
        /// The folder holds no run.
        NoRun(path: PathBuf) {
            display("{}: no run is kept there", path.display())
        }
        /// A plot cannot be drawn, for this reason.
        Plot(reason: String) {
            display("a plot: {}", reason)
        }
    }
}
