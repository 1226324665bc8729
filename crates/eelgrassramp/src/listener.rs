//! Listening sockets.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;

/// Receive buffer of each accepted connection in bytes.
///
/// What a client has sent and the process has not read counts as memory of the process. The operating system
/// would let this grow to megabytes for each connection.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 256;

/// Listens on an address, for connections with a small receive buffer.
///
/// # Errors
///
/// Returns [`Kind::InvalidSettings`] when the address cannot be listened on.
pub fn listen(addr: SocketAddr) -> Result<TcpListener> {
    try_listen(addr).map_err(|e| {
        Error::with_source(Kind::InvalidSettings, format!("cannot listen on {addr}"), e)
    })
}

fn try_listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
