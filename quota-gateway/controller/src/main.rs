//! `marblecroft-controller`: a candidate for the fleet's decisions, and what operators say of them.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use marblecroft_control_messages::frame::{decode, Fleet};
use marblecroft_control_messages::published::Decision;
use marblecroft_controller::config::Config;
use marblecroft_controller::reports::Reports;
use marblecroft_controller::work::{run_role, Shared};
use marblecroft_coordination::client::Client;
use marblecroft_coordination::metrics;
use marblecroft_coordination::state::{Op, Owner};
use marblecroft_logging::LogConfig;
use marblecroft_singleton_roles::keys::{
    decode_value, encode_value, Candidate, Keys, OperatorCommand, RoleOwner, ROLES,
};
use marblecroft_singleton_roles::run::{follow, run_candidate, RoleMetrics, Settings};
use marblecroft_zone_failover::decision::ZonesDecision;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tracing::{error, info};

const PROGRAM: &str = "marblecroft-controller";
/// An operator waits for an answer this long.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A candidate for the fleet's decisions, and what operators say of them
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Addresses of the coordination service, with commas between
    #[arg(long, global = true, value_delimiter = ',', default_value = "127.0.0.1:7400")]
    at: Vec<String>,
    /// The fleet's name
    #[arg(long, global = true, default_value = "fleet")]
    fleet: String,
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Is a candidate, as this file says
    Run { config: PathBuf },
    /// Each zone's state, what it bears, and who sends where
    Zones,
    /// Keeps a zone out until it is let back
    Hold { zone: String },
    /// Lets a zone back that is held out
    Return { zone: String },
    /// Who owns what, under which token
    Duties,
    /// Has a duty owned by this steward, while it lives
    Move { duty: String, to: String },
    /// Has a duty owned by nobody: what was decided stands or lapses
    Pause { duty: String },
    /// Takes back what was said of a duty
    Resume { duty: String },
}

fn main() -> ExitCode {
    let args = Args::parse();
    let (config, log) = match &args.call {
        Call::Run { config } => match Config::read(config) {
            Ok(config) => {
                let log = config.log;
                (Some(config), log)
            }
            Err(e) => {
                marblecroft_logging::init(PROGRAM, LogConfig::default());
                error!("{e}");
                return ExitCode::from(2);
            }
        },
        _ => (None, LogConfig::default()),
    };
    marblecroft_logging::init_for_target(PROGRAM, "marblecroft", log);
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let done = runtime.map_err(|e| e.to_string()).and_then(|runtime| {
        runtime.block_on(async {
            match config {
                Some(config) => serve(config).await,
                None => call(args).await,
            }
        })
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(config: Config) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let listen = listener.local_addr().map_err(|e| e.to_string())?;
    let reports = Reports::new(Fleet::named(&config.fleet));
    let shared = Rc::new(Shared {
        reports: reports.clone(),
        view: RefCell::default(),
        begun: Instant::now(),
        published: Cell::new(0),
        longest: Cell::new(Duration::ZERO),
        config,
    });
    let config = &shared.config;
    let figures: Rc<RoleMetrics> = Rc::default();
    if let Some(addr) = config.metrics {
        let page = TcpListener::bind(addr).await.map_err(|e| format!("metrics: {addr}: {e}"))?;
        let addr = page.local_addr().map_err(|e| e.to_string())?;
        info!(addr = %addr, "metrics at http://{addr}/metrics");
        let (shared, figures) = (shared.clone(), figures.clone());
        spawn_local(metrics::serve(move || marblecroft_controller::metrics::page(&shared, &figures), page));
    }
    spawn_local(reports.accept(listener, config.connections));
    let client = Client::behind(config.coordinators.clone(), config.coordinators_at);
    let (seen, following) = (shared.clone(), client.clone());
    let prefix = Keys::of(&config.fleet).prefix;
    spawn_local(async move {
        let clock = seen.clone();
        follow(following, prefix, || clock.now(), |view| drop(seen.view.replace(view.clone()))).await;
    });
    let settings = Settings {
        fleet: config.fleet.clone(),
        name: config.name.clone(),
        candidate: Candidate {
            zone: config.zone.clone(),
            report_address: config.reached_at.unwrap_or(listen).to_string(),
        },
        session_ttl: Duration::from_millis(config.session_ms),
    };
    // For the life of the process.
    let duties: &'static [&'static str] = config.roles().leak();
    let work = {
        let shared = shared.clone();
        move |lease| run_role(shared.clone(), lease)
    };
    info!(addr = %listen, "listening on {listen}");
    tokio::select! {
        () = run_candidate(client, settings, duties, figures, work) => {}
        // What it owns goes to others when its session is over; its last decisions stand till then.
        _ = terminate.recv() => {}
    }
    Ok(())
}

async fn call(args: Args) -> Result<(), String> {
    let client = Client::new(args.at);
    let names = Keys::of(&args.fleet);
    let known = |duty: &str| {
        let known = ROLES.contains(&duty);
        known.then_some(()).ok_or_else(|| format!("{duty}: the duties are {}", ROLES.join(", ")))
    };
    let put = |key: String, value: Vec<u8>| Op::Put { key, value, expect: None, owner: Owner::Nobody };
    let delete = |key: String| Op::Delete { key, expect: None, owner: Owner::Nobody };
    let op = match args.call {
        Call::Run { .. } => return Err("run is no question".to_owned()),
        Call::Zones => return zones(&client, &names, &args.fleet).await,
        Call::Duties => return print_roles(&client, &names).await,
        Call::Hold { zone } => put(names.zone_override(&zone), vec![1]),
        Call::Return { zone } => delete(names.zone_override(&zone)),
        Call::Move { duty, to } => {
            known(&duty)?;
            put(names.operator_command(&duty), encode_value(&OperatorCommand::Move(to)))
        }
        Call::Pause { duty } => {
            known(&duty)?;
            put(names.operator_command(&duty), encode_value(&OperatorCommand::Pause))
        }
        Call::Resume { duty } => {
            known(&duty)?;
            delete(names.operator_command(&duty))
        }
    };
    client.call(op, CALL_TIMEOUT).await.map(drop).map_err(|e| e.to_string())
}

async fn zones(client: &Client, names: &Keys, fleet: &str) -> Result<(), String> {
    let key = names.decision("zones");
    let (_, values) = client.read(&key, CALL_TIMEOUT).await.map_err(|e| e.to_string())?;
    let Some((_, bytes, _)) = values.into_iter().find(|(name, ..)| *name == key) else {
        return Err("nothing is decided yet".to_owned());
    };
    let decision =
        decode::<Decision<ZonesDecision>>(Fleet::named(fleet), &bytes).map_err(|e| e.to_string())?;
    println!("token {} revision {}", decision.stamp.token, decision.stamp.revision);
    for zone in &decision.body.zones {
        let shares = decision.body.zones.iter().zip(&zone.shares).filter(|(_, share)| **share > 0.0);
        let shares: Vec<String> = shares.map(|(to, share)| format!("{} {:.3}", to.name, share)).collect();
        println!(
            "{} {} bears {:.1} asked {:.1} gateways {} sends {}",
            zone.name,
            zone.state.name(),
            zone.capacity,
            zone.demand,
            zone.gateways,
            shares.join(", ")
        );
    }
    Ok(())
}

async fn print_roles(client: &Client, names: &Keys) -> Result<(), String> {
    let (_, values) = client.read(&names.prefix, CALL_TIMEOUT).await.map_err(|e| e.to_string())?;
    for duty in ROLES {
        let at =
            |key: String| values.iter().find(|(name, ..)| *name == key).map(|(_, value, _)| value.as_slice());
        let owner = at(names.owner(duty)).and_then(decode_value::<RoleOwner>);
        let order = at(names.operator_command(duty)).and_then(decode_value::<OperatorCommand>);
        let order = match order {
            None => String::new(),
            Some(OperatorCommand::Pause) => ", paused".to_owned(),
            Some(OperatorCommand::Move(who)) => format!(", to be {who}'s"),
        };
        match owner {
            Some(owner) => {
                println!(
                    "{duty}: {} at {} under token {}{order}",
                    owner.candidate, owner.report_address, owner.token
                )
            }
            None => println!("{duty}: nobody yet{order}"),
        }
    }
    Ok(())
}
