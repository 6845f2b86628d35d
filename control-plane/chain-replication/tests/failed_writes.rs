//! A failed write may be durable. After a failed write, a member does nothing until it has read its storage
//! again and started a segment with the recovered state.

mod common;
#[path = "common/disk.rs"]
mod disk;

use common::Sum;
use disk::{AppendBehaviour, Disk};
use marblecroft_chain_replication::agreement::{VoteReply, VoteRequest};
use marblecroft_chain_replication::replica::AppendOutcome;
use marblecroft_chain_replication::{
    Append, AppendReply, Chain, Config, Member, Output, Position, ProposalError, Replica, Round, View,
};
use marblecroft_rpc::{encode, Bytes};
use marblecroft_wal::Recovered;
use std::time::Duration;

/// An append that returns an error, although all its records are stored.
const FAILS_BUT_DURABLE: AppendBehaviour = AppendBehaviour::FailsAfterStoring(usize::MAX);
/// An append that returns an error, and stores no record.
const FAILS_AND_LOST: AppendBehaviour = AppendBehaviour::FailsAfterStoring(0);
const REPLACEMENT_IDENTITY: u64 = 99;

fn member(identity: u64) -> Member {
    let address = ([10, 0, 0, identity as u8], 7000).into();
    Member { address, identity, node_name: String::new() }
}

/// Returns a view with these members in the order of the chain. All of them are voters.
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

/// Returns the second member's request to accept the view without the first member.
fn accept_request(proposal_number: u64) -> VoteRequest {
    VoteRequest::Accept { instance: 2, proposal_number, view: view(2, &[2, 3]) }
}

/// Returns an append of one entry, which is the first one of the chain.
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
fn voter_grants_nothing_between_a_failed_write_and_the_recovery_of_its_storage() {
    for append in [FAILS_BUT_DURABLE, FAILS_AND_LOST] {
        let disk = Disk::default();
        let mut voter = open(&disk, 1);
        disk.set_append(append);
        assert_eq!(voter.handle_vote_request(&accept_request(64)), VoteReply::Rejected);
        disk.set_append(AppendBehaviour::Succeeds);
        assert!(voter.is_suspended() && !voter.is_complete() && !voter.is_head());
        assert_eq!(voter.handle_vote_request(&accept_request(128)), VoteReply::Rejected);
        let prepare = VoteRequest::Prepare { instance: 2, proposal_number: 192 };
        assert_eq!(voter.handle_vote_request(&prepare), VoteReply::Rejected);

        voter.recover_storage(REPLACEMENT_IDENTITY).expect("reads");
        assert!(voter.is_complete() && voter.identity() == 1);
        let accepted = voter.vote().accepted.as_ref().map(|accepted| accepted.proposal_number);
        assert_eq!(accepted, (append == FAILS_BUT_DURABLE).then_some(64), "{append:?}");
        assert_eq!(voter.handle_vote_request(&accept_request(128)), VoteReply::Accepted);
    }
}

#[test]
fn vote_that_was_read_again_is_not_granted_before_it_is_durable() {
    let disk = Disk::default();
    let mut voter = open(&disk, 1);
    let durable = disk.contents();
    disk.set_append(FAILS_BUT_DURABLE);
    disk.fail_segment_starts(true);
    assert_eq!(voter.handle_vote_request(&accept_request(64)), VoteReply::Rejected);
    assert!(voter.recover_storage(REPLACEMENT_IDENTITY).is_err());
    // The voter has read its vote, possibly only from a cache. If it granted the same request again, a power
    // failure could lose the granted vote.
    assert!(voter.vote().accepted.is_some() && voter.is_suspended());
    assert_eq!(voter.handle_vote_request(&accept_request(64)), VoteReply::Rejected);
    disk.set_contents(durable);
    disk.set_append(AppendBehaviour::Succeeds);
    disk.fail_segment_starts(false);
    voter.recover_storage(REPLACEMENT_IDENTITY).expect("written");
    assert_eq!(disk.reads(), 1, "the state in memory is written without another read");
    assert_eq!(voter.handle_vote_request(&accept_request(64)), VoteReply::Accepted);
    let restarted = Replica::<Sum, _>::open(Disk::default(), disk.recovered(), 7, None).expect("opens");
    assert_eq!(restarted.vote(), voter.vote());
}

#[test]
fn suspended_member_rejects_entries_states_and_views() {
    let disk = Disk::default();
    let mut chain = open_chain(&disk, 2);
    disk.set_append(FAILS_AND_LOST);
    disk.fail_segment_starts(true);
    let mut outputs = Vec::new();
    let append = first_append(vec![40]);
    chain.handle_append(Duration::ZERO, 1, &append, &mut outputs);
    disk.set_append(AppendBehaviour::Succeeds);
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

    // Recovery attempts are separated by a backoff, and the first one after the disk works again succeeds.
    outputs.clear();
    chain.advance(Duration::ZERO, &mut outputs);
    let next = chain.next_wake();
    assert!(next > Duration::ZERO && next <= Duration::from_secs(1), "{next:?}");
    disk.fail_segment_starts(false);
    chain.advance(next - Duration::from_millis(1), &mut outputs);
    assert!(chain.replica().is_suspended());
    chain.advance(next, &mut outputs);
    assert!(chain.status(next).complete && chain.replica().position() == Position::default());
    chain.handle_append(next, 4, &append, &mut outputs);
    assert_eq!(chain.replica().machine().0, 40);
}

#[test]
fn head_resumes_with_the_recovered_state_after_a_failed_write() {
    for (append, sum) in [(FAILS_BUT_DURABLE, 40), (FAILS_AND_LOST, 0)] {
        let disk = Disk::default();
        let mut chain = open_chain(&disk, 1);
        chain.propose(7, 40, Duration::MAX);
        disk.set_append(append);
        disk.fail_segment_starts(true);
        let mut outputs = Vec::new();
        chain.advance(Duration::ZERO, &mut outputs);
        let is_unknown = |output: &Output<u64>| {
            matches!(output, Output::Applied { token: 7, result: Err(ProposalError::OutcomeUnknown) })
        };
        assert!(outputs.iter().any(is_unknown), "{outputs:?}");
        assert!(!chain.is_head() && chain.lease_confirmed_at().is_none());
        // A suspended head rejects operations.
        chain.propose(8, 1, Duration::MAX);
        outputs.clear();
        chain.advance(Duration::from_millis(1), &mut outputs);
        let is_rejected = |output: &Output<u64>| {
            matches!(output, Output::Applied { token: 8, result: Err(ProposalError::NotHead(_)) })
        };
        assert!(outputs.iter().any(is_rejected), "{outputs:?}");
        disk.set_append(AppendBehaviour::Succeeds);
        disk.fail_segment_starts(false);
        chain.advance(Duration::from_secs(1), &mut outputs);
        assert!(chain.is_head());
        assert_eq!(chain.replica().machine().0, sum, "{append:?}");
    }
}

#[test]
fn member_whose_storage_lost_confirmed_data_gets_a_new_identity() {
    let disk = Disk::default();
    let mut replica = open(&disk, 1);
    let founding_contents = disk.contents();
    replica.propose(&vec![40]).expect("stored");
    disk.set_append(FAILS_AND_LOST);
    assert!(replica.propose(&vec![2]).is_err());
    disk.set_append(AppendBehaviour::Succeeds);
    disk.set_contents(founding_contents);
    replica.recover_storage(REPLACEMENT_IDENTITY).expect("written");
    assert_eq!(replica.identity(), REPLACEMENT_IDENTITY);
    assert!(!replica.is_complete() && replica.view().number == 0);
    assert_eq!((replica.machine().0, replica.position()), (0, Position::default()));
}

#[test]
fn failed_install_preserves_the_stored_state() {
    let disk = Disk::default();
    let mut replica = open(&disk, 2);
    let entry = first_append(vec![40]);
    assert!(matches!(replica.append(&entry), AppendOutcome::Accepted));
    let mut head = open(&Disk::default(), 1);
    for operation in [1, 2, 3] {
        head.propose(&vec![operation]).expect("stored");
    }
    // The member is in the second view, but has not been synchronized in it.
    replica.install_view(&view(2, &[1, 2])).expect("stored");
    head.install_view(&view(2, &[1, 2])).expect("stored");
    disk.fail_segment_starts(true);
    let outcome = replica.install(&head.snapshot_message());
    assert!(matches!(outcome, AppendOutcome::StorageError(_)));
    assert!(replica.is_suspended());
    disk.fail_segment_starts(false);
    replica.recover_storage(REPLACEMENT_IDENTITY).expect("written");
    assert_eq!((replica.identity(), replica.machine().0), (2, 40));
}
