//! Validation of documents.
//!
//! Each error names the field and the row, so that an operator can find it in a file.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;

use jiff::Timestamp;

use super::document::Document;
use super::document::EndpointRow;
use super::document::PoolRow;
use super::document::RouteRow;
use crate::name::is_valid_name;
use crate::num;
use crate::wire::MAX_MESSAGE_BYTES;

/// Maximum timeout of a route.
pub const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Maximum request body; it leaves room for the other fields of a dispatch message.
pub const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES - 64 * 1024;

/// Maximum relative share of a client account.
pub const MAX_WEIGHT: u32 = 1_000;

/// An error in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// The path of the field, such as `pools[0].endpoints[2].sidecar`.
    pub place: String,
    /// The problem and the name of the row.
    pub cause: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.cause)
    }
}

/// Returns all errors of `document`, in document order.
pub(super) fn validate(document: &Document, now: Option<Timestamp>) -> Vec<ValidationError> {
    let mut validator = Validator {
        errors: Vec::new(),
        now,
    };
    validator.check_edit(document);
    validator.check_routes(document);
    validator.check_pools(&document.pools);
    validator.errors
}

#[derive(Debug)]
struct Validator {
    errors: Vec<ValidationError>,
    now: Option<Timestamp>,
}

impl Validator {
    fn push_error(&mut self, place: impl Into<String>, cause: impl Into<String>) {
        self.errors.push(ValidationError {
            place: place.into(),
            cause: cause.into(),
        });
    }

    fn check_name(&mut self, place: &str, name: &str, owner: &str) {
        if !is_valid_name(name) {
            let allowed = "a name is 1 to 128 of: letters, digits, - _ . : /";
            self.push_error(place, format!("invalid name {name:?}{owner}; {allowed}"));
        }
    }

    fn check_edit(&mut self, document: &Document) {
        if let Some(edit) = &document.edit
            && edit.edit_id().is_none()
        {
            self.push_error("edit.id", format!("{:?} is not an edit id", edit.id));
        }
    }

    fn check_routes(&mut self, document: &Document) {
        let pools: HashSet<&str> = document.pools.iter().map(|p| p.name.as_str()).collect();
        let mut seen = HashMap::new();
        for (i, row) in document.routes.iter().enumerate() {
            let place = format!("routes[{i}]");
            self.check_name(&format!("{place}.name"), row.name.as_str(), "");
            if let Some(first) = seen.insert(row.name.as_str(), i) {
                let cause = format!(
                    "route {:?} is declared twice, first at routes[{first}]",
                    row.name
                );
                self.push_error(format!("{place}.name"), cause);
            }
            if !pools.contains(row.pool.as_str()) {
                let cause = format!("pool {:?} does not exist (route {:?})", row.pool, row.name);
                self.push_error(format!("{place}.pool"), cause);
            }
            self.check_path(&place, row);
            self.check_limits(&place, row);
            self.check_reachable(&place, row, &document.routes[..i]);
        }
    }

    fn check_path(&mut self, place: &str, row: &RouteRow) {
        let place = format!("{place}.path");
        if !row.path.starts_with('/') {
            let cause = format!(
                "path {:?} does not begin with \"/\" (route {:?})",
                row.path, row.name
            );
            self.push_error(&place, cause);
        }
        let exact = row.path.strip_suffix('*').unwrap_or(&row.path);
        if exact.contains('*') {
            let cause = format!(
                "path {:?} has \"*\" before its end (route {:?})",
                row.path, row.name
            );
            self.push_error(&place, cause);
        }
        if exact.contains(['?', '#']) || exact.chars().any(char::is_whitespace) {
            let cause = format!(
                "path {:?} holds a query, a fragment or white space (route {:?})",
                row.path, row.name
            );
            self.push_error(&place, cause);
        }
    }

    fn check_limits(&mut self, place: &str, row: &RouteRow) {
        if row.model.as_deref() == Some("") {
            let cause = format!(
                "model is empty (route {:?}); leave it out to take any",
                row.name
            );
            self.push_error(format!("{place}.model"), cause);
        }
        if row.timeout_ms == 0 || row.timeout_ms > MAX_TIMEOUT_MS {
            let cause = format!(
                "timeout of {} ms is not within 1 to {MAX_TIMEOUT_MS} (route {:?})",
                row.timeout_ms, row.name
            );
            self.push_error(format!("{place}.timeout_ms"), cause);
        }
        if row.max_body_bytes == 0 || row.max_body_bytes > num::count(MAX_BODY_BYTES) {
            let cause = format!(
                "body limit of {} bytes is not within 1 to {MAX_BODY_BYTES} (route {:?})",
                row.max_body_bytes, row.name
            );
            self.push_error(format!("{place}.max_body_bytes"), cause);
        }
    }

    fn check_reachable(&mut self, place: &str, row: &RouteRow, earlier: &[RouteRow]) {
        let Some(first) = earlier.iter().find(|e| covers(e, row)) else {
            return;
        };
        let cause = format!(
            "route {:?} never matches, because route {:?} before it takes all its requests",
            row.name, first.name
        );
        self.push_error(place, cause);
    }

    fn check_pools(&mut self, pools: &[PoolRow]) {
        let mut seen = HashMap::new();
        let mut addresses = HashMap::new();
        for (i, row) in pools.iter().enumerate() {
            let place = format!("pools[{i}]");
            let owner = format!(" (pool {:?})", row.name);
            self.check_name(&format!("{place}.name"), row.name.as_str(), "");
            self.check_name(&format!("{place}.version"), row.version.as_str(), &owner);
            if let Some(first) = seen.insert(row.name.as_str(), i) {
                let cause = format!(
                    "pool {:?} is declared twice, first at pools[{first}]",
                    row.name
                );
                self.push_error(format!("{place}.name"), cause);
            }
            self.check_weights(&place, row);
            self.check_move(&place, row);
            self.check_endpoints(&place, row, &mut addresses);
        }
    }

    fn check_weights(&mut self, place: &str, row: &PoolRow) {
        for (account, weight) in &row.weights {
            let place = format!("{place}.weights.{account}");
            self.check_name(&place, account.as_str(), &format!(" (pool {:?})", row.name));
            if *weight == 0 || *weight > MAX_WEIGHT {
                let cause = format!(
                    "weight {weight} of account {account:?} is not within 1 to {MAX_WEIGHT} (pool {:?})",
                    row.name
                );
                self.push_error(place, cause);
            }
        }
    }

    fn check_move(&mut self, place: &str, row: &PoolRow) {
        let Some(m) = &row.r#move else { return };
        let place = format!("{place}.move");
        let owner = format!(" (pool {:?})", row.name);
        self.check_name(&format!("{place}.to"), m.to.as_str(), &owner);
        if m.to == row.version {
            let cause = format!(
                "move to version {:?}, which pool {:?} has already",
                m.to, row.name
            );
            self.push_error(format!("{place}.to"), cause);
        }
        if m.not_before.is_some_and(|start| start >= m.by) {
            let cause = format!(
                "move of pool {:?} may not begin before its date {}",
                row.name, m.by
            );
            self.push_error(format!("{place}.not_before"), cause);
        }
        if self.now.is_some_and(|now| m.by <= now) {
            let cause = format!(
                "date {} of the move of pool {:?} has passed",
                m.by, row.name
            );
            self.push_error(format!("{place}.by"), cause);
        }
    }

    fn check_endpoints<'a>(
        &mut self,
        place: &str,
        row: &'a PoolRow,
        addresses: &mut HashMap<SocketAddr, (&'a EndpointRow, &'a PoolRow)>,
    ) {
        if row.endpoints.is_empty() {
            let cause = format!("pool {:?} has no endpoints", row.name);
            self.push_error(format!("{place}.endpoints"), cause);
        }
        let mut names = BTreeMap::new();
        for (i, endpoint) in row.endpoints.iter().enumerate() {
            let place = format!("{place}.endpoints[{i}]");
            if let Some(first) = names.insert(endpoint.name.as_str(), i) {
                let cause = format!(
                    "endpoint {:?} is declared twice in pool {:?}, first at endpoints[{first}]",
                    endpoint.name, row.name
                );
                self.push_error(format!("{place}.name"), cause);
            }
            if let Some((other, pool)) = addresses.insert(endpoint.sidecar, (endpoint, row)) {
                let cause = format!(
                    "address {} of endpoint {:?} is used by endpoint {:?} of pool {:?} already",
                    endpoint.sidecar, endpoint.name, other.name, pool.name
                );
                self.push_error(format!("{place}.sidecar"), cause);
            }
            self.check_endpoint(&place, endpoint);
        }
    }

    fn check_endpoint(&mut self, place: &str, row: &EndpointRow) {
        let owner = format!(" (endpoint {:?})", row.name);
        self.check_name(&format!("{place}.name"), row.name.as_str(), "");
        self.check_name(&format!("{place}.domain"), row.domain.as_str(), &owner);
        self.check_name(&format!("{place}.hardware"), row.hardware.as_str(), &owner);
        self.check_name(&format!("{place}.version"), row.version.as_str(), &owner);
        let ip = row.sidecar.ip();
        if ip.is_unspecified() || ip.is_multicast() || row.sidecar.port() == 0 {
            let cause = format!("nothing can listen at address {}{owner}", row.sidecar);
            self.push_error(format!("{place}.sidecar"), cause);
        }
    }
}

/// Returns whether `first` matches every request that `second` matches.
fn covers(first: &RouteRow, second: &RouteRow) -> bool {
    let covers_models = first.model.is_none() || first.model == second.model;
    let covers_paths = match first.path.strip_suffix('*') {
        Some(prefix) => second.path.trim_end_matches('*').starts_with(prefix),
        None => first.path == second.path,
    };
    covers_models && covers_paths
}
