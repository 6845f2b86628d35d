//! Who is in the coordinators' chain: a process that is not asks to join, and members that fail are left out by agreement.

use crate::coordinator::Coordinator;
use marblecroft_chain::agreement::{decide, next_ballot, Outcome, VoteReply, VoteRequest, Voters};
use marblecroft_chain::{Member, Status, View};
use marblecroft_protocol::coordinator::{CoordinatorReply, CoordinatorRequest};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Pause between two looks at the chain.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Pause between two requests to join.
const JOIN_EVERY: Duration = Duration::from_millis(300);
/// A member that has heard nothing of its chain for so long takes its head for failed ...
const HEAD_SILENT: Duration = Duration::from_millis(1000);
/// ... and as much longer for each member before it, so that they do not bid against each other.
const SILENT_STEP: Duration = Duration::from_millis(350);
/// A head that answers is left in place for so long all the same; the fault may be another's, which it mends.
const HEAD_ANSWERS: Duration = Duration::from_millis(3500);
/// Time for an answer that needs no disk.
const STATUS_TIME: Duration = Duration::from_millis(400);
/// Time for a vote, which goes to a disk.
const VOTE_TIME: Duration = Duration::from_millis(800);

/// The processes that answered, by address.
type Answers = HashMap<SocketAddr, Status>;

/// Asks processes what they say of themselves, all at the same time.
fn ask_all(coordinator: &Coordinator, addresses: &[SocketAddr]) -> Answers {
    let ask = |address: SocketAddr| {
        let transport = coordinator.chain.transport();
        match transport.ask(address, &CoordinatorRequest::Status, STATUS_TIME)? {
            CoordinatorReply::Status(status) => Some((address, status)),
            _ => None,
        }
    };
    thread::scope(|scope| {
        let asked: Vec<_> = addresses.iter().map(|&address| scope.spawn(move || ask(address))).collect();
        asked.into_iter().filter_map(|asked| asked.join().ok().flatten()).collect()
    })
}

/// Votes of the members that answered just before.
struct Answering<'a> {
    coordinator: &'a Coordinator,
    answers: &'a Answers,
}

impl Voters for Answering<'_> {
    fn ask(&self, member: &Member, request: &VoteRequest) -> Option<VoteReply> {
        if member.address == self.coordinator.address {
            return Some(self.coordinator.chain.with_replica(|replica| replica.answer_vote(request)));
        }
        self.answers.get(&member.address).filter(|status| status.identity == member.identity)?;
        let request = CoordinatorRequest::Vote(request.clone());
        match self.coordinator.chain.transport().ask(member.address, &request, VOTE_TIME)? {
            CoordinatorReply::Vote(reply) => Some(reply),
            _ => None,
        }
    }

    fn is_lost(&self, member: &Member) -> bool {
        // The machine answers, and its disk is another one.
        self.answers.get(&member.address).is_some_and(|status| status.identity != member.identity)
    }
}

/// Has `members` decided as the next view; whether a newer view is known now.
fn change_view(coordinator: &Coordinator, current: &View, members: Vec<Member>, answers: &Answers) -> bool {
    let voters = Answering { coordinator, answers };
    let own = coordinator.chain.status().identity;
    let rank = current.index_of(own).unwrap_or(0);
    let promised = coordinator.chain.with_replica(|replica| {
        let vote = replica.vote();
        if vote.instance == current.number + 1 {
            vote.promised
        } else {
            0
        }
    });
    let proposal = View { number: current.number + 1, members };
    info!("proposes view {}: {}", proposal.number, proposal.addresses());
    match decide(current, proposal, next_ballot(promised, rank), &voters) {
        Outcome::Decided(view) => {
            coordinator.chain.learn(&view);
            tell(coordinator, current, &view);
            true
        }
        Outcome::Undecided { outbid } => {
            if outbid > 0 {
                // The next ballot of one's own is above what one has promised; promise the other one's.
                let instance = current.number + 1;
                let request = VoteRequest::Prepare { instance, ballot: outbid };
                coordinator.chain.with_replica(|replica| replica.answer_vote(&request));
            }
            warn!("view {} was not agreed", current.number + 1);
            false
        }
    }
}

/// Tells everyone concerned of a view that was decided.
fn tell(coordinator: &Coordinator, before: &View, view: &View) {
    let mut addresses: Vec<SocketAddr> =
        before.members.iter().chain(&view.members).map(|member| member.address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| *address != coordinator.address);
    let request = CoordinatorRequest::Vote(VoteRequest::Decided { view: view.clone() });
    let transport = coordinator.chain.transport();
    thread::scope(|scope| {
        for address in addresses {
            let request = &request;
            // Whoever does not answer learns of it from the next message of the chain.
            scope.spawn(move || drop(transport.ask(address, request, STATUS_TIME)));
        }
    });
}

/// Runs until the process ends.
pub fn run(coordinator: &Coordinator) -> io::Result<()> {
    let started = Instant::now();
    let mut asked_at: Option<Instant> = None;
    loop {
        thread::sleep(LOOK_EVERY);
        let status = coordinator.chain.status();
        if !status.view.contains(status.identity) {
            if asked_at.is_none_or(|at| at.elapsed() >= JOIN_EVERY) {
                asked_at = Some(Instant::now());
                join(coordinator, &status);
            }
        } else if coordinator.chain.is_head() {
            lead(coordinator, &status);
        } else if status.complete {
            follow(coordinator, &status, started);
        } else if asked_at.is_none_or(|at| at.elapsed() >= JOIN_EVERY) {
            asked_at = Some(Instant::now());
            catch_up(coordinator, &status);
        }
    }
}

/// Learns the newest view that anyone knows.
fn learn_newest(coordinator: &Coordinator) -> Answers {
    let answers = ask_all(coordinator, &coordinator.others());
    let newest = answers.values().map(|status| &status.view).max_by_key(|view| view.number);
    if let Some(view) = newest {
        coordinator.chain.learn(view);
    }
    answers
}

/// A member that waits for its state may be in a view that is over.
fn catch_up(coordinator: &Coordinator, status: &Status) {
    let heard = coordinator.chain.heard_age().is_some_and(|age| age < HEAD_SILENT);
    if !heard && !status.complete {
        learn_newest(coordinator);
    }
}

/// Not a member: learns the newest view, and asks its head.
fn join(coordinator: &Coordinator, status: &Status) {
    learn_newest(coordinator);
    let member = Member {
        address: coordinator.address,
        identity: status.identity,
        node: coordinator.settings.node_name.clone(),
    };
    if let Some(head) = coordinator.chain.head_address() {
        let transport = coordinator.chain.transport();
        drop(transport.ask(head, &CoordinatorRequest::Join(member), STATUS_TIME));
    }
}

/// The head leaves out whom rounds fail at, and takes in who asks.
fn lead(coordinator: &Coordinator, status: &Status) {
    let view = &status.view;
    let mut joining: Vec<Member> = {
        let mut joining = coordinator.joining.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *joining)
    };
    joining.retain(|member| !view.contains(member.identity));
    let joins_again = |member: &Member| joining.iter().any(|joiner| joiner.address == member.address);
    let fails = |member: &Member| Some(member.address) == status.suspect || joins_again(member);
    let left_out = view.members.iter().any(fails);
    if joining.is_empty() && !left_out {
        return;
    }
    let others: Vec<SocketAddr> = view.members.iter().map(|member| member.address).collect();
    let answers = ask_all(coordinator, &others);
    let newer = answers.values().map(|status| &status.view).max_by_key(|view| view.number);
    if let Some(newer) = newer.filter(|newer| newer.number > view.number) {
        coordinator.chain.learn(newer);
        return;
    }
    let stays = |member: &&Member| member.identity == status.identity || !fails(member);
    let mut members: Vec<Member> = view.members.iter().filter(stays).cloned().collect();
    members.extend(joining);
    change_view(coordinator, view, members, &answers);
}

/// A member whose head is silent proposes a view that it heads itself.
fn follow(coordinator: &Coordinator, status: &Status, started: Instant) {
    let view = &status.view;
    let Some(rank) = view.index_of(status.identity) else { return };
    let silent = coordinator.chain.healthy_age().unwrap_or_else(|| started.elapsed());
    let patience = HEAD_SILENT + SILENT_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
    if silent < patience {
        return;
    }
    let others: Vec<SocketAddr> = view
        .members
        .iter()
        .map(|member| member.address)
        .filter(|address| *address != coordinator.address)
        .collect();
    let answers = ask_all(coordinator, &others);
    let newest = answers.values().map(|status| &status.view).max_by_key(|view| view.number);
    if let Some(newest) = newest.filter(|newest| newest.number > view.number) {
        coordinator.chain.learn(newest);
        return;
    }
    let answering = |member: &Member| {
        answers.get(&member.address).is_some_and(|status| status.identity == member.identity)
    };
    let head_answers = view.head().is_some_and(answering);
    if head_answers && silent < HEAD_ANSWERS + patience {
        return;
    }
    let own = view.members[rank].clone();
    let others = view.members.iter().filter(|member| member.identity != own.identity && answering(member));
    let members: Vec<Member> = std::iter::once(own.clone()).chain(others.cloned()).collect();
    change_view(coordinator, view, members, &answers);
}
