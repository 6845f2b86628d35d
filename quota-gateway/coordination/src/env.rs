//! The environment of a process: clocks, random numbers and connections.
//!
//! In production these are the system's. With others a complete cluster runs on a virtual clock, from a seed: nothing else in
//! this crate uses the system's.

use rand::rngs::StdRng;
use rand::SeedableRng;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The two directions of a connection.
pub struct ConnectionHalves {
    /// What the peer sends.
    pub read: Box<dyn AsyncRead + Unpin>,
    /// What is sent to the peer.
    pub write: Box<dyn AsyncWrite + Unpin>,
}

impl From<TcpStream> for ConnectionHalves {
    fn from(stream: TcpStream) -> ConnectionHalves {
        let (read, write) = stream.into_split();
        ConnectionHalves { read: Box::new(read), write: Box::new(write) }
    }
}

/// A connection that is being made.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<ConnectionHalves>>>>;

/// How a process reaches others.
pub trait Network {
    /// Connects to an address; the caller bounds how long that may take.
    fn connect(&self, addr: &str) -> Connecting;
}

/// The system's sockets.
struct Sockets;

impl Network for Sockets {
    fn connect(&self, addr: &str) -> Connecting {
        let addr = addr.to_owned();
        Box::pin(async move {
            let stream = TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            Ok(stream.into())
        })
    }
}

/// The environment of a process.
#[derive(Clone)]
pub struct Env {
    /// How other processes are reached.
    pub network: Rc<dyn Network>,
    /// Returns the wall clock's time in milliseconds since 1970. Only the floor of the tokens at a change of leader depends on
    /// it.
    pub wall_ms: Rc<dyn Fn() -> u64>,
    /// The rate of this process' monotonic clock; 1 except in simulations of clocks that run apart.
    pub rate: f64,
}

impl Default for Env {
    fn default() -> Env {
        let since = || SystemTime::now().duration_since(UNIX_EPOCH);
        Env {
            network: Rc::new(Sockets),
            wall_ms: Rc::new(move || since().map_or(0, |since| since.as_millis() as u64)),
            rate: 1.0,
        }
    }
}

impl Env {
    /// Starts a monotonic clock at zero.
    pub fn clock(&self) -> Clock {
        Clock { origin: Instant::now(), rate: self.rate }
    }
}

/// The monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    rate: f64,
}

impl Clock {
    /// Returns the time since the clock was started.
    pub fn now(&self) -> Duration {
        let since = self.origin.elapsed();
        if self.rate == 1.0 {
            return since;
        }
        since.mul_f64(self.rate)
    }
}

thread_local! {
    static CHANCE: RefCell<StdRng> = RefCell::new(StdRng::from_os_rng());
}

/// Draws from this thread's source of random numbers.
pub fn chance<T>(draw: impl FnOnce(&mut StdRng) -> T) -> T {
    CHANCE.with(|chance| draw(&mut chance.borrow_mut()))
}

/// Seeds this thread's source of random numbers.
pub fn seed(seed: u64) {
    CHANCE.with(|chance| chance.replace(StdRng::seed_from_u64(seed)));
}

/// The same source for the consensus crate, which uses an older version of the trait.
pub struct Chance;

impl rand_core_06::RngCore for Chance {
    fn next_u32(&mut self) -> u32 {
        chance(rand::RngCore::next_u32)
    }

    fn next_u64(&mut self) -> u64 {
        chance(rand::RngCore::next_u64)
    }

    fn fill_bytes(&mut self, into: &mut [u8]) {
        chance(|rng| rand::RngCore::fill_bytes(rng, into));
    }

    fn try_fill_bytes(&mut self, into: &mut [u8]) -> Result<(), rand_core_06::Error> {
        self.fill_bytes(into);
        Ok(())
    }
}
