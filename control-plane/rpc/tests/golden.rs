//! The encodings of frames and envelopes do not change: each value is encoded and compared with the fixture,
//! and the fixture is decoded and encoded again.

#[path = "../../../testing/support/golden/encoding.rs"]
mod encoding;

use encoding::check;
use marblecroft_rpc::{
    decode, encode, Bytes, CallId, DecodeError, Direction, Envelope, Service, PATH, VERSION,
};
use std::net::SocketAddr;

fn call_id(service: Service) -> CallId {
    CallId {
        caller: 0x1122_3344_5566_7788,
        sequence: 513,
        service,
        callee: SocketAddr::from(([10, 1, 2, 3], 7100)),
    }
}

#[test]
fn envelopes_of_calls_keep_their_bytes() {
    let request = Envelope {
        direction: Direction::Request,
        call_id: call_id(Service::Coordinators),
        message: Bytes(vec![1, 2, 3]),
    };
    let response = Envelope {
        direction: Direction::Response,
        call_id: call_id(Service::Stores),
        message: Bytes(vec![0xff; 4]),
    };
    check(include_str!("golden/envelopes.hex"), &[("question", request), ("answer", response)]);
    check(include_str!("golden/names.hex"), &[("name", call_id(Service::Stores))]);
    let services = [("coordinators", Service::Coordinators), ("stores", Service::Stores)];
    check(include_str!("golden/services.hex"), &services);
    let directions = [("question", Direction::Request), ("answer", Direction::Response)];
    check(include_str!("golden/directions.hex"), &directions);
}

#[test]
fn a_frame_is_its_version_a_checksum_and_the_payload() {
    let values = [("empty", Bytes(Vec::new())), ("text", Bytes(b"marblecroft".to_vec()))];
    check(include_str!("golden/frames.hex"), &values);
    assert_eq!((VERSION, PATH), (1, "/call"));
    let mut framed = encode(&values[1].1);
    framed[0] = 2;
    assert_eq!(decode::<Bytes>(&framed), Err(DecodeError::Version(2)));
}
