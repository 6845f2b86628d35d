//! The encodings of frames and envelopes do not change: each value is encoded and compared with the fixture, which is decoded
//! and encoded again.

use marblecroft_rpc::{
    decode, encode, Bytes, CallId, DecodeError, Direction, Envelope, Message, Service, PATH, VERSION,
};
use std::fmt::Debug;
use std::net::SocketAddr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Checks values against a fixture with one line for each value: its name and its bytes in hexadecimal.
#[track_caller]
fn check<T: Message + PartialEq + Debug>(fixture: &str, values: &[(&str, T)]) {
    let line = |(name, value): &(&str, T)| format!("{name} {}\n", hex(&encode(value)));
    let written: String = values.iter().map(line).collect();
    assert!(written == fixture, "the encoding differs from the fixture:\n{written}");
    for (line, (name, value)) in fixture.lines().zip(values) {
        let bytes = unhex(line.split(' ').nth(1).expect("bytes"));
        let read: T = decode(&bytes).expect(name);
        assert_eq!(&read, value, "{name} is decoded as it was");
        assert_eq!(encode(&read), bytes, "{name} is encoded again as it was");
    }
}

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
