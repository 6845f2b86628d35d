//! What a head may acknowledge while views come between its ordering and the answers, and what a lease is counted from.

use marblecroft_chain_replication::storage::NullStorage;
use marblecroft_chain_replication::{
    Append, AppendReply, Chain, Config, Install, Member, Output, Position, ProposalError, Replica, Round,
    StateMachine, ToSuccessor, View,
};
use marblecroft_rpc::{decode, encode, Bytes};
use marblecroft_wal::Recovered;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Default)]
struct Count(u64);

impl StateMachine for Count {
    type Operation = u64;
    type Output = u64;

    fn apply(&mut self, operation: u64) -> u64 {
        self.0 += operation;
        self.0
    }

    fn size_of(_: &u64) -> usize {
        8
    }

    fn snapshot(&self) -> Vec<u8> {
        encode(&self.0)
    }

    fn restore(snapshot: &[u8]) -> Option<Count> {
        decode(snapshot).ok().map(Count)
    }
}

type Outputs = Vec<Output<u64>>;

const HEARTBEAT: Duration = Duration::from_millis(100);
const HELD: AppendReply = AppendReply::Accepted { durable_replicas: 2 };

fn member(identity: u64) -> Member {
    let address = SocketAddr::from(([10, 0, 0, identity as u8], 7000));
    Member { address, identity, node_name: String::new() }
}

fn view(number: u64, members: &[u64]) -> View {
    let members: Vec<Member> = members.iter().copied().map(member).collect();
    View { number, voters: members.clone(), members }
}

fn member_of_three(identity: u64) -> Chain<Count, NullStorage> {
    let founding = Some(view(1, &[1, 2, 3]));
    let replica = Replica::open(NullStorage, Recovered::default(), Count::default(), identity, founding)
        .expect("opens");
    let options = Config {
        heartbeat_interval: HEARTBEAT,
        append_timeout: Duration::from_millis(10),
        install_timeout: Duration::from_millis(10),
        min_replicas: 2,
        is_durable: true,
        suspect_timeout: Duration::ZERO,
    };
    Chain::new(replica, options, identity)
}

/// A chain's member whose successor holds everything that it is sent.
struct Driven {
    chain: Chain<Count, NullStorage>,
    now: Duration,
    finished: Vec<(u64, Result<u64, ProposalError>)>,
}

impl Driven {
    fn head() -> Driven {
        Driven { chain: member_of_three(1), now: Duration::ZERO, finished: Vec::new() }
    }

    /// The calls among the outputs; what was finished is kept.
    fn take(&mut self, out: Outputs) -> Vec<(u64, ToSuccessor)> {
        let mut calls = Vec::new();
        for output in out {
            match output {
                Output::Call { call, message, .. } => calls.push((call, message)),
                Output::Applied { token, result } => self.finished.push((token, result)),
                Output::Reply { .. } | Output::Readable { .. } => {}
            }
        }
        calls
    }

    fn pump(&mut self) -> Vec<(u64, ToSuccessor)> {
        let mut out = Outputs::new();
        self.chain.advance(self.now, &mut out);
        self.take(out)
    }

    fn reply(&mut self, call: u64, reply: AppendReply) -> Vec<(u64, ToSuccessor)> {
        let mut out = Outputs::new();
        self.chain.handle_reply(self.now, call, Some(reply), &mut out);
        self.take(out)
    }

    /// Some rounds.
    fn run(&mut self) {
        for _ in 0..10 {
            self.now += HEARTBEAT;
            let mut calls = self.pump();
            while let Some((call, _)) = calls.pop() {
                calls.extend(self.reply(call, HELD));
            }
        }
    }
}

/// Between a head's ordering and the answer to what it passed on, it learns of a view. Whether it acknowledges.
fn acknowledges_after(learnt: &View) -> bool {
    let mut head = Driven::head();
    head.chain.propose(7, 5, Duration::MAX);
    let (call, _) = head.pump().pop().expect("passed on");
    head.chain.install_view(learnt);
    head.reply(call, HELD);
    head.run();
    head.finished == [(7, Ok(5))]
}

#[test]
fn a_head_acknowledges_nothing_under_a_view_that_it_does_not_head() {
    assert!(acknowledges_after(&view(1, &[1, 2, 3])), "nothing has changed");
    assert!(acknowledges_after(&view(2, &[1, 3])), "it heads the next view too");
    assert!(!acknowledges_after(&view(2, &[2, 3])), "it was left out, and is no tail");
    assert!(!acknowledges_after(&view(2, &[2, 3, 1])), "it is the tail now");
    assert!(!acknowledges_after(&view(3, &[1, 2, 3])), "views that it missed may hold more");
}

#[test]
fn a_head_whose_state_was_replaced_acknowledges_nothing_of_before() {
    let mut head = Driven::head();
    head.chain.propose(7, 5, Duration::MAX);
    let (call, _) = head.pump().pop().expect("passed on");
    let position = Position { index: 7, hash: 7 };
    let state = Install { view: view(2, &[2, 1]), position, machine: Bytes(encode(&9u64)) };
    let mut out = Outputs::new();
    head.chain.handle_install(1, &state, &mut out);
    assert!(out
        .iter()
        .any(|output| matches!(output, Output::Reply { reply: AppendReply::Accepted { .. }, .. })));
    head.take(out);
    head.chain.install_view(&view(3, &[1, 2]));
    assert!(head.chain.is_head());
    head.reply(call, HELD);
    head.run();
    assert_eq!(head.finished, [(7, Err(ProposalError::OutcomeUnknown))]);
}

#[test]
fn an_answer_to_an_earlier_call_counts_for_nothing() {
    let mut head = Driven::head();
    head.chain.propose(7, 5, Duration::MAX);
    let (call, _) = head.pump().pop().expect("passed on");
    head.reply(call + 1, HELD);
    head.reply(call - 1, HELD);
    assert_eq!(head.finished, []);
    head.reply(call, HELD);
    assert_eq!(head.finished, [(7, Ok(5))]);
}

#[test]
fn what_is_on_too_few_disks_is_not_acknowledged() {
    let mut head = Driven::head();
    head.chain.propose(7, 5, Duration::MAX);
    let (call, _) = head.pump().pop().expect("passed on");
    head.reply(call, AppendReply::Accepted { durable_replicas: 0 });
    assert_eq!(head.finished, [], "held by all members, of which only this one has a disk");
    head.run();
    assert_eq!(head.finished, [(7, Ok(5))], "others have joined");
}

fn heartbeat(session: u64, number: u64, confirmed: u64) -> Append {
    Append {
        view: view(1, &[1, 2, 3]),
        round: Round { session, number, confirmed },
        previous: Position::default(),
        entries: Vec::new(),
        last: Position::default(),
        broadcast: Bytes::default(),
    }
}

#[test]
fn a_lease_counts_from_when_the_confirmed_round_was_handled_and_not_from_when_that_was_heard() {
    let mut tail = member_of_three(3);
    let mut out = Outputs::new();
    let at = Duration::from_millis;
    tail.handle_append(at(10), 1, &heartbeat(9, 1, 0), &mut out);
    assert_eq!(tail.lease_confirmed_at(), None, "nobody has confirmed it");
    tail.handle_append(at(20_000), 2, &heartbeat(9, 2, 1), &mut out);
    assert_eq!(
        tail.lease_confirmed_at(),
        Some(at(10)),
        "the second message waited while this process stood still"
    );
    tail.handle_append(at(20_100), 3, &heartbeat(8, 3, 2), &mut out);
    assert_eq!(tail.lease_confirmed_at(), Some(at(10)), "another process's rounds prove nothing of these");
    tail.handle_append(at(20_200), 4, &heartbeat(8, 4, 3), &mut out);
    assert_eq!(tail.lease_confirmed_at(), Some(at(20_100)));
    tail.start_draining();
    assert_eq!(tail.lease_confirmed_at(), None, "who is about to leave has no lease");
}
