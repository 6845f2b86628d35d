//! When the platform's list is read, and under which token it is given on.

use marblecroft_control_plane_core::server_list_reader::{ServerListReader, Step};
use marblecroft_protocol::servers::Server;
use std::net::SocketAddr;
use std::time::Duration;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn servers(id: &str) -> Option<Vec<Server>> {
    Some(vec![Server {
        id: id.to_owned(),
        backend: "s".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".to_owned(),
        slots: 1,
        draining: false,
        warmup_left_ms: 0,
    }])
}

/// A reader that has begun to read as the head of view 1 under token 7.
fn reading() -> ServerListReader {
    let mut reader = ServerListReader::default();
    assert_eq!(reader.step(at(0), 1), Step::RequestToken);
    assert_eq!(reader.step(at(1), 1), Step::Wait, "one token at a time");
    reader.on_token(1, Some(7));
    assert_eq!(reader.step(at(2), 1), Step::Read);
    reader
}

#[test]
fn a_list_is_given_on_under_the_token_that_it_was_read_under() {
    let mut reader = reading();
    let list = reader.on_list(servers("first")).expect("given on");
    assert_eq!((list.version.epoch, list.servers[0].id.as_str()), (7, "first"));
    assert_eq!(reader.step(at(3), 1), Step::Wait, "not yet");
    assert_eq!(reader.step(at(402), 1), Step::Read);
    assert_eq!(reader.on_list(servers("first")), None, "nothing has changed");
    assert_eq!(reader.step(at(802), 1), Step::Read);
    assert_eq!(reader.on_list(None), None, "it could not be read");
}

#[test]
fn what_was_read_as_the_head_of_an_earlier_view_is_not_given_on() {
    let mut reader = reading();
    assert_eq!(reader.step(at(10), 2), Step::RequestToken);
    assert_eq!(reader.on_list(servers("old")), None);
    reader.on_token(2, Some(8));
    let mut reader = reading();
    reader.stop();
    assert_eq!(reader.on_list(servers("old")), None, "this process is no head any more");
}

#[test]
fn a_reader_whose_token_is_of_an_earlier_view_does_not_want_to_be_woken() {
    let mut reader = reading();
    assert!(reader.on_list(servers("first")).is_some());
    assert_eq!(reader.step(at(1000), 2), Step::RequestToken);
    assert_eq!(reader.next_wake(), Duration::MAX, "its token wakes it");
}
