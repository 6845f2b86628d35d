//! Tests of the controller's input: an invalid configuration is rejected with an error that names the field,
//! and invalid reports have no effect.

use marblecroft_control_messages::frame::{encode, DecodeError, Fleet, HEADER_BYTES};
use marblecroft_control_messages::report::{AppliedDecisions, Demand, Report};
use marblecroft_controller::config::Config;
use marblecroft_controller::reports::Reports;
use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const FLEET: Fleet = Fleet(9);
/// Upper bound of every wait. Only a failing test takes that long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const VALID_CONFIG: &str = r#"
fleet = "payroll"
name = "steward-a"
listen = "127.0.0.1:0"
coordinators = ["127.0.0.1:7400"]
[zones]
places = [{ name = "hall-a" }, { name = "hall-b", region = "east" }]
"#;

#[test]
fn an_invalid_configuration_is_rejected_with_the_name_of_the_field() {
    assert!(Config::parse(VALID_CONFIG).is_ok());
    for (from, to, field) in [
        ("fleet = \"payroll\"", "", "fleet"),
        ("\"payroll\"", "\"pay/roll\"", "fleet"),
        ("\"steward-a\"", "\"\"", "name"),
        ("127.0.0.1:0", "10.0.0.1:0", "listen"),
        ("127.0.0.1:0", "nowhere", "listen"),
        ("[\"127.0.0.1:7400\"]", "[]", "coordinators"),
        ("[zones]", "session_ms = 1\n[zones]", "session_ms"),
        ("[zones]", "decide_ms = 0\n[zones]", "decide_ms"),
        ("[zones]", "valid = { zones_ms = 10 }\n[zones]", "valid.zones_ms"),
        ("[zones]", "more = 1\n[zones]", "more"),
        ("hall-b", "hall-a", "zones.places[1].name"),
        ("[zones]", "[zones]\nhold_ms = 0", "zones.hold_ms"),
        ("[zones]", "[shares]\ncapacity = nan\n[zones]", "shares.capacity"),
        (
            "[zones]\nplaces = [{ name = \"hall-a\" }, { name = \"hall-b\", region = \"east\" }]",
            "",
            "zones, shares",
        ),
    ] {
        let text = VALID_CONFIG.replacen(from, to, 1);
        assert_ne!(text, VALID_CONFIG, "{from}");
        let e = Config::parse(&text).expect_err(field).to_string();
        assert!(e.contains(field) && !e.contains('\n'), "{field}: {e}");
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(options);
    runtime.expect("a runtime").block_on(async { timeout(TEST_TIMEOUT, test).await.expect("in time") })
}

fn report(gateway: u32) -> Vec<u8> {
    let report = Report {
        gateway,
        incarnation: 1,
        sequence: 1,
        zone: "hall-a".to_owned(),
        span_ms: 1000,
        requested_units: 1.0,
        zones: Vec::new(),
        demand: Demand::default(),
        applied_decisions: AppliedDecisions::default(),
    };
    encode(FLEET, &report).expect("short")
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn invalid_reports_are_rejected_by_cause_and_valid_ones_are_still_received() {
    run(async {
        let reports = Reports::new(FLEET);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        spawn_local(reports.clone().accept(listener, 4));
        let mut received = reports.subscribe("zones");
        let assert_closed_after = |bytes: Vec<u8>| async move {
            let mut connection = TcpStream::connect(addr).await.expect("connected");
            connection.write_all(&bytes).await.expect("written");
            let mut rest = Vec::new();
            // The server closes the connection, because it cannot find the end of the frame.
            drop(connection.read_to_end(&mut rest).await);
            assert!(rest.is_empty(), "the server sends no reply");
        };
        let corrupt_report = |at: usize, xor: u8| {
            let mut bytes = report(1);
            bytes[at] ^= xor;
            bytes
        };
        assert_closed_after(b"GET / HTTP/1.1\r\nHost: steward\r\n\r\n".to_vec()).await;
        assert_closed_after(corrupt_report(4, 1)).await;
        assert_closed_after(corrupt_report(7, 1)).await;
        assert_closed_after(corrupt_report(18, 0x7f)).await;
        let count = |why: DecodeError| reports.rejected.borrow().get(&why).copied().unwrap_or(0);
        for why in [
            DecodeError::BadMagic,
            DecodeError::UnsupportedVersion,
            DecodeError::WrongFleet,
            DecodeError::TooLong,
        ] {
            wait_until(|| count(why) == 1).await;
        }
        // A corrupt report of known length is skipped, and the next one is received.
        let mut connection = TcpStream::connect(addr).await.expect("connected");
        connection.write_all(&corrupt_report(HEADER_BYTES, 1)).await.expect("written");
        connection.write_all(&corrupt_report(6, 7)).await.expect("written");
        connection.write_all(&report(2)).await.expect("written");
        assert_eq!(received.recv().await.map(|report| report.gateway), Some(2));
        assert_eq!((count(DecodeError::Corrupt), count(DecodeError::UnexpectedKind)), (1, 1));
        // The connection is closed in the middle of a report.
        let mut truncated = TcpStream::connect(addr).await.expect("connected");
        truncated.write_all(&report(3)[..HEADER_BYTES + 2]).await.expect("written");
        drop(truncated);
        wait_until(|| count(DecodeError::Truncated) == 1).await;
        assert_eq!(reports.received.get(), 1);
    });
}

/// Connections beyond the limit are closed, and new ones are accepted when there is capacity again. Reports
/// are dropped when the queue of a role that does not read them is full.
#[test]
fn connections_and_queued_reports_are_bounded() {
    run(async {
        let reports = Reports::new(FLEET);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        spawn_local(reports.clone().accept(listener, 2));
        let received = reports.subscribe("zones");
        let mut connections = Vec::new();
        for _ in 0..2 {
            connections.push(TcpStream::connect(addr).await.expect("connected"));
        }
        wait_until(|| reports.connections.get() == 2).await;
        let mut third = TcpStream::connect(addr).await.expect("connected");
        assert_eq!(third.read(&mut [0; 1]).await.unwrap_or(0), 0, "the connection is closed");
        let count = marblecroft_controller::reports::MAX_QUEUED_REPORTS as u32 + 50;
        let encoded: Vec<u8> = (0..count).flat_map(report).collect();
        connections[0].write_all(&encoded).await.expect("written");
        wait_until(|| reports.received.get() == u64::from(count)).await;
        assert_eq!(reports.dropped.get(), 50);
        assert_eq!(received.len(), marblecroft_controller::reports::MAX_QUEUED_REPORTS);
        drop(connections);
        wait_until(|| reports.connections.get() == 0).await;
        // After a role has dropped its receiver, it gets no further reports.
        drop(received);
        let mut connection = TcpStream::connect(addr).await.expect("connected");
        connection.write_all(&report(1)).await.expect("written");
        wait_until(|| reports.received.get() == u64::from(count) + 1).await;
        assert_eq!(reports.dropped.get(), 50);
    });
}
