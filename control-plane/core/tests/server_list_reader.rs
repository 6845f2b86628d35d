//! The schedule of the reads of the platform's list of servers, and the fencing token of each broadcast.

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

/// Returns a reader whose first read is in flight, as the head of view 1 with token 7.
fn reader_in_flight() -> ServerListReader {
    let mut reader = ServerListReader::default();
    assert_eq!(reader.step(at(0), 1), Step::RequestToken);
    assert_eq!(reader.step(at(1), 1), Step::Wait, "a token request is in flight");
    reader.on_token(1, Some(7));
    assert_eq!(reader.step(at(2), 1), Step::Read);
    reader
}

#[test]
fn a_list_is_broadcast_under_the_token_of_its_read() {
    let mut reader = reader_in_flight();
    let list = reader.on_list(servers("first")).expect("a new list");
    assert_eq!((list.version.epoch, list.servers[0].id.as_str()), (7, "first"));
    assert_eq!(reader.step(at(3), 1), Step::Wait, "the interval has not passed");
    assert_eq!(reader.step(at(402), 1), Step::Read);
    assert_eq!(reader.on_list(servers("first")), None, "the list has not changed");
    assert_eq!(reader.step(at(802), 1), Step::Read);
    assert_eq!(reader.on_list(None), None, "the read failed");
}

#[test]
fn a_list_read_as_the_head_of_an_earlier_view_is_not_broadcast() {
    let mut reader = reader_in_flight();
    assert_eq!(reader.step(at(10), 2), Step::RequestToken);
    assert_eq!(reader.on_list(servers("old")), None);
    reader.on_token(2, Some(8));
    let mut reader = reader_in_flight();
    reader.stop();
    assert_eq!(reader.on_list(servers("old")), None, "this process is no longer the head");
}

#[test]
fn a_reader_with_a_token_of_an_earlier_view_schedules_no_wake() {
    let mut reader = reader_in_flight();
    assert!(reader.on_list(servers("first")).is_some());
    assert_eq!(reader.step(at(1000), 2), Step::RequestToken);
    assert_eq!(reader.next_wake(), Duration::MAX, "a new token is needed first");
}
