//! What only the system knows, asked of it directly: the crates that are used here have no call for it.

use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// Time since the machine's start, on the clock of [`std::time::Instant`], which is one for all processes and is never
/// set. An `Instant` cannot be told to another process.
#[allow(unsafe_code)]
pub fn monotonic_now() -> Duration {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: it writes one `timespec`, which `now` is.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now) };
    // It fails for no argument given here.
    debug_assert_eq!(result, 0);
    Duration::new(u64::try_from(now.tv_sec).unwrap_or(0), u32::try_from(now.tv_nsec).unwrap_or(0))
}

/// How long ago the last bytes of a connection came, whether they have been read or not, and also those that came before
/// it was accepted. In whole milliseconds, and as coarse as the system's tick.
#[allow(unsafe_code)]
pub fn time_since_last_received(socket: &impl AsFd) -> io::Result<Duration> {
    // SAFETY: it is plain numbers, for each of which zero is a value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).unwrap_or(0);
    let (fd, place) = (socket.as_fd().as_raw_fd(), (&raw mut info).cast());
    // SAFETY: at most `length` bytes are written, which is the size of `info`; the descriptor is borrowed and so open.
    let result = unsafe { libc::getsockopt(fd, libc::IPPROTO_TCP, libc::TCP_INFO, place, &raw mut length) };
    // A system that knows less says so by the length; what it did not write is zero.
    if result == 0 {
        Ok(Duration::from_millis(info.tcpi_last_data_recv.into()))
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Bytes written to a connection that its peer's system has not said to have.
#[allow(unsafe_code)]
pub fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: it writes one `int`, which `bytes` is; the descriptor is borrowed and so open.
    let result = unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result == 0 {
        Ok(usize::try_from(bytes).unwrap_or(0))
    } else {
        Err(io::Error::last_os_error())
    }
}

#[cfg(test)]
mod tests;
