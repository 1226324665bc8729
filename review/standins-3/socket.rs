//! A socket option that the standard library does not set.

use std::io;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Makes the connection end with a reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    let on_with_no_time = [1, 0];
    // SAFETY: the descriptor is open, and the value lives as long as the call.
    let status = unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            on_with_no_time.as_ptr(),
            8,
        )
    };
    if status < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(())
}
