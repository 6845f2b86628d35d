//! What the gateway under test talks to.

mod configuration;
mod coordinator;
mod gateway;
mod http;
mod model_server;
mod queueing_server;
mod stores;

pub use configuration::{configuration, BatchRoute, HOST, STREAM_ROUTE};
pub use coordinator::Coordinator;
pub use gateway::Gateway;
pub use http::{completed, response, signed_headers, Response, PROMISES};
pub use model_server::ModelServer;
pub use queueing_server::{Behavior, HandledRequest, QueueingServer, Record, Repetition};
pub use stores::Stores;

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of everything that a test waits for. Only a failing test waits this long.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// First of the ports for communication between processes of the system.
const INTERNAL_PORT: u16 = 7720;

/// Returns a loopback address that no other stand-in or process under test uses.
fn unused_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, NEXT.fetch_add(1, Ordering::Relaxed))
}

fn internal_address(ip: Ipv4Addr) -> std::net::SocketAddr {
    (IpAddr::from(ip), INTERNAL_PORT).into()
}

/// Waits until `find` returns a value.
///
/// # Panics
///
/// Panics if it returns none within [`WAIT_LIMIT`].
pub fn wait_for<T>(what: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(Instant::now() < deadline, "not in time: {what}");
        thread::sleep(CHECK_INTERVAL);
    }
}
