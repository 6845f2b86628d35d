//! The listening socket for clients, if the supervisor opens it and passes its descriptor to the process.

use quick_error::quick_error;
use socket2::Socket;
use std::net::{SocketAddr, TcpListener};
use std::num::ParseIntError;
use std::os::fd::{FromRawFd, RawFd};
use std::{env, fs, io};

/// The environment variable with the number of the descriptor.
const VARIABLE: &str = "RELAY_FD";
/// The lowest number above the standard streams.
const FIRST_INHERITABLE_FD: RawFd = 3;

quick_error! {
    /// The reason why the socket in the environment variable is not used.
    #[derive(Debug)]
    pub enum InheritError {
        /// The value of the variable is not a number.
        NotANumber(value: String, cause: ParseIntError) {
            display("{VARIABLE}: {value:?}: {cause}")
            source(cause)
        }
        /// The descriptor is not open, or cannot be examined.
        Io(value: String, cause: io::Error) {
            display("{VARIABLE}: {value:?}: {cause}")
            source(cause)
        }
        /// The descriptor is not a socket.
        NotASocket(value: String) {
            display("{VARIABLE}: {value:?}: not a socket")
        }
        /// The socket does not listen on the configured address.
        OtherAddress(value: String, listen: SocketAddr) {
            display("{VARIABLE}: {value:?}: does not listen on {listen}")
        }
    }
}

/// Returns the listening socket that this process inherited, if the environment variable is set.
///
/// Must be called before any other descriptor is opened, because that could get the same number.
///
/// # Errors
/// Fails if the descriptor is not a socket that listens on `listen`. A descriptor that is not a socket is
/// left open.
#[allow(unsafe_code, reason = "adopting an inherited descriptor has no safe interface")]
pub fn inherited_socket(listen: SocketAddr) -> Result<Option<TcpListener>, InheritError> {
    let Ok(value) = env::var(VARIABLE) else { return Ok(None) };
    let fd: RawFd = value.parse().map_err(|cause| InheritError::NotANumber(value.clone(), cause))?;
    let target = fs::read_link(format!("/proc/self/fd/{fd}"))
        .map_err(|cause| InheritError::Io(value.clone(), cause))?;
    if fd < FIRST_INHERITABLE_FD || !target.to_string_lossy().starts_with("socket:") {
        return Err(InheritError::NotASocket(value));
    }
    // SAFETY: the descriptor is open, as just checked, and nothing in this process owns it: nothing was
    // opened before, and the supervisor passes it to this process to own.
    let socket = unsafe { Socket::from_raw_fd(fd) };
    match prepare(&socket, listen) {
        Ok(true) => Ok(Some(socket.into())),
        Ok(false) => Err(InheritError::OtherAddress(value, listen)),
        Err(cause) => Err(InheritError::Io(value, cause)),
    }
}

/// Prepares the socket for use, and returns whether it listens on `listen`; any port matches port 0.
fn prepare(socket: &Socket, listen: SocketAddr) -> io::Result<bool> {
    let addr = socket.local_addr()?.as_socket();
    socket.set_cloexec(true)?;
    socket.set_nonblocking(true)?;
    Ok(socket.is_listener()? && addr.is_some_and(|addr| listen.port() == 0 || addr == listen))
}
