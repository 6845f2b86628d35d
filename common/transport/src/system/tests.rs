use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Instant;

#[test]
fn the_age_of_the_last_bytes_is_known_also_where_they_came_before_the_connection_was_accepted() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let before = Instant::now();
    client.write_all(b"x").expect("written");
    let written = Instant::now();
    std::thread::sleep(Duration::from_millis(120));
    let (accepted, _) = listener.accept().expect("accepted");
    let least = written.elapsed();
    let age = time_since_last_received(&accepted).expect("the system tells");
    // A tick either way.
    let tick = Duration::from_millis(11);
    assert!(age + tick >= least && age <= before.elapsed() + tick, "{age:?}, {least:?} at least");
}

#[test]
fn the_clock_is_that_of_instants() {
    let (instant, before) = (Instant::now(), monotonic_now());
    std::thread::sleep(Duration::from_millis(5));
    let (after, took) = (monotonic_now(), instant.elapsed());
    assert!(after - before <= took && after - before >= Duration::from_millis(5));
}
