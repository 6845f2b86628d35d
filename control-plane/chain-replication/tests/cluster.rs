//! Clusters on a virtual network and virtual disks, driven from a seed. Members are killed, lose power or their disks, are
//! cut off one way or both, come back and join; what was acknowledged is in everything that is read later, and no two views
//! have one number.

use arbtest::arbitrary::Unstructured;
use marblecroft_chain_replication::agreement::{next_proposal_number, Outcome, Proposal, Step, VoteReply};
use marblecroft_chain_replication::storage::Storage;
use marblecroft_chain_replication::{
    AppendReply, Chain, Config, Member, Output, Replica, StateMachine, Status, ToSuccessor, View,
};
use marblecroft_rpc::{decode, encode};
use marblecroft_wal::Recovered;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
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
        Recovered {
            snapshot: state.checkpoint.clone(),
            records: state.records.clone(),
            ..Recovered::default()
        }
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

/// A running process.
struct Process {
    chain: Chain<Numbers, Disk>,
    /// Tells this life of the process from others at its address.
    life: u64,
    /// Messages that it has yet to answer: who asked, in which life, and the number of the call.
    asked: BTreeMap<u64, (SocketAddr, u64, u64)>,
    /// What the last reading that was confirmed has found.
    found: Option<Vec<u64>>,
}

/// Something on its way.
#[derive(Clone)]
enum Packet {
    Question { from: SocketAddr, life: u64, call: u64, to: SocketAddr, message: ToSuccessor },
    Answer { from: SocketAddr, to: SocketAddr, life: u64, call: u64, reply: Option<AppendReply> },
}

const NODES: u8 = 4;
const TOLERATED: usize = 1;

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node], 7000))
}

struct Cluster {
    running: BTreeMap<SocketAddr, Process>,
    /// Ways on which nothing passes.
    cut: BTreeSet<(SocketAddr, SocketAddr)>,
    packets: VecDeque<Packet>,
    now: Duration,
    disks: Vec<Disk>,
    identities: u64,
    lives: u64,
    tokens: u64,
    next: u64,
    /// Operations that were acknowledged.
    acknowledged: BTreeSet<u64>,
    newest_read: Vec<u64>,
    decided: BTreeMap<u64, View>,
    /// A node that was taken down, and is not back.
    down: Option<u8>,
}

impl Cluster {
    fn new() -> Cluster {
        let mut cluster = Cluster {
            running: BTreeMap::new(),
            cut: BTreeSet::new(),
            packets: VecDeque::new(),
            now: Duration::ZERO,
            disks: (0..NODES).map(|_| Disk::default()).collect(),
            identities: 1000,
            lives: 0,
            tokens: 0,
            next: 0,
            acknowledged: BTreeSet::new(),
            newest_read: Vec::new(),
            decided: BTreeMap::new(),
            down: None,
        };
        let founder =
            |node| Member { address: address(node), identity: u64::from(node) + 1, node_name: String::new() };
        let founders: Vec<Member> = (0..3).map(founder).collect();
        let founding = View { number: 1, voters: founders.clone(), members: founders };
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
        let options = Config {
            heartbeat_interval: Duration::from_millis(500),
            append_timeout: Duration::from_millis(1),
            install_timeout: Duration::from_millis(1),
            min_replicas: TOLERATED + 1,
            is_durable: true,
            suspect_timeout: Duration::ZERO,
        };
        self.lives += 1;
        let chain = Chain::new(replica, options, self.lives);
        let process = Process { chain, life: self.lives, asked: BTreeMap::new(), found: None };
        self.running.insert(address(node), process);
    }

    fn process(&mut self, node: u8) -> Option<&mut Process> {
        self.running.get_mut(&address(node))
    }

    fn status(&self, node: u8) -> Option<Status> {
        self.running.get(&address(node)).map(|process| process.chain.status(self.now))
    }

    /// What a process says of itself to another one, where the question and its answer come through.
    fn ask_status(&self, from: SocketAddr, to: SocketAddr) -> Option<Status> {
        let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        self.running.get(&to).filter(|_| !cut).map(|process| process.chain.status(self.now))
    }

    /// Carries out what a process puts out, and pumps it until it has nothing more.
    fn carry_out(&mut self, at: SocketAddr, outputs: Vec<Output<usize>>) {
        let mut outputs = outputs;
        loop {
            let Some(process) = self.running.get_mut(&at) else { return };
            for output in std::mem::take(&mut outputs) {
                match output {
                    Output::Call { call, to, message, .. } => {
                        let (from, to, life) = (at, to.address, process.life);
                        self.packets.push_back(Packet::Question { from, life, call, to, message });
                    }
                    Output::Reply { token, reply } => {
                        let (to, life, call) = process.asked.remove(&token).expect("asked");
                        self.packets.push_back(Packet::Answer {
                            from: at,
                            to,
                            life,
                            call,
                            reply: Some(reply),
                        });
                    }
                    Output::Applied { token, result: Ok(_) } => drop(self.acknowledged.insert(token)),
                    Output::Applied { .. } => {}
                    Output::Readable { result: Ok(()), .. } => {
                        process.found = Some(process.chain.replica().machine().0.clone());
                    }
                    Output::Readable { .. } => {}
                }
            }
            process.chain.advance(self.now, &mut outputs);
            if outputs.is_empty() {
                return;
            }
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let mut out = Vec::new();
        match packet {
            Packet::Question { from, life, call, to, message } => {
                let passes = !self.cut.contains(&(from, to));
                let Some(process) = self.running.get_mut(&to).filter(|_| passes) else {
                    self.packets.push_back(Packet::Answer { from, to: from, life, call, reply: None });
                    return;
                };
                self.tokens += 1;
                process.asked.insert(self.tokens, (from, life, call));
                match message {
                    ToSuccessor::Append(append) => {
                        process.chain.handle_append(self.now, self.tokens, &append, &mut out);
                    }
                    ToSuccessor::Install(install) => {
                        process.chain.handle_install(self.tokens, &install, &mut out)
                    }
                }
                self.carry_out(to, out);
            }
            Packet::Answer { from, to, life, call, reply } => {
                let reply = reply.filter(|_| !self.cut.contains(&(from, to)));
                let Some(process) = self.running.get_mut(&to).filter(|process| process.life == life) else {
                    return;
                };
                process.chain.handle_reply(self.now, call, reply, &mut out);
                self.carry_out(to, out);
            }
        }
    }

    /// Delivers what is on its way, in order, until nothing is; a chain that goes on for ever is not followed.
    fn deliver_all(&mut self) {
        for _ in 0..200 {
            let Some(packet) = self.packets.pop_front() else { return };
            self.deliver(packet);
        }
    }

    fn stop(&mut self, node: u8) {
        let gone = self.running.remove(&address(node));
        for (to, life, call) in gone.into_iter().flat_map(|process| process.asked.into_values()) {
            self.packets.push_back(Packet::Answer { from: to, to, life, call, reply: None });
        }
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
            let process = self.running.get(&member.address);
            process.is_some_and(|process| {
                let status = process.chain.status(self.now);
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
        let Some(status) = self.status(node) else { return };
        let own = status.view.members.iter().find(|member| member.identity == status.identity).cloned();
        let Some(own) = own.filter(|_| status.complete) else { return };
        let answers = |member: &Member| {
            let answer = self.ask_status(own.address, member.address);
            answer.is_some_and(|answer| answer.identity == member.identity)
        };
        let others = status.view.members.iter().filter(|m| m.identity != own.identity && answers(m));
        let mut members: Vec<Member> = std::iter::once(own.clone()).chain(others.cloned()).collect();
        for other in 0..NODES {
            let joiner = self.ask_status(own.address, address(other));
            let learnt = |joiner: &Status| joiner.view.number >= status.view.number;
            let joiner = joiner.filter(|joiner| !status.view.contains(joiner.identity) && learnt(joiner));
            let Some(joiner) = joiner.filter(|_| members.len() < 3) else { continue };
            let member =
                Member { address: address(other), identity: joiner.identity, node_name: String::new() };
            members.push(member);
        }
        let view = View { number: status.view.number + 1, voters: members.clone(), members };
        self.propose_view(node, &status, &own, view, ballot_round);
    }

    /// A voter that has accepted a view proposes it again, with a ballot above all that it has promised.
    fn propose_accepted(&mut self, node: u8) {
        let Some(status) = self.status(node) else { return };
        let own = status.view.voters.iter().find(|voter| voter.identity == status.identity).cloned();
        let Some((own, process)) = own.zip(self.running.get(&address(node))) else { return };
        let vote = process.chain.replica().vote();
        let Some(accepted) = vote.accepted.clone() else { return };
        let ballot_round = vote.promised / 64;
        self.propose_view(node, &status, &own, accepted.view, ballot_round);
    }

    fn propose_view(&mut self, node: u8, status: &Status, own: &Member, view: View, ballot_round: u64) {
        let voters = &status.view.voters;
        let rank = voters.iter().position(|voter| voter.identity == own.identity).expect("a voter");
        let lost = |voter: &&Member| {
            let answer = self.ask_status(own.address, voter.address);
            answer.is_some_and(|answer| answer.identity != voter.identity)
        };
        let lost = voters.iter().filter(lost).map(|voter| voter.identity).collect();
        let ballot = next_proposal_number(ballot_round * 64, rank);
        let proposal = Proposal::new(status.view.clone(), view, ballot, lost);
        if let Some(Outcome::Decided(view)) = self.ask_votes(own, proposal) {
            self.record_view(&view);
            if let Some(process) = self.process(node) {
                process.chain.install_view(&view);
            }
        }
    }

    /// Asks all members for their votes, the proposer's own first.
    fn ask_votes(&mut self, own: &Member, mut proposal: Proposal) -> Option<Outcome> {
        loop {
            let (request, phase) = (proposal.request(), proposal.phase());
            let mut members = proposal.current().voters.clone();
            members.sort_by_key(|member| member.identity != own.identity);
            let mut asks_again = false;
            for member in members {
                let reply = self.vote(own.address, &member, &request);
                let granted = matches!(reply, Some(VoteReply::Promised(_) | VoteReply::Accepted));
                if member.identity == own.identity && !granted {
                    return None;
                }
                match proposal.handle_reply(phase, member.identity, reply) {
                    Step::Wait => {}
                    Step::SendRequest => {
                        asks_again = true;
                        break;
                    }
                    Step::Finished(outcome) => return Some(outcome),
                }
            }
            if !asks_again {
                return None;
            }
        }
    }

    fn vote(
        &mut self,
        from: SocketAddr,
        member: &Member,
        request: &marblecroft_chain_replication::agreement::VoteRequest,
    ) -> Option<VoteReply> {
        if self.cut.contains(&(from, member.address)) {
            return None;
        }
        let returns = !self.cut.contains(&(member.address, from));
        let process = self.running.get_mut(&member.address)?;
        if process.chain.replica().identity() != member.identity {
            return None;
        }
        let reply = process.chain.with_replica(|replica| replica.handle_vote_request(request));
        self.carry_out(member.address, Vec::new());
        Some(reply).filter(|_| returns)
    }

    /// A process asks the others which view is the newest.
    fn learn(&mut self, node: u8) {
        for other in 0..NODES {
            let status = self.ask_status(address(node), address(other));
            if let (Some(status), Some(process)) = (status, self.process(node)) {
                process.chain.install_view(&status.view);
                self.carry_out(address(node), Vec::new());
            }
        }
    }

    fn begin(&mut self, node: u8) {
        self.next += 1;
        let number = self.next;
        if let Some(process) = self.process(node).filter(|process| process.chain.is_head()) {
            process.chain.propose(number, number, Duration::MAX);
        }
    }

    fn run_round(&mut self, node: u8) {
        self.now += Duration::from_secs(1);
        self.carry_out(address(node), Vec::new());
        self.deliver_all();
    }

    /// Reads at a node; what is read holds everything acknowledged before, and goes on from what was read before.
    fn read(&mut self, node: u8) -> bool {
        let Some(process) = self.process(node).filter(|process| process.chain.is_head()) else {
            return false;
        };
        process.found = None;
        process.chain.read_index(0, Duration::MAX);
        let before = self.acknowledged.clone();
        self.run_round(node);
        let Some(read) = self.process(node).and_then(|process| process.found.take()) else { return false };
        let found: BTreeSet<u64> = read.iter().copied().collect();
        assert_eq!(found.len(), read.len(), "an operation was carried out twice");
        assert!(before.is_subset(&found), "acknowledged, not read: {:?}", before.difference(&found));
        assert!(read.starts_with(&self.newest_read), "{read:?} does not go on from {:?}", self.newest_read);
        self.newest_read = read;
        true
    }

    fn step(&mut self, u: &mut Unstructured) -> Draw<()> {
        let node = u.int_in_range(0..=NODES - 1)?;
        match u.int_in_range(0..=22)? {
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
                self.cut.insert((address(node), address(other)));
            }
            17 => self.cut.clear(),
            18 => self.disks[usize::from(node)].refuse(u.arbitrary()?),
            19 if u.ratio(1, 4)? => self.lose_all_power(),
            20 => self.carry_out(address(node), Vec::new()),
            21 => {
                // Something overtakes, comes twice, or is lost.
                let at = u.int_in_range(0..=self.packets.len())?;
                if let Some(packet) = self.packets.remove(at) {
                    if u.ratio(1, 4)? {
                        self.packets.push_back(packet.clone());
                    }
                    self.deliver(packet);
                }
            }
            22 => self.now += Duration::from_millis(u.int_in_range(0..=600)?),
            _ => {}
        }
        Ok(())
    }

    /// All lose power at the same moment and come back with their disks.
    fn lose_all_power(&mut self) {
        (0..NODES).for_each(|node| self.stop(node));
        (0..NODES).for_each(|node| self.restart(node));
        self.down = None;
    }

    /// Whether this process has accepted a view that is not decided.
    fn has_undecided_view(&self, node: u8) -> bool {
        self.running.get(&address(node)).is_some_and(|process| {
            let replica = process.chain.replica();
            let is_open = replica.vote().instance == replica.view().number + 1;
            is_open && replica.vote().accepted.is_some() && replica.view().is_voter(replica.identity())
        })
    }

    /// Every process that has accepted a view that is not decided proposes it again, as coordinators do in the time that a
    /// deployment leaves between two losses. Whether none is left.
    fn finishes_undecided_views(&mut self) -> bool {
        for node in 0..NODES {
            if self.has_undecided_view(node) {
                self.learn(node);
            }
            if self.has_undecided_view(node) {
                self.propose_accepted(node);
            }
        }
        (0..NODES).all(|node| !self.has_undecided_view(node))
    }

    /// One machine goes, perhaps with its disk; only where all others hold everything, as the deployment bears no more.
    fn lose(&mut self, node: u8, wiped: bool, back_at_once: bool) {
        if self.down.is_some() || !self.whole() {
            return;
        }
        if !self.finishes_undecided_views() || !self.whole() {
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
        self.cut.clear();
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

fn play(u: &mut Unstructured) -> Draw<()> {
    let mut cluster = Cluster::new();
    while !u.is_empty() {
        cluster.step(u)?;
    }
    cluster.recovers();
    Ok(())
}

#[test]
fn what_was_acknowledged_survives_every_history() {
    arbtest::arbtest(play).size_min(64).size_max(4096).budget_ms(8000);
}

/// A view that a minority had accepted was decided after two machines that it names had lost their disks.
#[test]
fn a_view_that_a_minority_accepted_leaves_voters_whenever_it_is_decided() {
    arbtest::arbtest(play).seed(0x0222_4888_0000_1000);
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
        cluster.cut.insert((address(0), address(other)));
        cluster.cut.insert((address(other), address(0)));
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
    cluster.cut.clear();
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
    let late = cluster.process(0).expect("runs").chain.replica().snapshot_message();
    cluster.begin(0);
    cluster.run_round(0);
    let member = cluster.process(1).expect("runs");
    let position = member.chain.replica().position();
    let mut out = Vec::new();
    member.chain.handle_install(7, &late, &mut out);
    assert!(matches!(out[..], [Output::Reply { token: 7, reply: AppendReply::Mismatch(_) }]), "{out:?}");
    assert_eq!(member.chain.replica().position(), position);
}
