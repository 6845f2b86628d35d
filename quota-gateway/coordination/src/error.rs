//! Why the program ends with an error: each in one line.

use marblecroft_coordination::client::CallError;
use marblecroft_coordination::service::StartError;
use marblecroft_coordination::state::SnapshotError;
use marblecroft_coordination::storage::StoreError;
use marblecroft_coordination::wire::Response;
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

quick_error! {
    /// Why a process of the service ends.
    #[derive(Debug)]
    pub enum ServerError {
        /// The log cannot be opened.
        Store(error: StoreError) {
            display("{}", error)
            source(error)
            from()
        }
        /// An address cannot be listened on.
        Listen(key: &'static str, address: SocketAddr, error: io::Error) {
            display("{}: {}: {}", key, address, error)
            source(error)
        }
        /// The runtime or its signals cannot be set up.
        Runtime(error: io::Error) {
            display("{}", error)
            source(error)
            from()
        }
        /// The service cannot start.
        Start(error: StartError) {
            display("{}", error)
            source(error)
            from()
        }
        /// The consensus has ended, as the store failed.
        Consensus(reason: String) {
            display("ends, as it can no longer keep its word: {}", reason)
        }
    }
}

quick_error! {
    /// Why an operator's command has failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// The service has not carried out the call.
        Call(error: CallError) {
            display("{}", error)
            source(error)
            from()
        }
        /// A process cannot be reached, or its connection has failed.
        Connection(address: String, error: io::Error) {
            display("{}: {}", address, error)
            source(error)
        }
        /// A process has not replied in time.
        NoReply(address: String) {
            display("{}: no answer", address)
        }
        /// No process has replied.
        NobodyReplied {
            display("nobody answered")
        }
        /// A process has rejected the request.
        Rejected(address: String, reason: String) {
            display("{}: {}", address, reason)
        }
        /// A process has replied something else than what was requested.
        Unexpected(address: String, response: Box<Response>) {
            display("{}: an answer of another kind: {:?}", address, response)
        }
        /// A process belongs to a cluster already.
        InCluster(address: String, cluster: u64) {
            display("{} is of cluster {:016x} already", address, cluster)
        }
        /// A process belongs to another cluster.
        OtherCluster(address: String, cluster: u64, own: u64) {
            display("{} is of cluster {:016x}, not of {:016x}", address, cluster, own)
        }
        /// The argument is no member's number.
        MemberNumber(argument: String) {
            display("{:?} is no member's number", argument)
        }
        /// A file cannot be read or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// A file contains no state.
        FileContents(path: PathBuf, error: SnapshotError) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The folder holds a log already.
        LogExists(path: PathBuf) {
            display("{}: holds a log already", path.display())
        }
        /// The service's snapshot cannot be used.
        Snapshot(error: SnapshotError) {
            display("{}", error)
            source(error)
            from()
        }
        /// The service's snapshot ends early.
        SnapshotTruncated(response: Box<Response>) {
            display("the snapshot breaks off: {:?}", response)
        }
        /// The log cannot be opened or written.
        Store(error: StoreError) {
            display("{}", error)
            source(error)
            from()
        }
        /// The runtime cannot be set up.
        Runtime(error: io::Error) {
            display("{}", error)
            source(error)
            from()
        }
        /// A task of the program has ended early.
        Task(error: tokio::task::JoinError) {
            display("{}", error)
            source(error)
            from()
        }
    }
}
