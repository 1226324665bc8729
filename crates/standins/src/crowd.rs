//! Clients that send large or endless requests at once and stay connected, and what they cost a process.

mod ordinary_caller;
mod trial;
mod upload;
mod usage;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;

pub use self::ordinary_caller::OrdinaryCaller;
pub use self::trial::Bounds;
pub use self::trial::Outcome;
pub use self::trial::Trial;
pub use self::upload::Framing;
pub use self::upload::Upload;
pub use self::usage::Usage;
pub use self::usage::UsageWatch;

/// Time after which a client stops sending to a server that does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(8);

/// Clients that have sent what they were told, and neither read responses nor close their connections.
#[derive(Debug)]
pub struct Crowd {
    _connections: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `count` clients connect and send the request that `upload` returns for their number.
    ///
    /// Returns when each of them has sent everything, has been refused, or has waited for some seconds.
    pub async fn send(addr: SocketAddr, count: usize, upload: impl Fn(usize) -> Upload) -> Self {
        let mut clients = JoinSet::new();
        for n in 0..count {
            clients.spawn(send(addr, upload(n)));
        }
        let connections = clients.join_all().await;
        Self {
            _connections: connections.into_iter().flatten().collect(),
        }
    }
}

/// Sends one request; returns the connection if there was one.
async fn send(addr: SocketAddr, upload: Upload) -> Option<TcpStream> {
    let connected = tokio::time::timeout(SEND_TIMEOUT, TcpStream::connect(addr)).await;
    let mut stream = connected.ok()?.ok()?;
    // A server that refuses the request closes the connection before all was sent.
    let _sent = tokio::time::timeout(SEND_TIMEOUT, upload.send(&mut stream)).await;
    Some(stream)
}
