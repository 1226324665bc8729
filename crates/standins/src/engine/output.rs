//! The response of one request, retained so that its stream can be resumed.

use bytes::Bytes;
use bytes::BytesMut;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::engine::EngineEvent;
use eelgrassramp::engine::EngineStream;
use eelgrassramp::wire::Header;
use eelgrassramp::wire::Usage;
use serde_json::json;
use tokio::sync::watch;

use super::prompt::token_text;

/// The response so far, shared by its writer and any number of readers.
#[derive(Debug)]
pub(super) struct Output {
    tx: watch::Sender<Progress>,
    stream: bool,
    seed: u64,
}

#[derive(Debug, Default)]
struct Progress {
    status: Option<u16>,
    body: BytesMut,
    end: Option<End>,
}

#[derive(Debug, Clone, Copy)]
enum End {
    Complete(Usage),
    Aborted(&'static str),
}

impl Output {
    pub(super) fn new(seed: u64, stream: bool) -> Self {
        let (tx, _) = watch::channel(Progress::default());
        Self { tx, stream, seed }
    }

    pub(super) const fn seed(&self) -> u64 {
        self.seed
    }

    pub(super) const fn is_streaming(&self) -> bool {
        self.stream
    }

    pub(super) fn append_token(&self, index: u32) {
        let text = token_text(self.seed, index);
        self.tx.send_modify(|progress| {
            progress.status = Some(200);
            if self.stream {
                let chunk = json!({"choices": [{"index": 0, "delta": {"content": text}}]});
                progress.push_event(&chunk.to_string());
            }
        });
    }

    pub(super) fn finish(&self, usage: Usage) {
        let report = json!({
            "prompt_tokens": usage.prefill_tokens + usage.cached_tokens,
            "cached_tokens": usage.cached_tokens,
            "completion_tokens": usage.output_tokens,
        });
        self.tx.send_modify(|progress| {
            progress.status = Some(200);
            if self.stream {
                let chunk = json!({"choices": [], "usage": report});
                progress.push_event(&chunk.to_string());
                progress.push_event("[DONE]");
            } else {
                let tokens = 0..usage.output_tokens;
                let text: String = tokens.map(|i| token_text(self.seed, i)).collect();
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
                let whole = json!({"choices": [choice], "usage": report});
                progress
                    .body
                    .extend_from_slice(whole.to_string().as_bytes());
            }
            progress.end = Some(End::Complete(usage));
        });
    }

    /// Ends the response with an error caused by a defective version.
    pub(super) fn fail(&self) {
        self.tx.send_modify(|progress| {
            if progress.status.is_some() {
                progress.end = Some(End::Aborted("the version failed"));
                return;
            }
            progress.status = Some(500);
            let body = json!({"error": {"message": "the version failed"}});
            progress.body.extend_from_slice(body.to_string().as_bytes());
            progress.end = Some(End::Complete(Usage::default()));
        });
    }

    /// Ends the response before it is complete.
    pub(super) fn abort(&self, reason: &'static str) {
        self.tx.send_if_modified(|progress| {
            let open = progress.end.is_none();
            if open {
                progress.end = Some(End::Aborted(reason));
            }
            open
        });
    }

    pub(super) fn has_ended(&self) -> bool {
        self.tx.borrow().end.is_some()
    }

    /// Reads the response from `offset` on; a resuming reader receives the head again.
    pub(super) fn read(&self, offset: usize) -> EngineStream {
        let reader = Reader {
            rx: self.tx.subscribe(),
            stream: self.stream,
            offset,
            head_sent: false,
            done: false,
        };
        Box::pin(futures_util::stream::unfold(reader, Reader::next))
    }
}

impl Progress {
    fn push_event(&mut self, data: &str) {
        self.body.extend_from_slice(b"data: ");
        self.body.extend_from_slice(data.as_bytes());
        self.body.extend_from_slice(b"\n\n");
    }
}

struct Reader {
    rx: watch::Receiver<Progress>,
    stream: bool,
    offset: usize,
    head_sent: bool,
    done: bool,
}

impl Reader {
    async fn next(mut self) -> Option<(Result<EngineEvent>, Self)> {
        loop {
            if self.done {
                return None;
            }
            if let Some(event) = self.poll() {
                return Some((event, self));
            }
            if self.rx.changed().await.is_err() {
                self.done = true;
                return Some((broken("the engine was stopped"), self));
            }
        }
    }

    fn poll(&mut self) -> Option<Result<EngineEvent>> {
        let progress = self.rx.borrow_and_update();
        if !self.head_sent
            && let Some(status) = progress.status
        {
            self.head_sent = true;
            return Some(Ok(head(status, self.stream)));
        }
        if self.offset < progress.body.len() {
            let piece = Bytes::copy_from_slice(&progress.body[self.offset..]);
            self.offset = progress.body.len();
            return Some(Ok(EngineEvent::Data(piece)));
        }
        let end = progress.end?;
        self.done = true;
        Some(match end {
            End::Complete(usage) => Ok(EngineEvent::End(usage)),
            End::Aborted(reason) => broken(reason),
        })
    }
}

fn broken(reason: &str) -> Result<EngineEvent> {
    Err(Error::new(Kind::StreamBroken, reason))
}

fn head(status: u16, stream: bool) -> EngineEvent {
    let content_type = if stream && status == 200 {
        "text/event-stream"
    } else {
        "application/json"
    };
    let header = Header {
        name: "content-type".to_owned(),
        value: content_type.as_bytes().to_vec(),
    };
    EngineEvent::Head {
        status,
        headers: vec![header],
    }
}
