//! Errors with which the program exits. Each is displayed in one line.

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
    /// The reason why a process of the service exits.
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
        /// The consensus has stopped, because the store failed.
        Consensus(reason: String) {
            display("exiting, because the consensus has stopped: {}", reason)
        }
    }
}

quick_error! {
    /// The reason why an operator's command has failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// A call to the service has failed.
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
            display("{}: timed out without a reply", address)
        }
        /// No process has replied.
        NoProcessReplied {
            display("none of the processes replied")
        }
        /// A process has rejected the request.
        Rejected(address: String, reason: String) {
            display("{}: {}", address, reason)
        }
        /// The kind of a process's response does not match the request.
        Unexpected(address: String, response: Box<Response>) {
            display("{}: unexpected kind of response: {:?}", address, response)
        }
        /// A process already belongs to a cluster.
        InCluster(address: String, cluster: u64) {
            display("{} already belongs to cluster {:016x}", address, cluster)
        }
        /// A process belongs to another cluster than the service.
        OtherCluster(address: String, cluster: u64, service_cluster: u64) {
            display("{} belongs to cluster {:016x}, not to cluster {:016x}", address, cluster, service_cluster)
        }
        /// The argument is not a member's number.
        MemberNumber(argument: String) {
            display("{:?} is not a member's number in hexadecimal digits", argument)
        }
        /// A file cannot be read or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// A file does not contain a valid snapshot.
        FileContents(path: PathBuf, error: SnapshotError) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// The folder already contains a log.
        LogExists(path: PathBuf) {
            display("{}: already contains a log", path.display())
        }
        /// The service's snapshot cannot be used.
        Snapshot(error: SnapshotError) {
            display("{}", error)
            source(error)
            from()
        }
        /// The service's snapshot ends early.
        SnapshotTruncated(response: Box<Response>) {
            display("the snapshot ends early, at this response: {:?}", response)
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
        /// A task of the program has panicked or was cancelled.
        Task(error: tokio::task::JoinError) {
            display("{}", error)
            source(error)
            from()
        }
    }
}
