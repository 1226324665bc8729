//! What became of one request.

use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::RouteName;
use eelgrassramp::Tier;
use serde_json::Value;

use super::arrivals::Arrival;
use super::target::Reply;
use super::traffic::ClassKind;
use crate::engine::generated_text;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to this very request.
    Whole,
    /// A named error.
    Refused {
        /// The error kind.
        kind: String,
        /// Whether it may have run, as the caller was told.
        ran: String,
    },
    /// The connection or the stream broke without a named error.
    Broken,
    /// A complete answer that is not the answer to this request.
    Wrong,
}

/// One request with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// The class.
    pub class: RouteName,
    /// How urgent it was.
    pub tier: Tier,
    /// Who sent it.
    pub account: AccountName,
    /// When it was sent, since the start of the load.
    pub at: Duration,
    /// Time to the first byte.
    pub first_byte: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Time for the whole answer.
    pub timeout: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// The request's identity, where the caller was told.
    pub request: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// Prompt tokens that no cache can hold.
    pub own_tokens: u32,
    /// Prompt tokens of the shared beginning.
    pub prefix_tokens: u32,
    /// The family that shares the beginning.
    pub prefix_family: u32,
    /// Tokens of the whole answer.
    pub output_tokens: u32,
}

impl Sample {
    /// Judges a reply.
    #[must_use]
    pub fn new(arrival: Arrival, reply: &Reply, total: Duration) -> Self {
        Self {
            outcome: judge(&arrival, reply),
            own_tokens: arrival.own_tokens(),
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

    /// Tells whether the answer was whole and in time.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.outcome == Outcome::Whole && self.total <= self.timeout
    }
}

fn judge(arrival: &Arrival, reply: &Reply) -> Outcome {
    if !reply.whole {
        return broken_off(reply);
    }
    if let Some(refused) = refusal(&reply.body, reply.ran.as_deref()) {
        return refused;
    }
    let is_right = match arrival.kind {
        ClassKind::Charge => reply.status == 200 && charge_of(&reply.body) == arrival.key,
        ClassKind::Model => {
            let expected = generated_text(&arrival.prompt, arrival.output_tokens);
            reply.status == 200 && streamed_text(&reply.body) == Some(expected)
        }
    };
    if is_right {
        Outcome::Whole
    } else if reply.status == 200 {
        Outcome::Wrong
    } else {
        Outcome::Refused {
            kind: format!("status_{}", reply.status),
            ran: reply.ran.clone().unwrap_or_default(),
        }
    }
}

/// Judges an answer that ended early; an error event at its end names the cause.
fn broken_off(reply: &Reply) -> Outcome {
    let body = String::from_utf8_lossy(&reply.body);
    let last = body.trim_end().rsplit("\n\n").next().unwrap_or_default();
    let data = last.rsplit("data: ").next().unwrap_or_default();
    refusal(data.as_bytes(), reply.ran.as_deref()).unwrap_or(Outcome::Broken)
}

fn refusal(body: &[u8], ran: Option<&str>) -> Option<Outcome> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let error = body.get("error")?;
    let text = |name: &str| error.get(name).and_then(Value::as_str);
    Some(Outcome::Refused {
        kind: text("kind")?.to_owned(),
        ran: text("ran").or(ran).unwrap_or_default().to_owned(),
    })
}

fn charge_of(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body.get("charge")?.as_str().map(str::to_owned)
}

/// Returns the text of an event stream, or `None` when its end mark is missing.
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
