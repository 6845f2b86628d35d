//! System calls that none of the dependencies provides.

use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// Returns the current value of the monotonic clock that [`std::time::Instant`] uses, as the time since the
/// machine's start. All processes of the machine share this clock, and it is never set. Unlike an `Instant`,
/// the value can be sent to another process.
#[allow(unsafe_code, reason = "the standard library does not expose the value of an `Instant`")]
pub fn monotonic_now() -> Duration {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call writes one `timespec`, which `now` is.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut now) };
    // `clock_gettime` fails only for an invalid clock or pointer.
    debug_assert_eq!(result, 0);
    Duration::new(u64::try_from(now.tv_sec).unwrap_or(0), u32::try_from(now.tv_nsec).unwrap_or(0))
}

/// Returns the time since the kernel last received data on a connection, including data that has not been
/// read and data that was received before the connection was accepted. The value is in integer milliseconds,
/// with the resolution of the kernel's tick.
///
/// # Errors
///
/// Returns an error if `socket` is not a TCP connection.
#[allow(unsafe_code, reason = "socket2 does not expose TCP_INFO")]
pub fn time_since_last_received(socket: &impl AsFd) -> io::Result<Duration> {
    // SAFETY: `tcp_info` consists of integers, for each of which zero is a valid value.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).unwrap_or(0);
    let (fd, target) = (socket.as_fd().as_raw_fd(), (&raw mut info).cast());
    // SAFETY: at most `length` bytes are written, which is the size of `info`; the descriptor is borrowed and so open.
    let result = unsafe { libc::getsockopt(fd, libc::IPPROTO_TCP, libc::TCP_INFO, target, &raw mut length) };
    // An older kernel writes a shorter structure; the remaining fields stay zero.
    if result == 0 {
        Ok(Duration::from_millis(info.tcpi_last_data_recv.into()))
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Returns the number of bytes written to a connection that the peer's kernel has not acknowledged.
///
/// # Errors
///
/// Returns an error if `socket` is not a connection.
#[allow(unsafe_code, reason = "socket2 does not expose TIOCOUTQ")]
pub fn unacknowledged_bytes(socket: &impl AsFd) -> io::Result<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the call writes one `int`, which `bytes` is; the descriptor is borrowed and so open.
    let result = unsafe { libc::ioctl(socket.as_fd().as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if result == 0 {
        Ok(usize::try_from(bytes).unwrap_or(0))
    } else {
        Err(io::Error::last_os_error())
    }
}

#[cfg(test)]
mod tests;
