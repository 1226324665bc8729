//! Settings of the operators' tool.

use std::net::SocketAddr;

use serde::Deserialize;

/// The settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Settings {
    /// Address of the platform's object API.
    pub store: SocketAddr,
}
