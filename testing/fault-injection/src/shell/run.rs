//! One run: the fleet is started, loaded and broken as the scenario says, and its history written.

mod stewards;

use crate::deployment::{Deployment, Drawn, End, Nanos, MS, SECOND};
use crate::history::{Event, Life, Setup, Writer};
use crate::scenario::{FaultKind, Scenario, DUTIES, LEADER};
use crate::shell::cells::Cells;
use crate::shell::clients::{Clients, Entry};
use crate::shell::lists::{lateness, list_process, place, process_behind, Counts, Door, Platform};
use crate::shell::owners::{Owners, BEGIN_MOST};
use crate::shell::pay_servers::{Fleet, Server};
use crate::shell::process::{descriptors, Process};
use crate::shell::relay::{relay, Watch};
use crate::shell::{address, registers, World};
use crate::stand::clients::Arrivals;
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use marblecroft_coordination::client::Client;
use marblecroft_coordination::wire;
use marblecroft_discovery::format::{Host, HostListRef, State};
use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// File names of a run.
pub const HISTORY: &str = "history.bin";
pub const SCENARIO: &str = "scenario.toml";
pub const SUMMARY: &str = "summary.json";

/// The fleet's name in the coordination service.
const FLEET: &str = "lab";
/// Processes that start at once: more would only wait for each other.
const STARTS: usize = 16;
/// After a fault that is for good a server that drains is gone this much later.
const DRAINED: Nanos = 4 * SECOND;
/// The lab looks at its own clock this often, and tells when it was late by more than the second.
const HEARTBEAT: Duration = Duration::from_millis(5);
const LATE: Duration = Duration::from_millis(15);
/// A registration at the list service lasts so long, and is renewed so often.
const LEASE_MS: u64 = 3000;
const RENEW_EVERY: Duration = Duration::from_millis(900);
const CALL_MOST: Duration = Duration::from_secs(1);
/// A coordinator that lost its disk is replaced within this time.
const REPLACE_MOST: Duration = Duration::from_secs(20);
/// What a run may take beyond its load, and what follows on a fault.
const OVERRUN: Duration = Duration::from_secs(120);

/// Why a run ended before its time.
#[derive(Debug)]
pub enum Failure {
    /// The scenario cannot be used: one line that names the field.
    Unusable(String),
    /// The lab itself failed.
    Lab(String),
}

/// Who is asked for: what a run is told.
pub struct Order {
    pub name: String,
    pub text: String,
    pub seed: u64,
    pub dir: PathBuf,
    /// This program; the others lie beside it.
    pub lab: PathBuf,
}

/// Plays a scenario to its end; what happened is then in the order's folder.
pub fn run(order: &Order) -> Result<(), Failure> {
    let scenario = Scenario::parse(&order.text).map_err(Failure::Unusable)?;
    let deployment = Deployment::draw(&scenario, order.seed).map_err(Failure::Unusable)?;
    let lab = |e: &dyn std::fmt::Display| Failure::Lab(e.to_string());
    descriptors(descriptors_needed(&scenario)).map_err(Failure::Lab)?;
    let place = |e: std::io::Error| Failure::Lab(format!("{}: {e}", order.dir.display()));
    fs::create_dir_all(order.dir.join("logs")).map_err(place)?;
    fs::write(order.dir.join(SCENARIO), &order.text).map_err(place)?;
    let file = File::create(order.dir.join(HISTORY)).map_err(place)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default())
        .map_err(|e| lab(&e))?;
    let most = Duration::from_millis(scenario.load.duration_ms) + OVERRUN;
    runtime.block_on(async {
        let world = World::new(scenario, deployment, order.seed, Writer::new(file).map_err(place)?);
        match timeout(most, play(&world, order)).await {
            Ok(played) => played.map_err(Failure::Lab),
            Err(_) => Err(Failure::Lab(format!("the run took more than {} s", most.as_secs()))),
        }
    })
}

/// Connections, pipes and files of the lab itself, at the most.
fn descriptors_needed(scenario: &Scenario) -> u64 {
    let fleet = &scenario.fleet;
    // Its pipe, the watch of the list and the counter; the servers that it prefers and some that it tries; what the front
    // keeps to it.
    let each = 8 + u64::from(fleet.pay_servers.min(24)) + 20;
    256 + u64::from(fleet.pay_servers) * 2 + u64::from(fleet.gateways) * each
}

/// Everything that runs.
struct Lab {
    world: Rc<World>,
    clients: Rc<Clients>,
    gateways: Vec<Rc<Process>>,
    lists: Vec<(Rc<Process>, Rc<Door>)>,
    coordinators: Vec<(Rc<Process>, Rc<Door>)>,
    stewards: Vec<(Rc<Process>, Rc<Door>)>,
    cells: Rc<Cells>,
    /// Whoever sets up the fleet asks the coordination service by it.
    asking: RefCell<Option<Client>>,
    owners: RefCell<Option<Rc<Owners>>>,
    platform: Option<Rc<Platform>>,
    counts: Option<Rc<Counts>>,
    servers: Vec<Rc<Server>>,
    /// Ports of the servers now, and when each was started, in Unix time; 0 for long ago.
    places: Rc<RefCell<Vec<(u16, u64)>>>,
    /// Which servers have a process that renews its registration.
    registered: RefCell<Vec<bool>>,
    ports: Ports,
    dir: PathBuf,
    starts: Cell<u64>,
    failure: RefCell<Option<String>>,
}

/// Where gateways find what is not a pay server.
#[derive(Clone)]
struct Ports {
    lists: Vec<u16>,
    counter: Option<u16>,
}

async fn play(world: &Rc<World>, order: &Order) -> Result<(), String> {
    let scenario = &world.scenario;
    let fleet = Fleet::new(world);
    let io = |e: std::io::Error| format!("a stand-in cannot listen: {e}");
    let cells = Cells::new(world, FLEET).map_err(io)?;
    let servers: Vec<Rc<Server>> =
        (0..scenario.fleet.pay_servers as u16).map(|i| Server::new(world, &fleet, &cells, i)).collect();
    let mut places = Vec::new();
    for server in &servers {
        places.push((server.start(false).map_err(io)?, 0));
    }
    let counts = if scenario.fleet.counter { Some(Counts::new(world).map_err(io)?) } else { None };
    let program = |name: &str| -> Result<PathBuf, String> {
        let path = order.lab.with_file_name(name);
        match path.is_file() {
            true => Ok(path),
            false => Err(format!("{} is missing; build it first", path.display())),
        }
    };
    let log = |end: End| order.dir.join("logs").join(format!("{end}.log"));
    let mut lists = Vec::new();
    for i in 0..scenario.fleet.list_service as u16 {
        let end = End::ListService(i);
        let process =
            Process::new(world, end, order.lab.clone(), program("marblecroft-discovery")?, log(end));
        lists.push((process, Door::open(world, end).map_err(io)?));
    }
    let mut coordinators = Vec::new();
    for i in 0..scenario.fleet.coordinators as u16 {
        let end = End::Coordinator(i);
        let program = program("marblecroft-coordination-server")?;
        let process = Process::new(world, end, order.lab.clone(), program, log(end));
        coordinators.push((process, Door::open(world, end).map_err(io)?));
    }
    let mut stewards = Vec::new();
    for i in 0..scenario.fleet.stewards as u16 {
        let end = End::Steward(i);
        let process =
            Process::new(world, end, order.lab.clone(), program("marblecroft-controller")?, log(end));
        stewards.push((process, Door::open(world, end).map_err(io)?));
    }
    let platform = if lists.is_empty() { Some(Platform::new(world).map_err(io)?) } else { None };
    let gateway = match &scenario.fleet.program {
        Some(path) if path.is_file() => path.clone(),
        Some(path) => return Err(format!("fleet.program: {} is missing", path.display())),
        None => program("marblecroft-quota-gateway")?,
    };
    let gateways: Vec<Rc<Process>> = (0..scenario.fleet.gateways as u16)
        .map(End::Gateway)
        .map(|end| Process::new(world, end, order.lab.clone(), gateway.clone(), log(end)))
        .collect();
    let ports = Ports {
        lists: match &platform {
            Some(platform) => vec![platform.door.port],
            None => lists.iter().map(|(_, door)| door.port).collect(),
        },
        counter: counts.as_ref().map(|counts| counts.door.port),
    };
    let places = Rc::new(RefCell::new(places));
    let mut entries: Vec<Entry> = gateways.iter().cloned().map(Entry::Gateway).collect();
    if entries.is_empty() {
        entries = (0..servers.len() as u16).map(|i| Entry::PayServer(i, places.clone())).collect();
    }
    let lab = Rc::new(Lab {
        world: world.clone(),
        clients: Clients::new(world, entries),
        gateways,
        lists,
        coordinators,
        stewards,
        cells,
        asking: RefCell::new(None),
        owners: RefCell::new(None),
        platform,
        counts,
        registered: RefCell::new(vec![true; servers.len()]),
        servers,
        places,
        ports,
        dir: order.dir.clone(),
        starts: Cell::new(0),
        failure: RefCell::new(None),
    });
    let result = lab.clone().play(order).await;
    lab.end().await;
    world.record(Event::Finished { lab_cpu: own_cpu(ClockId::ProcessCPUTime), fleet_cpu: children_cpu() });
    world.flush()?;
    result
}

/// Processor time of children that have ended, user and system together (fields 16 and 17 of this process's `stat`); clock
/// ticks are 10 ms on every machine that this runs on.
fn children_cpu() -> Nanos {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may hold spaces; the third field follows it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i - 3).and_then(|ticks| ticks.parse::<u64>().ok()).unwrap_or(0);
    (ticks(16) + ticks(17)) * 10 * MS
}

impl Lab {
    async fn play(self: Rc<Self>, order: &Order) -> Result<(), String> {
        let world = self.world.clone();
        spawn_local(heartbeat(world.clone()));
        self.begin_lists().await?;
        self.begin_coordinators().await?;
        self.begin_stewards().await?;
        let places = Rc::new(Semaphore::new(STARTS));
        let starting = (0..self.gateways.len() as u16).map(|i| {
            let (lab, places) = (self.clone(), places.clone());
            async move {
                let _place = places.acquire().await.map_err(|e| e.to_string())?;
                lab.start_gateway(i, true).await
            }
        });
        for started in join_all(starting).await {
            started?;
        }
        for i in 0..self.gateways.len() as u16 {
            spawn_local(self.clients.clone().follow(i));
        }
        if timeout(Duration::from_nanos(BEGIN_MOST), self.decided_first()).await.is_err() {
            return Err("nothing is decided in common".to_owned());
        }
        // The load begins once all are there.
        let from = world.now() + 500 * MS;
        world.record(Event::Setup(Box::new(self.setup(order, from))));
        world.sleep_until(from).await;
        let faults: Vec<_> = (0..world.deployment.faults.len())
            .map(|number| spawn_local(self.clone().fault(number, from)))
            .collect();
        for server in self.servers.clone() {
            let lab = self.clone();
            spawn_local(async move {
                server.fell.notified().await;
                lab.leave(server.number, State::Deleted).await;
            });
        }
        spawn_local(self.clone().say_moves(from));
        let progress = spawn_local(progress(self.clients.clone(), from));
        let arrivals = Arrivals::new(&world.scenario, &world.deployment, world.seed);
        for arrival in arrivals.ok_or("no customer asks for anything")? {
            let due = from + arrival.at;
            if due > world.now() {
                world.sleep_until(due).await;
            }
            spawn_local(self.clients.clone().ask(arrival, world.now().saturating_sub(due)));
            if let Some(failure) = self.failure.borrow_mut().take() {
                return Err(failure);
            }
        }
        world.sleep_until(from + world.scenario.load.duration_ms * MS).await;
        let rest = Duration::from_millis(world.scenario.site.deadline_ms) + Duration::from_secs(30);
        let ended = self.clients.all_ended(rest).await;
        progress.abort();
        faults.iter().for_each(|fault| fault.abort());
        self.note_cells();
        match (self.failure.borrow_mut().take(), ended) {
            (Some(failure), _) => Err(failure),
            (None, false) => Err("requests are open long after their time".to_owned()),
            (None, true) => Ok(()),
        }
    }

    fn setup(&self, order: &Order, load_from: Nanos) -> Setup {
        let Scenario { site, load, fleet, .. } = &self.world.scenario;
        let deployment = &self.world.deployment;
        Setup {
            scenario: order.name.clone(),
            seed: order.seed,
            text: order.text.clone(),
            aim: site.aim_ms * MS,
            deadline: site.deadline_ms * MS,
            duration: load.duration_ms * MS,
            gateways: fleet.gateways as u16,
            quotas: deployment.quotas.clone(),
            plans: deployment.customers.iter().map(|customer| customer.plan as u8).collect(),
            list_processes: fleet.list_service as u16,
            coordinators: fleet.coordinators as u16,
            zones: fleet.zones.clone(),
            stewards: fleet.stewards as u16,
            shares: self.world.scenario.tenants.is_some(),
            shift: self.world.scenario.tenants.as_ref().and_then(|t| t.shift_at_ms).map(|ms| ms * MS),
            books: self.world.scenario.books.is_some(),
            fencing: fleet.fencing,
            cells: deployment.servers.iter().map(|server| server.cell as u16).collect(),
            firms: deployment.customers.iter().map(|customer| customer.id).collect(),
            faults: deployment.faults.clone(),
            load_from,
            unix_us: unix_us().saturating_sub(self.world.now() / 1000),
        }
    }

    /// The entry of a server in lists, as this caller's view has it.
    fn host(&self, number: u16, state: State, ip: std::net::Ipv4Addr) -> Host {
        let (port, started_ms) = self.places.borrow()[usize::from(number)];
        let server = &self.world.deployment.servers[usize::from(number)];
        Host {
            id: server.id.clone(),
            addr: SocketAddr::from((ip, port)),
            zone: self.world.scenario.fleet.zones[server.zone].clone(),
            kind: "std-2core".to_owned(),
            cell: server.cell,
            state,
            weight: 1.0,
            started_ms,
        }
    }

    /// The whole list, as a gateway would have had it last.
    fn known(&self, end: End) -> Value {
        let hosts: Vec<Host> = (0..self.servers.len() as u16)
            .filter(|i| self.registered.borrow()[usize::from(*i)])
            .map(|i| self.host(i, State::Serving, address::view(end)))
            .collect();
        // A version that every store is beyond: the first watch tells all.
        let servers = hosts.iter().collect();
        json!(HostListRef { version: 0, full: true, store: 0, epoch: 0, servers })
    }

    async fn start_gateway(&self, number: u16, with_list: bool) -> Result<(), String> {
        let (world, end) = (&self.world, End::Gateway(number));
        self.starts.set(self.starts.get() + 1);
        let seed = world.deployment.gateway_seeds[usize::from(number)].wrapping_add(self.starts.get());
        let mut config = json!({
            "name": format!("n{number}"), "listen": SocketAddr::from((address::own(end), 0)),
            "discovery": place(end, self.ports.lists[0]), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": world.deployment.settings(&world.scenario, number),
        });
        if let Some(port) = self.ports.counter {
            config["counter"] = json!(place(end, port));
        }
        if with_list {
            config["known"] = self.known(end);
        }
        if !self.lists.is_empty() {
            let others: Vec<String> = self.ports.lists[1..].iter().map(|port| place(end, *port)).collect();
            config["list_service"] = json!({"others": others});
        }
        if !self.stewards.is_empty() {
            config["stewards"] = json!({"fleet": FLEET, "gateway": number, "coordinators": self.coordinators_of(end),
                "at": address::view(end), "shares": world.scenario.tenants.is_some(),
                "books": world.scenario.books.is_some()});
        }
        if let Some(more) = &world.scenario.fleet.gateway_config {
            merge(&mut config, serde_json::to_value(more).map_err(|e| format!("fleet.gateway_config: {e}"))?);
        }
        let folder = self.dir.join("tmp").join(end.to_string());
        let path = folder.join("config.json");
        let process = &self.gateways[usize::from(number)];
        process
            .start(|command| {
                fs::create_dir_all(&folder)?;
                fs::write(&path, config.to_string())?;
                command
                    .env("RELAY_CONFIG", &path)
                    .env("RELAY_NAME", format!("n{number}"))
                    .env("TMPDIR", &folder);
                for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONSOLE", "RELAY_FD"] {
                    command.env_remove(name);
                }
                Ok(())
            })
            .await
    }

    /// Starts whoever tells the list, and gives it the servers.
    async fn begin_lists(self: &Rc<Self>) -> Result<(), String> {
        if let Some(platform) = &self.platform {
            for i in 0..self.servers.len() as u16 {
                let host = self.host(i, State::Serving, address::REGISTERED);
                platform.set(i, host);
            }
            return Ok(());
        }
        let servers = self.world.deployment.servers.iter().enumerate();
        let numbers: Rc<HashMap<_, _>> = Rc::new(servers.map(|(i, s)| (s.id.clone(), i as u16)).collect());
        for (i, (process, door)) in self.lists.iter().enumerate() {
            list_process(door, i as u16, process, numbers.clone());
        }
        // The one that writes waits for its peers, so all start together.
        for started in join_all((0..self.lists.len() as u16).map(|i| self.start_list(i))).await {
            started?;
        }
        let registering = (0..self.servers.len() as u16).map(|i| async move {
            while !self.register(i).await {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        let registered = timeout(Duration::from_secs(60), join_all(registering)).await;
        registered.map_err(|_| "the list service takes no registrations".to_owned())?;
        for i in 0..self.servers.len() as u16 {
            spawn_local(self.clone().stay_registered(i));
        }
        Ok(())
    }

    /// Starts the coordinators, makes them a cluster, and lets the candidates in.
    async fn begin_coordinators(self: &Rc<Self>) -> Result<(), String> {
        if self.coordinators.is_empty() {
            return Ok(());
        }
        for (process, door) in &self.coordinators {
            process_behind(door, process, |_| Watch::default());
        }
        for started in join_all((0..self.coordinators.len() as u16).map(|i| self.start_coordinator(i))).await
        {
            started?;
        }
        let ports: Vec<u16> = self.coordinators.iter().map(|(_, door)| door.port).collect();
        let most = Duration::from_nanos(BEGIN_MOST);
        let begun = timeout(most, self.begin_cluster(&ports)).await;
        begun
            .map_err(|_| "the coordinators do not begin".to_owned())?
            .map_err(|e| format!("the coordinators: {e}"))?;
        let client = |candidate| {
            let view = address::view(End::Candidate(candidate));
            let addrs = ports.iter().map(|port| format!("{view}:{port}")).collect();
            Client::behind(addrs, Some(view.into()))
        };
        self.owners.replace(Some(Owners::start(&self.world, client)));
        registers::start(&self.world, self.world.scenario.owners.candidates as u16, client);
        Ok(())
    }

    /// By which addresses something reaches the coordinators.
    fn coordinators_of(&self, end: End) -> Vec<String> {
        self.coordinators.iter().map(|(_, door)| place(end, door.port)).collect()
    }

    /// Starts a program that takes `run FILE`, a TOML file.
    async fn run_with(&self, process: &Rc<Process>, folder: &Path, config: &Value) -> Result<(), String> {
        let config = toml::to_string(config).map_err(|e| e.to_string())?;
        let path = folder.join("config.toml");
        let prepare = |command: &mut tokio::process::Command| {
            fs::create_dir_all(folder)?;
            fs::write(&path, config)?;
            command.arg("run").arg(&path);
            Ok(())
        };
        process.start(prepare).await?;
        self.world.record(Event::Lived { end: process.end, life: Life::Ready });
        Ok(())
    }

    /// What an operator's `begin` does, past the links: they are not there yet for whoever sets up the fleet.
    async fn begin_cluster(&self, ports: &[u16]) -> std::io::Result<()> {
        let cluster = self.world.seed | 1;
        let ask = |i: usize, cluster: u64, request: wire::Request| {
            let addr = self.coordinators[i].0.addr().map(|addr| addr.to_string()).unwrap_or_default();
            async move { wire::Channel::connect(&addr, cluster).await?.call(request).await }
        };
        let mut members = std::collections::BTreeMap::new();
        for (i, port) in ports.iter().enumerate() {
            if let wire::Response::Identity { node, .. } = ask(i, 0, wire::Request::Identity).await? {
                members.insert(node, format!("{}:{port}", address::REGISTERED));
            }
            ask(i, 0, wire::Request::Join { cluster }).await?;
        }
        // As `marblecroft-coordination-server begin` has it: all are told at once, and one that has heard of it already says no.
        let begin = || wire::Request::Begin { members: members.clone() };
        let said = join_all((0..ports.len()).map(|i| ask(i, cluster, begin()))).await;
        match said.iter().any(|said| matches!(said, Ok(wire::Response::Done))) {
            true => Ok(()),
            false => Err(std::io::Error::other(format!("{said:?}"))),
        }
    }

    async fn start_coordinator(&self, number: u16) -> Result<(), String> {
        let end = End::Coordinator(number);
        let folder = self.dir.join("tmp").join(end.to_string());
        let mut config = json!({"listen": SocketAddr::from((address::own(end), 0)), "peers_at": address::view(end),
            "data": folder.join("data"), "heartbeat_ms": 50, "election_ms": 300});
        if let Some(more) = self.world.scenario.fleet.coordinator_config.get(usize::from(number)) {
            merge(&mut config, serde_json::to_value(more).map_err(|e| e.to_string())?);
        }
        self.run_with(&self.coordinators[usize::from(number)].0, &folder, &config).await
    }

    async fn start_list(&self, number: u16) -> Result<(), String> {
        let end = End::ListService(number);
        let folder = self.dir.join("tmp").join(end.to_string());
        let peers: Vec<String> = (0..self.ports.lists.len())
            .filter(|i| *i != usize::from(number))
            .map(|i| place(end, self.ports.lists[i]))
            .collect();
        let mut config = json!({"listen": SocketAddr::from((address::own(end), 0)), "data": folder.join("data"),
            "peers": peers, "limits": {"connections": 4096, "watches": 2048}});
        if number > 0 {
            config["follow"] = json!(place(end, self.ports.lists[0]));
            config["peers"] = json!([place(end, self.ports.lists[0])]);
        }
        let path = folder.join("config.json");
        let process = &self.lists[usize::from(number)].0;
        process
            .start(|command| {
                fs::create_dir_all(&folder)?;
                fs::write(&path, config.to_string())?;
                command.arg(&path);
                Ok(())
            })
            .await?;
        self.world.record(Event::Lived { end, life: Life::Ready });
        Ok(())
    }

    /// Calls the list service's writer as a pay server does, through the link between; the status of the answer.
    async fn call(&self, number: u16, call: &str, body: Value) -> Option<u16> {
        let (world, from, to) = (self.world.clone(), End::PayServer(number), End::ListService(0));
        let asked = async move {
            world.until(|world| world.connects(from, to) || world.reset(from, to)).await;
            let addr = self.lists.first()?.0.addr().filter(|_| !world.reset(from, to))?;
            let mut tcp = TcpStream::connect(addr).await.ok()?;
            let (mut outer, inner) = tokio::io::duplex(16 << 10);
            let passing = spawn_local(async move {
                relay(&world, &mut tcp, to, &mut outer, from, Watch::default()).await;
            });
            let (mut sender, connection) = http1::handshake(TokioIo::new(inner)).await.ok()?;
            let serving = spawn_local(async move { drop(connection.await) });
            let request = Request::post(format!("/discovery/{call}")).header("host", "list");
            let answer =
                sender.send_request(request.body(Full::new(Bytes::from(body.to_string()))).ok()?).await;
            let status = answer.ok().map(|answer| answer.status().as_u16());
            drop(sender);
            drop((serving.await, passing.abort()));
            status
        };
        timeout(CALL_MOST, asked).await.ok().flatten()
    }

    async fn register(&self, number: u16) -> bool {
        let host = self.host(number, State::Serving, address::REGISTERED);
        let body = json!({"id": host.id, "addr": host.addr, "zone": host.zone, "kind": host.kind, "cell": host.cell,
            "weight": 1.0, "lease_ms": LEASE_MS});
        let status = self.call(number, "register", body).await;
        if status == Some(200) {
            self.world.record(Event::Registered { server: number, list: 0 });
            return true;
        }
        if status == Some(409) {
            // It is there with another address: the one before has not been let go yet.
            let id = &self.world.deployment.servers[usize::from(number)].id;
            self.call(number, "deregister", json!({ "id": id })).await;
        }
        false
    }

    /// Renews a server's lease while it has a process; registers again where that is refused.
    async fn stay_registered(self: Rc<Self>, number: u16) {
        let id = self.world.deployment.servers[usize::from(number)].id.clone();
        // Spread, so that all do not call at one moment.
        tokio::time::sleep(RENEW_EVERY * u32::from(number % 32) / 32).await;
        loop {
            tokio::time::sleep(RENEW_EVERY).await;
            if !self.registered.borrow()[usize::from(number)] {
                continue;
            }
            self.world.record(Event::Renewed { server: number });
            if self.call(number, "renew", json!({ "id": id })).await == Some(404) {
                self.register(number).await;
            }
        }
    }

    /// A server no longer serves; the list hears of it late.
    async fn leave(&self, number: u16, state: State) {
        if let Some(platform) = &self.platform {
            self.world.sleep_until(self.world.now() + lateness(&self.world, false)).await;
            let host = self.host(number, state, address::REGISTERED);
            platform.set(number, host);
        } else if state == State::Draining {
            let id = &self.world.deployment.servers[usize::from(number)].id;
            self.call(number, "drain", json!({ "id": id })).await;
        }
        if state == State::Deleted {
            // Where it registers itself, its lease ends.
            self.registered.borrow_mut()[usize::from(number)] = false;
        }
    }

    /// A server is started again, cold, at a port of its own.
    async fn return_server(&self, number: u16) -> Result<(), String> {
        let port = self.servers[usize::from(number)].start(true);
        let port = port.map_err(|e| format!("{} cannot listen again: {e}", End::PayServer(number)))?;
        let started = unix_us() / 1000;
        self.places.borrow_mut()[usize::from(number)] = (port, started);
        self.world.record(Event::Lived { end: End::PayServer(number), life: Life::Started });
        if let Some(platform) = &self.platform {
            self.world.sleep_until(self.world.now() + lateness(&self.world, true)).await;
            let host = self.host(number, State::Serving, address::REGISTERED);
            platform.set(number, host);
        } else {
            for _ in 0..50 {
                if self.register(number).await {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        self.registered.borrow_mut()[usize::from(number)] = true;
        Ok(())
    }

    /// One fault, from its begin until it is undone.
    async fn fault(self: Rc<Self>, number: usize, load_from: Nanos) {
        let mut fault = self.world.deployment.faults[number].clone();
        self.world.sleep_until(load_from + fault.at).await;
        self.world.record(Event::FaultBegan { fault: number as u16 });
        tracing::info!(number, kind = ?fault.kind, victims = fault.victims.len(), "a fault begins");
        if let Some(name) = &fault.owner {
            fault.victims = self.owner(name).await.into_iter().collect();
        }
        if let Some(name) = &fault.from_owner {
            fault.from = self.owner(name).await.into_iter().collect();
            if fault.from.is_empty() {
                // Without anybody there is nobody to be cut from.
                fault.victims.clear();
            }
        }
        self.begin(number, &fault);
        if let Some(until) = fault.until {
            self.world.sleep_until(load_from + until).await;
            self.undo(number, &fault).await;
        }
        self.world.record(Event::FaultOver { fault: number as u16 });
        tracing::info!(number, kind = ?fault.kind, "a fault is over");
    }

    /// Whoever owns what this names, now.
    async fn owner(&self, name: &str) -> Option<End> {
        let owner = match name {
            LEADER => self.leader().await,
            name if DUTIES.contains(&name) => self.duty_owner(name).await,
            name => self.owners.borrow().as_ref().and_then(|owners| owners.owner(name)),
        };
        tracing::info!(name, owner = owner.map(tracing::field::display), "the owner");
        owner
    }

    /// The coordinator that leads, by what they say themselves, past the links.
    async fn leader(&self) -> Option<End> {
        let told = self.coordinators.iter().enumerate().map(|(i, (process, _))| async move {
            let addr = process.addr()?.to_string();
            let ask = async { wire::Channel::connect(&addr, 0).await?.call(wire::Request::Status).await };
            match timeout(CALL_MOST, ask).await {
                Ok(Ok(wire::Response::Status(status))) if status.leads => {
                    Some((status.term, End::Coordinator(i as u16)))
                }
                _ => None,
            }
        });
        join_all(told).await.into_iter().flatten().max().map(|(_, end)| end)
    }

    /// Strikes all victims at once; what takes time goes on by itself.
    fn begin(self: &Rc<Self>, number: usize, fault: &Drawn) {
        if fault.kind.of_links() {
            self.world.change_rules(|rules| rules.begin(number, fault));
            self.shut_out();
        }
        for &victim in &fault.victims {
            let process = self.process(victim);
            match (fault.kind, victim) {
                (kind, _) if kind.of_links() => {}
                (FaultKind::Stop, End::PayServer(i)) => self.servers[usize::from(i)].pause(true),
                (FaultKind::Term, End::PayServer(i)) => {
                    self.servers[usize::from(i)].drain();
                    let (lab, for_good) = (self.clone(), fault.until.is_none());
                    spawn_local(async move {
                        lab.leave(i, State::Draining).await;
                        if for_good {
                            lab.world.sleep_until(lab.world.now() + DRAINED).await;
                            lab.servers[usize::from(i)].kill();
                            lab.leave(i, State::Deleted).await;
                        }
                    });
                }
                (_, End::PayServer(i)) => {
                    self.servers[usize::from(i)].kill();
                    self.world.record(Event::Lived { end: victim, life: Life::Ended });
                    // One that returns soon is gone from no list.
                    self.registered.borrow_mut()[usize::from(i)] = false;
                    let soon = lateness(&self.world, false);
                    if fault.until.is_none_or(|until| until > fault.at + soon) {
                        let lab = self.clone();
                        spawn_local(async move { lab.leave(i, State::Deleted).await });
                    }
                }
                (FaultKind::Wipe, End::Counter) => {
                    let mut rng =
                        crate::deployment::chance(self.world.seed, crate::deployment::Stream::Counter);
                    self.counts.iter().for_each(|counts| counts.core.borrow_mut().lose(1.0, &mut rng));
                }
                (FaultKind::Stop, End::Counter | End::ListService(_) | End::Candidate(_) | End::Cell(_))
                    if process.is_none() =>
                {
                    self.world.change_rules(|rules| rules.stand_still(victim, true));
                }
                (kind, End::Counter | End::ListService(_) | End::Cell(_)) if process.is_none() => {
                    self.doors(victim).iter().for_each(|door| door.set(false));
                    if let (FaultKind::Wipe, End::Cell(i)) = (kind, victim) {
                        self.cells.wipe(i);
                    }
                }
                (kind, _) => {
                    let Some(process) = process else { continue };
                    match kind {
                        FaultKind::Stop => process.pause(true),
                        FaultKind::Term => process.terminate(),
                        FaultKind::FullDisk => {
                            process.expect_end(matches!(victim, End::Coordinator(_)));
                            self.note(process.fill_disk(true).map_err(|e| e.to_string()));
                        }
                        _ => drop(spawn_local(async move { process.kill().await })),
                    }
                }
            }
        }
    }

    async fn undo(self: &Rc<Self>, number: usize, fault: &Drawn) {
        if fault.kind.of_links() {
            self.world.change_rules(|rules| rules.end(number));
            self.shut_out();
        }
        let undone = fault.victims.iter().map(|&victim| async move {
            let process = self.process(victim);
            match (fault.kind, victim) {
                (kind, _) if kind.of_links() => Ok(()),
                (FaultKind::Stop, End::PayServer(i)) => {
                    self.servers[usize::from(i)].pause(false);
                    Ok(())
                }
                (_, End::PayServer(i)) => {
                    self.servers[usize::from(i)].kill();
                    // Others go on meanwhile.
                    let lab = self.clone();
                    spawn_local(async move { lab.note(lab.return_server(i).await) });
                    Ok(())
                }
                (_, End::Counter | End::ListService(_) | End::Candidate(_) | End::Cell(_))
                    if process.is_none() =>
                {
                    self.doors(victim).iter().for_each(|door| door.set(true));
                    self.world.change_rules(|rules| rules.stand_still(victim, false));
                    Ok(())
                }
                (kind, _) => {
                    let Some(process) = process else { return Ok(()) };
                    match kind {
                        FaultKind::Stop => {
                            process.pause(false);
                            Ok(())
                        }
                        // A coordinator that could not write has ended, as it must; whoever watches over it starts it again.
                        FaultKind::FullDisk if !process.lives() => self.start_again(victim, false).await,
                        FaultKind::FullDisk => {
                            process.expect_end(false);
                            process.fill_disk(false).map_err(|e| e.to_string())
                        }
                        kind => {
                            process.gone().await;
                            self.start_again(victim, kind == FaultKind::Wipe).await
                        }
                    }
                }
            }
        });
        for done in join_all(undone).await {
            self.note(done);
        }
    }

    async fn start_again(&self, victim: End, wiped: bool) -> Result<(), String> {
        if wiped {
            let folder = self.dir.join("tmp").join(victim.to_string());
            fs::remove_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        }
        match victim {
            End::Gateway(i) => self.start_gateway(i, !wiped).await,
            End::ListService(i) => self.start_list(i).await,
            End::Steward(i) => self.start_steward(i).await,
            End::Coordinator(i) => {
                self.start_coordinator(i).await?;
                if wiped {
                    self.replace_coordinator(i).await?;
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// What an operator does about a coordinator that lost its disk and is somebody else now: the old one is removed, the new
    /// one added.
    async fn replace_coordinator(&self, number: u16) -> Result<(), String> {
        let (process, door) = &self.coordinators[usize::from(number)];
        let addr = format!("{}:{}", address::REGISTERED, door.port);
        let said = |e: &dyn std::fmt::Display| format!("{}: {e}", End::Coordinator(number));
        let own = process.addr().ok_or_else(|| said(&"it is gone again"))?.to_string();
        let told = async { wire::Channel::connect(&own, 0).await?.call(wire::Request::Identity).await };
        let wire::Response::Identity { node, .. } = told.await.map_err(|e| said(&e))? else {
            return Err(said(&"does not say who it is"));
        };
        let view = address::view(End::Clients);
        let ports = self.coordinators.iter().map(|(_, door)| door.port);
        let client = Client::behind(ports.map(|port| format!("{view}:{port}")).collect(), Some(view.into()));
        // The one that is to be replaced answers too; it is of no cluster.
        let status = loop {
            match client.question(|| wire::Request::Status, REPLACE_MOST).await.map_err(|e| said(&e))? {
                wire::Response::Status(status) if status.cluster != 0 && status.leader.is_some() => {
                    break status
                }
                _ => tokio::time::sleep(RENEW_EVERY / 10).await,
            }
        };
        let join = wire::Request::Join { cluster: status.cluster };
        let joined = async { wire::Channel::connect(&own, 0).await?.call(join).await };
        joined.await.map_err(|e| said(&e))?;
        let old = status.members.iter().filter(|(of, at, _)| *at == addr && *of != node).map(|(of, ..)| *of);
        for old in old.collect::<Vec<_>>() {
            let remove = || wire::Request::Remove { node: old };
            client.question(remove, REPLACE_MOST).await.map_err(|e| said(&e))?;
        }
        let add = || wire::Request::Add { node, addr: addr.clone() };
        match client.question(add, REPLACE_MOST).await.map_err(|e| said(&e))? {
            wire::Response::Done => Ok(()),
            other => Err(said(&format!("cannot be added: {other:?}"))),
        }
    }

    /// A failure of the lab ends the run.
    fn note(&self, done: Result<(), String>) {
        if let Err(e) = done {
            self.failure.borrow_mut().get_or_insert(e);
        }
    }

    fn process(&self, end: End) -> Option<Rc<Process>> {
        match end {
            End::Gateway(i) => self.gateways.get(usize::from(i)).cloned(),
            End::ListService(i) => self.lists.get(usize::from(i)).map(|(process, _)| process.clone()),
            End::Coordinator(i) => self.coordinators.get(usize::from(i)).map(|(process, _)| process.clone()),
            End::Steward(i) => self.stewards.get(usize::from(i)).map(|(process, _)| process.clone()),
            _ => None,
        }
    }

    /// The doors of a stand-in that is no pay server.
    fn doors(&self, end: End) -> Vec<Rc<Door>> {
        match end {
            End::Counter => self.counts.iter().map(|counts| counts.door.clone()).collect(),
            End::ListService(_) => self.platform.iter().map(|platform| platform.door.clone()).collect(),
            End::Cell(i) => self.cells.doors.get(usize::from(i)).cloned().into_iter().collect(),
            _ => Vec::new(),
        }
    }

    fn shut_out(&self) {
        self.servers.iter().for_each(|server| server.shut_out());
        let doors = self.lists.iter().chain(&self.coordinators).chain(&self.stewards);
        doors.for_each(|(_, door)| door.shut_out());
        self.counts.iter().for_each(|counts| counts.door.shut_out());
        self.platform.iter().for_each(|platform| platform.door.shut_out());
        self.cells.doors.iter().for_each(|door| door.shut_out());
    }

    /// Ends all processes.
    async fn end(&self) {
        let all = self.gateways.iter().chain(
            self.lists.iter().chain(&self.coordinators).chain(&self.stewards).map(|(process, _)| process),
        );
        join_all(all.filter(|process| process.lives()).map(|process| process.kill())).await;
        // Files of the processes; logs and the history stay.
        drop(fs::remove_dir_all(self.dir.join("tmp")));
    }
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Puts what a table has into another one, deep.
fn merge(into: &mut Value, more: Value) {
    match (into, more) {
        (Value::Object(into), Value::Object(more)) => {
            for (key, value) in more {
                merge(into.entry(key).or_insert(Value::Null), value);
            }
        }
        (into, more) => *into = more,
    }
}

/// Processor time of this process so far, or of the one thread that does nearly all.
fn own_cpu(of: ClockId) -> Nanos {
    let time = clock_gettime(of);
    time.tv_sec as Nanos * SECOND + time.tv_nsec as Nanos
}

/// Tells when the lab's own clock was late, and how busy it is.
async fn heartbeat(world: Rc<World>) {
    let (mut second, mut before) = (world.now(), own_cpu(ClockId::ThreadCPUTime));
    loop {
        let due = world.instant(world.now()) + HEARTBEAT;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed();
        if late > LATE {
            world.record(Event::Stalled { late: late.as_nanos() as u64 });
        }
        let now = world.now();
        if now >= second + SECOND {
            let cpu = own_cpu(ClockId::ThreadCPUTime);
            // For a second that was longer than one, as much as of one.
            let taken = (cpu - before) as f64 * SECOND as f64 / (now - second) as f64;
            world.record(Event::Busy { cpu: taken as Nanos });
            (second, before) = (now, cpu);
        }
    }
}

/// A line on a terminal.
async fn progress(clients: Rc<Clients>, from: Nanos) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let at = clients.now().saturating_sub(from) / SECOND;
        let (asked, served, open) = (clients.asked.get(), clients.served.get(), clients.open.get());
        eprint!("\r{at} s: {asked} asked, {served} served, {open} open ");
    }
}

/// Where a run is kept whose folder nobody named.
pub fn usual_dir(name: &str, seed: u64) -> PathBuf {
    Path::new("target").join("lab").join(format!("{name}-{seed}"))
}
