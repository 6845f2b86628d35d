//! Randomized tests of clusters on a simulated network with simulated disks, reproducible from a seed.
//! Members are killed, lose power or their disks, are partitioned in one direction or both, restart and join.
//! Every acknowledged operation is in every later read, and no two views have the same number.

#[path = "common/disk.rs"]
#[allow(dead_code, reason = "not every test file uses all functions of the disk")]
mod disk;

use arbtest::arbitrary::Unstructured;
use disk::{AppendBehaviour, Contents, Disk};
use marblecroft_chain_replication::agreement::{
    next_proposal_number, Outcome, Proposal, Step, VoteReply, VoteRequest,
};
use marblecroft_chain_replication::{
    AppendReply, Chain, Config, Member, Output, Replica, StateMachine, Status, ToSuccessor, View,
};
use marblecroft_rpc::{decode, encode};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

type ArbitraryResult<T> = arbtest::arbitrary::Result<T>;

/// A state machine that records the operations in the order in which they were applied.
#[derive(Clone, Debug, Default, PartialEq)]
struct AppliedOperations(Vec<u64>);

impl StateMachine for AppliedOperations {
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

    fn restore(snapshot: &[u8]) -> Option<AppliedOperations> {
        decode(snapshot).ok().map(AppliedOperations)
    }
}

/// Sets whether all writes to a disk fail. The first record of a failed write is still durable.
fn set_failing(disk: &Disk, is_failing: bool) {
    disk.set_append(if is_failing {
        AppendBehaviour::FailsAfterStoring(1)
    } else {
        AppendBehaviour::Succeeds
    });
    disk.fail_segment_starts(is_failing);
}

/// Replaces a disk with an empty one.
fn wipe(disk: &Disk) {
    disk.set_contents(Contents::default());
    set_failing(disk, false);
}

/// A running process.
struct Process {
    chain: Chain<AppliedOperations, Disk>,
    /// Distinguishes this process from earlier ones at its address.
    incarnation: u64,
    /// Requests that the process has not replied to yet, by token.
    pending_requests: BTreeMap<u64, CallId>,
    /// The state at the last confirmed read.
    read_state: Option<Vec<u64>>,
}

/// Identifies a call by the caller, its incarnation and the number that the caller has given the call.
#[derive(Clone, Copy)]
struct CallId {
    from: SocketAddr,
    incarnation: u64,
    call: u64,
}

/// A packet in flight.
#[derive(Clone)]
enum Packet {
    Request { id: CallId, to: SocketAddr, message: ToSuccessor },
    Response { id: CallId, from: SocketAddr, reply: Option<AppendReply> },
}

const NODES: u8 = 4;
const TOLERATED_LOSSES: usize = 1;

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node], 7000))
}

struct Cluster {
    running: BTreeMap<SocketAddr, Process>,
    /// Pairs of sender and recipient between which no packet is delivered.
    partitioned: BTreeSet<(SocketAddr, SocketAddr)>,
    packets: VecDeque<Packet>,
    now: Duration,
    disks: Vec<Disk>,
    last_identity: u64,
    last_incarnation: u64,
    last_token: u64,
    last_operation: u64,
    /// Operations that were acknowledged.
    acknowledged: BTreeSet<u64>,
    newest_read: Vec<u64>,
    decided: BTreeMap<u64, View>,
    /// A node that was stopped and has not been restarted.
    stopped: Option<u8>,
}

impl Cluster {
    fn new() -> Cluster {
        let mut cluster = Cluster {
            running: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            packets: VecDeque::new(),
            now: Duration::ZERO,
            disks: (0..NODES).map(|_| Disk::default()).collect(),
            last_identity: 1000,
            last_incarnation: 0,
            last_token: 0,
            last_operation: 0,
            acknowledged: BTreeSet::new(),
            newest_read: Vec::new(),
            decided: BTreeMap::new(),
            stopped: None,
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
        let recovered = disk.recovered();
        let replica = Replica::open(disk, recovered, identity, founding).expect("opens");
        let config = Config {
            heartbeat_interval: Duration::from_millis(500),
            append_timeout: Duration::from_millis(1),
            install_timeout: Duration::from_millis(1),
            min_replicas: TOLERATED_LOSSES + 1,
            is_durable: true,
            suspect_timeout: Duration::ZERO,
        };
        self.last_incarnation += 1;
        let chain = Chain::new(replica, config, self.last_incarnation);
        let process = Process {
            chain,
            incarnation: self.last_incarnation,
            pending_requests: BTreeMap::new(),
            read_state: None,
        };
        self.running.insert(address(node), process);
    }

    fn process(&mut self, node: u8) -> Option<&mut Process> {
        self.running.get_mut(&address(node))
    }

    fn status(&self, node: u8) -> Option<Status> {
        self.running.get(&address(node)).map(|process| process.chain.status(self.now))
    }

    /// Returns the status that one process receives from another, if the request and the reply are delivered.
    fn request_status(&self, from: SocketAddr, to: SocketAddr) -> Option<Status> {
        let is_partitioned = self.partitioned.contains(&(from, to)) || self.partitioned.contains(&(to, from));
        self.running.get(&to).filter(|_| !is_partitioned).map(|process| process.chain.status(self.now))
    }

    /// Executes the outputs of a process, and advances the process until it adds no further outputs.
    fn execute(&mut self, at: SocketAddr, outputs: Vec<Output<usize>>) {
        let mut outputs = outputs;
        loop {
            let Some(process) = self.running.get_mut(&at) else { return };
            for output in std::mem::take(&mut outputs) {
                match output {
                    Output::Call { call, to, message, .. } => {
                        let id = CallId { from: at, incarnation: process.incarnation, call };
                        self.packets.push_back(Packet::Request { id, to: to.address, message });
                    }
                    Output::Reply { token, reply } => {
                        let id = process.pending_requests.remove(&token).expect("a request");
                        self.packets.push_back(Packet::Response { id, from: at, reply: Some(reply) });
                    }
                    Output::Applied { token, result: Ok(_) } => {
                        self.acknowledged.insert(token);
                    }
                    Output::Applied { .. } => {}
                    Output::Readable { result: Ok(()), .. } => {
                        process.read_state = Some(process.chain.replica().machine().0.clone());
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
        let mut outputs = Vec::new();
        match packet {
            Packet::Request { id, to, message } => {
                let is_connected = !self.partitioned.contains(&(id.from, to));
                let Some(process) = self.running.get_mut(&to).filter(|_| is_connected) else {
                    self.packets.push_back(Packet::Response { id, from: id.from, reply: None });
                    return;
                };
                self.last_token += 1;
                process.pending_requests.insert(self.last_token, id);
                match message {
                    ToSuccessor::Append(append) => {
                        process.chain.handle_append(self.now, self.last_token, &append, &mut outputs);
                    }
                    ToSuccessor::Install(install) => {
                        process.chain.handle_install(self.last_token, &install, &mut outputs)
                    }
                }
                self.execute(to, outputs);
            }
            Packet::Response { id, from, reply } => {
                let reply = reply.filter(|_| !self.partitioned.contains(&(from, id.from)));
                let caller = self.running.get_mut(&id.from);
                let Some(process) = caller.filter(|process| process.incarnation == id.incarnation) else {
                    return;
                };
                process.chain.handle_reply(self.now, id.call, reply, &mut outputs);
                self.execute(id.from, outputs);
            }
        }
    }

    /// Delivers the packets in flight in order, until there are none. Stops after 200 packets, as the chain
    /// may never stop sending.
    fn deliver_all(&mut self) {
        for _ in 0..200 {
            let Some(packet) = self.packets.pop_front() else { return };
            self.deliver(packet);
        }
    }

    fn stop(&mut self, node: u8) {
        let stopped = self.running.remove(&address(node));
        for id in stopped.into_iter().flat_map(|process| process.pending_requests.into_values()) {
            self.packets.push_back(Packet::Response { id, from: id.from, reply: None });
        }
    }

    fn restart(&mut self, node: u8) {
        if self.process(node).is_none() {
            self.last_identity += 1;
            let identity = self.last_identity;
            set_failing(&self.disks[usize::from(node)], false);
            self.start(node, identity, None);
        }
    }

    /// Whether every member of the newest view runs and is complete.
    fn is_fully_replicated(&self) -> bool {
        let newest = self.decided.values().last().expect("the first view");
        let is_complete = |member: &Member| {
            let process = self.running.get(&member.address);
            process.is_some_and(|process| {
                let status = process.chain.status(self.now);
                let current = status.view.number == newest.number;
                status.identity == member.identity && status.complete && current
            })
        };
        newest.members.len() > TOLERATED_LOSSES && newest.members.iter().all(is_complete)
    }

    fn record_view(&mut self, view: &View) {
        let known = self.decided.entry(view.number).or_insert_with(|| view.clone());
        assert_eq!(known, view, "two views have the same number");
    }

    /// Makes a member propose a view that it heads. The view contains the members that reply to it, and
    /// learners up to a total of three members.
    fn propose(&mut self, node: u8, proposal_round: u64) {
        let Some(status) = self.status(node) else { return };
        let proposer = status.view.members.iter().find(|member| member.identity == status.identity).cloned();
        let Some(proposer) = proposer.filter(|_| status.complete) else { return };
        let replies = |member: &Member| {
            let status = self.request_status(proposer.address, member.address);
            status.is_some_and(|status| status.identity == member.identity)
        };
        let others = status.view.members.iter().filter(|m| m.identity != proposer.identity && replies(m));
        let mut members: Vec<Member> = std::iter::once(proposer.clone()).chain(others.cloned()).collect();
        for other in 0..NODES {
            let learner = self.request_status(proposer.address, address(other));
            let is_current = |learner: &Status| learner.view.number >= status.view.number;
            let learner =
                learner.filter(|learner| !status.view.contains(learner.identity) && is_current(learner));
            let Some(learner) = learner.filter(|_| members.len() < 3) else { continue };
            let member =
                Member { address: address(other), identity: learner.identity, node_name: String::new() };
            members.push(member);
        }
        let view = View { number: status.view.number + 1, voters: members.clone(), members };
        self.propose_view(node, &status, &proposer, view, proposal_round);
    }

    /// Makes a voter propose the view that it has accepted again, with a number above all that it has
    /// promised.
    fn propose_accepted(&mut self, node: u8) {
        let Some(status) = self.status(node) else { return };
        let proposer = status.view.voters.iter().find(|voter| voter.identity == status.identity).cloned();
        let Some((proposer, process)) = proposer.zip(self.running.get(&address(node))) else { return };
        let vote = process.chain.replica().vote();
        let Some(accepted) = vote.accepted.clone() else { return };
        let proposal_round = vote.promised / 64;
        self.propose_view(node, &status, &proposer, accepted.view, proposal_round);
    }

    fn propose_view(
        &mut self,
        node: u8,
        status: &Status,
        proposer: &Member,
        view: View,
        proposal_round: u64,
    ) {
        let voters = &status.view.voters;
        let index = voters.iter().position(|voter| voter.identity == proposer.identity).expect("a voter");
        let is_lost = |voter: &&Member| {
            let status = self.request_status(proposer.address, voter.address);
            status.is_some_and(|status| status.identity != voter.identity)
        };
        let lost = voters.iter().filter(is_lost).map(|voter| voter.identity).collect();
        let proposal_number = next_proposal_number(proposal_round * 64, index);
        let proposal = Proposal::new(status.view.clone(), view, proposal_number, lost);
        if let Some(Outcome::Decided(view)) = self.request_votes(proposer, proposal) {
            self.record_view(&view);
            if let Some(process) = self.process(node) {
                process.chain.install_view(&view);
            }
        }
    }

    /// Sends a proposal's requests to all voters, the proposer's own first.
    fn request_votes(&mut self, proposer: &Member, mut proposal: Proposal) -> Option<Outcome> {
        loop {
            let (request, phase) = (proposal.request(), proposal.phase());
            let mut members = proposal.current().voters.clone();
            members.sort_by_key(|member| member.identity != proposer.identity);
            let mut has_next_request = false;
            for member in members {
                let reply = self.vote(proposer.address, &member, &request);
                let granted = matches!(reply, Some(VoteReply::Promised(_) | VoteReply::Accepted));
                if member.identity == proposer.identity && !granted {
                    return None;
                }
                match proposal.handle_reply(phase, member.identity, reply) {
                    Step::Wait => {}
                    Step::SendRequest => {
                        has_next_request = true;
                        break;
                    }
                    Step::Finished(outcome) => return Some(outcome),
                }
            }
            if !has_next_request {
                return None;
            }
        }
    }

    fn vote(&mut self, from: SocketAddr, member: &Member, request: &VoteRequest) -> Option<VoteReply> {
        if self.partitioned.contains(&(from, member.address)) {
            return None;
        }
        let is_reply_delivered = !self.partitioned.contains(&(member.address, from));
        let process = self.running.get_mut(&member.address)?;
        if process.chain.replica().identity() != member.identity {
            return None;
        }
        let reply = process.chain.with_replica(|replica| replica.handle_vote_request(request));
        self.execute(member.address, Vec::new());
        Some(reply).filter(|_| is_reply_delivered)
    }

    /// Makes a process install the newest view of the others.
    fn install_newest_view(&mut self, node: u8) {
        for other in 0..NODES {
            let status = self.request_status(address(node), address(other));
            if let (Some(status), Some(process)) = (status, self.process(node)) {
                process.chain.install_view(&status.view);
                self.execute(address(node), Vec::new());
            }
        }
    }

    /// Proposes an operation at a node, if the node is a head.
    fn submit(&mut self, node: u8) {
        self.last_operation += 1;
        let number = self.last_operation;
        if let Some(process) = self.process(node).filter(|process| process.chain.is_head()) {
            process.chain.propose(number, number, Duration::MAX);
        }
    }

    fn run_round(&mut self, node: u8) {
        self.now += Duration::from_secs(1);
        self.execute(address(node), Vec::new());
        self.deliver_all();
    }

    /// Reads at a node, and returns whether the read was confirmed. Asserts that the read contains every
    /// operation acknowledged before, and extends the previous read.
    fn read(&mut self, node: u8) -> bool {
        let Some(process) = self.process(node).filter(|process| process.chain.is_head()) else {
            return false;
        };
        process.read_state = None;
        process.chain.read_index(0, Duration::MAX);
        let before = self.acknowledged.clone();
        self.run_round(node);
        let Some(read) = self.process(node).and_then(|process| process.read_state.take()) else {
            return false;
        };
        let operations: BTreeSet<u64> = read.iter().copied().collect();
        assert_eq!(operations.len(), read.len(), "an operation was applied twice");
        assert!(
            before.is_subset(&operations),
            "acknowledged but not read: {:?}",
            before.difference(&operations)
        );
        assert!(read.starts_with(&self.newest_read), "{read:?} does not extend {:?}", self.newest_read);
        self.newest_read = read;
        true
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> ArbitraryResult<()> {
        let node = u.int_in_range(0..=NODES - 1)?;
        match u.int_in_range(0..=22)? {
            0..=4 => self.submit(node),
            5..=8 => self.run_round(node),
            9..=10 => {
                self.read(node);
            }
            11 => self.propose(node, u.int_in_range(1..=50)?),
            12 => self.install_newest_view(node),
            13 => self.stop_tolerated(node, u.arbitrary()?, u.arbitrary()?),
            14..=15 => {
                if let Some(stopped) = self.stopped.take() {
                    self.restart(stopped);
                }
            }
            16 => {
                let other = u.int_in_range(0..=NODES - 1)?;
                self.partitioned.insert((address(node), address(other)));
            }
            17 => self.partitioned.clear(),
            18 => set_failing(&self.disks[usize::from(node)], u.arbitrary()?),
            19 if u.ratio(1, 4)? => self.power_failure(),
            20 => self.execute(address(node), Vec::new()),
            21 => {
                // A packet overtakes others, or is delivered twice.
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

    /// All nodes lose power at the same moment, and restart with the contents of their disks.
    fn power_failure(&mut self) {
        (0..NODES).for_each(|node| self.stop(node));
        (0..NODES).for_each(|node| self.restart(node));
        self.stopped = None;
    }

    /// Whether this process has accepted a view and has not received a decision.
    fn has_undecided_view(&self, node: u8) -> bool {
        self.running.get(&address(node)).is_some_and(|process| {
            let replica = process.chain.replica();
            let is_open = replica.vote().instance == replica.view().number + 1;
            is_open && replica.vote().accepted.is_some() && replica.view().is_voter(replica.identity())
        })
    }

    /// Makes every process that has accepted an undecided view propose it again. Coordinators do so in the
    /// time that a deployment leaves between two losses. Returns whether all such views are decided.
    fn finish_undecided_views(&mut self) -> bool {
        for node in 0..NODES {
            if self.has_undecided_view(node) {
                self.install_newest_view(node);
            }
            if self.has_undecided_view(node) {
                self.propose_accepted(node);
            }
        }
        (0..NODES).all(|node| !self.has_undecided_view(node))
    }

    /// Stops one node, optionally with the loss of its disk. The deployment tolerates one loss at a time, so
    /// this does nothing unless all members are complete.
    fn stop_tolerated(&mut self, node: u8, loses_disk: bool, restarts_at_once: bool) {
        if self.stopped.is_some() || !self.is_fully_replicated() {
            return;
        }
        if !self.finish_undecided_views() || !self.is_fully_replicated() {
            return;
        }
        self.stop(node);
        if loses_disk {
            wipe(&self.disks[usize::from(node)]);
        }
        self.stopped = Some(node);
        if restarts_at_once {
            self.restart(node);
            self.stopped = None;
        }
    }

    /// Ends all faults, and asserts that the cluster acknowledges operations again within a bounded number of
    /// steps.
    fn assert_recovery(&mut self) {
        self.partitioned.clear();
        self.disks.iter().for_each(|disk| set_failing(disk, false));
        (0..NODES).for_each(|node| self.restart(node));
        for round in 0..40u8 {
            // The timers of every process expire; a suspended member then reads its disk again.
            (0..NODES).for_each(|node| self.run_round(node));
            (0..NODES).for_each(|node| self.install_newest_view(node));
            for node in 0..NODES {
                self.submit(node);
                if self.read(node) && self.is_fully_replicated() {
                    return;
                }
            }
            self.propose(round % NODES, 100 + u64::from(round));
        }
        panic!("the cluster does not recover");
    }
}

fn run_history(u: &mut Unstructured<'_>) -> ArbitraryResult<()> {
    let mut cluster = Cluster::new();
    while !u.is_empty() {
        cluster.step(u)?;
    }
    cluster.assert_recovery();
    Ok(())
}

#[test]
fn acknowledged_operations_survive_every_history() {
    arbtest::arbtest(run_history).size_min(64).size_max(4096).budget_ms(8000);
}

/// Regression test: a voter's write of a vote returned an error but was durable, and the voter continued
/// without the vote. A learner and then a member that the view named lost their disks. After a restart the
/// vote reappeared, and the view was decided with only one of its three voters remaining.
#[test]
fn vote_with_a_failed_write_is_resolved_before_the_next_disk_loss() {
    arbtest::arbtest(run_history).seed(0x1567_df64_0000_1000);
    arbtest::arbtest(run_history).seed(0x0505_8b4b_0000_1000);
}

/// Regression test: a view that a minority had accepted was decided after two of its members had lost their
/// disks.
#[test]
fn view_accepted_by_a_minority_is_decided_while_a_majority_of_its_voters_remains() {
    arbtest::arbtest(run_history).seed(0x0222_4888_0000_1000);
}

#[test]
fn cluster_without_faults_acknowledges_at_once() {
    let mut cluster = Cluster::new();
    for _ in 0..20 {
        cluster.submit(0);
        cluster.run_round(0);
    }
    assert_eq!(cluster.acknowledged.len(), 20);
    assert!(cluster.read(0));
    assert!(!cluster.read(1), "only the head confirms reads");
}

#[test]
fn partitioned_head_neither_acknowledges_nor_confirms_reads() {
    let mut cluster = Cluster::new();
    for other in 1..NODES {
        cluster.partitioned.insert((address(0), address(other)));
        cluster.partitioned.insert((address(other), address(0)));
    }
    cluster.submit(0);
    cluster.run_round(0);
    assert!(cluster.acknowledged.is_empty());
    cluster.propose(1, 1);
    assert_eq!(cluster.decided.len(), 2, "the majority decides the next view");
    cluster.submit(1);
    assert!(cluster.read(1));
    assert_eq!(cluster.acknowledged.len(), 1);
    assert!(!cluster.read(0));
    cluster.partitioned.clear();
    assert!(!cluster.read(0), "the former head receives the new view");
    cluster.assert_recovery();
}

#[test]
fn chain_of_two_recovers_from_the_loss_of_one_disk() {
    let mut cluster = Cluster::new();
    cluster.stop(2);
    cluster.stop(3);
    cluster.propose(0, 1);
    assert_eq!(cluster.decided[&2].members.len(), 2);
    cluster.submit(0);
    cluster.run_round(0);
    assert_eq!(cluster.acknowledged.len(), 1);
    cluster.stop(1);
    wipe(&cluster.disks[1]);
    cluster.restart(1);
    cluster.assert_recovery();
}

#[test]
fn delayed_install_does_not_revert_later_entries() {
    let mut cluster = Cluster::new();
    cluster.submit(0);
    cluster.run_round(0);
    let delayed = cluster.process(0).expect("runs").chain.replica().snapshot_message();
    cluster.submit(0);
    cluster.run_round(0);
    let member = cluster.process(1).expect("runs");
    let position = member.chain.replica().position();
    let mut outputs = Vec::new();
    member.chain.handle_install(7, &delayed, &mut outputs);
    assert!(
        matches!(outputs[..], [Output::Reply { token: 7, reply: AppendReply::Mismatch(_) }]),
        "{outputs:?}"
    );
    assert_eq!(member.chain.replica().position(), position);
}
