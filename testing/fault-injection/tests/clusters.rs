//! Deterministic simulation of complete clusters of the coordination service, on a virtual clock and from a
//! seed. The code of the real processes runs over links that are cut or slow, on disks that crash, tear
//! writes, fail or are slow, with clocks that drift apart. The histories are checked like those of real
//! processes. `CLUSTER_SEEDS=1000 cargo test -p marblecroft-fault-injection --test clusters` runs more seeds
//! than the default.

use marblecroft_coordination::client::Client;
use marblecroft_coordination::disk::MemoryDisk;
use marblecroft_coordination::env::{self, Connecting, ConnectionHalves, Env, Network};
use marblecroft_coordination::service::{Service, Settings};
use marblecroft_coordination::state::{Op, Owner};
use marblecroft_coordination::storage::{LogStore, Writer as LogWriter};
use marblecroft_coordination::wire::{Channel, Request, Response};
use marblecroft_fault_injection::checker::{Checker, Finding};
use marblecroft_fault_injection::deployment::{Deployment, DrawnFault, MS, SECOND};
use marblecroft_fault_injection::endpoint::Endpoint;
use marblecroft_fault_injection::figures::Figures;
use marblecroft_fault_injection::harness::candidates::Candidates;
use marblecroft_fault_injection::harness::relay::{relay, Observer};
use marblecroft_fault_injection::harness::{registers, RunContext};
use marblecroft_fault_injection::history::{Event, Reader, Setup, Writer};
use marblecroft_fault_injection::scenario::{FaultKind, Scenario};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::io::{duplex, split};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// A defect that a run injects on purpose, to test that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Disks acknowledge syncs without keeping the data.
    IgnoredSyncs,
    /// The clocks of two candidates run at half the speed, far beyond the allowed drift.
    SlowClocks,
    /// Not a defect: all processes are killed as soon as a write is acknowledged, and restart together.
    RestartAll,
    /// All disks are lost and the wall clock is set back to zero, so that a new leader issues lower tokens.
    TokensReset,
}

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// Runs tasks that outlive the process that started them, like the network's.
#[derive(Clone)]
struct TaskRunner(mpsc::UnboundedSender<Task>);

impl TaskRunner {
    fn new() -> TaskRunner {
        let (sender, mut tasks) = mpsc::unbounded_channel::<Task>();
        spawn_local(async move {
            while let Some(task) = tasks.recv().await {
                spawn_local(task);
            }
        });
        TaskRunner(sender)
    }
}

/// The connection channels of the running processes, by name.
type Endpoints = Rc<RefCell<BTreeMap<String, mpsc::UnboundedSender<ConnectionHalves>>>>;

struct Links {
    context: Rc<RunContext>,
    from: Endpoint,
    endpoints: Endpoints,
    task_runner: TaskRunner,
}

fn name(endpoint: Endpoint) -> String {
    endpoint.to_string()
}

fn endpoint_of(name: &str) -> Option<Endpoint> {
    (0..5).map(Endpoint::Coordinator).find(|endpoint| endpoint.to_string() == name)
}

impl Network for Links {
    fn connect(&self, addr: &str) -> Connecting {
        let (context, from, endpoints, task_runner) =
            (self.context.clone(), self.from, self.endpoints.clone(), self.task_runner.clone());
        let addr = addr.to_owned();
        Box::pin(async move {
            let to = endpoint_of(&addr).ok_or(io::ErrorKind::NotFound)?;
            sleep(Duration::from_micros(200)).await;
            context.wait_until(|context| context.can_connect(from, to)).await;
            let endpoint = endpoints.borrow().get(&addr).cloned().ok_or(io::ErrorKind::ConnectionRefused)?;
            let (near, mut relay_near) = duplex(64 << 10);
            let (mut relay_far, far) = duplex(64 << 10);
            let (read, write) = split(far);
            endpoint
                .send(ConnectionHalves { read: Box::new(read), write: Box::new(write) })
                .map_err(|_| io::Error::from(io::ErrorKind::ConnectionRefused))?;
            let relaying = async move {
                relay(&context, &mut relay_near, from, &mut relay_far, to, Observer::default()).await;
            };
            // The send fails if the run has ended.
            drop(task_runner.0.send(Box::pin(relaying)));
            let (read, write) = split(near);
            Ok(ConnectionHalves { read: Box::new(read), write: Box::new(write) })
        })
    }
}

/// A process, whose tasks run, are suspended and end together.
struct Process {
    suspended: Cell<bool>,
    killed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Process {
    fn wake(&self) {
        self.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
    }

    fn set_suspended(&self, suspended: bool) {
        self.suspended.set(suspended);
        self.wake();
    }

    fn kill(&self) {
        self.killed.set(true);
        self.wake();
    }

    async fn run(self: Rc<Self>, mut set: LocalSet) {
        poll_fn(|context| {
            self.waker.replace(Some(context.waker().clone()));
            if self.killed.get() {
                return Poll::Ready(());
            }
            if self.suspended.get() {
                return Poll::Pending;
            }
            Pin::new(&mut set).poll(context)
        })
        .await;
    }
}

struct Node {
    endpoint: Endpoint,
    env: Env,
    disk_image: RefCell<Vec<u8>>,
    disk: RefCell<MemoryDisk>,
    /// Duration of a sync.
    sync_time: Rc<Cell<Duration>>,
    process: RefCell<Option<Rc<Process>>>,
    /// The process has failed, for example because its disk failed.
    has_failed: Rc<Cell<bool>>,
}

struct Cluster {
    context: Rc<RunContext>,
    endpoints: Endpoints,
    task_runner: TaskRunner,
    nodes: Vec<Node>,
    wall: Rc<Cell<u64>>,
    rng: RefCell<StdRng>,
    crashes: Cell<u64>,
}

/// Draws the rate of a clock. Clocks drift apart by less than the 10 % that are allowed.
fn clock_rate(rng: &mut StdRng) -> f64 {
    rng.random_range(0.955..1.045)
}

impl Cluster {
    fn env(&self, from: Endpoint, clock_rate: f64) -> Env {
        let wall = self.wall.clone();
        let origin = tokio::time::Instant::now();
        Env {
            network: Rc::new(Links {
                context: self.context.clone(),
                from,
                endpoints: self.endpoints.clone(),
                task_runner: self.task_runner.clone(),
            }),
            wall_ms: Rc::new(move || wall.get() + origin.elapsed().as_millis() as u64),
            rate: clock_rate,
        }
    }

    fn new(context: &Rc<RunContext>) -> Rc<Cluster> {
        let mut rng = StdRng::seed_from_u64(context.seed ^ 0x5eed);
        let mut cluster = Cluster {
            context: context.clone(),
            endpoints: Endpoints::default(),
            task_runner: TaskRunner::new(),
            nodes: Vec::new(),
            wall: Rc::new(Cell::new(1_700_000_000_000)),
            rng: RefCell::new(StdRng::seed_from_u64(context.seed)),
            crashes: Cell::new(0),
        };
        for i in 0..context.scenario.fleet.coordinators as u16 {
            let endpoint = Endpoint::Coordinator(i);
            let env = cluster.env(endpoint, clock_rate(&mut rng));
            cluster.nodes.push(Node {
                endpoint,
                env,
                disk_image: RefCell::default(),
                disk: RefCell::new(MemoryDisk::new(Vec::new())),
                sync_time: Rc::new(Cell::new(Duration::from_millis(2))),
                process: RefCell::new(None),
                has_failed: Rc::new(Cell::new(false)),
            });
        }
        let cluster = Rc::new(cluster);
        (0..cluster.nodes.len()).for_each(|i| cluster.start(i));
        // Restarts failed processes, as a supervisor would.
        let supervised = cluster.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_millis(200)).await;
                for i in 0..supervised.nodes.len() {
                    if supervised.nodes[i].has_failed.get() {
                        supervised.kill(i);
                        supervised.start(i);
                    }
                }
            }
        });
        cluster
    }

    fn start(self: &Rc<Self>, i: usize) {
        let node = &self.nodes[i];
        if node.process.borrow().is_some() {
            return;
        }
        let disk = MemoryDisk::new(node.disk_image.borrow().clone());
        node.disk.replace(disk.clone());
        node.has_failed.set(false);
        let process = Rc::new(Process {
            suspended: Cell::new(false),
            killed: Cell::new(false),
            waker: RefCell::default(),
        });
        node.process.replace(Some(process.clone()));
        let (connections, mut accepted) = mpsc::unbounded_channel::<ConnectionHalves>();
        self.endpoints.borrow_mut().insert(name(node.endpoint), connections);
        let (env, sync_time, has_failed) =
            (node.env.clone(), node.sync_time.clone(), node.has_failed.clone());
        let set = LocalSet::new();
        set.spawn_local(async move {
            let sync_duration: Rc<dyn Fn() -> Duration> = Rc::new(move || sync_time.get());
            let Ok(log) = LogStore::open_on_backend(disk, true, LogWriter::Task(sync_duration)) else {
                return has_failed.set(true);
            };
            let settings = Settings {
                translator: None,
                heartbeat_interval: Duration::from_millis(50),
                election_timeout: Duration::from_millis(300),
                entries_per_snapshot: 100,
                max_connections: 256,
                max_calls: 1024,
            };
            let Ok(service) = Service::start(env, settings, log).await else { return has_failed.set(true) };
            let accepting = service.clone();
            spawn_local(async move {
                while let Some(ends) = accepted.recv().await {
                    accepting.admit(ends);
                }
            });
            while service.failure().is_none() {
                sleep(Duration::from_millis(50)).await;
            }
            has_failed.set(true);
        });
        spawn_local(process.run(set));
    }

    fn kill(&self, i: usize) {
        let node = &self.nodes[i];
        let Some(process) = node.process.take() else { return };
        self.crashes.set(self.crashes.get() + 1);
        // Saves the disk's content first, so that tasks that are dropped cannot add to it.
        node.disk_image.replace(node.disk.borrow().after_crash(&mut *self.rng.borrow_mut()));
        self.endpoints.borrow_mut().remove(&name(node.endpoint));
        process.kill();
    }

    /// Forms the cluster, like an operator's `begin`.
    async fn form_cluster(&self) -> io::Result<()> {
        let env = self.env(Endpoint::Clients, 1.0);
        let call = |addr: String, cluster: u64, request: Request| {
            let env = env.clone();
            async move { Channel::connect_in(&env, &addr, cluster).await?.call(request).await }
        };
        let cluster = self.context.seed | 1;
        let mut members = BTreeMap::new();
        for node in &self.nodes {
            if let Response::Identity { node: id, .. } =
                call(name(node.endpoint), 0, Request::Identity).await?
            {
                members.insert(id, name(node.endpoint));
            }
            call(name(node.endpoint), 0, Request::Join { cluster }).await?;
        }
        match call(name(self.nodes[0].endpoint), cluster, Request::Begin { members }).await? {
            Response::Done => Ok(()),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    /// Kills all processes as soon as a write is acknowledged, and restarts them before any of them misses a
    /// heartbeat, so that the leader continues in its old term. The first successful read must return the
    /// write.
    async fn restart_all_after_write(self: &Rc<Self>, writer: &Client, reader: &Client) {
        let (key, limit) = ("behind".to_owned(), Duration::from_secs(10));
        let value = self.context.now().to_le_bytes().to_vec();
        let put = Op::Put { key: key.clone(), value: value.clone(), expect: None, owner: Owner::Nobody };
        writer.call(put, limit).await.expect("the write succeeds");
        (0..self.nodes.len()).for_each(|i| self.kill(i));
        // Restarts each process 20 ms after the one before. If the leader restarts first, its first messages
        // find no receiver and are sent again only long after it can have confirmed its leadership.
        let first = self.rng.borrow_mut().random_range(0..self.nodes.len());
        for i in 0..self.nodes.len() {
            sleep(Duration::from_millis(20)).await;
            self.start((first + i) % self.nodes.len());
        }
        let (_, values) = reader.read(&key, limit).await.expect("the read succeeds");
        let read = values.first().map(|(_, value, _)| value);
        assert!(
            read == Some(&value),
            "seed {}: read {read:?} after the acknowledged write of {value:?}",
            self.context.seed
        );
    }

    fn add_link_fault(
        &self,
        number: usize,
        kind: FaultKind,
        victims: Vec<Endpoint>,
        from: Vec<Endpoint>,
        one_way: bool,
    ) {
        let fault = DrawnFault {
            kind,
            at: 0,
            until: None,
            victims,
            owner: None,
            from_owner: None,
            from,
            one_way,
            reset: false,
            delay: 300_000,
            jitter: 40 * MS,
            probability: 0.1,
        };
        self.context.change_link_faults(|link_faults| link_faults.begin(number, &fault));
    }

    /// Injects one random fault and ends it.
    async fn inject_random_fault(self: Rc<Self>, number: usize) {
        let draw = |from: u64, to: u64| self.rng.borrow_mut().random_range(from..to);
        let size = self.nodes.len();
        let i = draw(0, size as u64) as usize;
        let endpoint = self.nodes[i].endpoint;
        let others: Vec<Endpoint> =
            self.nodes.iter().map(|node| node.endpoint).filter(|other| *other != endpoint).collect();
        let duration = Duration::from_millis(draw(50, 2500));
        let mut ends_link_fault = false;
        match draw(0, 11) {
            0 => self.kill(i),
            // The disk crashes, or its syncs fail, after some more steps.
            1 => self.nodes[i].disk.borrow().stop_in(draw(0, 40), draw(0, 2) == 0),
            2 => {
                let process = self.nodes[i].process.borrow().clone();
                if let Some(process) = process {
                    process.set_suspended(true);
                    sleep(duration * 2).await;
                    process.set_suspended(false);
                }
            }
            3 => {
                self.nodes[i].sync_time.set(Duration::from_millis(draw(50, 1000)));
                sleep(duration).await;
                self.nodes[i].sync_time.set(Duration::from_millis(2));
            }
            4 => {
                self.add_link_fault(number, FaultKind::Cut, vec![endpoint], others, false);
                ends_link_fault = true;
            }
            5 => {
                self.add_link_fault(number, FaultKind::Cut, vec![endpoint], others, true);
                ends_link_fault = true;
            }
            6 => {
                self.add_link_fault(number, FaultKind::Cut, others, vec![endpoint], true);
                ends_link_fault = true;
            }
            // Responses to clients are lost.
            7 => {
                let clients = (0..9).map(Endpoint::Candidate).collect();
                self.add_link_fault(number, FaultKind::Cut, clients, vec![endpoint], true);
                ends_link_fault = true;
            }
            8 => {
                self.add_link_fault(number, FaultKind::Lose, vec![endpoint], Vec::new(), false);
                ends_link_fault = true;
            }
            // A candidate is suspended, possibly between a check and an action.
            9 => {
                let candidate = Endpoint::Candidate(draw(0, 3) as u16);
                self.context.change_link_faults(|link_faults| link_faults.set_suspended(candidate, true));
                sleep(duration * 2).await;
                self.context.change_link_faults(|link_faults| link_faults.set_suspended(candidate, false));
            }
            // A majority or all processes are killed at once.
            _ => {
                let killed = draw(size as u64 / 2 + 1, size as u64 + 1) as usize;
                (0..killed).for_each(|i| self.kill(i));
            }
        }
        sleep(duration).await;
        if ends_link_fault {
            self.context.change_link_faults(|link_faults| link_faults.end(number));
        }
        (0..size).for_each(|i| self.start(i));
    }
}

thread_local! {
    /// Number of tasks that panicked in this thread, which the runtime does not report.
    static PANICS: Cell<u64> = const { Cell::new(0) };
}

/// Installs a panic hook that counts panics and calls the default hook.
fn count_panics() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let default_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.set(PANICS.get() + 1);
            default_hook(info);
        }));
    });
}

/// The result of one run.
struct ClusterRun {
    panics: u64,
    findings: BTreeMap<&'static str, Finding>,
    history: Vec<u8>,
    crashes: u64,
    answered: u64,
    effects: u64,
    rejected_effects: u64,
}

const FAULT_PERIOD: u64 = 12 * SECOND;
const RECOVERY_PERIOD: u64 = 5 * SECOND;

fn run_cluster(seed: u64, mutation: Mutation) -> ClusterRun {
    let size = if seed.is_multiple_of(2) { 3 } else { 5 };
    let text = format!(
        "[fleet]\ngateways = 0\npay_servers = 1\ncoordinators = {size}\n[owners]\ncandidates = 3\nlocks = 2\nsession_ms = 1000\n\
         [registers]\nclients = 3\nregisters = 3\nevery_ms = 150\nwatchers = 1\n"
    );
    let scenario = Scenario::parse(&text).expect("the scenario is valid");
    let deployment = Deployment::draw(&scenario, seed).expect("the deployment can be drawn");
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("marblecroft-cluster-{}-{number}", std::process::id()));
    env::seed(seed);
    count_panics();
    PANICS.set(0);
    let file = File::create(&path).expect("the history file can be created");
    // Not a `LocalRuntime`, because each process has its own `LocalSet`.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("the runtime starts");
    let set = LocalSet::new();
    let crashes = set.block_on(&runtime, async {
        let context = RunContext::new(
            scenario,
            deployment,
            seed,
            Writer::new(file).expect("the header of the history is written"),
        );
        context.record(Event::Setup(Box::new(Setup {
            scenario: "clusters".to_owned(),
            seed,
            text: text.clone(),
            latency_target: SECOND,
            deadline: 4 * SECOND,
            duration: FAULT_PERIOD + RECOVERY_PERIOD,
            gateways: 0,
            coordinators: size,
            zones: vec!["hall-a".to_owned()],
            ..Setup::default()
        })));
        let cluster = Cluster::new(&context);
        let formed = timeout(Duration::from_secs(20), cluster.form_cluster()).await;
        formed.expect("the cluster forms in time").expect("the cluster forms");
        // All messages are delayed by a small random time, so they may be reordered.
        let all: Vec<Endpoint> = cluster.nodes.iter().map(|node| node.endpoint).collect();
        cluster.add_link_fault(usize::MAX, FaultKind::Delay, all, Vec::new(), false);
        let addrs: Vec<String> = cluster.nodes.iter().map(|node| name(node.endpoint)).collect();
        let rates = RefCell::new(StdRng::seed_from_u64(seed ^ 0xc10c));
        let client = |candidate: u16| {
            let mut clock_rate = clock_rate(&mut rates.borrow_mut());
            if mutation == Mutation::SlowClocks && candidate < 2 {
                clock_rate = 0.5;
            }
            Client::in_env(cluster.env(Endpoint::Candidate(candidate), clock_rate), addrs.clone(), None)
        };
        let candidates = Candidates::start(&context, client);
        registers::start(&context, context.scenario.owners.candidates as u16, client);
        let mut number = 0;
        while context.now() < FAULT_PERIOD {
            let pause = cluster.rng.borrow_mut().random_range(100..1500);
            sleep(Duration::from_millis(pause)).await;
            if mutation == Mutation::IgnoredSyncs {
                cluster.nodes.iter().for_each(|node| node.disk.borrow().ignore_syncs(true));
            }
            if mutation == Mutation::TokensReset && number == 4 {
                // All disks are lost and the wall clock is set back: the only case in which tokens may
                // decrease, as documented.
                (0..cluster.nodes.len()).for_each(|i| cluster.kill(i));
                cluster.nodes.iter().for_each(|node| node.disk_image.borrow_mut().clear());
                cluster.wall.set(0);
                sleep(Duration::from_secs(2)).await;
                (0..cluster.nodes.len()).for_each(|i| cluster.start(i));
                drop(timeout(Duration::from_secs(5), cluster.form_cluster()).await);
                number += 1;
                continue;
            }
            if mutation == Mutation::RestartAll {
                cluster
                    .restart_all_after_write(&client(100 + number as u16), &client(200 + number as u16))
                    .await;
            } else if mutation == Mutation::SlowClocks {
                // The owner of a lock is cut off, so that its session expires while it continues to act.
                let owner = candidates.lock_owner("lock-0").into_iter().collect::<Vec<_>>();
                if !owner.is_empty() {
                    let all = cluster.nodes.iter().map(|node| node.endpoint).collect();
                    cluster.add_link_fault(number, FaultKind::Cut, owner, all, false);
                    sleep(Duration::from_secs(2)).await;
                    context.change_link_faults(|link_faults| link_faults.end(number));
                }
            } else if mutation != Mutation::TokensReset {
                spawn_local(cluster.clone().inject_random_fault(number));
            }
            number += 1;
        }
        context.sleep_until(FAULT_PERIOD + RECOVERY_PERIOD).await;
        context.record(Event::Finished { harness_cpu: 0, fleet_cpu: 0 });
        context.flush().expect("the history is written");
        cluster.crashes.get()
    });
    drop(set);
    let history = fs::read(&path).expect("the history file exists");
    drop(fs::remove_file(&path));
    let (mut checker, mut answered, mut effects, mut rejected_effects) = (Checker::default(), 0, 0, 0);
    let mut figures = Figures::new();
    let read = Reader::new(history.as_slice()).expect("the history is readable").each(|event| {
        match &event.event {
            Event::CallReturned { .. } if event.at > FAULT_PERIOD + RECOVERY_PERIOD - 2 * SECOND => {
                answered += 1
            }
            Event::Effect { admitted: true, .. } => effects += 1,
            Event::Effect { .. } => rejected_effects += 1,
            _ => {}
        }
        figures.take(&event);
        checker.observe(&event);
    });
    read.expect("the history is complete");
    let findings = checker.findings().expect("the history has a setup and an end");
    ClusterRun { panics: PANICS.get(), findings, history, crashes, answered, effects, rejected_effects }
}

const CHECKED_INVARIANTS: [&str; 4] = ["one_owner", "fenced", "tokens_rise", "nothing_acknowledged_lost"];

fn violated(run: &ClusterRun) -> BTreeSet<&'static str> {
    CHECKED_INVARIANTS.into_iter().filter(|name| run.findings[name].holds != Some(true)).collect()
}

fn seeds() -> u64 {
    std::env::var("CLUSTER_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(40)
}

/// Runs all seeds, distributed over the available processors.
fn run_seeds(seeds: std::ops::Range<u64>, mutation: Mutation) -> Vec<(u64, ClusterRun)> {
    let threads = std::thread::available_parallelism().map_or(4, std::num::NonZero::get) as u64;
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|thread| {
                let own = seeds.clone().filter(move |seed| seed % threads == thread);
                scope.spawn(move || own.map(|seed| (seed, run_cluster(seed, mutation))).collect::<Vec<_>>())
            })
            .collect();
        workers.into_iter().flat_map(|thread| thread.join().expect("no run panics")).collect()
    })
}

#[test]
fn clusters_keep_the_invariants_under_crashes_cut_links_and_slow_disks() {
    let runs = run_seeds(1..1 + seeds(), Mutation::None);
    let (mut crashes, mut effects, mut rejected_effects) = (0, 0, 0);
    for (seed, run) in &runs {
        let violated = violated(run);
        assert!(violated.is_empty(), "seed {seed}: {violated:?} {:?}", run.findings);
        assert_eq!(run.panics, 0, "seed {seed}");
        assert!(run.answered > 0, "seed {seed}: no call is answered after the faults have ended");
        crashes += run.crashes;
        effects += run.effects;
        rejected_effects += run.rejected_effects;
    }
    println!(
        "{} runs: {crashes} crashes, {effects} effects, {rejected_effects} rejected as late",
        runs.len()
    );
    assert!(crashes as usize > runs.len() && effects as usize > 50 * runs.len());
}

#[test]
fn a_leader_restarted_in_its_old_term_loses_no_acknowledged_write() {
    for (seed, run) in run_seeds(1..9, Mutation::RestartAll) {
        assert!(violated(&run).is_empty(), "seed {seed}: {:?}", run.findings);
        assert!(run.answered > 0 && run.crashes > 20, "seed {seed}: {} crashes", run.crashes);
    }
}

#[test]
fn the_same_seed_gives_the_same_history() {
    for seed in [2, 3] {
        let (one, other) = (run_cluster(seed, Mutation::None), run_cluster(seed, Mutation::None));
        assert!(one.history == other.history, "seed {seed}");
    }
}

#[test]
fn each_mutation_is_detected() {
    for (mutation, name) in [
        (Mutation::IgnoredSyncs, "nothing_acknowledged_lost"),
        (Mutation::SlowClocks, "one_owner"),
        (Mutation::TokensReset, "tokens_rise"),
    ] {
        let detected =
            run_seeds(1..13, mutation).iter().filter(|(_, run)| violated(run).contains(name)).count();
        println!("{mutation:?}: {name} violated in {detected} of 12 runs");
        assert!(detected > 0, "{mutation:?}");
    }
}
