//! A write that fails may be durable all the same. A member does nothing more until it has read its storage anew and
//! started a segment with what it found.

mod common;
#[path = "common/disk.rs"]
mod disk;

use common::Sum;
use disk::{AppendFate, Disk};
use marblecroft_chain_replication::agreement::{VoteReply, VoteRequest};
use marblecroft_chain_replication::replica::AppendOutcome;
use marblecroft_chain_replication::{
    Append, AppendReply, Chain, Config, Member, Output, Position, ProposalError, Replica, Round, View,
};
use marblecroft_rpc::{encode, Bytes};
use marblecroft_wal::Recovered;
use std::time::Duration;

/// An append that returns an error, and is there all the same, or is not.
const DURABLE: AppendFate = AppendFate::FailsKeeping(usize::MAX);
const LOST: AppendFate = AppendFate::FailsKeeping(0);
const REPLACEMENT_IDENTITY: u64 = 99;

fn member(identity: u64) -> Member {
    let address = ([10, 0, 0, identity as u8], 7000).into();
    Member { address, identity, node_name: String::new() }
}

/// The members in the order of the chain, all of them voters.
fn view(number: u64, identities: &[u64]) -> View {
    let members: Vec<Member> = identities.iter().copied().map(member).collect();
    View { number, voters: members.clone(), members }
}

fn open(disk: &Disk, identity: u64) -> Replica<Sum, Disk> {
    let founding = Some(view(1, &[1, 2, 3]));
    Replica::open(disk.clone(), Recovered::default(), identity, founding).expect("opens")
}

fn open_chain(disk: &Disk, identity: u64) -> Chain<Sum, Disk> {
    let config = Config {
        heartbeat_interval: Duration::from_millis(100),
        append_timeout: Duration::from_millis(100),
        install_timeout: Duration::from_millis(100),
        min_replicas: 1,
        is_durable: true,
        suspect_timeout: Duration::from_secs(1),
    };
    Chain::new(open(disk, identity), config, REPLACEMENT_IDENTITY)
}

/// A proposal of the second member: the view without the first one.
fn accept_request(proposal_number: u64) -> VoteRequest {
    VoteRequest::Accept { instance: 2, proposal_number, view: view(2, &[2, 3]) }
}

/// One entry that a member accepts after the founding.
fn first_append(operations: Vec<u64>) -> Append {
    let entry = encode(&operations);
    let last = Position::default().after(&entry);
    Append {
        view: view(1, &[1, 2, 3]),
        round: Round::default(),
        previous: Position::default(),
        entries: vec![Bytes(entry)],
        last,
        broadcast: Bytes::default(),
    }
}

#[test]
fn voter_grants_nothing_between_a_failed_write_and_reading_anew() {
    for append in [DURABLE, LOST] {
        let disk = Disk::default();
        let mut voter = open(&disk, 1);
        disk.set_append(append);
        assert_eq!(voter.handle_vote_request(&accept_request(64)), VoteReply::Rejected);
        disk.set_append(AppendFate::Succeeds);
        assert!(voter.is_suspended() && !voter.is_complete() && !voter.is_head());
        assert_eq!(voter.handle_vote_request(&accept_request(128)), VoteReply::Rejected);
        let prepare = VoteRequest::Prepare { instance: 2, proposal_number: 192 };
        assert_eq!(voter.handle_vote_request(&prepare), VoteReply::Rejected);

        voter.recover_storage(REPLACEMENT_IDENTITY).expect("reads");
        assert!(voter.is_complete() && voter.identity() == 1);
        let accepted = voter.vote().accepted.as_ref().map(|accepted| accepted.proposal_number);
        assert_eq!(accepted, (append == DURABLE).then_some(64), "{append:?}");
        assert_eq!(voter.handle_vote_request(&accept_request(128)), VoteReply::Accepted);
    }
}

#[test]
fn vote_that_was_only_read_is_not_repeated_before_it_is_durable() {
    let disk = Disk::default();
    let mut voter = open(&disk, 1);
    let durable = disk.contents();
    disk.set_append(DURABLE);
    disk.refuse_segments(true);
    assert_eq!(voter.handle_vote_request(&accept_request(64)), VoteReply::Rejected);
    assert!(voter.recover_storage(REPLACEMENT_IDENTITY).is_err());
    // It has read its vote, from a cache perhaps. Granting the same request again would promise what power may take.
    assert!(voter.vote().accepted.is_some() && voter.is_suspended());
    assert_eq!(voter.handle_vote_request(&accept_request(64)), VoteReply::Rejected);
    disk.set_contents(durable);
    disk.set_append(AppendFate::Succeeds);
    disk.refuse_segments(false);
    voter.recover_storage(REPLACEMENT_IDENTITY).expect("written");
    assert_eq!(disk.reads(), 1, "what is in memory is written without reading again");
    assert_eq!(voter.handle_vote_request(&accept_request(64)), VoteReply::Accepted);
    let restarted = Replica::<Sum, _>::open(Disk::default(), disk.recovered(), 7, None).expect("opens");
    assert_eq!(restarted.vote(), voter.vote());
}

#[test]
fn suspended_member_rejects_entries_states_and_views() {
    let disk = Disk::default();
    let mut chain = open_chain(&disk, 2);
    disk.set_append(LOST);
    disk.refuse_segments(true);
    let mut outputs = Vec::new();
    let append = first_append(vec![40]);
    chain.handle_append(Duration::ZERO, 1, &append, &mut outputs);
    disk.set_append(AppendFate::Succeeds);
    chain.handle_append(Duration::ZERO, 2, &append, &mut outputs);
    let state = open(&Disk::default(), 1).snapshot_message();
    chain.handle_install(3, &state, &mut outputs);
    let rejected =
        |output: &Output<u64>| matches!(output, Output::Reply { reply: AppendReply::StorageError, .. });
    assert_eq!(outputs.iter().filter(|output| rejected(output)).count(), 3, "{outputs:?}");
    chain.install_view(&view(2, &[2, 3]));
    assert_eq!(chain.replica().view().number, 1);
    assert!(chain.with_replica(|replica| replica.install_as_learner(&state)).is_err());
    assert!(!chain.status(Duration::ZERO).complete);

    // Attempts are paced, and the first one after the disk works succeeds.
    outputs.clear();
    chain.advance(Duration::ZERO, &mut outputs);
    let next = chain.next_wake();
    assert!(next > Duration::ZERO && next <= Duration::from_secs(1), "{next:?}");
    disk.refuse_segments(false);
    chain.advance(next - Duration::from_millis(1), &mut outputs);
    assert!(chain.replica().is_suspended());
    chain.advance(next, &mut outputs);
    assert!(chain.status(next).complete && chain.replica().position() == Position::default());
    chain.handle_append(next, 4, &append, &mut outputs);
    assert_eq!(chain.replica().machine().0, 40);
}

#[test]
fn head_whose_entry_may_be_stored_resumes_with_what_it_finds() {
    for (append, sum) in [(DURABLE, 40), (LOST, 0)] {
        let disk = Disk::default();
        let mut chain = open_chain(&disk, 1);
        chain.propose(7, 40, Duration::MAX);
        disk.set_append(append);
        disk.refuse_segments(true);
        let mut outputs = Vec::new();
        chain.advance(Duration::ZERO, &mut outputs);
        let is_unknown = |output: &Output<u64>| {
            matches!(output, Output::Applied { token: 7, result: Err(ProposalError::OutcomeUnknown) })
        };
        assert!(outputs.iter().any(is_unknown), "{outputs:?}");
        assert!(!chain.is_head() && chain.lease_confirmed_at().is_none());
        // Nothing is ordered meanwhile.
        chain.propose(8, 1, Duration::MAX);
        outputs.clear();
        chain.advance(Duration::from_millis(1), &mut outputs);
        let is_refused = |output: &Output<u64>| {
            matches!(output, Output::Applied { token: 8, result: Err(ProposalError::NotHead(_)) })
        };
        assert!(outputs.iter().any(is_refused), "{outputs:?}");
        disk.set_append(AppendFate::Succeeds);
        disk.refuse_segments(false);
        chain.advance(Duration::from_secs(1), &mut outputs);
        assert!(chain.is_head());
        assert_eq!(chain.replica().machine().0, sum, "{append:?}");
    }
}

#[test]
fn storage_that_lost_what_it_had_confirmed_is_another_member() {
    let disk = Disk::default();
    let mut replica = open(&disk, 1);
    let founded = disk.contents();
    replica.propose(&vec![40]).expect("stored");
    disk.set_append(LOST);
    assert!(replica.propose(&vec![2]).is_err());
    disk.set_append(AppendFate::Succeeds);
    disk.set_contents(founded);
    replica.recover_storage(REPLACEMENT_IDENTITY).expect("written");
    assert_eq!(replica.identity(), REPLACEMENT_IDENTITY);
    assert!(!replica.is_complete() && replica.view().number == 0);
    assert_eq!((replica.machine().0, replica.position()), (0, Position::default()));
}

#[test]
fn failed_install_leaves_the_state_that_the_storage_has() {
    let disk = Disk::default();
    let mut replica = open(&disk, 2);
    let entry = first_append(vec![40]);
    assert!(matches!(replica.append(&entry), AppendOutcome::Accepted));
    let mut head = open(&Disk::default(), 1);
    for operation in [1, 2, 3] {
        head.propose(&vec![operation]).expect("stored");
    }
    // The member is in the view, but has not been synchronized in a later one.
    replica.install_view(&view(2, &[1, 2])).expect("stored");
    head.install_view(&view(2, &[1, 2])).expect("stored");
    disk.refuse_segments(true);
    let outcome = replica.install(&head.snapshot_message());
    assert!(matches!(outcome, AppendOutcome::StorageError(_)));
    assert!(replica.is_suspended());
    disk.refuse_segments(false);
    replica.recover_storage(REPLACEMENT_IDENTITY).expect("written");
    assert_eq!((replica.identity(), replica.machine().0), (2, 40));
}
