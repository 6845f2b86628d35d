//! Merging, and every decoder.

use marblecroft_membership::config::*;
use marblecroft_membership::detector::*;
use marblecroft_membership::record::*;
use marblecroft_membership::wire::*;
use proptest::prelude::*;
use std::net::SocketAddrV4;
use std::time::Duration;

fn name() -> impl Strategy<Value = Name> {
    "[a-zé]{1,20}".prop_map(|text| Name::new(&text).expect("short"))
}

fn addr() -> impl Strategy<Value = SocketAddrV4> {
    (1..=u32::MAX, 1..=u16::MAX).prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port))
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Failed),
        Just(MemberState::Left)
    ]
}

fn record() -> impl Strategy<Value = Record> {
    (name(), addr(), name(), prop_oneof![0..4_u64, 0..=MAX_INCARNATION], state())
        .prop_map(|(name, addr, zone, incarnation, state)| Record { name, addr, zone, incarnation, state })
}

/// Sayings of one member, close enough to meet.
fn saying() -> impl Strategy<Value = Record> {
    (1..3_u16, "[ab]", 0..3_u64, state()).prop_map(|(port, zone, incarnation, state)| Record {
        name: Name::new("x").expect("short"),
        addr: SocketAddrV4::new([127, 0, 0, 1].into(), port),
        zone: Name::new(&zone).expect("short"),
        incarnation,
        state,
    })
}

fn message() -> impl Strategy<Value = Message> {
    let kind = prop_oneof![
        (any::<u32>(), name()).prop_map(|(seq, target)| Kind::Ping { seq, target }),
        any::<u32>().prop_map(|seq| Kind::Ack { seq }),
        (any::<u32>(), name(), addr()).prop_map(|(seq, target, addr)| Kind::PingReq { seq, target, addr }),
        any::<u32>().prop_map(|seq| Kind::Nack { seq }),
        Just(Kind::Gossip),
    ];
    let update = (record(), any::<u32>()).prop_map(|(record, suspected_by)| Update { record, suspected_by });
    (name(), addr(), kind, prop::collection::vec(update, 0..10))
        .prop_map(|(from, from_addr, kind, updates)| Message { from, from_addr, kind, updates })
}

fn cluster() -> Codec {
    Codec::new("pay", &[b"new key", b"old key"]).expect("a cluster")
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent([a, b, c] in [saying(), saying(), saying()]) {
        let merged = |x: &Record, y: &Record| x.clone().merged(y.clone());
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        let m = merged(&a, &b);
        prop_assert!(m.incarnation == a.incarnation.max(b.incarnation), "never back");
    }

    /// What one core is told, in whatever order and however often, it holds the same; of itself it is never talked down.
    #[test]
    fn a_core_holds_what_it_was_told_in_any_order(records in prop::collection::vec(record(), 1..30), turn: prop::sample::Index) {
        let core = || {
            let own = Name::new("own").expect("short");
            let settings = Config {
                addr: SocketAddrV4::new([127, 0, 0, 1].into(), 9),
                zone: own.clone(),
                name: own,
                seeds: Vec::new(),
                period: Duration::from_secs(1),
                expected: 3,
                min_share: 0.5,
            };
            FailureDetector::new(settings, 5, 1, Duration::ZERO)
        };
        let (mut one, mut other) = (core(), core());
        one.handle_full_state(Duration::ZERO, records.clone(), &mut Vec::new());
        let mut turned = records.clone();
        turned.rotate_left(turn.index(records.len()));
        let mut left = std::collections::BTreeMap::new();
        for record in turned.into_iter().chain(records) {
            other.handle_full_state(Duration::ZERO, vec![record.clone()], &mut Vec::new());
            for seen in other.peers(Duration::ZERO) {
                let Record { name, incarnation, state, .. } = seen.record.clone();
                let before = left.insert(name, (incarnation, state));
                prop_assert!(before.is_none_or(|(was, _)| was <= incarnation), "an incarnation went back");
                if let Some((was, MemberState::Left)) = before {
                    prop_assert!(incarnation > was || state == MemberState::Left, "one that left is back without a new one");
                }
            }
        }
        prop_assert_eq!(one.digest(), other.digest());
        let sorted = |core: &FailureDetector| { let mut all = core.full_state(); all.sort_by(|a, b| a.name.cmp(&b.name)); all };
        prop_assert_eq!(sorted(&one), sorted(&other));
        prop_assert!(one.incarnation() >= 5);
    }

    #[test]
    fn a_message_is_read_as_it_is_written(message in message()) {
        let datagram = cluster().encode(&message);
        prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(cluster().decode(&datagram), Ok(message.clone()));
        // Also by whoever signs with the other key, and not by others.
        let rotated = Codec::new("pay", &[b"old key", b"new key"]).expect("a cluster");
        prop_assert_eq!(rotated.decode(&datagram), Ok(message.clone()));
        let stranger = Codec::new("pay", &[b"another key"]).expect("a cluster");
        prop_assert_eq!(stranger.decode(&datagram), Err(DecodeError::Authentication));
        let elsewhere = Codec::new("pax", &[b"new key"]).expect("a cluster");
        prop_assert_eq!(elsewhere.decode(&datagram), Err(DecodeError::Cluster));
    }

    #[test]
    fn a_datagram_with_a_byte_changed_or_cut_is_dropped(message in message(), at: prop::sample::Index, flip in 1..=255_u8) {
        let datagram = cluster().encode(&message);
        let at = at.index(datagram.len());
        let mut bad = datagram.clone();
        bad[at] ^= flip;
        prop_assert!(cluster().decode(&bad).is_err());
        prop_assert!(cluster().decode(&datagram[..at]).is_err());
        prop_assert!(cluster().decode(&[datagram, vec![flip]].concat()).is_err());
    }

    #[test]
    fn bytes_of_any_kind_are_dropped(bytes in prop::collection::vec(any::<u8>(), 0..1500)) {
        prop_assert!(cluster().decode(&bytes).is_err());
    }

    /// Well signed, and nothing that a member says.
    #[test]
    fn signed_nonsense_is_read_without_a_panic(inside in prop::collection::vec(any::<u8>(), 0..300)) {
        use hmac::{Hmac, KeyInit, Mac};
        let mut datagram = vec![1, 3];
        datagram.extend_from_slice(b"pay");
        datagram.extend_from_slice(&inside);
        let code = Hmac::<sha2::Sha256>::new_from_slice(b"new key").unwrap().chain_update(&datagram).finalize().into_bytes();
        datagram.extend_from_slice(&code[..16]);
        if let Ok(message) = cluster().decode(&datagram) {
            prop_assert_eq!(cluster().encode(&message), datagram, "one way to write it");
        }
    }
}

#[test]
fn a_cluster_has_one_key_or_two_and_a_short_name() {
    assert!(Codec::new("pay", &[]).is_none());
    assert!(Codec::new("pay", &[b"a", b"b", b"c"]).is_none());
    assert!(Codec::new(&"x".repeat(33), &[b"a"]).is_none());
}
