//! Whole clusters of the coordination service on a virtual clock, from a seed: the real processes' code over links that are cut
//! and late, on disks that crash, tear, fail and are slow, with clocks that run apart; their histories judged as the lab judges
//! real processes. `CLUSTER_SEEDS=1000 cargo test -p marblecroft-fault-injection --test clusters` plays more seeds than usual.

use marblecroft_coordination::client::Client;
use marblecroft_coordination::disk::MemoryDisk;
use marblecroft_coordination::env::{self, Connecting, ConnectionHalves, Env, Network};
use marblecroft_coordination::service::{Service, Settings};
use marblecroft_coordination::state::{Op, Owner};
use marblecroft_coordination::storage::{LogStore, Writer as Writes};
use marblecroft_coordination::wire::{Channel, Request, Response};
use marblecroft_fault_injection::checker::{Checker, Finding};
use marblecroft_fault_injection::deployment::{Deployment, DrawnFault, MS, SECOND};
use marblecroft_fault_injection::endpoint::End;
use marblecroft_fault_injection::figures::Figures;
use marblecroft_fault_injection::history::{Event, Reader, Setup, Writer};
use marblecroft_fault_injection::scenario::{FaultKind, Scenario};
use marblecroft_fault_injection::shell::owners::Owners;
use marblecroft_fault_injection::shell::relay::{relay, Watch};
use marblecroft_fault_injection::shell::{registers, World};
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

/// What a play changes on purpose, to see that the checks see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// Syncs that are acknowledged keep nothing.
    LyingDisks,
    /// Two holders' clocks run at half the speed, far beyond the drift that is allowed.
    SlowClocks,
    /// No mutation: all processes are killed as soon as a write is acknowledged, and start again together.
    AllRestart,
    /// Whoever takes the lead gives tokens from a wall clock that was set back to nothing, after all disks were lost.
    TokensReset,
}

type Job = Pin<Box<dyn Future<Output = ()>>>;

/// Runs what outlives the process that asked for it, as the network does.
#[derive(Clone)]
struct Wires(mpsc::UnboundedSender<Job>);

impl Wires {
    fn new() -> Wires {
        let (jobs, mut asked) = mpsc::unbounded_channel::<Job>();
        spawn_local(async move {
            while let Some(job) = asked.recv().await {
                spawn_local(job);
            }
        });
        Wires(jobs)
    }
}

/// Where a process is called while it is up.
type Doors = Rc<RefCell<BTreeMap<String, mpsc::UnboundedSender<ConnectionHalves>>>>;

struct Links {
    world: Rc<World>,
    from: End,
    doors: Doors,
    wires: Wires,
}

fn name(end: End) -> String {
    end.to_string()
}

fn end_of(name: &str) -> Option<End> {
    (0..5).map(End::Coordinator).find(|end| end.to_string() == name)
}

impl Network for Links {
    fn connect(&self, addr: &str) -> Connecting {
        let (world, from, doors, wires) =
            (self.world.clone(), self.from, self.doors.clone(), self.wires.clone());
        let addr = addr.to_owned();
        Box::pin(async move {
            let to = end_of(&addr).ok_or(io::ErrorKind::NotFound)?;
            sleep(Duration::from_micros(200)).await;
            world.until(|world| world.connects(from, to)).await;
            let door = doors.borrow().get(&addr).cloned().ok_or(io::ErrorKind::ConnectionRefused)?;
            let (near, mut relay_near) = duplex(64 << 10);
            let (mut relay_far, far) = duplex(64 << 10);
            let (read, write) = split(far);
            door.send(ConnectionHalves { read: Box::new(read), write: Box::new(write) })
                .map_err(|_| io::Error::from(io::ErrorKind::ConnectionRefused))?;
            let passing = async move {
                relay(&world, &mut relay_near, from, &mut relay_far, to, Watch::default()).await;
            };
            // Whoever asks may be gone with the play.
            drop(wires.0.send(Box::pin(passing)));
            let (read, write) = split(near);
            Ok(ConnectionHalves { read: Box::new(read), write: Box::new(write) })
        })
    }
}

/// A process: its tasks run together, stand still together, and end together.
struct Process {
    stopped: Cell<bool>,
    killed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Process {
    fn poke(&self) {
        self.waker.borrow_mut().take().into_iter().for_each(Waker::wake);
    }

    fn stop(&self, stopped: bool) {
        self.stopped.set(stopped);
        self.poke();
    }

    fn kill(&self) {
        self.killed.set(true);
        self.poke();
    }

    async fn run(self: Rc<Self>, mut set: LocalSet) {
        poll_fn(|context| {
            self.waker.replace(Some(context.waker().clone()));
            if self.killed.get() {
                return Poll::Ready(());
            }
            if self.stopped.get() {
                return Poll::Pending;
            }
            Pin::new(&mut set).poll(context)
        })
        .await;
    }
}

struct Node {
    end: End,
    env: Env,
    image: RefCell<Vec<u8>>,
    disk: RefCell<MemoryDisk>,
    /// How long a sync takes.
    sync: Rc<Cell<Duration>>,
    process: RefCell<Option<Rc<Process>>>,
    /// It failed by itself, as its disk did.
    failed: Rc<Cell<bool>>,
}

struct Cluster {
    world: Rc<World>,
    doors: Doors,
    wires: Wires,
    nodes: Vec<Node>,
    wall: Rc<Cell<u64>>,
    rng: RefCell<StdRng>,
    crashes: Cell<u64>,
}

/// Clocks run apart by less than the tenth that is allowed.
fn rate(rng: &mut StdRng) -> f64 {
    rng.random_range(0.955..1.045)
}

impl Cluster {
    fn env(&self, from: End, rate: f64) -> Env {
        let wall = self.wall.clone();
        let origin = tokio::time::Instant::now();
        Env {
            network: Rc::new(Links {
                world: self.world.clone(),
                from,
                doors: self.doors.clone(),
                wires: self.wires.clone(),
            }),
            wall_ms: Rc::new(move || wall.get() + origin.elapsed().as_millis() as u64),
            rate,
        }
    }

    fn new(world: &Rc<World>) -> Rc<Cluster> {
        let mut rng = StdRng::seed_from_u64(world.seed ^ 0x5eed);
        let mut cluster = Cluster {
            world: world.clone(),
            doors: Doors::default(),
            wires: Wires::new(),
            nodes: Vec::new(),
            wall: Rc::new(Cell::new(1_700_000_000_000)),
            rng: RefCell::new(StdRng::seed_from_u64(world.seed)),
            crashes: Cell::new(0),
        };
        for i in 0..world.scenario.fleet.coordinators as u16 {
            let end = End::Coordinator(i);
            let env = cluster.env(end, rate(&mut rng));
            cluster.nodes.push(Node {
                end,
                env,
                image: RefCell::default(),
                disk: RefCell::new(MemoryDisk::new(Vec::new())),
                sync: Rc::new(Cell::new(Duration::from_millis(2))),
                process: RefCell::new(None),
                failed: Rc::new(Cell::new(false)),
            });
        }
        let cluster = Rc::new(cluster);
        (0..cluster.nodes.len()).for_each(|i| cluster.start(i));
        // Whoever ended by itself is started again, as a supervisor would.
        let watching = cluster.clone();
        spawn_local(async move {
            loop {
                sleep(Duration::from_millis(200)).await;
                for i in 0..watching.nodes.len() {
                    if watching.nodes[i].failed.get() {
                        watching.kill(i);
                        watching.start(i);
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
        let disk = MemoryDisk::new(node.image.borrow().clone());
        node.disk.replace(disk.clone());
        node.failed.set(false);
        let process = Rc::new(Process {
            stopped: Cell::new(false),
            killed: Cell::new(false),
            waker: RefCell::default(),
        });
        node.process.replace(Some(process.clone()));
        let (calls, mut called) = mpsc::unbounded_channel::<ConnectionHalves>();
        self.doors.borrow_mut().insert(name(node.end), calls);
        let (env, sync, failed) = (node.env.clone(), node.sync.clone(), node.failed.clone());
        let set = LocalSet::new();
        set.spawn_local(async move {
            let takes: Rc<dyn Fn() -> Duration> = Rc::new(move || sync.get());
            let Ok(log) = LogStore::open_on_backend(disk, true, Writes::Task(takes)) else {
                return failed.set(true);
            };
            let settings = Settings {
                translator: None,
                heartbeat_interval: Duration::from_millis(50),
                election_timeout: Duration::from_millis(300),
                entries_per_snapshot: 100,
                max_connections: 256,
                max_calls: 1024,
            };
            let Ok(service) = Service::start(env, settings, log).await else { return failed.set(true) };
            let admitting = service.clone();
            spawn_local(async move {
                while let Some(ends) = called.recv().await {
                    admitting.admit(ends);
                }
            });
            while service.failure().is_none() {
                sleep(Duration::from_millis(50)).await;
            }
            failed.set(true);
        });
        spawn_local(process.run(set));
    }

    fn kill(&self, i: usize) {
        let node = &self.nodes[i];
        let Some(process) = node.process.take() else { return };
        self.crashes.set(self.crashes.get() + 1);
        // What the disk holds is taken first: nothing that ends in order may add to it.
        node.image.replace(node.disk.borrow().after_crash(&mut *self.rng.borrow_mut()));
        self.doors.borrow_mut().remove(&name(node.end));
        process.kill();
    }

    /// As an operator begins a cluster.
    async fn begin(&self) -> io::Result<()> {
        let env = self.env(End::Clients, 1.0);
        let ask = |addr: String, cluster: u64, request: Request| {
            let env = env.clone();
            async move { Channel::connect_in(&env, &addr, cluster).await?.call(request).await }
        };
        let cluster = self.world.seed | 1;
        let mut members = BTreeMap::new();
        for node in &self.nodes {
            if let Response::Identity { node: id, .. } = ask(name(node.end), 0, Request::Identity).await? {
                members.insert(id, name(node.end));
            }
            ask(name(node.end), 0, Request::Join { cluster }).await?;
        }
        match ask(name(self.nodes[0].end), cluster, Request::Begin { members }).await? {
            Response::Done => Ok(()),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    /// All are killed as soon as a write is acknowledged, and are back sooner than anybody misses a heartbeat, so that a leader
    /// goes on in its old term. Whoever reads then reads what was written, as soon as anything is read at all.
    async fn restart_behind_a_write(self: &Rc<Self>, writer: &Client, reader: &Client) {
        let (key, most) = ("behind".to_owned(), Duration::from_secs(10));
        let value = self.world.now().to_le_bytes().to_vec();
        let put = Op::Put { key: key.clone(), value: value.clone(), expect: None, owner: Owner::Nobody };
        writer.call(put, most).await.expect("written");
        (0..self.nodes.len()).for_each(|i| self.kill(i));
        // Each a little later than the one before: what a leader that is up first sends to the others finds nobody, and is sent
        // again much later than it can show that it leads.
        let first = self.rng.borrow_mut().random_range(0..self.nodes.len());
        for i in 0..self.nodes.len() {
            sleep(Duration::from_millis(20)).await;
            self.start((first + i) % self.nodes.len());
        }
        let (_, values) = reader.read(&key, most).await.expect("read");
        let read = values.first().map(|(_, value, _)| value);
        assert!(
            read == Some(&value),
            "seed {}: {read:?} was read, {value:?} had been written",
            self.world.seed
        );
    }

    fn cut(&self, number: usize, kind: FaultKind, victims: Vec<End>, from: Vec<End>, one_way: bool) {
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
        self.world.change_rules(|rules| rules.begin(number, &fault));
    }

    /// One fault and its end, drawn by chance.
    async fn trouble(self: Rc<Self>, number: usize) {
        let draw = |from: u64, to: u64| self.rng.borrow_mut().random_range(from..to);
        let size = self.nodes.len();
        let i = draw(0, size as u64) as usize;
        let end = self.nodes[i].end;
        let others: Vec<End> = self.nodes.iter().map(|node| node.end).filter(|other| *other != end).collect();
        let lasts = Duration::from_millis(draw(50, 2500));
        let mut heals = false;
        match draw(0, 11) {
            0 => self.kill(i),
            // A crash, or syncs that fail, at some step from now.
            1 => self.nodes[i].disk.borrow().stop_in(draw(0, 40), draw(0, 2) == 0),
            2 => {
                let process = self.nodes[i].process.borrow().clone();
                if let Some(process) = process {
                    process.stop(true);
                    sleep(lasts * 2).await;
                    process.stop(false);
                }
            }
            3 => {
                self.nodes[i].sync.set(Duration::from_millis(draw(50, 1000)));
                sleep(lasts).await;
                self.nodes[i].sync.set(Duration::from_millis(2));
            }
            4 => {
                self.cut(number, FaultKind::Cut, vec![end], others, false);
                heals = true;
            }
            5 => {
                self.cut(number, FaultKind::Cut, vec![end], others, true);
                heals = true;
            }
            6 => {
                self.cut(number, FaultKind::Cut, others, vec![end], true);
                heals = true;
            }
            // Answers to clients are lost.
            7 => {
                let clients = (0..9).map(End::Candidate).collect();
                self.cut(number, FaultKind::Cut, clients, vec![end], true);
                heals = true;
            }
            8 => {
                self.cut(number, FaultKind::Lose, vec![end], Vec::new(), false);
                heals = true;
            }
            // Somebody who wants locks stands still, perhaps between a check and an act.
            9 => {
                let candidate = End::Candidate(draw(0, 3) as u16);
                self.world.change_rules(|rules| rules.set_suspended(candidate, true));
                sleep(lasts * 2).await;
                self.world.change_rules(|rules| rules.set_suspended(candidate, false));
            }
            // All at once, or a majority.
            _ => {
                let most = draw(size as u64 / 2 + 1, size as u64 + 1) as usize;
                (0..most).for_each(|i| self.kill(i));
            }
        }
        sleep(lasts).await;
        if heals {
            self.world.change_rules(|rules| rules.end(number));
        }
        (0..size).for_each(|i| self.start(i));
    }
}

thread_local! {
    /// Tasks that panicked in this thread; their runtime keeps that to itself.
    static PANICS: Cell<u64> = const { Cell::new(0) };
}

/// Has panics counted, beside what is done about them anyway.
fn count_panics() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            PANICS.set(PANICS.get() + 1);
            usual(info);
        }));
    });
}

/// What came of one play.
struct Played {
    panics: u64,
    findings: BTreeMap<&'static str, Finding>,
    history: Vec<u8>,
    crashes: u64,
    answered: u64,
    effects: u64,
    late: u64,
}

const TROUBLE: u64 = 12 * SECOND;
const REST: u64 = 5 * SECOND;

fn play(seed: u64, mutation: Mutation) -> Played {
    let size = if seed.is_multiple_of(2) { 3 } else { 5 };
    let text = format!(
        "[fleet]\ngateways = 0\npay_servers = 1\ncoordinators = {size}\n[owners]\ncandidates = 3\nlocks = 2\nsession_ms = 1000\n\
         [registers]\nclients = 3\nregisters = 3\nevery_ms = 150\nwatchers = 1\n"
    );
    let scenario = Scenario::parse(&text).expect("usable");
    let deployment = Deployment::draw(&scenario, seed).expect("draws");
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("marblecroft-cluster-{}-{number}", std::process::id()));
    env::seed(seed);
    count_panics();
    PANICS.set(0);
    let file = File::create(&path).expect("a file");
    // Not a runtime that is local itself: each process has its own set of tasks.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    let set = LocalSet::new();
    let crashes = set.block_on(&runtime, async {
        let world = World::new(scenario, deployment, seed, Writer::new(file).expect("a head"));
        world.record(Event::Setup(Box::new(Setup {
            scenario: "clusters".to_owned(),
            seed,
            text: text.clone(),
            latency_target: SECOND,
            deadline: 4 * SECOND,
            duration: TROUBLE + REST,
            gateways: 0,
            coordinators: size,
            zones: vec!["hall-a".to_owned()],
            ..Setup::default()
        })));
        let cluster = Cluster::new(&world);
        let begun = timeout(Duration::from_secs(20), cluster.begin()).await;
        begun.expect("in time").expect("it begins");
        // Everything on the way takes a little, and changes places.
        let all: Vec<End> = cluster.nodes.iter().map(|node| node.end).collect();
        cluster.cut(usize::MAX, FaultKind::Delay, all, Vec::new(), false);
        let addrs: Vec<String> = cluster.nodes.iter().map(|node| name(node.end)).collect();
        let rates = RefCell::new(StdRng::seed_from_u64(seed ^ 0xc10c));
        let client = |candidate: u16| {
            let mut rate = rate(&mut rates.borrow_mut());
            if mutation == Mutation::SlowClocks && candidate < 2 {
                rate = 0.5;
            }
            Client::in_env(cluster.env(End::Candidate(candidate), rate), addrs.clone(), None)
        };
        let owners = Owners::start(&world, client);
        registers::start(&world, world.scenario.owners.candidates as u16, client);
        let mut number = 0;
        while world.now() < TROUBLE {
            let pause = cluster.rng.borrow_mut().random_range(100..1500);
            sleep(Duration::from_millis(pause)).await;
            if mutation == Mutation::LyingDisks {
                cluster.nodes.iter().for_each(|node| node.disk.borrow().ignore_syncs(true));
            }
            if mutation == Mutation::TokensReset && number == 4 {
                // All lost, disks and the time: the one case in which tokens fall, as the page says.
                (0..cluster.nodes.len()).for_each(|i| cluster.kill(i));
                cluster.nodes.iter().for_each(|node| node.image.borrow_mut().clear());
                cluster.wall.set(0);
                sleep(Duration::from_secs(2)).await;
                (0..cluster.nodes.len()).for_each(|i| cluster.start(i));
                drop(timeout(Duration::from_secs(5), cluster.begin()).await);
                number += 1;
                continue;
            }
            if mutation == Mutation::AllRestart {
                cluster
                    .restart_behind_a_write(&client(100 + number as u16), &client(200 + number as u16))
                    .await;
            } else if mutation == Mutation::SlowClocks {
                // Whoever holds a lock is cut off, so that its session ends while it goes on.
                let owner = owners.owner("lock-0").into_iter().collect::<Vec<_>>();
                if !owner.is_empty() {
                    let all = cluster.nodes.iter().map(|node| node.end).collect();
                    cluster.cut(number, FaultKind::Cut, owner, all, false);
                    sleep(Duration::from_secs(2)).await;
                    world.change_rules(|rules| rules.end(number));
                }
            } else if mutation != Mutation::TokensReset {
                spawn_local(cluster.clone().trouble(number));
            }
            number += 1;
        }
        world.sleep_until(TROUBLE + REST).await;
        world.record(Event::Finished { harness_cpu: 0, fleet_cpu: 0 });
        world.flush().expect("written");
        cluster.crashes.get()
    });
    drop(set);
    let history = fs::read(&path).expect("just written");
    drop(fs::remove_file(&path));
    let (mut judge, mut answered, mut effects, mut late) = (Checker::default(), 0, 0, 0);
    let mut figures = Figures::new();
    let read = Reader::new(history.as_slice()).expect("a history").each(|event| {
        match &event.event {
            Event::CallReturned { .. } if event.at > TROUBLE + REST - 2 * SECOND => answered += 1,
            Event::Effect { admitted: true, .. } => effects += 1,
            Event::Effect { .. } => late += 1,
            _ => {}
        }
        figures.take(&event);
        judge.observe(&event);
    });
    read.expect("whole");
    let findings = judge.findings().expect("complete");
    Played { panics: PANICS.get(), findings, history, crashes, answered, effects, late }
}

const JUDGED: [&str; 4] = ["one_owner", "fenced", "tokens_rise", "nothing_acknowledged_lost"];

fn broken(played: &Played) -> BTreeSet<&'static str> {
    JUDGED.into_iter().filter(|name| played.findings[name].holds != Some(true)).collect()
}

fn seeds() -> u64 {
    std::env::var("CLUSTER_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(40)
}

/// Plays each of these seeds, some at a time.
fn play_all(seeds: std::ops::Range<u64>, mutation: Mutation) -> Vec<(u64, Played)> {
    let threads = std::thread::available_parallelism().map_or(4, std::num::NonZero::get) as u64;
    std::thread::scope(|scope| {
        let each: Vec<_> = (0..threads)
            .map(|thread| {
                let own = seeds.clone().filter(move |seed| seed % threads == thread);
                scope.spawn(move || own.map(|seed| (seed, play(seed, mutation))).collect::<Vec<_>>())
            })
            .collect();
        each.into_iter().flat_map(|thread| thread.join().expect("no play panics")).collect()
    })
}

#[test]
fn clusters_keep_their_word_whatever_crashes_is_cut_off_or_slow() {
    let played = play_all(1..1 + seeds(), Mutation::None);
    let (mut crashes, mut effects, mut late) = (0, 0, 0);
    for (seed, played) in &played {
        let broken = broken(played);
        assert!(broken.is_empty(), "seed {seed}: {broken:?} {:?}", played.findings);
        assert_eq!(played.panics, 0, "seed {seed}");
        assert!(played.answered > 0, "seed {seed}: it answers again once all is well");
        crashes += played.crashes;
        effects += played.effects;
        late += played.late;
    }
    println!("{} plays: {crashes} crashes, {effects} effects, {late} came late", played.len());
    assert!(crashes as usize > played.len() && effects as usize > 50 * played.len());
}

#[test]
fn a_leader_that_is_back_in_its_old_term_has_forgotten_nothing() {
    for (seed, played) in play_all(1..9, Mutation::AllRestart) {
        assert!(broken(&played).is_empty(), "seed {seed}: {:?}", played.findings);
        assert!(played.answered > 0 && played.crashes > 20, "seed {seed}: {} crashes", played.crashes);
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    for seed in [2, 3] {
        let (one, other) = (play(seed, Mutation::None), play(seed, Mutation::None));
        assert!(one.history == other.history, "seed {seed}");
    }
}

#[test]
fn each_mutation_is_seen() {
    for (mutation, name) in [
        (Mutation::LyingDisks, "nothing_acknowledged_lost"),
        (Mutation::SlowClocks, "one_owner"),
        (Mutation::TokensReset, "tokens_rise"),
    ] {
        let seen =
            play_all(1..13, mutation).iter().filter(|(_, played)| broken(played).contains(name)).count();
        println!("{mutation:?}: {name} broken in {seen} of 12 plays");
        assert!(seen > 0, "{mutation:?}");
    }
}
