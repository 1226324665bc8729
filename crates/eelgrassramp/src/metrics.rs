//! Metrics sent with the StatsD protocol.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use cadence::BufferedUdpMetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;

/// Prefix of every metric name.
pub const PREFIX: &str = "eelgrassramp";

/// Creates a client that discards all metrics.
#[must_use]
pub fn discard() -> Arc<StatsdClient> {
    Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink))
}

/// Creates a client that sends to `target` over UDP from its own thread.
///
/// # Errors
///
/// Returns [`Kind::InvalidSettings`] when no UDP socket can be opened for `target`.
pub fn to_statsd(target: SocketAddr) -> Result<Arc<StatsdClient>> {
    let local = if target.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local)
        .map_err(|e| Error::with_source(Kind::InvalidSettings, "bind UDP socket for metrics", e))?;
    let sink = BufferedUdpMetricSink::from(target, socket).map_err(|e| {
        Error::with_source(
            Kind::InvalidSettings,
            format!("metrics address {target}"),
            e,
        )
    })?;
    Ok(Arc::new(StatsdClient::from_sink(
        PREFIX,
        QueuingMetricSink::from(sink),
    )))
}
