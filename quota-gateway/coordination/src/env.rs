//! The environment of a process: clocks, random numbers and connections.
//!
//! In production, they are those of the system. A simulation replaces them to run a complete cluster on a
//! virtual clock from a seed: no other module of this crate uses those of the system directly.

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
    /// Receives bytes from the peer.
    pub read: Box<dyn AsyncRead + Unpin>,
    /// Sends bytes to the peer.
    pub write: Box<dyn AsyncWrite + Unpin>,
}

impl From<TcpStream> for ConnectionHalves {
    fn from(stream: TcpStream) -> ConnectionHalves {
        let (read, write) = stream.into_split();
        ConnectionHalves { read: Box::new(read), write: Box::new(write) }
    }
}

/// A connection that is being established.
pub type Connecting = Pin<Box<dyn Future<Output = io::Result<ConnectionHalves>>>>;

/// Establishes connections to other processes.
pub trait Network {
    /// Connects to an address. There is no timeout; the caller must set one.
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
    /// Connects to other processes.
    pub network: Rc<dyn Network>,
    /// Returns the time of the wall clock in milliseconds since 1970. It is only used for the token floor
    /// that a new leader sets.
    pub wall_ms: Rc<dyn Fn() -> u64>,
    /// The rate of this process' monotonic clock; 1 except in simulations of clock drift.
    pub rate: f64,
}

impl Default for Env {
    fn default() -> Env {
        let since_epoch = || SystemTime::now().duration_since(UNIX_EPOCH);
        Env {
            network: Rc::new(Sockets),
            wall_ms: Rc::new(move || since_epoch().map_or(0, |elapsed| elapsed.as_millis() as u64)),
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
        let elapsed = self.origin.elapsed();
        if self.rate == 1.0 {
            return elapsed;
        }
        elapsed.mul_f64(self.rate)
    }
}

thread_local! {
    static RNG: RefCell<StdRng> = RefCell::new(StdRng::from_os_rng());
}

/// Draws from this thread's random number generator.
pub fn with_rng<T>(draw: impl FnOnce(&mut StdRng) -> T) -> T {
    RNG.with(|rng| draw(&mut rng.borrow_mut()))
}

/// Seeds this thread's random number generator.
pub fn seed(seed: u64) {
    RNG.with(|rng| rng.replace(StdRng::seed_from_u64(seed)));
}

/// This thread's random number generator for the consensus crate, which uses an older version of the trait.
pub struct ConsensusRng;

impl rand_core_06::RngCore for ConsensusRng {
    fn next_u32(&mut self) -> u32 {
        with_rng(rand::RngCore::next_u32)
    }

    fn next_u64(&mut self) -> u64 {
        with_rng(rand::RngCore::next_u64)
    }

    fn fill_bytes(&mut self, buffer: &mut [u8]) {
        with_rng(|rng| rand::RngCore::fill_bytes(rng, buffer));
    }

    fn try_fill_bytes(&mut self, buffer: &mut [u8]) -> Result<(), rand_core_06::Error> {
        self.fill_bytes(buffer);
        Ok(())
    }
}
