//! Socket options that the standard library does not set.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

#[repr(C)]
struct SockaddrIn {
    family: u16,
    port: [u8; 2],
    addr: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockaddrIn, len: u32) -> i32;
}

fn result_of(status: i32) -> io::Result<()> {
    if status < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(())
}

/// Makes the connection end with a reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    let on_with_no_time = [1, 0];
    // SAFETY: the descriptor is open, and the value lives as long as the call.
    result_of(unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, on_with_no_time.as_ptr(), 8) })
}

/// Connects with a receive buffer of this size, which has to be set before the connection is opened.
pub fn connect_with_receive_buffer(addr: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(addr) = addr else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let sockaddr = SockaddrIn {
        family: AF_INET as u16,
        port: addr.port().to_be_bytes(),
        addr: addr.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the calls get a descriptor of this function and pointers to live values of the given sizes.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        result_of(fd)?;
        let stream = TcpStream::from_raw_fd(fd);
        result_of(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4))?;
        result_of(connect(fd, &sockaddr, size_of::<SockaddrIn>() as u32))?;
        Ok(stream)
    }
}
