//! Reports to the owners of the controllers' roles.

use super::Member;
use marblecroft_control_messages::frame::encode;
use marblecroft_control_messages::report::{AppliedDecisions, Report};
use marblecroft_quota_gateway_core::Time;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// An owner to which a report cannot be written within this time is skipped until the next report.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest delay of a report that does not wait for the next interval.
const URGENT_REPORT_DELAY: Duration = Duration::from_millis(100);
/// The shortest span of a report, in seconds, so that rates stay finite.
const MIN_SPAN_SECS: f64 = 1e-3;
/// The longest span that a report can state, in milliseconds.
const MAX_SPAN_MS: u32 = 60_000;
/// The weight of a new sample in the moving average of the requested units.
const REQUEST_RATE_WEIGHT: f64 = 0.5;

impl Member {
    /// Sends reports over connections that are kept open, until the engine is dropped.
    pub(super) async fn send_reports(self: Rc<Self>) {
        let interval_length = self.config.report_interval();
        let mut ticks = interval(interval_length);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut connections = BTreeMap::new();
        let (mut number, mut last_report_at) = (0, Instant::now());
        // Spreads the reports of gateways that were started at the same time.
        sleep(interval_length.mul_f64((self.incarnation % 1000) as f64 / 1000.0)).await;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                // Reported without waiting for the interval, with jitter, because all gateways receive the
                // list at once.
                () = self.observer.zone_emptied.notified() => {
                    sleep(URGENT_REPORT_DELAY.mul_f64((self.incarnation % 100) as f64 / 100.0)).await;
                    ticks.reset();
                }
            }
            let Some(engine) = self.engine.upgrade() else { return };
            number += 1;
            let span_secs = last_report_at.elapsed().as_secs_f64().max(MIN_SPAN_SECS);
            last_report_at = Instant::now();
            let report = self.next_report(number, span_secs, engine.clock.now());
            drop(engine);
            if let Some(bytes) = encode(self.fleet, &report) {
                self.send_to_owners(&mut connections, &bytes).await;
            }
        }
    }

    /// Creates the report for the last `span_secs` seconds.
    fn next_report(&self, number: u64, span_secs: f64, now: Time) -> Report {
        let observed = self.observer.take_report(now);
        let mut state = self.state.borrow_mut();
        let requested_rate = observed.requested_units / span_secs;
        state.units_per_second += REQUEST_RATE_WEIGHT * (requested_rate - state.units_per_second);
        let (shares, shares_stamp) = self.observer.take_demand();
        let shard_map_stamp = self.shard_routing.as_ref().and_then(|routing| routing.stamp());
        Report {
            gateway: self.config.gateway,
            incarnation: self.incarnation,
            sequence: number,
            zone: self.zone.clone(),
            span_ms: ((span_secs * 1000.0) as u32).clamp(1, MAX_SPAN_MS),
            requested_units: requested_rate,
            zones: observed.zones,
            demand: shares,
            applied_decisions: AppliedDecisions {
                zones: state.zones.stamp().unwrap_or_default(),
                shares: shares_stamp,
                shard_map: shard_map_stamp.unwrap_or_default(),
            },
        }
    }

    /// Sends a report to each owner, on the open connection to it or on a new one.
    async fn send_to_owners(&self, connections: &mut BTreeMap<SocketAddr, TcpStream>, bytes: &[u8]) {
        let owners = self.state.borrow().owners.clone();
        connections.retain(|addr, _| owners.contains(addr));
        for addr in owners {
            let sent = timeout(SEND_TIMEOUT, send(addr, connections.remove(&addr), bytes)).await;
            if let Ok(Ok(connection)) = sent {
                connections.insert(addr, connection);
            }
        }
    }
}

/// Writes a report and returns the connection for the next one.
async fn send(addr: SocketAddr, connection: Option<TcpStream>, bytes: &[u8]) -> io::Result<TcpStream> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => TcpStream::connect(addr).await?,
    };
    connection.write_all(bytes).await?;
    Ok(connection)
}
