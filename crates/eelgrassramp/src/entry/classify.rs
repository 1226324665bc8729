//! Classification of a caller's HTTP request: route, pool, account, key, deadline and cost.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;

use super::prompt_text::PromptText;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::key;
use crate::key::Key;
use crate::name::AccountName;
use crate::name::is_valid_name;
use crate::routing::block_hashes;
use crate::tables::Pool;
use crate::tables::PoolKind;
use crate::tables::Route;
use crate::tables::Tables;
use crate::wire::Call;
use crate::wire::Header;

/// Names of the headers that the entry reads and writes.
pub mod header {
    /// The client account.
    pub const ACCOUNT: &str = "eelgrassramp-account";
    /// The idempotency key, by which repeated requests are recognised.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Time limit for the complete response, in milliseconds.
    pub const DEADLINE_MS: &str = "eelgrassramp-deadline-ms";
    /// Whether the request ran: `no`, `maybe` or `yes`.
    pub const RAN: &str = "eelgrassramp-ran";
    /// The request id, as written to logs.
    pub const REQUEST: &str = "eelgrassramp-request";
}

/// The account of requests without an account header.
const ANONYMOUS_ACCOUNT: &str = "anonymous";

/// Bytes of prompt text estimated as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Headers of a caller's connection, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A caller's request as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers with lower-case names.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

impl CallerRequest {
    /// Returns the path without the query.
    #[must_use]
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    fn header(&self, name: &str) -> Result<Option<&str>> {
        let Some(found) = self.headers.iter().find(|h| h.name == name) else {
            return Ok(None);
        };
        std::str::from_utf8(&found.value)
            .map(Some)
            .map_err(|e| bad_request(&format!("header {name:?}"), &e.to_string()))
    }
}

/// A request with the attributes used for admission, queueing and routing.
#[derive(Debug, Clone)]
pub(super) struct ClassifiedRequest {
    pub route: Arc<Route>,
    pub pool: Arc<Pool>,
    pub account: AccountName,
    pub key: Option<Key>,
    pub fingerprint: u64,
    pub time_limit: Duration,
    pub prefill_tokens: u32,
    pub output_limit: Option<u32>,
    pub prefix: Vec<u64>,
    pub call: Call,
}

impl ClassifiedRequest {
    pub fn is_model(&self) -> bool {
        self.pool.kind == PoolKind::Model
    }
}

/// The fields of an inference request that are used for scheduling.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct InferenceBody {
    model: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    prompt: PromptText,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: PromptText,
}

/// Finds the route of a request and the attributes used for admission, queueing and routing.
pub(super) fn classify(tables: &Tables, req: CallerRequest) -> Result<ClassifiedRequest> {
    let account = read_account(&req)?;
    let deadline = read_deadline(&req)?;
    let body = parse_inference_body(&req.body);
    let requested_model = body.as_ref().ok().and_then(|b| b.model.as_deref());
    let route = find_route(tables, req.path_only(), requested_model)?;
    if req.body.len() > route.max_body_bytes {
        let detail = format!(
            "body of {} bytes exceeds {} (route \"{}\")",
            req.body.len(),
            route.max_body_bytes,
            route.name
        );
        return Err(Error::new(Kind::RequestTooLarge, detail));
    }
    let pool = tables.pool_of(route).ok_or_else(|| {
        let detail = format!(
            "pool \"{}\" does not exist (route \"{}\")",
            route.pool, route.name
        );
        Error::new(Kind::PoolUnavailable, detail)
    })?;
    let body = match pool.kind {
        PoolKind::Model => body?,
        PoolKind::Service => InferenceBody::default(),
    };
    let key = req
        .header(header::IDEMPOTENCY_KEY)?
        .map(|text| Key::new(&account, text))
        .transpose()?;
    let prompt = body.prompt_text();
    let prompt_bytes = match pool.kind {
        PoolKind::Model => prompt.len(),
        PoolKind::Service => 0,
    };
    Ok(ClassifiedRequest {
        fingerprint: key::body_hash(&req.method, &req.path, &req.body),
        time_limit: deadline.map_or(route.timeout, |d| d.min(route.timeout)),
        prefill_tokens: u32::try_from(prompt_bytes / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        output_limit: body.max_completion_tokens.or(body.max_tokens),
        prefix: block_hashes(&prompt),
        route: Arc::clone(route),
        pool: Arc::clone(pool),
        account,
        key,
        call: to_call(req),
    })
}

/// Returns the largest body that a request to `path` may have.
pub(super) fn max_body_bytes(tables: &Tables, path: &str) -> Result<usize> {
    tables
        .routes
        .iter()
        .filter(|r| r.matches(path, r.model.as_deref()))
        .map(|r| r.max_body_bytes)
        .max()
        .ok_or_else(|| no_route_error(path))
}

fn find_route<'a>(tables: &'a Tables, path: &str, model: Option<&str>) -> Result<&'a Arc<Route>> {
    tables.route(path, model).ok_or_else(|| match model {
        Some(model) => {
            let detail = format!("no route matches path {path:?} and model {model:?}");
            Error::new(Kind::UnknownRoute, detail)
        }
        None => no_route_error(path),
    })
}

fn no_route_error(path: &str) -> Error {
    Error::new(
        Kind::UnknownRoute,
        format!("no route matches path {path:?}"),
    )
}

fn read_account(req: &CallerRequest) -> Result<AccountName> {
    let name = req.header(header::ACCOUNT)?.unwrap_or(ANONYMOUS_ACCOUNT);
    if !is_valid_name(name) {
        let field = format!("header \"{}\"", header::ACCOUNT);
        return Err(bad_request(&field, "not a valid name"));
    }
    Ok(name.into())
}

fn read_deadline(req: &CallerRequest) -> Result<Option<Duration>> {
    let Some(text) = req.header(header::DEADLINE_MS)? else {
        return Ok(None);
    };
    let field = format!("header \"{}\"", header::DEADLINE_MS);
    match text.parse() {
        Ok(0) => Err(bad_request(&field, "must be at least 1")),
        Ok(ms) => Ok(Some(Duration::from_millis(ms))),
        Err(e) => Err(bad_request(&field, &e.to_string())),
    }
}

fn parse_inference_body(body: &[u8]) -> Result<InferenceBody> {
    serde_json::from_slice(body).map_err(|e| bad_request("body", &e.to_string()))
}

fn bad_request(field: &str, cause: &str) -> Error {
    Error::new(Kind::BadRequest, format!("{field}: {cause}"))
}

impl InferenceBody {
    /// Returns the prompt as one text, in the order in which an engine processes it.
    fn prompt_text(&self) -> Vec<u8> {
        let contents = self.messages.iter().map(|message| &message.content);
        let texts = contents.chain([&self.prompt]);
        let texts: Vec<&[u8]> = texts.map(|text| &*text.0).collect();
        texts.concat()
    }
}

fn to_call(req: CallerRequest) -> Call {
    let is_forwarded = |h: &Header| {
        let name = h.name.as_str();
        !HOP_BY_HOP_HEADERS.contains(&name) && name != header::DEADLINE_MS
    };
    Call {
        method: req.method,
        path: req.path,
        headers: req.headers.into_iter().filter(is_forwarded).collect(),
        body: req.body,
    }
}
