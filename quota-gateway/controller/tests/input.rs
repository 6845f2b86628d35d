//! What a steward is told: configurations that cannot be used are named by their field, and reports that are none change nothing.

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
/// Bound of every wait; only a failure takes that long.
const LONG: Duration = Duration::from_secs(20);

const GOOD: &str = r#"
fleet = "payroll"
name = "steward-a"
listen = "127.0.0.1:0"
coordinators = ["127.0.0.1:7400"]
[zones]
places = [{ name = "hall-a" }, { name = "hall-b", region = "east" }]
"#;

#[test]
fn a_configuration_that_cannot_be_used_is_named_by_its_field() {
    assert!(Config::parse(GOOD).is_ok());
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
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let e = Config::parse(&text).expect_err(field).to_string();
        assert!(e.contains(field) && !e.contains('\n'), "{field}: {e}");
    }
}

fn play<T>(what: impl Future<Output = T>) -> T {
    let options = tokio::runtime::LocalOptions::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(options);
    runtime.expect("a runtime").block_on(async { timeout(LONG, what).await.expect("in time") })
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

async fn until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn what_is_no_report_is_refused_by_its_cause_and_good_ones_still_come() {
    play(async {
        let reports = Reports::new(FLEET);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        spawn_local(reports.clone().accept(listener, 4));
        let mut heard = reports.subscribe("zones");
        let ends = |bytes: Vec<u8>| async move {
            let mut link = TcpStream::connect(addr).await.expect("connected");
            link.write_all(&bytes).await.expect("written");
            let mut rest = Vec::new();
            // The connection ends, as nothing behind it can be read.
            drop(link.read_to_end(&mut rest).await);
            assert!(rest.is_empty(), "nothing is answered");
        };
        let spoilt = |at: usize, by: u8| {
            let mut bytes = report(1);
            bytes[at] ^= by;
            bytes
        };
        ends(b"GET / HTTP/1.1\r\nHost: steward\r\n\r\n".to_vec()).await;
        ends(spoilt(4, 1)).await;
        ends(spoilt(7, 1)).await;
        ends(spoilt(18, 0x7f)).await;
        let count = |why: DecodeError| reports.rejected.borrow().get(&why).copied().unwrap_or(0);
        for why in [
            DecodeError::BadMagic,
            DecodeError::UnsupportedVersion,
            DecodeError::WrongFleet,
            DecodeError::TooLong,
        ] {
            until(|| count(why) == 1).await;
        }
        // Damage within a report of known length is passed over, and the next one is heard.
        let mut link = TcpStream::connect(addr).await.expect("connected");
        link.write_all(&spoilt(HEADER_BYTES, 1)).await.expect("written");
        link.write_all(&spoilt(6, 7)).await.expect("written");
        link.write_all(&report(2)).await.expect("written");
        assert_eq!(heard.recv().await.map(|report| report.gateway), Some(2));
        assert_eq!((count(DecodeError::Corrupt), count(DecodeError::UnexpectedKind)), (1, 1));
        // Half a report and an end.
        let mut half = TcpStream::connect(addr).await.expect("connected");
        half.write_all(&report(3)[..HEADER_BYTES + 2]).await.expect("written");
        drop(half);
        until(|| count(DecodeError::Truncated) == 1).await;
        assert_eq!(reports.received.get(), 1);
    });
}

/// With all places taken others are turned away, and let in when one is free; a work that hears nothing bounds what waits for it.
#[test]
fn connections_and_what_waits_are_bounded() {
    play(async {
        let reports = Reports::new(FLEET);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        spawn_local(reports.clone().accept(listener, 2));
        let heard = reports.subscribe("zones");
        let mut held = Vec::new();
        for _ in 0..2 {
            held.push(TcpStream::connect(addr).await.expect("connected"));
        }
        until(|| reports.connections.get() == 2).await;
        let mut third = TcpStream::connect(addr).await.expect("connected");
        assert_eq!(third.read(&mut [0; 1]).await.unwrap_or(0), 0, "it is turned away");
        let many = marblecroft_controller::reports::MAX_QUEUED_REPORTS as u32 + 50;
        let flood: Vec<u8> = (0..many).flat_map(report).collect();
        held[0].write_all(&flood).await.expect("written");
        until(|| reports.received.get() == u64::from(many)).await;
        assert_eq!(reports.dropped.get(), 50);
        assert_eq!(heard.len(), marblecroft_controller::reports::MAX_QUEUED_REPORTS);
        drop(held);
        until(|| reports.connections.get() == 0).await;
        // A work that has ended is told nothing more.
        drop(heard);
        let mut again = TcpStream::connect(addr).await.expect("connected");
        again.write_all(&report(1)).await.expect("written");
        until(|| reports.received.get() == u64::from(many) + 1).await;
        assert_eq!(reports.dropped.get(), 50);
    });
}
