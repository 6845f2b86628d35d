//! Property tests of the merging of claims, and of the datagram codec.

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

/// Claims about one member, from a range that is small enough to cause conflicts.
fn conflicting_claim() -> impl Strategy<Value = Record> {
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

fn codec() -> Codec {
    Codec::new("pay", &[b"new key", b"old key"]).expect("a cluster")
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent([a, b, c] in [conflicting_claim(), conflicting_claim(), conflicting_claim()]) {
        let merged = |x: &Record, y: &Record| x.clone().merged(y.clone());
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        let m = merged(&a, &b);
        prop_assert!(m.incarnation == a.incarnation.max(b.incarnation), "merging never lowers the incarnation");
    }

    /// The view does not depend on the order or number of updates, and a member's own incarnation never
    /// decreases.
    #[test]
    fn the_view_is_independent_of_the_order_of_updates(records in prop::collection::vec(record(), 1..30), rotation: prop::sample::Index) {
        let detector = || {
            let own = Name::new("own").expect("short");
            let config = Config {
                addr: SocketAddrV4::new([127, 0, 0, 1].into(), 9),
                zone: own.clone(),
                name: own,
                seeds: Vec::new(),
                period: Duration::from_secs(1),
                expected: 3,
                min_share: 0.5,
            };
            FailureDetector::new(config, 5, 1, Duration::ZERO)
        };
        let (mut one, mut other) = (detector(), detector());
        one.handle_full_state(Duration::ZERO, records.clone(), &mut Vec::new());
        let mut rotated = records.clone();
        rotated.rotate_left(rotation.index(records.len()));
        let mut latest = std::collections::BTreeMap::new();
        for record in rotated.into_iter().chain(records) {
            other.handle_full_state(Duration::ZERO, vec![record.clone()], &mut Vec::new());
            for peer in other.peers(Duration::ZERO) {
                let Record { name, incarnation, state, .. } = peer.record.clone();
                let before = latest.insert(name, (incarnation, state));
                prop_assert!(before.is_none_or(|(was, _)| was <= incarnation), "an incarnation decreased");
                if let Some((was, MemberState::Left)) = before {
                    prop_assert!(incarnation > was || state == MemberState::Left, "a member that left is present without a new incarnation");
                }
            }
        }
        prop_assert_eq!(one.digest(), other.digest());
        let sorted = |detector: &FailureDetector| { let mut all = detector.full_state(); all.sort_by(|a, b| a.name.cmp(&b.name)); all };
        prop_assert_eq!(sorted(&one), sorted(&other));
        prop_assert!(one.incarnation() >= 5);
    }

    #[test]
    fn messages_round_trip(message in message()) {
        let datagram = codec().encode(&message);
        prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(codec().decode(&datagram), Ok(message.clone()));
        // During a key rotation, the reverse order of keys is valid as well. Other keys and clusters are not.
        let rotated = Codec::new("pay", &[b"old key", b"new key"]).expect("a cluster");
        prop_assert_eq!(rotated.decode(&datagram), Ok(message.clone()));
        let other_key = Codec::new("pay", &[b"another key"]).expect("a cluster");
        prop_assert_eq!(other_key.decode(&datagram), Err(DecodeError::Authentication));
        let other_cluster = Codec::new("pax", &[b"new key"]).expect("a cluster");
        prop_assert_eq!(other_cluster.decode(&datagram), Err(DecodeError::Cluster));
    }

    #[test]
    fn a_changed_truncated_or_extended_datagram_is_rejected(message in message(), at: prop::sample::Index, flip in 1..=255_u8) {
        let datagram = codec().encode(&message);
        let at = at.index(datagram.len());
        let mut bad = datagram.clone();
        bad[at] ^= flip;
        prop_assert!(codec().decode(&bad).is_err());
        prop_assert!(codec().decode(&datagram[..at]).is_err());
        prop_assert!(codec().decode(&[datagram, vec![flip]].concat()).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1500)) {
        prop_assert!(codec().decode(&bytes).is_err());
    }

    /// The payload is signed with a valid key, but in general is not a message.
    #[test]
    fn signed_arbitrary_bytes_decode_without_a_panic(payload in prop::collection::vec(any::<u8>(), 0..300)) {
        use hmac::{Hmac, KeyInit, Mac};
        let mut datagram = vec![1, 3];
        datagram.extend_from_slice(b"pay");
        datagram.extend_from_slice(&payload);
        let tag = Hmac::<sha2::Sha256>::new_from_slice(b"new key").unwrap().chain_update(&datagram).finalize().into_bytes();
        datagram.extend_from_slice(&tag[..16]);
        if let Ok(message) = codec().decode(&datagram) {
            prop_assert_eq!(codec().encode(&message), datagram, "the encoding is canonical");
        }
    }
}

#[test]
fn a_codec_requires_one_or_two_keys_and_a_short_cluster_name() {
    assert!(Codec::new("pay", &[]).is_none());
    assert!(Codec::new("pay", &[b"a", b"b", b"c"]).is_none());
    assert!(Codec::new(&"x".repeat(33), &[b"a"]).is_none());
}
