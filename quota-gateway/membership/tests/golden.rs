//! Golden tests of the datagrams that members send each other.
//!
//! The fixtures were written by one run of the code at the time of their recording. The test encodes fixed
//! values and compares the result with the fixture, decodes the fixture, and encodes the decoded value to the
//! same bytes. If a type or field is renamed, the code here that constructs it changes, and the fixtures do
//! not.

#[path = "../../../testing/support/golden/mod.rs"]
mod golden;

use golden::{bytes, same_bytes};
use marblecroft_membership::record::{MemberState, Name, Record};
use marblecroft_membership::wire::{Codec, Kind, Message, Update};
use std::net::{Ipv4Addr, SocketAddrV4};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn addr(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, last), port)
}

fn update(number: u8, state: MemberState) -> Update {
    let record = Record {
        name: name(&format!("member-{number}")),
        addr: addr(number, 7100 + u16::from(number)),
        zone: name(&format!("hall-{}", number + 20)),
        incarnation: 0x0102_0304_0506_0700 + u64::from(number),
        state,
    };
    Update { record, suspected_by: 0xa1b2_c300 + u32::from(number) }
}

/// Returns one update for each state, one of them without a zone.
fn updates() -> Vec<Update> {
    let mut updates = vec![
        update(3, MemberState::Alive),
        update(4, MemberState::Suspect),
        update(5, MemberState::Failed),
        update(6, MemberState::Left),
    ];
    updates[2].record.zone = name("");
    updates
}

/// Returns each kind of message, with the name of its fixture.
fn messages() -> Vec<(&'static str, Message)> {
    let message = |kind, updates| Message { from: name("sender"), from_addr: addr(9, 7109), kind, updates };
    vec![
        ("ping.hex", message(Kind::Ping { seq: 0x1122_3301, target: name("target") }, updates())),
        ("ack.hex", message(Kind::Ack { seq: 0x1122_3302 }, vec![update(7, MemberState::Alive)])),
        (
            "ping-req.hex",
            message(
                Kind::PingReq { seq: 0x1122_3303, target: name("target"), addr: addr(8, 7108) },
                updates(),
            ),
        ),
        ("nack.hex", message(Kind::Nack { seq: 0x1122_3304 }, Vec::new())),
        ("news.hex", message(Kind::Gossip, updates())),
    ]
}

fn codec() -> Codec {
    Codec::new("golden", &[b"the key that signs", b"the key of before"]).expect("a cluster")
}

#[test]
fn datagrams_match_their_fixtures() {
    for (fixture, message) in messages() {
        same_bytes(fixture, &codec().encode(&message));
        let read = codec().decode(&bytes(fixture)).unwrap_or_else(|e| panic!("{fixture}: {e:?}"));
        assert_eq!(read, message, "{fixture}");
        same_bytes(fixture, &codec().encode(&read));
    }
}
