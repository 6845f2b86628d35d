//! The exchange of load with the other gateways of the zone, by UDP datagrams.
//!
//! Each update holds the sender's full state, so one that is lost is made up for by the next, and there are no
//! acknowledgements. An update is sent when something has changed, and from time to time otherwise, since peers let an old
//! one expire. The interval grows with the number of peers, so that the cost to a gateway is bounded. What the updates hold
//! and change is decided in [`marblecroft_routing::balance`].

use crate::gateway::Gateway;
use marblecroft_protocol::load::LoadUpdate;
use marblecroft_protocol::load_address;
use marblecroft_routing::hash::fnv1a;
use marblecroft_rpc::{decode, encode};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::warn;

/// An update is repeated after this time where nothing has changed.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(400);
/// The longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// The size of a datagram's IP and UDP headers.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// The bandwidth that a gateway may spend on updates. With more peers they are sent less often.
const MAX_BYTES_PER_SECOND: f64 = 48_000.0;
/// The backoff after an error of the socket.
const ERROR_BACKOFF: Duration = Duration::from_millis(200);

/// Exchanges updates until the process ends; not at all where they are turned off or the socket cannot be bound. Gateways
/// then place requests by the servers' own reports alone.
pub async fn run(gateway: Rc<Gateway>) {
    let min_interval = Duration::from_secs_f64(gateway.tuning.load_update_interval_ms / 1000.0);
    if min_interval.is_zero() {
        return;
    }
    let own = load_address(gateway.settings.ip.into(), gateway.settings.ephemeral_ports);
    let socket = match UdpSocket::bind(own).await {
        Ok(socket) => socket,
        Err(e) => {
            warn!(address = %own, error = %e, "load exchange is off: cannot bind");
            return;
        }
    };
    tokio::join!(send_updates(&gateway, &socket, own, min_interval), receive_updates(&gateway, &socket));
}

/// Returns the first sequence number of this process. It is higher than all of an earlier process under the same name.
fn initial_sequence() -> u64 {
    let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(started_at.as_millis()).unwrap_or(0) << 20
}

async fn send_updates(gateway: &Gateway, socket: &UdpSocket, own: SocketAddr, min_interval: Duration) {
    let mut sequence = initial_sequence();
    let (mut sent_change_count, mut sent_at) = (0, Instant::now());
    let mut interval = min_interval;
    loop {
        sleep(interval).await;
        let change_count = gateway.balancer.borrow().change_count();
        if change_count == sent_change_count && sent_at.elapsed() < MAX_UPDATE_INTERVAL {
            continue;
        }
        let peers = gateway.peers.except(own);
        if peers.is_empty() {
            continue;
        }
        (sent_change_count, sent_at, sequence) = (change_count, Instant::now(), sequence + 1);
        let servers = gateway.balancer.borrow_mut().take_load_update(gateway.now());
        let update =
            LoadUpdate { gateway_hash: fnv1a(gateway.settings.node_name.as_bytes()), sequence, servers };
        let datagram = encode(&update);
        for peer in &peers {
            // An update that cannot be sent is like one that is lost.
            let _ = socket.try_send_to(&datagram, *peer);
        }
        let bytes = peers.len() * (datagram.len() + DATAGRAM_HEADER_BYTES);
        interval = min_interval.max(Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_SECOND));
    }
}

async fn receive_updates(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut newest_sequences: HashMap<u64, u64> = HashMap::new();
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(ERROR_BACKOFF).await;
            continue;
        };
        let Ok(update) = decode::<LoadUpdate>(&buffer[..length]) else { continue };
        // A datagram that was overtaken by a newer one is dropped.
        let newest = newest_sequences.entry(update.gateway_hash).or_default();
        if update.sequence > *newest {
            *newest = update.sequence;
            gateway.balancer.borrow_mut().on_peer_load(update.gateway_hash, &update.servers, gateway.now());
        }
    }
}
