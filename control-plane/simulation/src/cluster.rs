//! Machines, the network between them, and the order of events.

use crate::checker::Checker;
use crate::clients::Client;
use crate::disk::Disk;
use crate::faults::Fault;
use fastrand::Rng;
use marblecroft_batch_state::BatchState;
use marblecroft_chain_replication::{Status, Token, View};
use marblecroft_control_plane_core::coordinator::{self, Coordinator};
use marblecroft_control_plane_core::operator::Call as OperatorCall;
use marblecroft_control_plane_core::store::{self, Store};
use marblecroft_control_plane_core::{member, Node, Time};
use marblecroft_control_state::ControlState;
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use marblecroft_protocol::servers::Server;
use marblecroft_protocol::store::{StoreReply, StoreRequest};
use marblecroft_rpc::http::Reply as OperatorReply;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::info;

/// Port at which processes call each other, on all machines.
const INTERNAL_PORT: u16 = 7720;
/// Port of the operator's API.
const OPERATOR_PORT: u16 = 8166;
/// Founders of the coordinators' chain.
const FOUNDERS: usize = 3;
/// What a write and its sync take on a disk that is well.
const SYNC_TIME: Duration = Duration::from_millis(2);
/// Delays on the network, in microseconds.
const MIN_DELAY_MICROS: u64 = 200;
const MAX_DELAY_MICROS: u64 = 2500;
/// What a long delay adds on a bad network, in milliseconds at most.
const MAX_EXTRA_DELAY_MILLIS: u64 = 3000;
/// Inputs in a row after which a process may want to be woken at once. One that always does keeps its processor busy.
const MAX_IMMEDIATE_WAKES: u32 = 200;
/// A program that could not start is started again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The grace period that processes are told of.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// A cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSpec {
    pub seed: u64,
    pub coordinators: usize,
    pub stores: usize,
    /// Machines with a disk that may be lost at once.
    pub tolerated_machines: usize,
    /// Coordinators more that have no disk, the first of all; founders are the first three.
    pub diskless_coordinators: usize,
}

/// What a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Coordinator,
    Store,
}

enum Process {
    Coordinator(Box<Coordinator<Disk>>),
    Store(Box<Store<Disk>>),
}

/// A question to a process.
#[derive(Clone, Debug)]
pub enum Request {
    Coordinator(CoordinatorRequest),
    Store(StoreRequest),
    Operator(OperatorCall),
}

/// Its answer.
#[derive(Clone, Debug)]
pub enum Answer {
    Coordinator(CoordinatorReply),
    Store(StoreReply),
    Operator(OperatorReply),
}

/// Who has asked, and waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Origin {
    Machine {
        machine: usize,
        incarnation: u64,
        call: u64,
    },
    Client {
        client: usize,
        call: u64,
    },
    /// Nobody: the question was doubled on its way.
    Nobody,
}

enum Input {
    Request { origin: Origin, request: Request },
    Answer { call: u64, answer: Option<Answer> },
    ServerList(Option<Vec<Server>>),
    Terminate,
    Wake,
}

enum Output {
    Coordinator(coordinator::Output),
    Store(store::Output),
}

struct Running {
    process: Process,
    incarnation: u64,
    started_at: Duration,
    /// How fast its steady clock runs.
    clock_rate: f64,
    busy_until: Duration,
    wake_at: Option<Duration>,
    inbox: VecDeque<Input>,
    origins: BTreeMap<Token, Origin>,
    tokens: Token,
    /// Inputs in a row after which it wanted to be woken at once.
    immediate_wakes: u32,
}

/// A machine with its disk.
pub struct Machine {
    pub address: SocketAddr,
    pub name: String,
    pub role: Role,
    pub disk: Disk,
    pub has_disk: bool,
    running: Option<Running>,
    /// Nothing answers, not even with a reset.
    pub powered_off: bool,
    pub frozen: bool,
    /// It does not come back.
    pub removed: bool,
    started_before: bool,
    /// When it counts as lost no more.
    pub counts_as_lost_until: Duration,
    clock_rate: f64,
}

/// How a way between two machines is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    Drop,
    Reset,
}

enum Event {
    /// Something comes to a machine, for this life of its process.
    RequestArrives {
        machine: usize,
        origin: Origin,
        request: Request,
    },
    ReplyArrives {
        origin: Origin,
        answer: Option<Answer>,
    },
    Emit {
        machine: usize,
        incarnation: u64,
        outputs: Vec<Output>,
    },
    Process {
        machine: usize,
        incarnation: u64,
    },
    Wake {
        machine: usize,
        incarnation: u64,
    },
    ServerList {
        machine: usize,
        incarnation: u64,
        servers: Option<Vec<Server>>,
    },
    Start {
        machine: usize,
    },
    ClientWakes {
        client: usize,
    },
    Fault(Fault),
}

/// The whole cluster.
pub struct Cluster {
    pub spec: ClusterSpec,
    pub rng: Rng,
    pub now: Duration,
    pub machines: Vec<Machine>,
    pub checker: Checker,
    clients: Vec<Option<Client>>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    payloads: BTreeMap<u64, Event>,
    sequence: u64,
    incarnations: u64,
    /// Calls that have no answer yet.
    unanswered: BTreeSet<Origin>,
    client_calls: u64,
    link_faults: BTreeMap<(usize, usize), LinkFault>,
    /// Machines that clients do not reach.
    unreachable: BTreeSet<usize>,
    /// Disks lost since all machines of a role were last well.
    pub disks_lost: BTreeMap<Role, usize>,
    /// Chance in a thousand that something is lost, late or doubled.
    pub message_fault_permille: u32,
    seeds: Vec<SocketAddr>,
    views: BTreeMap<(bool, u64), View>,
    /// Over everything that happened, in order.
    pub trace: u64,
}

fn operator_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), OPERATOR_PORT)
}

fn internal_address(seed: SocketAddr) -> SocketAddr {
    SocketAddr::new(seed.ip(), INTERNAL_PORT)
}

impl Cluster {
    /// A cluster that is about to start.
    pub fn new(spec: ClusterSpec) -> Cluster {
        let mut world = Cluster {
            spec,
            rng: Rng::with_seed(spec.seed),
            now: Duration::ZERO,
            machines: Vec::new(),
            checker: Checker::default(),
            clients: Vec::new(),
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            sequence: 0,
            incarnations: 0,
            unanswered: BTreeSet::new(),
            client_calls: 0,
            link_faults: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            message_fault_permille: 0,
            disks_lost: BTreeMap::new(),
            seeds: Vec::new(),
            views: BTreeMap::new(),
            trace: 0,
        };
        for number in 0..spec.diskless_coordinators + spec.coordinators {
            let machine = world.add_machine(Role::Coordinator);
            world.machines[machine].has_disk = number >= spec.diskless_coordinators;
        }
        let founders = world.machines.iter().take(FOUNDERS);
        world.seeds = founders.map(|machine| operator_address(machine.address)).collect();
        for _ in 0..spec.stores {
            world.add_machine(Role::Store);
        }
        for machine in 0..world.machines.len() {
            let after = Duration::from_millis(world.rng.u64(0..300));
            world.schedule_event(after, Event::Start { machine });
        }
        world
    }

    /// Adds a machine that is off.
    pub fn add_machine(&mut self, role: Role) -> usize {
        let number = self.machines.len();
        let last = u8::try_from(number + 1).expect("a small cluster");
        let disk = Disk::default();
        disk.set_sync_time(SYNC_TIME);
        let rate = 0.92 + 0.16 * self.rng.f64();
        self.machines.push(Machine {
            address: SocketAddr::from(([10, 0, 0, last], INTERNAL_PORT)),
            name: format!("{role:?}-{number}").to_lowercase(),
            role,
            disk,
            has_disk: true,
            running: None,
            powered_off: false,
            frozen: false,
            removed: false,
            started_before: false,
            counts_as_lost_until: Duration::ZERO,
            clock_rate: rate,
        });
        number
    }

    pub fn add_client(&mut self, client: Client) {
        self.clients.push(Some(client));
        let client = self.clients.len() - 1;
        self.schedule_event(Duration::from_millis(500), Event::ClientWakes { client });
    }

    fn schedule_event(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence)));
        self.payloads.insert(self.sequence, event);
    }

    pub fn fault_at(&mut self, at: Duration, fault: Fault) {
        self.schedule_event(at.saturating_sub(self.now), Event::Fault(fault));
    }

    /// Runs until a time, or until the judge has found something.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse((at, sequence))) = self.events.peek().copied() {
            if at > until || self.checker.has_violation() {
                break;
            }
            self.events.pop();
            self.now = at;
            let Some(event) = self.payloads.remove(&sequence) else { continue };
            self.handle(event);
        }
        self.now = self.now.max(until);
    }

    /// Tells an event with its time; processes tell theirs between these.
    fn log(&self, what: impl FnOnce() -> String) {
        if tracing::enabled!(tracing::Level::INFO) {
            info!("{:9.3} {}", self.now.as_secs_f64(), what());
        }
    }

    fn mix(&mut self, value: u64) {
        self.trace = (self.trace ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    }

    fn handle(&mut self, event: Event) {
        self.mix(self.now.as_nanos() as u64);
        match event {
            Event::RequestArrives { machine, origin, request } => self.arrive(machine, origin, request),
            Event::ReplyArrives { origin, answer } => self.answered(origin, answer),
            Event::Emit { machine, incarnation: life, outputs } => {
                if self.incarnation_of(machine) == Some(life) {
                    self.machines[machine].disk.complete();
                    self.perform_outputs(machine, life, outputs);
                }
            }
            Event::Process { machine, incarnation: life } => {
                if self.incarnation_of(machine) == Some(life) {
                    self.process(machine);
                }
            }
            Event::Wake { machine, incarnation: life } => {
                let now = self.now;
                let running =
                    self.machines[machine].running.as_mut().filter(|running| running.incarnation == life);
                if let Some(running) = running.filter(|running| running.wake_at == Some(now)) {
                    running.wake_at = None;
                    self.enqueue(machine, Input::Wake);
                }
            }
            Event::ServerList { machine, incarnation: life, servers } => {
                if self.incarnation_of(machine) == Some(life) {
                    self.enqueue(machine, Input::ServerList(servers));
                }
            }
            Event::Start { machine } => self.start(machine),
            Event::ClientWakes { client } => {
                self.with_client(client, |client, world, number| client.wake(world, number))
            }
            Event::Fault(fault) => {
                self.log(|| format!("{fault:?}"));
                crate::faults::inject(self, fault);
            }
        }
    }

    fn incarnation_of(&self, machine: usize) -> Option<u64> {
        self.machines[machine].running.as_ref().map(|running| running.incarnation)
    }

    fn with_client(&mut self, client: usize, f: impl FnOnce(&mut Client, &mut Cluster, usize)) {
        let Some(mut state) = self.clients[client].take() else { return };
        f(&mut state, self, client);
        self.clients[client] = Some(state);
    }

    // Clients.

    /// Wakes a client after a while.
    pub fn wake_client(&mut self, client: usize, after: Duration) {
        self.schedule_event(after, Event::ClientWakes { client });
    }

    /// A client calls a process; its answer, or that there was none in time, comes to [`Client::answered`].
    pub fn call_from_client(&mut self, client: usize, to: usize, request: Request, within: Duration) -> u64 {
        self.client_calls += 1;
        let origin = Origin::Client { client, call: self.client_calls };
        self.send(None, to, origin, request, within);
        self.client_calls
    }

    /// The machine at an address.
    pub fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        self.machines.iter().position(|machine| machine.address.ip() == address.ip())
    }

    /// The machines of a role that were not taken away.
    pub fn machines_of(&self, role: Role) -> Vec<usize> {
        let is_there =
            |machine: &usize| !self.machines[*machine].removed && self.machines[*machine].role == role;
        (0..self.machines.len()).filter(is_there).collect()
    }

    // The network.

    fn delay(&mut self) -> Duration {
        let delay = Duration::from_micros(self.rng.u64(MIN_DELAY_MICROS..MAX_DELAY_MICROS));
        if self.draws_message_fault() {
            delay + Duration::from_millis(self.rng.u64(0..MAX_EXTRA_DELAY_MILLIS))
        } else {
            delay
        }
    }

    fn draws_message_fault(&mut self) -> bool {
        self.message_fault_permille > 0 && self.rng.u32(0..1000) < self.message_fault_permille
    }

    fn link_fault(&self, from: Option<usize>, to: Option<usize>) -> Option<LinkFault> {
        match (from, to) {
            (Some(from), Some(to)) => self.link_faults.get(&(from, to)).copied(),
            (Some(machine), None) | (None, Some(machine)) => {
                self.unreachable.contains(&machine).then_some(LinkFault::Drop)
            }
            (None, None) => None,
        }
    }

    fn send(&mut self, from: Option<usize>, to: usize, origin: Origin, request: Request, within: Duration) {
        self.unanswered.insert(origin);
        self.schedule_event(within, Event::ReplyArrives { origin, answer: None });
        match self.link_fault(from, Some(to)) {
            Some(LinkFault::Drop) => return,
            Some(LinkFault::Reset) => {
                let after = self.delay();
                self.schedule_event(after, Event::ReplyArrives { origin, answer: None });
                return;
            }
            None => {}
        }
        if self.draws_message_fault() {
            return;
        }
        let after = self.delay();
        // Clients' calls come once: nothing on the way makes them again.
        if from.is_some() && self.draws_message_fault() {
            let again = after + self.delay();
            let (origin, request) = (Origin::Nobody, request.clone());
            self.schedule_event(again, Event::RequestArrives { machine: to, origin, request });
        }
        self.schedule_event(after, Event::RequestArrives { machine: to, origin, request });
    }

    fn send_back(&mut self, from: usize, origin: Origin, answer: Option<Answer>) {
        let to = match origin {
            Origin::Machine { machine, .. } => Some(machine),
            Origin::Client { .. } => None,
            Origin::Nobody => return,
        };
        let answer = match self.link_fault(Some(from), to) {
            Some(LinkFault::Drop) => return,
            Some(LinkFault::Reset) => None,
            None => answer,
        };
        if self.draws_message_fault() {
            return;
        }
        let after = self.delay();
        self.schedule_event(after, Event::ReplyArrives { origin, answer });
    }

    fn arrive(&mut self, machine: usize, origin: Origin, request: Request) {
        let there = &self.machines[machine];
        if there.powered_off || there.removed {
            return;
        }
        let fits = matches!(
            (&request, there.role),
            (Request::Store(_), Role::Store)
                | (Request::Coordinator(_) | Request::Operator(_), Role::Coordinator)
        );
        if there.running.is_none() || !fits {
            self.send_back(machine, origin, None);
            return;
        }
        self.enqueue(machine, Input::Request { origin, request });
    }

    fn answered(&mut self, origin: Origin, answer: Option<Answer>) {
        if !self.unanswered.remove(&origin) {
            return;
        }
        match origin {
            Origin::Machine { machine, incarnation: life, call } => {
                if self.incarnation_of(machine) == Some(life) {
                    self.enqueue(machine, Input::Answer { call, answer });
                }
            }
            Origin::Client { client, call } => {
                self.with_client(client, |client, world, number| {
                    client.on_reply(world, number, call, answer)
                });
            }
            Origin::Nobody => {}
        }
    }

    // Processes.

    fn enqueue(&mut self, machine: usize, input: Input) {
        let Some(running) = &mut self.machines[machine].running else { return };
        running.inbox.push_back(input);
        self.schedule(machine);
    }

    fn schedule(&mut self, machine: usize) {
        let there = &self.machines[machine];
        let Some(running) = &there.running else { return };
        if !there.frozen {
            let (life, after) = (running.incarnation, running.busy_until.saturating_sub(self.now));
            self.schedule_event(after, Event::Process { machine, incarnation: life });
        }
    }

    /// Hands the next input to a process that is not busy.
    fn process(&mut self, machine: usize) {
        let now = self.now;
        let there = &mut self.machines[machine];
        let Some(running) = there.running.as_mut().filter(|running| running.busy_until <= now) else {
            return;
        };
        if there.frozen {
            return;
        }
        let Some(input) = running.inbox.pop_front() else { return };
        let steady = (now - running.started_at).mul_f64(running.clock_rate);
        let time = Time { monotonic: steady, wall_ms: 1_700_000_000_000 + now.as_millis() as u64 };
        let (outputs, next_wake) = running.handle(time, input);
        running.immediate_wakes = if next_wake <= steady { running.immediate_wakes + 1 } else { 0 };
        if running.immediate_wakes > MAX_IMMEDIATE_WAKES {
            let text = format!("{} wants to be woken at {next_wake:?}, and it is {steady:?}", there.name);
            self.checker.report(text);
            return;
        }
        let (life, taken) = (running.incarnation, there.disk.take_time());
        running.busy_until = now + taken;
        if next_wake < Duration::from_secs(1 << 30) {
            // A little late, as timers are.
            let wake_at =
                running.started_at + next_wake.div_f64(running.clock_rate) + Duration::from_micros(50);
            let wake_at = wake_at.max(now + taken);
            if running.wake_at.is_none_or(|at| wake_at < at || at < now) {
                running.wake_at = Some(wake_at);
                self.schedule_event(wake_at - now, Event::Wake { machine, incarnation: life });
            }
        }
        if taken.is_zero() {
            self.perform_outputs(machine, life, outputs);
        } else {
            self.schedule_event(taken, Event::Emit { machine, incarnation: life, outputs });
        }
        if self.machines[machine].running.as_ref().is_some_and(|running| !running.inbox.is_empty()) {
            self.schedule(machine);
        }
        self.check_views(machine);
    }

    fn perform_outputs(&mut self, machine: usize, life: u64, outputs: Vec<Output>) {
        for output in outputs {
            if self.incarnation_of(machine) != Some(life) {
                return;
            }
            match output {
                Output::Coordinator(output) => self.perform_coordinator_output(machine, life, output),
                Output::Store(output) => self.perform_store_output(machine, life, output),
            }
        }
    }

    fn perform_coordinator_output(&mut self, machine: usize, life: u64, output: coordinator::Output) {
        use coordinator::Output as Out;
        match output {
            Out::Answer { token, reply } => self.answer(machine, token, Answer::Coordinator(reply)),
            Out::AnswerOperator { token, reply } => self.answer(machine, token, Answer::Operator(reply)),
            Out::Call { call, to, request, timeout: within } => {
                self.call(machine, life, call, to, Request::Coordinator(request), within);
            }
            Out::ReadServerList => self.read_server_list(machine, life),
            Out::Exit => self.exit(machine),
        }
    }

    fn perform_store_output(&mut self, machine: usize, life: u64, output: store::Output) {
        use store::Output as Out;
        match output {
            Out::Answer { token, reply } => self.answer(machine, token, Answer::Store(reply)),
            Out::CallStore { call, to, request, timeout: within } => {
                self.call(machine, life, call, to, Request::Store(request), within);
            }
            Out::CallCoordinator { call, to, request, timeout: within } => {
                self.call(machine, life, call, to, Request::Coordinator(request), within);
            }
            Out::Exit => self.exit(machine),
        }
    }

    fn answer(&mut self, machine: usize, token: Token, answer: Answer) {
        let origin =
            self.machines[machine].running.as_mut().and_then(|running| running.origins.remove(&token));
        match origin {
            Some(origin) => self.send_back(machine, origin, Some(answer)),
            None => self
                .checker
                .report(format!("{} answers a call twice or that nobody made", self.machines[machine].name)),
        }
    }

    fn call(
        &mut self,
        machine: usize,
        life: u64,
        call: u64,
        to: SocketAddr,
        request: Request,
        within: Duration,
    ) {
        let origin = Origin::Machine { machine, incarnation: life, call };
        match self.machine_at(to) {
            Some(to) => self.send(Some(machine), to, origin, request, within),
            None => self.schedule_event(within, Event::ReplyArrives { origin, answer: None }),
        }
    }

    /// The platform's list tells when it was read, as the id of its only server.
    fn read_server_list(&mut self, machine: usize, life: u64) {
        let read_at = self.now.as_millis();
        let server = Server {
            id: format!("{read_at:012}"),
            backend: "s".to_owned(),
            address: SocketAddr::from(([10, 9, 0, 1], 80)),
            zone: "a".to_owned(),
            slots: 8,
            draining: false,
            warmup_left_ms: 0,
        };
        let servers = if self.draws_message_fault() { None } else { Some(vec![server]) };
        let after = self.delay() + self.delay();
        self.schedule_event(after, Event::ServerList { machine, incarnation: life, servers });
    }

    /// No two views have one number.
    fn check_views(&mut self, machine: usize) {
        let Some(running) = &self.machines[machine].running else { return };
        let (is_store, view) = match &running.process {
            Process::Coordinator(node) => (false, node.chain().replica().view()),
            Process::Store(node) => (true, node.chain().replica().view()),
        };
        if view.number == 0 {
            return;
        }
        let (number, addresses) = (view.number, view.addresses());
        let is_new = !self.views.contains_key(&(is_store, number));
        let known = self.views.entry((is_store, number)).or_insert_with(|| view.clone());
        if known != view {
            let text = format!("two views have number {number}: {known:?} and {view:?}");
            self.checker.report(text);
        }
        if is_new {
            let identities: BTreeSet<u64> = known.members.iter().map(|member| member.identity).collect();
            if identities.len() != known.members.len() {
                self.checker.report(format!("a member stands twice in view {number}: {addresses}"));
            }
            let voters: Vec<String> =
                known.voters.iter().map(|voter| voter.address.ip().to_string()).collect();
            let (name, voters) = (self.machines[machine].name.clone(), voters.join(" "));
            self.log(|| format!("{name} is the first to learn view {number}: {addresses}, voters {voters}"));
        }
    }

    // Starts and ends.

    fn start(&mut self, machine: usize) {
        let there = &self.machines[machine];
        if there.running.is_some() || there.removed {
            return;
        }
        if !there.has_disk {
            there.disk.wipe();
        }
        self.incarnations += 1;
        let (life, drawn) = (self.incarnations, self.rng.u64(..));
        let founds = !there.started_before && there.role == Role::Coordinator;
        let founding = member::founding_view(operator_address(there.address), &self.seeds, internal_address);
        let founding = founding.filter(|_| founds);
        let process = match there.role {
            Role::Coordinator => self.new_coordinator(machine, life, drawn, founding),
            Role::Store => self.new_store(machine, life, drawn),
        };
        let Ok(process) = process else {
            // The program ends with an error, and is started again.
            self.schedule_event(RESTART_DELAY, Event::Start { machine });
            return;
        };
        let there = &mut self.machines[machine];
        let busy = there.disk.take_time();
        there.disk.complete();
        there.started_before = true;
        there.powered_off = false;
        there.frozen = false;
        there.running = Some(Running {
            process,
            incarnation: life,
            started_at: self.now,
            clock_rate: there.clock_rate,
            busy_until: self.now + busy,
            wake_at: None,
            inbox: VecDeque::new(),
            origins: BTreeMap::new(),
            tokens: 0,
            immediate_wakes: 0,
        });
        let name = there.name.clone();
        self.log(|| format!("{name} starts"));
        self.enqueue(machine, Input::Wake);
    }

    fn new_coordinator(
        &self,
        machine: usize,
        life: u64,
        drawn: u64,
        founding: Option<(u64, View)>,
    ) -> io::Result<Process> {
        let there = &self.machines[machine];
        let recovered = there.disk.recovered();
        let replica = member::open::<ControlState, _>(there.disk.clone(), recovered, drawn, founding)?;
        let settings = coordinator::Settings {
            node_name: there.name.clone(),
            address: there.address,
            seeds: self.seeds.iter().copied().map(internal_address).collect(),
            operator_port: Some(OPERATOR_PORT),
            tolerated_machines: self.spec.tolerated_machines,
            grace_period: GRACE_PERIOD,
            reads_server_list: true,
            is_durable: there.has_disk,
            session: life,
        };
        Ok(Process::Coordinator(Box::new(Coordinator::new(settings, replica, Duration::ZERO))))
    }

    fn new_store(&self, machine: usize, life: u64, drawn: u64) -> io::Result<Process> {
        let there = &self.machines[machine];
        let recovered = there.disk.recovered();
        let replica = member::open::<BatchState, _>(there.disk.clone(), recovered, drawn, None)?;
        let settings = store::Settings {
            node_name: there.name.clone(),
            zone: format!("zone-{}", machine % 3),
            address: there.address,
            coordinators: self.seeds.iter().copied().map(internal_address).collect(),
            tolerated_machines: self.spec.tolerated_machines,
            result_retention: Duration::from_secs(120),
            grace_period: GRACE_PERIOD,
            session: life,
        };
        Ok(Process::Store(Box::new(Store::new(settings, replica, Duration::ZERO))))
    }

    /// A process ends by itself; whoever waits for it gets a reset.
    fn exit(&mut self, machine: usize) {
        let name = self.machines[machine].name.clone();
        self.log(|| format!("{name} exits"));
        self.machines[machine].disk.complete();
        self.end_process(machine);
    }

    fn end_process(&mut self, machine: usize) {
        let dark = self.machines[machine].powered_off;
        let Some(running) = self.machines[machine].running.take() else { return };
        if dark {
            return;
        }
        let waiting = running.inbox.into_iter().filter_map(|input| match input {
            Input::Request { origin, .. } => Some(origin),
            _ => None,
        });
        let origins: Vec<Origin> = running.origins.into_values().chain(waiting).collect();
        for origin in origins {
            self.send_back(machine, origin, None);
        }
    }

    /// A process is killed, or its machine loses power: then nothing answers.
    pub fn kill(&mut self, machine: usize, power: bool) {
        self.machines[machine].powered_off = power;
        let disk = self.machines[machine].disk.clone();
        if self.machines[machine].running.is_some() {
            disk.lose_power(&mut self.rng);
        }
        self.end_process(machine);
        self.machines[machine].frozen = false;
    }

    /// A machine comes back, or its process does.
    pub fn restart(&mut self, machine: usize, after: Duration) {
        self.schedule_event(after, Event::Start { machine });
    }

    /// SIGTERM.
    pub fn terminate(&mut self, machine: usize) {
        self.enqueue(machine, Input::Terminate);
    }

    pub fn set_frozen(&mut self, machine: usize, frozen: bool) {
        self.machines[machine].frozen = frozen;
        if !frozen {
            let waiting = self.machines[machine].running.as_ref().map_or(0, |running| running.inbox.len());
            for _ in 0..waiting.max(1) {
                self.schedule(machine);
            }
        }
    }

    /// Cuts the way from one machine to another.
    pub fn partition(&mut self, from: usize, to: usize, how: LinkFault) {
        self.link_faults.insert((from, to), how);
    }

    /// Cuts a machine off from clients.
    pub fn isolate_from_clients(&mut self, machine: usize) {
        self.unreachable.insert(machine);
    }

    /// Heals all ways from and to a machine.
    pub fn heal(&mut self, machine: usize) {
        self.link_faults.retain(|(from, to), _| *from != machine && *to != machine);
        self.unreachable.remove(&machine);
    }

    // What scenarios look at.

    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].running.is_some()
    }

    /// What a process says of itself.
    pub fn status(&self, machine: usize) -> Option<Status> {
        let running = self.machines[machine].running.as_ref()?;
        let steady = (self.now - running.started_at).mul_f64(running.clock_rate);
        Some(match &running.process {
            Process::Coordinator(node) => node.chain().status(steady),
            Process::Store(node) => node.chain().status(steady),
        })
    }

    /// One line for each machine: what its process says of itself.
    pub fn describe(&self) -> Vec<String> {
        let describe = |machine: usize| {
            let name = &self.machines[machine].name;
            match self.status(machine) {
                Some(status) => format!(
                    "{name}: identity {:x}, view {} of {}, complete {}, at {}",
                    status.identity,
                    status.view.number,
                    status.view.addresses(),
                    status.complete,
                    status.position.index
                ),
                None => format!("{name} does not run"),
            }
        };
        (0..self.machines.len()).map(describe).collect()
    }

    /// The newest view that a process of this role knows.
    fn newest_view(&self, role: Role) -> Option<View> {
        let machines = (0..self.machines.len()).filter(|machine| self.machines[*machine].role == role);
        let views = machines.filter_map(|machine| self.status(machine)).map(|status| status.view);
        views.max_by_key(|view| view.number)
    }

    /// The machine whose process heads the newest view of a role.
    pub fn head_of(&self, role: Role) -> Option<usize> {
        self.machine_at(self.newest_view(role)?.head()?.address)
    }

    /// The last member of the newest view of a role.
    pub fn tail_of(&self, role: Role) -> Option<usize> {
        self.machine_at(self.newest_view(role)?.members.last()?.address)
    }

    /// Machines that count as lost at this moment.
    pub fn lost_machines(&self) -> BTreeSet<usize> {
        let is_lost = |machine: &usize| {
            let there = &self.machines[*machine];
            there.has_disk
                && !there.removed
                && (there.counts_as_lost_until > self.now || there.running.is_none() || there.frozen)
        };
        (0..self.machines.len()).filter(is_lost).collect()
    }

    /// Running coordinators that hold a configuration of at least this generation, as acknowledged or not.
    pub fn coordinators_with_generation(&self, generation: u64) -> usize {
        let holds = |machine: &&Machine| match machine.running.as_ref().map(|running| &running.process) {
            Some(Process::Coordinator(node)) => node.chain().replica().machine().generation() >= generation,
            _ => false,
        };
        self.machines.iter().filter(holds).count()
    }
}

impl Running {
    fn handle(&mut self, time: Time, input: Input) -> (Vec<Output>, Duration) {
        let mut token_of = |origin| {
            self.tokens += 1;
            self.origins.insert(self.tokens, origin);
            self.tokens
        };
        match &mut self.process {
            Process::Coordinator(node) => {
                use coordinator::Input as In;
                let input = match input {
                    Input::Request { origin, request: Request::Coordinator(request) } => {
                        In::Request { token: token_of(origin), request }
                    }
                    Input::Request { origin, request: Request::Operator(call) } => {
                        In::Operator { token: token_of(origin), call }
                    }
                    Input::Answer { call, answer } => {
                        let reply = match answer {
                            Some(Answer::Coordinator(reply)) => Some(reply),
                            _ => None,
                        };
                        In::Reply { call, reply }
                    }
                    Input::ServerList(servers) => In::ServerList(servers),
                    Input::Terminate => In::Terminate,
                    Input::Wake | Input::Request { .. } => In::Wake,
                };
                let outputs = node.handle(time, input).into_iter().map(Output::Coordinator).collect();
                (outputs, node.next_wake())
            }
            Process::Store(node) => {
                use store::Input as In;
                let input = match input {
                    Input::Request { origin, request: Request::Store(request) } => {
                        In::Request { token: token_of(origin), request }
                    }
                    Input::Answer { call, answer } => match answer {
                        Some(Answer::Store(reply)) => In::StoreReply { call, reply: Some(reply) },
                        Some(Answer::Coordinator(reply)) => In::CoordinatorReply { call, reply: Some(reply) },
                        Some(Answer::Operator(_)) => In::Wake,
                        None => node.timeout_input(call),
                    },
                    Input::Terminate => In::Terminate,
                    Input::Wake | Input::ServerList(_) | Input::Request { .. } => In::Wake,
                };
                let outputs = node.handle(time, input).into_iter().map(Output::Store).collect();
                (outputs, node.next_wake())
            }
        }
    }
}
