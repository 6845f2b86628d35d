//! `marblecroft-coordination-server`: a process of the service, and what operators ask of it.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use marblecroft_coordination::client::{CallError, Client};
use marblecroft_coordination::disk::Troubled;
use marblecroft_coordination::env::{chance, Env};
use marblecroft_coordination::metrics;
use marblecroft_coordination::raft::NodeId;
use marblecroft_coordination::service::{Service, Settings};
use marblecroft_coordination::state::{Op, State};
use marblecroft_coordination::storage::LogStore;
use marblecroft_coordination::wire::{Channel, Request, Response};
use marblecroft_logging::LogConfig;
use rand::Rng;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::{error, info, warn};

const PROGRAM: &str = "marblecroft-coordination-server";
/// An operator waits for an answer this long.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A process of the coordination service, and what operators ask of it
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Addresses of the service, with commas between
    #[arg(long, global = true, value_delimiter = ',', default_value = "127.0.0.1:7400")]
    at: Vec<String>,
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Is a process of the service, as this file says
    Run {
        config: PathBuf,
    },
    /// The processes at these addresses, all new, become a cluster
    Begin,
    /// How each process at the addresses is
    Status,
    /// Who votes
    Members,
    /// Adds a new process at this address; it learns all there is, then votes
    Add {
        addr: String,
    },
    /// Takes a member's vote, by its number
    Remove {
        node: String,
    },
    Locks,
    Sessions,
    /// Takes a lock from whoever holds it; the next in its queue has it then
    Release {
        lock: String,
    },
    /// Writes the whole state into a file
    Snapshot {
        file: PathBuf,
    },
    /// Makes a folder that begins a cluster of its own with the state of a file; no process may run on it
    Restore {
        file: PathBuf,
        #[arg(long)]
        data: PathBuf,
        /// By which address the process on it will be reached
        #[arg(long)]
        addr: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Config {
    listen: SocketAddr,
    /// Where the others are called, with their own ports, if there is an address translator between.
    peers_at: Option<IpAddr>,
    data: PathBuf,
    #[serde(default = "heartbeat")]
    heartbeat_ms: u64,
    #[serde(default = "election")]
    election_ms: u64,
    #[serde(default = "snapshot_every")]
    snapshot_every: u64,
    #[serde(default = "connections")]
    connections: usize,
    #[serde(default = "calls")]
    calls: usize,
    #[serde(default)]
    allow_other_than_loopback: bool,
    /// Where the page of metrics is served; nowhere without it.
    metrics: Option<SocketAddr>,
    trial: Option<Trial>,
    #[serde(default)]
    log: LogConfig,
}

/// Troubles to try a cluster with. Never for one that anybody relies on.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Trial {
    /// Each sync takes so much longer.
    sync_delay_ms: u64,
    /// Syncs fail after so many.
    syncs_fail_after: Option<u64>,
    /// Writes that wait share a sync.
    group_commit: bool,
}

impl Default for Trial {
    fn default() -> Trial {
        Trial { sync_delay_ms: 0, syncs_fail_after: None, group_commit: true }
    }
}

fn heartbeat() -> u64 {
    100
}

fn election() -> u64 {
    500
}

fn snapshot_every() -> u64 {
    10_000
}

fn connections() -> usize {
    1024
}

fn calls() -> usize {
    4096
}

impl Config {
    /// The error is one line that names the field.
    fn read(path: &Path) -> Result<Config, String> {
        let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let config: Config = toml::from_str(&text)
            .map_err(|e| format!("{}: {}", path.display(), e.message().replace('\n', " ")))?;
        let no = |why: &str| Err(format!("{}: {why}", path.display()));
        for (field, addr) in [("listen", Some(config.listen)), ("metrics", config.metrics)] {
            if addr.is_some_and(|addr| !addr.ip().is_loopback()) && !config.allow_other_than_loopback {
                return no(&format!(
                    "{field}: not on this machine alone, and allow_other_than_loopback is not set"
                ));
            }
        }
        if config.trial.is_some_and(|trial| trial.sync_delay_ms > 60_000) {
            return no("trial.sync_delay_ms: 60000 at the most");
        }
        if !(10..=10_000).contains(&config.heartbeat_ms) {
            return no("heartbeat_ms: from 10 to 10000");
        }
        if config.election_ms < 3 * config.heartbeat_ms || config.election_ms > 60_000 {
            return no("election_ms: three heartbeats at the least, 60000 at the most");
        }
        if config.snapshot_every < 100 || config.connections == 0 || config.calls == 0 {
            return no("snapshot_every: 100 at the least; connections, calls: above 0");
        }
        Ok(config)
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let (code, result) = match args.call {
        Call::Run { config } => match Config::read(&config) {
            Err(e) => {
                marblecroft_logging::init(PROGRAM, LogConfig::default());
                error!("{e}");
                return ExitCode::from(2);
            }
            Ok(config) => {
                marblecroft_logging::init_for_target(PROGRAM, "marblecroft", config.log);
                // Opened before there is a runtime: it waits for its disk.
                let opened = match config.trial {
                    None => LogStore::open(&config.data),
                    Some(trial) => {
                        warn!("a trial: its disk is troubled on purpose");
                        let delay = Duration::from_millis(trial.sync_delay_ms);
                        let disk = |file| Troubled::new(file, delay, trial.syncs_fail_after);
                        LogStore::open_as(&config.data, trial.group_commit, disk)
                    }
                };
                let result = opened.and_then(|log| {
                    let runtime = runtime.map_err(|e| e.to_string())?;
                    runtime.block_on(serve(config, log))
                });
                (ExitCode::FAILURE, result.inspect_err(|e| error!("{e}")))
            }
        },
        Call::Restore { file, data, addr } => {
            (ExitCode::FAILURE, restore(&file, &data, &addr).inspect_err(|e| eprintln!("{PROGRAM}: {e}")))
        }
        call => {
            let asked = runtime
                .map_err(|e| e.to_string())
                .and_then(|runtime| runtime.block_on(run_call(args.at, call)));
            (ExitCode::FAILURE, asked.inspect_err(|e| eprintln!("{PROGRAM}: {e}")))
        }
    };
    result.map_or(code, |()| ExitCode::SUCCESS)
}

async fn serve(config: Config, log: LogStore) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let listen = listener.local_addr().map_err(|e| e.to_string())?;
    let identity = log.identity();
    let settings = Settings {
        peers_at: config.peers_at,
        heartbeat: Duration::from_millis(config.heartbeat_ms),
        election: Duration::from_millis(config.election_ms),
        snapshot_every: config.snapshot_every,
        connections: config.connections,
        calls: config.calls,
    };
    let service = Service::start(Env::default(), settings, log).await?;
    if let Some(addr) = config.metrics {
        let page = TcpListener::bind(addr).await.map_err(|e| format!("metrics: {addr}: {e}"))?;
        let addr = page.local_addr().map_err(|e| e.to_string())?;
        info!(addr = %addr, "metrics at http://{addr}/metrics");
        let told = service.clone();
        spawn_local(metrics::serve(move || metrics::page(&told), page));
    }
    info!(
        node = identity.node,
        cluster = identity.cluster,
        "node {:016x} of cluster {:016x}",
        identity.node,
        identity.cluster
    );
    info!(addr = %listen, "listening on {listen}");
    let failed = async {
        loop {
            if let Some(why) = service.failed() {
                return why;
            }
            sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::select! {
        () = service.accept(&listener) => Ok(()),
        why = failed => Err(format!("ends, as it can no longer keep its word: {}", why.replace('\n', " "))),
        _ = terminate.recv() => {
            // Another one leads soon; sessions have their full time there.
            drop(timeout(Duration::from_secs(2), service.raft.shutdown()).await);
            Ok(())
        }
    }
}

/// Writes the state of a file into a new folder, as the whole history of a cluster of one.
fn restore(file: &Path, data: &Path, addr: &str) -> Result<(), String> {
    let bytes = fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    State::restore(&bytes).map_err(|e| format!("{}: {e}", file.display()))?;
    if data.join("log.redb").exists() {
        return Err(format!("{}: holds a log already", data.display()));
    }
    let log = LogStore::open(data)?;
    log.begin_from(bytes, addr)?;
    let identity = log.identity();
    println!(
        "node {:016x} begins cluster {:016x}; start it, then add the others",
        identity.node, identity.cluster
    );
    Ok(())
}

fn failed(e: CallError) -> String {
    e.to_string()
}

async fn one(addr: &str, cluster: u64, request: Request) -> Result<Response, String> {
    let asked = async { Channel::connect(addr, cluster).await?.call(request).await };
    match timeout(CALL_TIMEOUT, asked).await {
        Ok(answer) => answer.map_err(|e| format!("{addr}: {e}")),
        Err(_) => Err(format!("{addr}: no answer")),
    }
}

async fn identity(addr: &str) -> Result<(NodeId, u64), String> {
    match one(addr, 0, Request::Identity).await? {
        Response::Identity { node, cluster } => Ok((node, cluster)),
        other => Err(format!("{addr}: an answer of another kind: {other:?}")),
    }
}

fn agreed(addr: &str, response: Response) -> Result<(), String> {
    match response {
        Response::Done => Ok(()),
        Response::No(why) | Response::Unknown(why) => Err(format!("{addr}: {why}")),
        other => Err(format!("{addr}: {other:?}")),
    }
}

async fn run_call(at: Vec<String>, call: Call) -> Result<(), String> {
    let client = Client::new(at.clone());
    match call {
        Call::Begin => {
            let mut members = BTreeMap::new();
            let cluster = chance(|rng| rng.random::<u64>()) | 1;
            for addr in &at {
                match identity(addr).await? {
                    (node, 0) => drop(members.insert(node, addr.clone())),
                    (_, cluster) => return Err(format!("{addr} is of cluster {cluster:016x} already")),
                }
            }
            for addr in &at {
                agreed(addr, one(addr, 0, Request::Join { cluster }).await?)?;
            }
            // All are told at once, so that whichever has the fastest disk may lead first: one whose syncs take longer than an
            // election never would. Whoever is told after that has heard of it already, and says no.
            let telling = at.iter().map(|addr| {
                let (addr, begin) = (addr.clone(), Request::Begin { members: members.clone() });
                spawn_local(async move { agreed(&addr, one(&addr, cluster, begin).await?) })
            });
            let mut told = Vec::new();
            for telling in telling.collect::<Vec<_>>() {
                told.push(telling.await.map_err(|e| e.to_string())?);
            }
            if told.iter().all(Result::is_err) {
                return told.into_iter().collect();
            }
            println!("cluster {cluster:016x} of {} begins", at.len());
        }
        Call::Status | Call::Members => {
            let mut answered = 0;
            for addr in &at {
                match one(addr, 0, Request::Status).await {
                    Ok(Response::Status(status)) => {
                        answered += 1;
                        if matches!(call, Call::Members) {
                            for (node, at, votes) in &status.members {
                                println!("{node:016x} {at} {}", if *votes { "votes" } else { "learns" });
                            }
                            return Ok(());
                        }
                        println!("{addr} {}", serde_json::json!(status));
                    }
                    Ok(other) => println!("{addr} {other:?}"),
                    Err(e) => println!("{e}"),
                }
            }
            if answered == 0 {
                return Err("nobody answered".to_owned());
            }
        }
        Call::Add { addr } => {
            let (node, cluster) = identity(&addr).await?;
            let own = match client.question(|| Request::Identity, CALL_TIMEOUT).await.map_err(failed)? {
                Response::Identity { cluster, .. } => cluster,
                other => return Err(format!("{other:?}")),
            };
            if cluster != 0 && cluster != own {
                return Err(format!("{addr} is of cluster {cluster:016x}, not of {own:016x}"));
            }
            agreed(&addr, one(&addr, 0, Request::Join { cluster: own }).await?)?;
            let add = || Request::Add { node, addr: addr.clone() };
            agreed(&addr, client.question(add, CALL_TIMEOUT).await.map_err(failed)?)?;
            println!("{node:016x} {addr} votes");
        }
        Call::Remove { node } => {
            let node =
                NodeId::from_str_radix(&node, 16).map_err(|_| format!("{node:?} is no member's number"))?;
            let answer = client.question(|| Request::Remove { node }, CALL_TIMEOUT).await.map_err(failed)?;
            agreed("the service", answer)?;
        }
        Call::Locks => match client.question(|| Request::Locks, CALL_TIMEOUT).await.map_err(failed)? {
            Response::Locks(lines) => lines.iter().for_each(|line| {
                println!(
                    "{} token {} session {} of {}, {} wait",
                    line.name, line.token, line.holder.0, line.who, line.waiting
                );
            }),
            other => return Err(format!("{other:?}")),
        },
        Call::Sessions => match client.question(|| Request::Sessions, CALL_TIMEOUT).await.map_err(failed)? {
            Response::Sessions(lines) => lines.iter().for_each(|line| {
                println!("{} of {}, {} ms, {} locks", line.id.0, line.who, line.ttl_ms, line.locks);
            }),
            other => return Err(format!("{other:?}")),
        },
        Call::Release { lock } => drop(client.call(Op::Revoke { lock }, CALL_TIMEOUT).await.map_err(failed)?),
        Call::Snapshot { file } => {
            let mut all = Vec::new();
            loop {
                let from = all.len() as u64;
                match client.question(|| Request::Snapshot { from }, CALL_TIMEOUT).await.map_err(failed)? {
                    Response::SnapshotChunk { total, bytes } if !bytes.is_empty() => {
                        all.extend(bytes);
                        if all.len() as u64 >= total {
                            break;
                        }
                    }
                    other => return Err(format!("the snapshot breaks off: {other:?}")),
                }
            }
            // What was cut off on the way, or is of two snapshots, is none.
            State::restore(&all).map_err(|e| e.to_string())?;
            fs::write(&file, &all).map_err(|e| format!("{}: {e}", file.display()))?;
            println!("{} bytes", all.len());
        }
        Call::Run { .. } | Call::Restore { .. } => {}
    }
    Ok(())
}
