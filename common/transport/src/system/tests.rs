use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

#[test]
fn time_since_last_received_includes_bytes_received_before_the_connection_was_accepted() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let before = Instant::now();
    client.write_all(b"x").expect("written");
    let written = Instant::now();
    std::thread::sleep(Duration::from_millis(120));
    let (accepted, _) = listener.accept().expect("accepted");
    let min_age = written.elapsed();
    let age = time_since_last_received(&accepted).expect("the system reports it");
    // Tolerance of one kernel tick in both directions.
    let tick = Duration::from_millis(11);
    assert!(age + tick >= min_age && age <= before.elapsed() + tick, "age {age:?}, at least {min_age:?}");
}

#[test]
fn monotonic_now_advances_like_instants() {
    let (started_at, before) = (Instant::now(), monotonic_now());
    std::thread::sleep(Duration::from_millis(5));
    let (after, elapsed) = (monotonic_now(), started_at.elapsed());
    assert!(after - before <= elapsed && after - before >= Duration::from_millis(5));
}
