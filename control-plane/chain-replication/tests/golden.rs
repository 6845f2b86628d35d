//! The encodings of messages between members, and of a member's stored records, do not change: each value is
//! encoded to the literal bytes of a fixture, which are decoded and encoded again. A log that an earlier
//! version has stored is recovered.

mod common;
#[path = "../../../testing/support/golden/encoding.rs"]
mod encoding;
#[path = "../../../testing/support/golden/storage.rs"]
mod storage;

use common::Sum;
use encoding::check;
use marblecroft_chain_replication::agreement::{VoteReply, VoteRequest};
use marblecroft_chain_replication::storage::{Accepted, Vote};
use marblecroft_chain_replication::{
    Append, AppendReply, Install, Member, Position, RecoveryError, Replica, Round, Status, View,
};
use marblecroft_rpc::Bytes;
use marblecroft_wal::Recovered;
use std::io;
use std::net::SocketAddr;
use storage::{recovered, RecordingStorage};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], 7100))
}

fn member(last: u8) -> Member {
    let identity = 0x1122_3344_5566_7700 + u64::from(last);
    Member { address: address(last), identity, node_name: format!("node-{last}") }
}

fn view(number: u64) -> View {
    View { number, members: vec![member(3), member(4)], voters: vec![member(4), member(3), member(6)] }
}

#[test]
fn views_and_positions_keep_their_encoding() {
    check(include_str!("golden/views.hex"), &[("view", view(300)), ("none", View::default())]);
    check(include_str!("golden/members.hex"), &[("member", member(5))]);
    let position = Position { index: 1000, hash: 0xfeed_0001 };
    check(include_str!("golden/positions.hex"), &[("position", position)]);
    check(include_str!("golden/rounds.hex"), &[("round", Round { session: 81, number: 72, confirmed: 63 })]);
}

#[test]
fn hash_of_a_history_keeps_its_value() {
    let first = Position::default().after(b"an entry of more than eight bytes");
    assert_eq!(first, Position { index: 1, hash: 14_580_441_115_289_591_818 });
    assert_eq!(first.after(&[]), Position { index: 2, hash: 5_234_981_554_950_789_717 });
}

#[test]
fn votes_keep_their_encoding() {
    let accepted = Accepted { proposal_number: 17, view: view(301) };
    check(include_str!("golden/accepted.hex"), &[("accepted", accepted.clone())]);
    let vote = Vote { instance: 301, promised: 18, accepted: Some(accepted.clone()) };
    check(include_str!("golden/votes.hex"), &[("vote", vote), ("none", Vote::default())]);
    let requests = [
        ("prepare", VoteRequest::Prepare { instance: 301, proposal_number: 19 }),
        ("accept", VoteRequest::Accept { instance: 302, proposal_number: 20, view: view(302) }),
        ("decided", VoteRequest::Decided { view: view(303) }),
    ];
    check(include_str!("golden/vote_requests.hex"), &requests);
    let replies = [
        ("promised_none", VoteReply::Promised(None)),
        ("promised", VoteReply::Promised(Some(accepted))),
        ("accepted", VoteReply::Accepted),
        ("outbid", VoteReply::Preempted(400)),
        ("known", VoteReply::CurrentView(view(304))),
        ("unable", VoteReply::Rejected),
    ];
    check(include_str!("golden/vote_replies.hex"), &replies);
}

#[test]
fn messages_between_members_keep_their_encoding() {
    let append = Append {
        view: view(300),
        round: Round { session: 0xa1b2_c3d4_e5f6, number: 77, confirmed: 76 },
        previous: Position { index: 1000, hash: 0xfeed_0001 },
        entries: vec![Bytes(vec![1, 2, 3]), Bytes(Vec::new()), Bytes(vec![0xff; 5])],
        last: Position { index: 1003, hash: 0xfeed_0002 },
        broadcast: Bytes(vec![9, 8]),
    };
    check(include_str!("golden/appends.hex"), &[("append", append)]);
    let replies = [
        ("held", AppendReply::Accepted { durable_replicas: 3 }),
        ("mismatch", AppendReply::Mismatch(Position { index: 5, hash: 0xaa })),
        ("stale", AppendReply::StaleView(view(305))),
        ("not_member", AppendReply::NotMember),
        ("storage", AppendReply::StorageError),
        ("failed", AppendReply::DownstreamFailed(address(5))),
    ];
    check(include_str!("golden/append_replies.hex"), &replies);
    let position = Position { index: 55, hash: 0xabcd_ef01 };
    let install = Install { view: view(306), position, machine: Bytes(vec![7, 6, 5, 4]) };
    check(include_str!("golden/installs.hex"), &[("install", install)]);
    let status = Status {
        identity: 0x0102_0304_0506,
        view: view(307),
        complete: true,
        position,
        committed: false,
        suspect: Some(address(9)),
        draining: true,
    };
    check(include_str!("golden/statuses.hex"), &[("status", status), ("none", Status::default())]);
}

/// Returns a member that has ordered two entries, installed view 2, and accepted a proposal for view 3.
fn member_with_history(storage: &RecordingStorage) -> Replica<Sum, RecordingStorage> {
    let founding = Some(view(1));
    let mut replica =
        Replica::open(storage.clone(), Recovered::default(), member(3).identity, founding).expect("opens");
    replica.propose(&vec![40, 2]).expect("written");
    assert_eq!(
        replica.handle_vote_request(&VoteRequest::Prepare { instance: 2, proposal_number: 5 }),
        VoteReply::Promised(None)
    );
    assert_eq!(
        replica.handle_vote_request(&VoteRequest::Accept { instance: 2, proposal_number: 6, view: view(2) }),
        VoteReply::Accepted
    );
    replica.handle_vote_request(&VoteRequest::Decided { view: view(2) });
    replica.propose(&vec![700]).expect("written");
    assert_eq!(
        replica.handle_vote_request(&VoteRequest::Accept { instance: 3, proposal_number: 7, view: view(3) }),
        VoteReply::Accepted
    );
    replica
}

#[test]
fn log_of_a_member_keeps_its_encoding() {
    let storage = RecordingStorage::default();
    member_with_history(&storage);
    storage.check_written(include_str!("golden/log.hex"));
}

#[test]
fn stored_log_is_recovered_and_its_checkpoint_keeps_its_encoding() {
    let (storage, before) = (RecordingStorage::default(), member_with_history(&RecordingStorage::default()));
    // The stored identity and view take precedence over these.
    let found = recovered(include_str!("golden/log.hex"));
    let replica = Replica::<Sum, _>::open(storage.clone(), found, 1, None).expect("opens");
    let expected = include_str!("golden/checkpoint.hex");
    storage.check_written(expected);
    let again =
        Replica::<Sum, _>::open(RecordingStorage::default(), recovered(expected), 1, None).expect("opens");
    let accepted = Some(Accepted { proposal_number: 7, view: view(3) });
    for replica in [replica, again] {
        assert_eq!(replica.identity(), member(3).identity);
        assert_eq!(replica.view(), &view(2));
        assert_eq!(replica.vote(), &Vote { instance: 3, promised: 7, accepted: accepted.clone() });
        assert_eq!((replica.machine().0, replica.position().index), (742, 2));
        assert_eq!(replica.position(), before.position());
        assert!(replica.is_complete());
    }
}

#[test]
fn unreadable_log_is_an_error_that_names_its_cause() {
    let open = |recovered| {
        let replica = Replica::<Sum, _>::open(RecordingStorage::default(), recovered, 1, None);
        replica.err().expect("an error")
    };
    let records = vec![vec![1, 2, 3]];
    let error = open(Recovered { records, ..Recovered::default() });
    assert!(matches!(error, RecoveryError::Record(_)), "{error}");
    let error = open(Recovered { snapshot: Some(Vec::new()), ..Recovered::default() });
    assert!(matches!(error, RecoveryError::Checkpoint(_)), "{error}");
    assert!(error.to_string().starts_with("checkpoint: "), "{error}");
    let error = io::Error::from(error);
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
    assert!(error.to_string().starts_with("checkpoint: "), "{error}");
}
