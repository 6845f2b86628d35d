//! Clusters on a virtual network and virtual disks, driven from a seed. Members are killed, lose power or their disks, are
//! cut off one way or both, come back and join; what was acknowledged is in everything that is read later, and no two views
//! have one number.

use arbtest::arbitrary::Unstructured;
use marblecroft_chain::agreement::{decide, next_ballot, Outcome, VoteReply, VoteRequest, Voters};
use marblecroft_chain::storage::Storage;
use marblecroft_chain::{
    Append, AppendReply, Chain, Install, Member, Options, Refused, Replica, StateMachine, Transport, View,
};
use marblecroft_log::Recovered;
use marblecroft_wire::{decode, encode};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::{Arc, Mutex};
use std::time::Duration;

type Draw<T> = arbtest::arbitrary::Result<T>;

/// Every operation adds its number.
#[derive(Clone, Debug, Default, PartialEq)]
struct Numbers(Vec<u64>);

impl StateMachine for Numbers {
    type Operation = u64;
    type Output = usize;

    fn apply(&mut self, operation: u64) -> usize {
        self.0.push(operation);
        self.0.len()
    }

    fn size_of(_: &u64) -> usize {
        8
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&self.0)
    }

    fn restore(snapshot: &[u8]) -> Option<Numbers> {
        decode(snapshot).ok().map(Numbers)
    }
}

/// What a disk has: everything that was written is synced.
#[derive(Clone, Default)]
struct Disk(Arc<Mutex<DiskState>>);

#[derive(Default)]
struct DiskState {
    checkpoint: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
    refuses: bool,
    broken: bool,
}

impl Disk {
    fn recovered(&self) -> Recovered {
        let state = self.0.lock().unwrap();
        Recovered { snapshot: state.checkpoint.clone(), records: state.records.clone(), passed_over: 0 }
    }

    fn wipe(&self) {
        *self.0.lock().unwrap() = DiskState::default();
    }

    fn refuse(&self, refuses: bool) {
        self.0.lock().unwrap().refuses = refuses;
    }
}

impl Storage for Disk {
    fn append(&mut self, records: &[&[u8]]) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.refuses {
            // A part of it may have reached the disk all the same.
            state.records.extend(records.iter().take(1).map(|record| record.to_vec()));
            state.broken = true;
            return Err(io::Error::other("refused"));
        }
        state.records.extend(records.iter().map(|record| record.to_vec()));
        Ok(())
    }

    fn start_segment(&mut self, checkpoint: &[u8]) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.refuses {
            return Err(io::Error::other("refused"));
        }
        *state = DiskState { checkpoint: Some(checkpoint.to_vec()), ..DiskState::default() };
        Ok(())
    }

    fn is_writable(&self) -> bool {
        !self.0.lock().unwrap().broken
    }

    fn record_bytes(&self) -> u64 {
        self.0.lock().unwrap().records.iter().map(|record| record.len() as u64).sum()
    }
}

type Process = Chain<Numbers, Disk, Wire>;

/// The processes that run, and the ways on which nothing passes.
#[derive(Default)]
struct Network {
    running: BTreeMap<SocketAddr, Arc<Process>>,
    cut: BTreeSet<(SocketAddr, SocketAddr)>,
}

/// One process's side of the network.
#[derive(Clone)]
struct Wire {
    own: SocketAddr,
    network: Arc<Mutex<Network>>,
}

impl Wire {
    /// Calls another process: the question may be lost, and so may the answer.
    fn call<R>(&self, to: SocketAddr, f: impl FnOnce(&Process) -> R) -> Option<R> {
        let process = {
            let network = self.network.lock().unwrap();
            let passes = !network.cut.contains(&(self.own, to));
            network.running.get(&to).filter(|_| passes).cloned()
        }?;
        let reply = f(&process);
        let network = self.network.lock().unwrap();
        let returns = !network.cut.contains(&(to, self.own));
        let lives = network.running.contains_key(&to);
        (returns && lives).then_some(reply)
    }
}

impl Transport for Wire {
    fn append(&self, to: &Member, message: &Append, _: Duration) -> Option<AppendReply> {
        self.call(to.address, |process| process.handle_append(message))
    }

    fn install(&self, to: &Member, message: &Install, _: Duration) -> Option<AppendReply> {
        self.call(to.address, |process| process.handle_install(message))
    }
}

impl Voters for Wire {
    fn ask(&self, member: &Member, request: &VoteRequest) -> Option<VoteReply> {
        let vote = |process: &Process| {
            process.with_replica(|replica| {
                (replica.identity() == member.identity).then(|| replica.answer_vote(request))
            })
        };
        if member.address == self.own {
            let own = self.network.lock().unwrap().running.get(&self.own).cloned()?;
            return vote(&own);
        }
        self.call(member.address, vote)?
    }

    fn is_lost(&self, member: &Member) -> bool {
        let identity = self.call(member.address, |process| process.status().identity);
        identity.is_some_and(|identity| identity != member.identity)
    }
}

const NODES: u8 = 4;
const TOLERATED: usize = 1;

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node], 7000))
}

struct Cluster {
    network: Arc<Mutex<Network>>,
    disks: Vec<Disk>,
    identities: u64,
    next: u64,
    /// Operations that were acknowledged.
    acknowledged: BTreeSet<u64>,
    waiting: Vec<(u64, Receiver<Result<usize, Refused>>)>,
    newest_read: Vec<u64>,
    decided: BTreeMap<u64, View>,
    /// A node that was taken down, and is not back.
    down: Option<u8>,
}

impl Cluster {
    fn new() -> Cluster {
        let mut cluster = Cluster {
            network: Arc::default(),
            disks: (0..NODES).map(|_| Disk::default()).collect(),
            identities: 1000,
            next: 0,
            acknowledged: BTreeSet::new(),
            waiting: Vec::new(),
            newest_read: Vec::new(),
            decided: BTreeMap::new(),
            down: None,
        };
        let founder =
            |node| Member { address: address(node), identity: u64::from(node) + 1, node: String::new() };
        let founding = View { number: 1, members: (0..3).map(founder).collect() };
        cluster.decided.insert(1, founding.clone());
        for node in 0..NODES {
            let found = (node < 3).then(|| founding.clone());
            cluster.start(node, u64::from(node) + 1, found);
        }
        cluster
    }

    fn start(&mut self, node: u8, identity: u64, founding: Option<View>) {
        let disk = self.disks[usize::from(node)].clone();
        // A disk that broke under the last process is written anew by the next.
        disk.0.lock().unwrap().broken = false;
        let recovered = disk.recovered();
        let replica = Replica::open(disk, recovered, Numbers::default(), identity, founding).expect("opens");
        let wire = Wire { own: address(node), network: self.network.clone() };
        let options = Options {
            heartbeat: Duration::ZERO,
            member_time: Duration::ZERO,
            install_time: Duration::ZERO,
            copies: TOLERATED + 1,
            suspect_after: Duration::ZERO,
        };
        let process = Arc::new(Chain::new(replica, wire, options));
        self.network.lock().unwrap().running.insert(address(node), process);
    }

    fn process(&self, node: u8) -> Option<Arc<Process>> {
        self.network.lock().unwrap().running.get(&address(node)).cloned()
    }

    fn stop(&mut self, node: u8) {
        self.network.lock().unwrap().running.remove(&address(node));
    }

    fn restart(&mut self, node: u8) {
        if self.process(node).is_none() {
            self.identities += 1;
            let identity = self.identities;
            self.disks[usize::from(node)].refuse(false);
            self.start(node, identity, None);
        }
    }

    /// Whether every member of the newest view runs and holds everything.
    fn whole(&self) -> bool {
        let newest = self.decided.values().last().expect("the first view");
        let holds = |member: &Member| {
            let process = self.network.lock().unwrap().running.get(&member.address).cloned();
            process.is_some_and(|process| {
                let status = process.status();
                let current = status.view.number == newest.number;
                status.identity == member.identity && status.complete && current
            })
        };
        newest.members.len() > TOLERATED && newest.members.iter().all(holds)
    }

    fn record_view(&mut self, view: &View) {
        let known = self.decided.entry(view.number).or_insert_with(|| view.clone());
        assert_eq!(known, view, "two views have one number");
    }

    /// A member proposes the view that it would head: those that answer it, and others that would join.
    fn propose(&mut self, node: u8, ballot_round: u64) {
        let Some(process) = self.process(node) else { return };
        let status = process.status();
        let own = status.view.members.iter().find(|member| member.identity == status.identity).cloned();
        let Some(own) = own.filter(|_| status.complete) else { return };
        let wire = process.transport().clone();
        let answers = |member: &Member| {
            let identity = wire.call(member.address, |other| other.status().identity);
            identity.is_some_and(|identity| identity == member.identity)
        };
        let others = status.view.members.iter().filter(|m| m.identity != own.identity && answers(m));
        let mut members: Vec<Member> = std::iter::once(own.clone()).chain(others.cloned()).collect();
        for other in 0..NODES {
            let joiner = wire.call(address(other), |process| process.status());
            let learnt = |joiner: &marblecroft_chain::Status| joiner.view.number >= status.view.number;
            let joiner = joiner.filter(|joiner| !status.view.contains(joiner.identity) && learnt(joiner));
            let Some(joiner) = joiner.filter(|_| members.len() < 3) else { continue };
            let member = Member { address: address(other), identity: joiner.identity, node: String::new() };
            members.push(member);
        }
        let rank = status.view.index_of(own.identity).expect("a member");
        let proposal = View { number: status.view.number + 1, members };
        let ballot = next_ballot(ballot_round * 64, rank);
        if let Outcome::Decided(view) = decide(&status.view, proposal, ballot, &wire) {
            self.record_view(&view);
            process.learn(&view);
        }
    }

    /// A process asks the others which view is the newest.
    fn learn(&mut self, node: u8) {
        let Some(process) = self.process(node) else { return };
        for other in 0..NODES {
            if let Some(status) = process.transport().call(address(other), |process| process.status()) {
                process.learn(&status.view);
            }
        }
    }

    fn begin(&mut self, node: u8) {
        let Some(process) = self.process(node) else { return };
        self.next += 1;
        if let Ok(mut answers) = process.begin_all(vec![self.next]) {
            self.waiting.push((self.next, answers.remove(0)));
        }
    }

    fn run_round(&mut self, node: u8) {
        if let Some(process) = self.process(node) {
            process.run_round();
        }
        self.collect();
    }

    fn collect(&mut self) {
        let acknowledged = &mut self.acknowledged;
        self.waiting.retain(|(number, answer)| match answer.try_recv() {
            Ok(Ok(_)) => {
                acknowledged.insert(*number);
                false
            }
            Ok(Err(_)) | Err(TryRecvError::Disconnected) => false,
            Err(TryRecvError::Empty) => true,
        });
    }

    /// Reads at a node; what is read holds everything acknowledged before, and goes on from what was read before.
    fn read(&mut self, node: u8) -> bool {
        let Some(process) = self.process(node) else { return false };
        let Ok(answer) = process.begin_read(|numbers| numbers.0.clone()) else { return false };
        let before = self.acknowledged.clone();
        self.run_round(node);
        let Ok(Ok(read)) = answer.try_recv() else { return false };
        let found: BTreeSet<u64> = read.iter().copied().collect();
        assert_eq!(found.len(), read.len(), "an operation was carried out twice");
        assert!(before.is_subset(&found), "acknowledged, not read: {:?}", before.difference(&found));
        assert!(read.starts_with(&self.newest_read), "{read:?} does not go on from {:?}", self.newest_read);
        self.newest_read = read;
        true
    }

    fn step(&mut self, u: &mut Unstructured) -> Draw<()> {
        let node = u.int_in_range(0..=NODES - 1)?;
        match u.int_in_range(0..=19)? {
            0..=4 => self.begin(node),
            5..=8 => self.run_round(node),
            9..=10 => drop(self.read(node)),
            11 => self.propose(node, u.int_in_range(1..=50)?),
            12 => self.learn(node),
            13 => self.lose(node, u.arbitrary()?, u.arbitrary()?),
            14..=15 => {
                if let Some(down) = self.down.take() {
                    self.restart(down);
                }
            }
            16 => {
                let other = u.int_in_range(0..=NODES - 1)?;
                self.network.lock().unwrap().cut.insert((address(node), address(other)));
            }
            17 => self.network.lock().unwrap().cut.clear(),
            18 => self.disks[usize::from(node)].refuse(u.arbitrary()?),
            _ if u.ratio(1, 4)? => self.lose_all_power(),
            _ => {}
        }
        self.collect();
        Ok(())
    }

    /// All lose power at the same moment and come back with their disks.
    fn lose_all_power(&mut self) {
        (0..NODES).for_each(|node| self.stop(node));
        (0..NODES).for_each(|node| self.restart(node));
        self.down = None;
    }

    /// One machine goes, perhaps with its disk; only where all others hold everything, as the deployment bears no more.
    fn lose(&mut self, node: u8, wiped: bool, back_at_once: bool) {
        if self.down.is_some() || !self.whole() {
            return;
        }
        self.stop(node);
        if wiped {
            self.disks[usize::from(node)].wipe();
        }
        self.down = Some(node);
        if back_at_once {
            self.restart(node);
            self.down = None;
        }
    }

    /// With all faults over, the cluster takes operations again within a bounded number of steps.
    fn recovers(&mut self) {
        self.network.lock().unwrap().cut.clear();
        self.disks.iter().for_each(|disk| disk.refuse(false));
        (0..NODES).for_each(|node| self.restart(node));
        for round in 0..40u8 {
            (0..NODES).for_each(|node| self.learn(node));
            for node in 0..NODES {
                self.begin(node);
                if self.read(node) && self.whole() {
                    return;
                }
            }
            self.propose(round % NODES, 100 + u64::from(round));
        }
        panic!("the cluster does not come back");
    }
}

#[test]
fn what_was_acknowledged_survives_every_history() {
    arbtest::arbtest(|u| {
        let mut cluster = Cluster::new();
        while !u.is_empty() {
            cluster.step(u)?;
        }
        cluster.recovers();
        Ok(())
    })
    .size_min(64)
    .size_max(4096)
    .budget_ms(8000);
}

#[test]
fn a_calm_cluster_acknowledges_at_once() {
    let mut cluster = Cluster::new();
    for _ in 0..20 {
        cluster.begin(0);
        cluster.run_round(0);
    }
    assert_eq!(cluster.acknowledged.len(), 20);
    assert!(cluster.read(0));
    assert!(!cluster.read(1), "only the head answers");
}

#[test]
fn a_head_that_is_cut_off_neither_acknowledges_nor_answers() {
    let mut cluster = Cluster::new();
    for other in 1..NODES {
        let mut network = cluster.network.lock().unwrap();
        network.cut.insert((address(0), address(other)));
        network.cut.insert((address(other), address(0)));
    }
    cluster.begin(0);
    cluster.run_round(0);
    assert!(cluster.acknowledged.is_empty());
    cluster.propose(1, 1);
    assert_eq!(cluster.decided.len(), 2, "the majority goes on");
    cluster.begin(1);
    assert!(cluster.read(1));
    assert_eq!(cluster.acknowledged.len(), 1);
    assert!(!cluster.read(0));
    cluster.network.lock().unwrap().cut.clear();
    assert!(!cluster.read(0), "the old head learns that it is none");
    cluster.recovers();
}

#[test]
fn the_only_other_member_of_a_view_of_two_may_lose_its_disk() {
    let mut cluster = Cluster::new();
    cluster.stop(2);
    cluster.stop(3);
    cluster.propose(0, 1);
    assert_eq!(cluster.decided[&2].members.len(), 2);
    cluster.begin(0);
    cluster.run_round(0);
    assert_eq!(cluster.acknowledged.len(), 1);
    cluster.stop(1);
    cluster.disks[1].wipe();
    cluster.restart(1);
    cluster.recovers();
}

#[test]
fn a_whole_state_that_comes_late_takes_nothing_back() {
    let mut cluster = Cluster::new();
    cluster.begin(0);
    cluster.run_round(0);
    let late = cluster.process(0).expect("runs").with_replica(|replica| replica.install_message());
    cluster.begin(0);
    cluster.run_round(0);
    let member = cluster.process(1).expect("runs");
    let position = member.status().position;
    assert!(matches!(member.handle_install(&late), AppendReply::Mismatch(_)));
    assert_eq!(member.status().position, position);
}
