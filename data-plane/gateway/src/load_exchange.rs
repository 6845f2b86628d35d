//! Gateways of one zone tell each other what they have at the servers, by datagrams: a notice holds all that is out, so one
//! that is lost is made good by the next. Who the others are is told by the head of the stores.

use crate::gateway::Gateway;
use marblecroft_protocol::load::LoadUpdate;
use marblecroft_protocol::load_address;
use marblecroft_routing::hash::fnv1a;
use marblecroft_rpc::{decode, encode};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::warn;

/// A notice is repeated after this time where nothing has changed.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(400);
/// Longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Bytes of a datagram's headers.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// What notices may cost a gateway, in bytes a second; with more peers they are sent more rarely.
const MAX_BYTES_PER_SECOND: f64 = 48_000.0;
/// Pause after an error of the socket.
const ERROR_BACKOFF: Duration = Duration::from_millis(200);

/// The other gateways of the zone.
#[derive(Default)]
pub struct LoadExchange {
    digest: RefCell<u64>,
    peers: RefCell<Vec<SocketAddr>>,
}

impl LoadExchange {
    /// What tells the peers that are known from others.
    pub fn digest(&self) -> u64 {
        *self.digest.borrow()
    }

    /// Takes who the others are.
    pub fn update(&self, digest: u64, peers: Vec<SocketAddr>) {
        *self.digest.borrow_mut() = digest;
        *self.peers.borrow_mut() = peers;
    }
}

/// Exchanges notices until the process ends.
pub async fn run(gateway: Rc<Gateway>) {
    let pause = Duration::from_secs_f64(gateway.tuning.load_update_interval_ms / 1000.0);
    if pause.is_zero() {
        return;
    }
    let own = load_address(gateway.settings.ip.into(), gateway.settings.ephemeral_ports);
    let socket = match UdpSocket::bind(own).await {
        Ok(socket) => socket,
        Err(e) => {
            warn!("no load notices: {own}: {e}");
            return;
        }
    };
    tokio::join!(send_updates(&gateway, &socket, own, pause), receive_updates(&gateway, &socket));
}

async fn send_updates(gateway: &Gateway, socket: &UdpSocket, own: SocketAddr, least: Duration) {
    // Of a later process they are higher.
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut sequence = u64::try_from(started.as_millis()).unwrap_or(0) << 20;
    let (mut told, mut told_at) = (0, Instant::now());
    let mut pause = least;
    loop {
        sleep(pause).await;
        let changes = gateway.balancer.borrow().changes();
        if changes == told && told_at.elapsed() < MAX_UPDATE_INTERVAL {
            continue;
        }
        let peers: Vec<SocketAddr> =
            gateway.load_exchange.peers.borrow().iter().filter(|peer| **peer != own).copied().collect();
        if peers.is_empty() {
            continue;
        }
        (told, told_at, sequence) = (changes, Instant::now(), sequence + 1);
        let servers = gateway.balancer.borrow_mut().take_load_update(gateway.now());
        let notice = LoadUpdate { gateway: fnv1a(gateway.settings.node_name.as_bytes()), sequence, servers };
        let datagram = encode(&notice);
        for peer in &peers {
            // A notice that cannot be sent is like one that is lost.
            drop(socket.try_send_to(&datagram, *peer));
        }
        let bytes = peers.len() * (datagram.len() + DATAGRAM_HEADER_BYTES);
        pause = least.max(Duration::from_secs_f64(bytes as f64 / MAX_BYTES_PER_SECOND));
    }
}

async fn receive_updates(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut newest: HashMap<u64, u64> = HashMap::new();
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(ERROR_BACKOFF).await;
            continue;
        };
        let Ok(notice) = decode::<LoadUpdate>(&buffer[..length]) else { continue };
        let known = newest.entry(notice.gateway).or_default();
        if notice.sequence > *known {
            *known = notice.sequence;
            gateway.balancer.borrow_mut().on_peer_load(notice.gateway, &notice.servers, gateway.now());
        }
    }
}
