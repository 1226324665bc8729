//! The outcome of one request.

use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::RouteName;
use eelgrassramp::Tier;
use serde_json::Value;

use super::arrivals::Arrival;
use super::target::Reply;
use super::traffic::ClassKind;
use crate::engine::generated_text;

/// The outcome of a request as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete and correct response.
    Complete,
    /// An error response with an error kind.
    Refused {
        /// The error kind.
        kind: String,
        /// Whether the request may have run, as reported to the caller.
        ran: String,
    },
    /// The connection or the stream broke without an error kind.
    Broken,
    /// A complete response with unexpected content.
    Wrong,
}

/// One request with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// The traffic class.
    pub class: RouteName,
    /// Its tier.
    pub tier: Tier,
    /// The client account that sent it.
    pub account: AccountName,
    /// Arrival time since the start of the load.
    pub at: Duration,
    /// Time to the first byte.
    pub first_byte: Option<Duration>,
    /// Time to the end of the response.
    pub total: Duration,
    /// Time allowed until the response is complete.
    pub timeout: Duration,
    /// The outcome.
    pub outcome: Outcome,
    /// The request id, if the caller received it.
    pub request: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// Prompt tokens after the shared prefix, which are never cached.
    pub unique_tokens: u32,
    /// Prompt tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// The family of requests with the same prefix.
    pub prefix_family: u32,
    /// Tokens of the complete response.
    pub output_tokens: u32,
}

impl Sample {
    /// Creates the sample of a reply.
    #[must_use]
    pub fn new(arrival: Arrival, reply: &Reply, total: Duration) -> Self {
        Self {
            outcome: classify(&arrival, reply),
            unique_tokens: arrival.unique_tokens(),
            class: arrival.class,
            tier: arrival.tier,
            account: arrival.account,
            at: arrival.at,
            first_byte: reply.first_byte,
            total,
            timeout: arrival.timeout,
            request: reply.request.clone(),
            key: arrival.key,
            prefix_tokens: arrival.prefix_tokens,
            prefix_family: arrival.prefix_family,
            output_tokens: arrival.output_tokens,
        }
    }

    /// Returns whether the response was complete, correct and in time.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.outcome == Outcome::Complete && self.total <= self.timeout
    }
}

fn classify(arrival: &Arrival, reply: &Reply) -> Outcome {
    if !reply.complete {
        return classify_incomplete(reply);
    }
    if let Some(refused) = parse_error(&reply.body, reply.ran.as_deref()) {
        return refused;
    }
    let is_expected = match arrival.kind {
        ClassKind::Charge => reply.status == 200 && charge_key(&reply.body) == arrival.key,
        ClassKind::Model => {
            let expected = generated_text(&arrival.prompt, arrival.output_tokens);
            reply.status == 200 && streamed_text(&reply.body) == Some(expected)
        }
    };
    if is_expected {
        Outcome::Complete
    } else if reply.status == 200 {
        Outcome::Wrong
    } else {
        Outcome::Refused {
            kind: format!("status_{}", reply.status),
            ran: reply.ran.clone().unwrap_or_default(),
        }
    }
}

/// Classifies a response that ended early; a final error event has the error kind.
fn classify_incomplete(reply: &Reply) -> Outcome {
    let body = String::from_utf8_lossy(&reply.body);
    let last = body.trim_end().rsplit("\n\n").next().unwrap_or_default();
    let data = last.rsplit("data: ").next().unwrap_or_default();
    parse_error(data.as_bytes(), reply.ran.as_deref()).unwrap_or(Outcome::Broken)
}

fn parse_error(body: &[u8], ran: Option<&str>) -> Option<Outcome> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let error = body.get("error")?;
    let text = |name: &str| error.get(name).and_then(Value::as_str);
    Some(Outcome::Refused {
        kind: text("kind")?.to_owned(),
        ran: text("ran").or(ran).unwrap_or_default().to_owned(),
    })
}

fn charge_key(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body.get("charge")?.as_str().map(str::to_owned)
}

/// Returns the text of an event stream, or `None` when its `[DONE]` event is missing.
fn streamed_text(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    let events = body.strip_suffix("data: [DONE]\n\n")?;
    let mut text = String::new();
    for event in events.split_terminator("\n\n") {
        let chunk: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        if let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() {
            text.push_str(content);
        }
    }
    Some(text)
}
