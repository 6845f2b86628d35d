//! Exchange of load updates with the other gateways of the zone, as UDP datagrams.
//!
//! Each update holds the sender's full state, so a lost update is corrected by the next one and
//! there are no acknowledgements. An update is sent when something has changed, and otherwise
//! periodically, because peers let old updates expire. The interval grows with the number of peers,
//! which bounds the bandwidth that a gateway uses. The content of the updates and their effect are
//! defined in [`marblecroft_routing::balance`].

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

/// Interval after which an update is sent even if nothing has changed.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Size of a datagram's IP and UDP headers.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Maximum bandwidth for updates. With more peers, updates are sent less often.
const MAX_BYTES_PER_SECOND: f64 = 48_000.0;
/// Backoff after a socket error.
const ERROR_BACKOFF: Duration = Duration::from_millis(200);

/// Exchanges updates until the process ends. Returns immediately if updates are disabled or the
/// socket cannot be bound; requests are then placed by the load that servers report, without
/// updates from peers.
pub async fn run(gateway: Rc<Gateway>) {
    let min_interval = Duration::from_secs_f64(gateway.tuning.load_update_interval_ms / 1000.0);
    if min_interval.is_zero() {
        return;
    }
    let local_address = load_address(gateway.settings.ip.into(), gateway.settings.ephemeral_ports);
    let socket = match UdpSocket::bind(local_address).await {
        Ok(socket) => socket,
        Err(e) => {
            warn!(address = %local_address, error = %e, "load exchange disabled: cannot bind its socket");
            return;
        }
    };
    tokio::join!(
        send_updates(&gateway, &socket, local_address, min_interval),
        receive_updates(&gateway, &socket)
    );
}

/// Returns the first sequence number of this process. It is derived from the wall clock, so that it
/// is higher than all sequence numbers of an earlier process with the same name.
fn initial_sequence() -> u64 {
    let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(started_at.as_millis()).unwrap_or(0) << 20
}

async fn send_updates(
    gateway: &Gateway,
    socket: &UdpSocket,
    local_address: SocketAddr,
    min_interval: Duration,
) {
    let mut sequence = initial_sequence();
    let (mut sent_change_count, mut sent_at) = (0, Instant::now());
    let mut interval = min_interval;
    loop {
        sleep(interval).await;
        let change_count = gateway.balancer.borrow().change_count();
        if change_count == sent_change_count && sent_at.elapsed() < MAX_UPDATE_INTERVAL {
            continue;
        }
        let peers = gateway.peers.except(local_address);
        if peers.is_empty() {
            continue;
        }
        (sent_change_count, sent_at, sequence) = (change_count, Instant::now(), sequence + 1);
        let servers = gateway.balancer.borrow_mut().take_load_update(gateway.now());
        let update =
            LoadUpdate { gateway_hash: fnv1a(gateway.settings.node_name.as_bytes()), sequence, servers };
        let datagram = encode(&update);
        for peer in &peers {
            // A failed send is equivalent to a lost update.
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
        // Drops datagrams that arrive after a newer one.
        let newest = newest_sequences.entry(update.gateway_hash).or_default();
        if update.sequence > *newest {
            *newest = update.sequence;
            gateway.balancer.borrow_mut().on_peer_load(update.gateway_hash, &update.servers, gateway.now());
        }
    }
}
