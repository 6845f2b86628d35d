//! Operators' commands. Results go to standard output.

use crate::error::CommandError;
use crate::flags::Command;
use marblecroft_coordination::client::Client;
use marblecroft_coordination::env::chance;
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

/// An operator waits for a response this long.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// What errors call the service, where any of its processes may have replied.
const SERVICE: &str = "the service";

/// The identity of a process.
struct Identity {
    node: NodeId,
    /// 0 for none.
    cluster: u64,
}

/// Carries out a command of an operator on the service at these addresses.
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
        // `main` runs these.
        Command::Run { .. } | Command::Restore { .. } => Ok(()),
    }
}

/// Writes the state of a file into a new folder, as the complete history of a cluster of one.
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
    log.begin_from(bytes, address)?;
    let identity = log.identity();
    println!(
        "node {:016x} begins cluster {:016x}; start it, then add the others",
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
        Response::No(reason) | Response::Unknown(reason) => {
            Err(CommandError::Rejected(address.to_owned(), reason))
        }
        other => Err(unexpected(address, other)),
    }
}

/// Has a call carried out by the leader.
async fn ask(client: &Client, request: impl Fn() -> Request) -> Result<Response, CommandError> {
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
    let cluster = chance(|rng| rng.random::<u64>()) | 1;
    for address in addresses {
        check_done(address, call_process(address, 0, Request::Join { cluster }).await?)?;
    }
    // All at once, so that whichever has the fastest disk may lead first: one whose syncs take longer than an election never
    // would. Whoever is asked after that has heard of it already, and rejects the request.
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
    println!("cluster {cluster:016x} of {} begins", addresses.len());
    Ok(())
}

async fn status_of(address: &str) -> Result<Status, CommandError> {
    match call_process(address, 0, Request::Status).await? {
        Response::Status(status) => Ok(status),
        other => Err(unexpected(address, other)),
    }
}

async fn print_statuses(addresses: &[String]) -> Result<(), CommandError> {
    let mut replied = false;
    for address in addresses {
        match status_of(address).await {
            Ok(status) => {
                replied = true;
                println!("{address} {}", serde_json::json!(status));
            }
            Err(error) => println!("{error}"),
        }
    }
    if replied {
        Ok(())
    } else {
        Err(CommandError::NobodyReplied)
    }
}

async fn print_members(addresses: &[String]) -> Result<(), CommandError> {
    for address in addresses {
        match status_of(address).await {
            Ok(status) => {
                for (node, at, votes) in &status.members {
                    println!("{node:016x} {at} {}", if *votes { "votes" } else { "learns" });
                }
                return Ok(());
            }
            Err(error) => println!("{error}"),
        }
    }
    Err(CommandError::NobodyReplied)
}

async fn add(client: &Client, address: String) -> Result<(), CommandError> {
    let Identity { node, cluster } = identity_of(&address).await?;
    let own = match ask(client, || Request::Identity).await? {
        Response::Identity { cluster, .. } => cluster,
        other => return Err(unexpected(SERVICE, other)),
    };
    if cluster != 0 && cluster != own {
        return Err(CommandError::OtherCluster(address, cluster, own));
    }
    check_done(&address, call_process(&address, 0, Request::Join { cluster: own }).await?)?;
    let request = || Request::Add { node, addr: address.clone() };
    check_done(&address, ask(client, request).await?)?;
    println!("{node:016x} {address} votes");
    Ok(())
}

async fn remove(client: &Client, argument: &str) -> Result<(), CommandError> {
    let node =
        NodeId::from_str_radix(argument, 16).map_err(|_| CommandError::MemberNumber(argument.to_owned()))?;
    check_done(SERVICE, ask(client, || Request::Remove { node }).await?)
}

async fn print_locks(client: &Client) -> Result<(), CommandError> {
    match ask(client, || Request::Locks).await? {
        Response::Locks(locks) => {
            for lock in &locks {
                println!(
                    "{} token {} session {} of {}, {} wait",
                    lock.name, lock.token, lock.holder.0, lock.who, lock.waiting
                );
            }
            Ok(())
        }
        other => Err(unexpected(SERVICE, other)),
    }
}

async fn print_sessions(client: &Client) -> Result<(), CommandError> {
    match ask(client, || Request::Sessions).await? {
        Response::Sessions(sessions) => {
            for session in &sessions {
                println!(
                    "{} of {}, {} ms, {} locks",
                    session.id.0, session.who, session.ttl_ms, session.locks
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
    // What was cut off on the way, or is of two snapshots, cannot be restored.
    State::restore(&bytes)?;
    fs::write(file, &bytes).map_err(|error| CommandError::File(file.to_owned(), error))?;
    println!("{} bytes", bytes.len());
    Ok(())
}

async fn read_snapshot(client: &Client) -> Result<Vec<u8>, CommandError> {
    let mut snapshot = Vec::new();
    loop {
        let from = snapshot.len() as u64;
        match ask(client, || Request::Snapshot { from }).await? {
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
