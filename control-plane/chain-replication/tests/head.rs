//! Tests of the operations that a head may acknowledge when its view changes between their ordering and the
//! reply of the chain, and of the time from which a lease counts.

mod common;

use common::Sum;
use marblecroft_chain_replication::storage::NullStorage;
use marblecroft_chain_replication::{
    Append, AppendReply, Chain, Config, Install, Member, Output, Position, ProposalError, Replica, Round,
    ToSuccessor, View,
};
use marblecroft_rpc::{encode, Bytes};
use marblecroft_wal::Recovered;
use std::net::SocketAddr;
use std::time::Duration;

type Outputs = Vec<Output<u64>>;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const ACCEPTED: AppendReply = AppendReply::Accepted { durable_replicas: 2 };

fn member(identity: u64) -> Member {
    let address = SocketAddr::from(([10, 0, 0, identity as u8], 7000));
    Member { address, identity, node_name: String::new() }
}

fn view(number: u64, members: &[u64]) -> View {
    let members: Vec<Member> = members.iter().copied().map(member).collect();
    View { number, voters: members.clone(), members }
}

fn member_of_chain_of_three(identity: u64) -> Chain<Sum, NullStorage> {
    let founding = Some(view(1, &[1, 2, 3]));
    let replica = Replica::open(NullStorage, Recovered::default(), identity, founding).expect("opens");
    let config = Config {
        heartbeat_interval: HEARTBEAT_INTERVAL,
        append_timeout: Duration::from_millis(10),
        install_timeout: Duration::from_millis(10),
        min_replicas: 2,
        is_durable: true,
        suspect_timeout: Duration::ZERO,
    };
    Chain::new(replica, config, identity)
}

/// Drives a head, and records the results that it reports.
struct HeadDriver {
    chain: Chain<Sum, NullStorage>,
    now: Duration,
    results: Vec<(u64, Result<u64, ProposalError>)>,
}

impl HeadDriver {
    fn new() -> HeadDriver {
        HeadDriver { chain: member_of_chain_of_three(1), now: Duration::ZERO, results: Vec::new() }
    }

    /// Returns the calls among the outputs, and records the results.
    fn collect_calls(&mut self, outputs: Outputs) -> Vec<(u64, ToSuccessor)> {
        let mut calls = Vec::new();
        for output in outputs {
            match output {
                Output::Call { call, message, .. } => calls.push((call, message)),
                Output::Applied { token, result } => self.results.push((token, result)),
                Output::Reply { .. } | Output::Readable { .. } => {}
            }
        }
        calls
    }

    fn advance(&mut self) -> Vec<(u64, ToSuccessor)> {
        let mut outputs = Outputs::new();
        self.chain.advance(self.now, &mut outputs);
        self.collect_calls(outputs)
    }

    fn reply(&mut self, call: u64, reply: AppendReply) -> Vec<(u64, ToSuccessor)> {
        let mut outputs = Outputs::new();
        self.chain.handle_reply(self.now, call, Some(reply), &mut outputs);
        self.collect_calls(outputs)
    }

    /// Runs ten rounds in which the chain accepts everything.
    fn run_rounds(&mut self) {
        for _ in 0..10 {
            self.now += HEARTBEAT_INTERVAL;
            let mut calls = self.advance();
            while let Some((call, _)) = calls.pop() {
                calls.extend(self.reply(call, ACCEPTED));
            }
        }
    }
}

/// Whether a head acknowledges an operation if it installs a view after it has ordered the operation and
/// before the chain has replied.
fn acknowledges_after_installing(installed: &View) -> bool {
    let mut head = HeadDriver::new();
    head.chain.propose(7, 5, Duration::MAX);
    let (call, _) = head.advance().pop().expect("a call");
    head.chain.install_view(installed);
    head.reply(call, ACCEPTED);
    head.run_rounds();
    head.results == [(7, Ok(5))]
}

#[test]
fn head_acknowledges_nothing_under_a_view_that_it_does_not_head() {
    assert!(acknowledges_after_installing(&view(1, &[1, 2, 3])), "the view has not changed");
    assert!(acknowledges_after_installing(&view(2, &[1, 3])), "it heads the next view too");
    assert!(!acknowledges_after_installing(&view(2, &[2, 3])), "it is not a member");
    assert!(!acknowledges_after_installing(&view(2, &[2, 3, 1])), "it is now the tail");
    assert!(
        !acknowledges_after_installing(&view(3, &[1, 2, 3])),
        "the view that it missed may have acknowledged more"
    );
}

#[test]
fn head_whose_state_was_replaced_acknowledges_no_earlier_operation() {
    let mut head = HeadDriver::new();
    head.chain.propose(7, 5, Duration::MAX);
    let (call, _) = head.advance().pop().expect("a call");
    let position = Position { index: 7, hash: 7 };
    let install = Install { view: view(2, &[2, 1]), position, machine: Bytes(encode(&9u64)) };
    let mut outputs = Outputs::new();
    head.chain.handle_install(1, &install, &mut outputs);
    assert!(outputs
        .iter()
        .any(|output| matches!(output, Output::Reply { reply: AppendReply::Accepted { .. }, .. })));
    head.collect_calls(outputs);
    head.chain.install_view(&view(3, &[1, 2]));
    assert!(head.chain.is_head());
    head.reply(call, ACCEPTED);
    head.run_rounds();
    assert_eq!(head.results, [(7, Err(ProposalError::OutcomeUnknown))]);
}

#[test]
fn reply_to_another_call_is_ignored() {
    let mut head = HeadDriver::new();
    head.chain.propose(7, 5, Duration::MAX);
    let (call, _) = head.advance().pop().expect("a call");
    head.reply(call + 1, ACCEPTED);
    head.reply(call - 1, ACCEPTED);
    assert_eq!(head.results, []);
    head.reply(call, ACCEPTED);
    assert_eq!(head.results, [(7, Ok(5))]);
}

#[test]
fn operation_on_too_few_durable_replicas_is_not_acknowledged() {
    let mut head = HeadDriver::new();
    head.chain.propose(7, 5, Duration::MAX);
    let (call, _) = head.advance().pop().expect("a call");
    head.reply(call, AppendReply::Accepted { durable_replicas: 0 });
    assert_eq!(head.results, [], "all members have accepted it, but only this one is durable");
    head.run_rounds();
    assert_eq!(head.results, [(7, Ok(5))], "durable members have joined");
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
fn lease_counts_from_handling_a_round_and_not_from_its_confirmation() {
    let mut tail = member_of_chain_of_three(3);
    let mut outputs = Outputs::new();
    let at = Duration::from_millis;
    tail.handle_append(at(10), 1, &heartbeat(9, 1, 0), &mut outputs);
    assert_eq!(tail.lease_confirmed_at(), None, "not confirmed");
    tail.handle_append(at(20_000), 2, &heartbeat(9, 2, 1), &mut outputs);
    assert_eq!(
        tail.lease_confirmed_at(),
        Some(at(10)),
        "the second message waited while this process was suspended"
    );
    tail.handle_append(at(20_100), 3, &heartbeat(8, 3, 2), &mut outputs);
    assert_eq!(
        tail.lease_confirmed_at(),
        Some(at(10)),
        "rounds of another process prove nothing about earlier ones"
    );
    tail.handle_append(at(20_200), 4, &heartbeat(8, 4, 3), &mut outputs);
    assert_eq!(tail.lease_confirmed_at(), Some(at(20_100)));
    tail.start_draining();
    assert_eq!(tail.lease_confirmed_at(), None, "a draining member has no lease");
}
