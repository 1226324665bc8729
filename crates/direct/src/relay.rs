//! Passes the body of an endpoint's answer on, and settles how the request ended.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use futures_util::Stream;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body::Frame;
use hyper::body::Incoming;

use crate::connections::Connection;
use crate::endpoint_tracker::Outcome;
use crate::entry::Entry;
use crate::events::EventSplitter;
use crate::flight::Flight;
use crate::forward::Forwarding;

/// A body whose end is an error when the answer is not whole.
pub(crate) type Frames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>>> + Send>>;

/// The body of one answer on its way to the caller.
pub(crate) struct Relay {
    pub(crate) entry: Arc<Entry>,
    pub(crate) body: Incoming,
    pub(crate) connection: Option<Connection>,
    pub(crate) flight: Flight,
    pub(crate) keep_alive: Option<Duration>,
    /// Ends when the route's time is over.
    pub(crate) deadline: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// Set for event streams, whose events pass whole.
    pub(crate) events: Option<EventSplitter>,
    /// Set while another endpoint could continue the stream.
    pub(crate) forwarding: Option<Box<Forwarding>>,
    /// Bytes of the body that are still to come, where the answer states its length.
    ///
    /// The server stops asking for data once it has written that many, so the end of such an
    /// answer is noticed here.
    pub(crate) remaining: Option<u64>,
    /// Whether the endpoint's answer states its own end, by a length or by chunks.
    pub(crate) is_framed: bool,
    pub(crate) is_failure: bool,
}

impl Relay {
    /// Turns the relay into the stream that the server sends.
    pub(crate) fn into_frames(self) -> Frames {
        Box::pin(stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(frame)) => Some((Ok(frame), Some(relay))),
                Some(Err(e)) => Some((Err(e), None)),
                None => None,
            }
        }))
    }

    async fn next(&mut self) -> Option<Result<Frame<Bytes>>> {
        loop {
            let cause = match self.read().await {
                Ok(Some(data)) => match self.pass(data) {
                    Ok(out) if out.is_empty() => continue,
                    Ok(out) => return Some(Ok(Frame::data(out))),
                    Err(e) => e,
                },
                Ok(None) if self.is_cut_inside_an_event() => {
                    let detail = "the endpoint closed the connection inside an event";
                    Error::new(Kind::StreamBroken, detail)
                }
                Ok(None) => return self.end(),
                Err(e) => e,
            };
            if let Err(e) = self.resume(cause).await {
                return Some(Err(e));
            }
        }
    }

    /// Tells whether an answer that ends with its connection ended too early.
    fn is_cut_inside_an_event(&self) -> bool {
        let partial = self.events.as_ref().map(EventSplitter::partial);
        !self.is_framed && partial.is_some_and(|partial| !partial.is_empty())
    }

    async fn read(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = &mut self.deadline => {
                    let detail = "the answer took longer than the route allows";
                    return Err(Error::new(Kind::DeadlineExceeded, detail));
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(e)) => {
                    let detail = "the endpoint broke its answer off";
                    return Err(Error::with_source(Kind::OutcomeUnknown, detail, e));
                }
                // Trailers belong to the endpoint's connection.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Counts bytes of the answer, and returns those that can go on to the caller.
    fn pass(&mut self, data: Bytes) -> Result<Bytes> {
        let len = data.len() as u64;
        self.flight.count_bytes(len);
        if let Some(connection) = &self.connection {
            connection.count_body(len);
        }
        self.remaining = self.remaining.map(|left| left.saturating_sub(len));
        let out = match &mut self.events {
            Some(events) => events.push(&data)?,
            None => data,
        };
        if self.remaining == Some(0) {
            self.settle();
        }
        Ok(out)
    }

    /// Notes that the whole answer has been read.
    pub(crate) fn settle(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.entry.connections().put(connection, self.keep_alive);
        }
        self.flight.finish(self.is_failure);
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>>> {
        self.settle();
        let rest = self.events.as_mut().map(EventSplitter::take_partial);
        rest.filter(|rest| !rest.is_empty())
            .map(|rest| Ok(Frame::data(rest)))
    }

    /// Continues the stream at another endpoint after the last whole event.
    async fn resume(&mut self, cause: Error) -> Result<()> {
        self.connection = None;
        if cause.kind() == Kind::DeadlineExceeded {
            self.flight.fail(Outcome::Neutral, &cause);
            return Err(cause);
        }
        self.flight.fail(Outcome::Disconnected, &cause);
        let (Some(forwarding), Some(events)) = (self.forwarding.take(), &mut self.events) else {
            return Err(cause);
        };
        events.drop_partial();
        let next = forwarding.resume(events.last_id()).await;
        let Some(next) = next else {
            return Err(cause);
        };
        let events = self.events.take();
        *self = next;
        self.events = events;
        Ok(())
    }
}
