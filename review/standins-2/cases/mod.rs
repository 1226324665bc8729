//! The cases, and what their configurations have in common.

mod false_refusal;
mod header_limit;
mod next_order;
mod odd_entries;
mod slow_clients;

use crate::Case;
use crate::Setting;
use crate::client::Outcome;
use crate::client::Request;
use crate::entry::SMALL;

/// The clients' API key.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Name of the operator's configuration.
pub const CONFIG: (&str, &str) = ("config", "main");

/// Returns a case by its name.
pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "odd-entries" => odd_entries::run,
        "false-refusal" => false_refusal::run,
        "header-limit" => header_limit::run,
        "next-order" => next_order::run,
        "slow-clients" => slow_clients::run,
        _ => return None,
    })
}

/// A configuration with one route and one tenant.
pub struct Config {
    pub version: u32,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub max_header_bytes: u32,
    pub keys: &'static [&'static str],
}

/// A configuration that sends orders to the service `shop`.
pub const ORDERS: Config = Config {
    version: 7,
    kind: "non_idempotent",
    service: "shop",
    timeout_ms: 2_500,
    max_header_bytes: 16_384,
    keys: &[KEY],
};

impl Config {
    /// Returns the configuration as the operator writes it.
    pub fn to_json(&self) -> String {
        let Self {
            version,
            kind,
            service,
            timeout_ms,
            max_header_bytes,
            keys,
        } = self;
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"shop.example\",\
             \"pathPrefix\":\"/orders/\",\"routeKind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\
             \"latencyGoalMs\":300,\"priority\":0,\"service\":\"{service}\",\"maxAttempts\":1,\
             \"public\":false}}],\"services\":[{{\"name\":\"shop\",\"healthPath\":\"/healthz\",\
             \"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\
             \"maxHeaderBytes\":{max_header_bytes},\"maxBodyBytes\":4194304,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}}]}}"
        )
    }
}

/// Returns a request to place an order.
pub fn order<'a>(id: &'a str, deadline_ms: u32, headers: &'a str) -> Request<'a> {
    Request {
        method: "POST",
        path: "/orders/new",
        id,
        key: KEY,
        deadline_ms,
        headers,
        body: "{\"mugs\":1}",
    }
}

/// Records what a client got.
pub fn record_outcome(setting: &Setting, id: &str, outcome: &Outcome) {
    let status = outcome.status.map_or("none".to_owned(), |s| s.to_string());
    let (bytes, complete) = (outcome.body_bytes, outcome.is_complete);
    let text = format!("{id}: status {status}, {bytes} bytes, complete: {complete}");
    setting.record.line(&text);
}
