//! Commands for operators. Results are written to standard output.

use crate::error::CommandError;
use crate::flags::Command;
use marblecroft_coordination::client::Client;
use marblecroft_coordination::env::with_rng;
use marblecroft_coordination::raft::NodeId;
use marblecroft_coordination::state::{Op, State};
use marblecroft_coordination::storage::{self, LogStore};
use marblecroft_coordination::wire::{Channel, Request, Response, Status};
use rand::Rng;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time limit for the response to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Name of the service in errors, in place of an address, when any of its processes may have replied.
const SERVICE: &str = "the service";

/// The identity of a process.
struct Identity {
    node: NodeId,
    /// The cluster of the process, or 0 for none.
    cluster: u64,
}

/// Runs an operator's command on the service at these addresses.
///
/// # Errors
///
/// See [`CommandError`].
pub async fn execute(addresses: Vec<String>, command: Command) -> Result<(), CommandError> {
    let client = Client::new(addresses.clone());
    match command {
        Command::Begin => begin(&addresses).await,
        Command::Status => print_statuses(&addresses).await,
        Command::Members => print_members(&addresses).await,
        Command::Add { addr } => add(&client, addr).await,
        Command::Remove { node } => remove(&client, &node).await,
        Command::Locks => print_locks(&client).await,
        Command::Sessions => print_sessions(&client).await,
        Command::Release { lock } => release(&client, lock).await,
        Command::Snapshot { file } => write_snapshot(&client, &file).await,
        // `main` handles these.
        Command::Run { .. } | Command::Restore { .. } => Ok(()),
    }
}

/// Initializes a new data folder from a snapshot file, as a new cluster with one member.
///
/// # Errors
///
/// See [`CommandError`].
pub fn restore(file: &Path, data: &Path, address: &str) -> Result<(), CommandError> {
    let bytes = fs::read(file).map_err(|error| CommandError::File(file.to_owned(), error))?;
    State::restore(&bytes).map_err(|error| CommandError::FileContents(file.to_owned(), error))?;
    if storage::exists_in(data) {
        return Err(CommandError::LogExists(data.to_owned()));
    }
    let log = LogStore::open(data)?;
    log.restore_from(bytes, address)?;
    let identity = log.identity();
    println!(
        "node {:016x} is the first member of new cluster {:016x}; start it, then add the other members",
        identity.node, identity.cluster
    );
    Ok(())
}

/// Calls one process.
async fn call_process(address: &str, cluster: u64, request: Request) -> Result<Response, CommandError> {
    let call = async { Channel::connect(address, cluster).await?.call(request).await };
    match timeout(CALL_TIMEOUT, call).await {
        Ok(response) => response.map_err(|error| CommandError::Connection(address.to_owned(), error)),
        Err(_) => Err(CommandError::NoReply(address.to_owned())),
    }
}

async fn identity_of(address: &str) -> Result<Identity, CommandError> {
    match call_process(address, 0, Request::Identity).await? {
        Response::Identity { node, cluster } => Ok(Identity { node, cluster }),
        other => Err(unexpected(address, other)),
    }
}

fn unexpected(address: &str, response: Response) -> CommandError {
    CommandError::Unexpected(address.to_owned(), Box::new(response))
}

fn check_done(address: &str, response: Response) -> Result<(), CommandError> {
    match response {
        Response::Done => Ok(()),
        Response::Rejected(reason) | Response::Unknown(reason) => {
            Err(CommandError::Rejected(address.to_owned(), reason))
        }
        other => Err(unexpected(address, other)),
    }
}

/// Calls the leader.
async fn call_leader(client: &Client, request: impl Fn() -> Request) -> Result<Response, CommandError> {
    Ok(client.send_request(request, CALL_TIMEOUT).await?)
}

async fn begin(addresses: &[String]) -> Result<(), CommandError> {
    let mut members = BTreeMap::new();
    for address in addresses {
        let identity = identity_of(address).await?;
        if identity.cluster != 0 {
            return Err(CommandError::InCluster(address.clone(), identity.cluster));
        }
        members.insert(identity.node, address.clone());
    }
    let cluster = with_rng(|rng| rng.random::<u64>()) | 1;
    for address in addresses {
        check_done(address, call_process(address, 0, Request::Join { cluster }).await?)?;
    }
    // The request goes to all processes at once, so that the process with the fastest disk can become the
    // first leader. A process whose syncs take longer than an election timeout would never become the leader.
    // A process that receives the request after a message of that leader rejects it.
    let requests: Vec<_> = addresses
        .iter()
        .map(|address| {
            let (address, request) = (address.clone(), Request::Begin { members: members.clone() });
            spawn_local(async move { check_done(&address, call_process(&address, cluster, request).await?) })
        })
        .collect();
    let mut results = Vec::new();
    for request in requests {
        results.push(request.await?);
    }
    if results.iter().all(Result::is_err) {
        return results.into_iter().collect();
    }
    println!("created cluster {cluster:016x} with {} members", addresses.len());
    Ok(())
}

async fn status_of(address: &str) -> Result<Status, CommandError> {
    match call_process(address, 0, Request::Status).await? {
        Response::Status(status) => Ok(status),
        other => Err(unexpected(address, other)),
    }
}

async fn print_statuses(addresses: &[String]) -> Result<(), CommandError> {
    let mut has_reply = false;
    for address in addresses {
        match status_of(address).await {
            Ok(status) => {
                has_reply = true;
                println!("{address} {}", serde_json::json!(status));
            }
            Err(error) => println!("{error}"),
        }
    }
    if has_reply {
        Ok(())
    } else {
        Err(CommandError::NoProcessReplied)
    }
}

async fn print_members(addresses: &[String]) -> Result<(), CommandError> {
    for address in addresses {
        match status_of(address).await {
            Ok(status) => {
                for (node, member_address, votes) in &status.members {
                    println!("{node:016x} {member_address} {}", if *votes { "votes" } else { "learns" });
                }
                return Ok(());
            }
            Err(error) => println!("{error}"),
        }
    }
    Err(CommandError::NoProcessReplied)
}

async fn add(client: &Client, address: String) -> Result<(), CommandError> {
    let Identity { node, cluster } = identity_of(&address).await?;
    let service_cluster = match call_leader(client, || Request::Identity).await? {
        Response::Identity { cluster, .. } => cluster,
        other => return Err(unexpected(SERVICE, other)),
    };
    if cluster != 0 && cluster != service_cluster {
        return Err(CommandError::OtherCluster(address, cluster, service_cluster));
    }
    check_done(&address, call_process(&address, 0, Request::Join { cluster: service_cluster }).await?)?;
    let request = || Request::Add { node, addr: address.clone() };
    check_done(&address, call_leader(client, request).await?)?;
    println!("{node:016x} {address} votes");
    Ok(())
}

async fn remove(client: &Client, argument: &str) -> Result<(), CommandError> {
    let node =
        NodeId::from_str_radix(argument, 16).map_err(|_| CommandError::MemberNumber(argument.to_owned()))?;
    check_done(SERVICE, call_leader(client, || Request::Remove { node }).await?)
}

async fn print_locks(client: &Client) -> Result<(), CommandError> {
    match call_leader(client, || Request::Locks).await? {
        Response::Locks(locks) => {
            for lock in &locks {
                println!(
                    "{} token {} session {} of {}, {} wait",
                    lock.name, lock.token, lock.holder.0, lock.owner_name, lock.waiting
                );
            }
            Ok(())
        }
        other => Err(unexpected(SERVICE, other)),
    }
}

async fn print_sessions(client: &Client) -> Result<(), CommandError> {
    match call_leader(client, || Request::Sessions).await? {
        Response::Sessions(sessions) => {
            for session in &sessions {
                println!(
                    "{} of {}, {} ms, {} locks",
                    session.id.0, session.owner_name, session.ttl_ms, session.locks
                );
            }
            Ok(())
        }
        other => Err(unexpected(SERVICE, other)),
    }
}

async fn release(client: &Client, lock: String) -> Result<(), CommandError> {
    client.call(Op::Revoke { lock }, CALL_TIMEOUT).await?;
    Ok(())
}

async fn write_snapshot(client: &Client, file: &Path) -> Result<(), CommandError> {
    let bytes = read_snapshot(client).await?;
    // Checks that the snapshot is not truncated or mixed from two snapshots.
    State::restore(&bytes)?;
    fs::write(file, &bytes).map_err(|error| CommandError::File(file.to_owned(), error))?;
    println!("{} bytes", bytes.len());
    Ok(())
}

async fn read_snapshot(client: &Client) -> Result<Vec<u8>, CommandError> {
    let mut snapshot = Vec::new();
    loop {
        let from = snapshot.len() as u64;
        match call_leader(client, || Request::Snapshot { from }).await? {
            Response::SnapshotChunk { total, bytes } if !bytes.is_empty() => {
                snapshot.extend(bytes);
                if snapshot.len() as u64 >= total {
                    return Ok(snapshot);
                }
            }
            other => return Err(CommandError::SnapshotTruncated(Box::new(other))),
        }
    }
}
