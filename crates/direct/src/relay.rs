//! Relays the body of an endpoint's response to the caller and records how the request ended.

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

use crate::attempt::InFlightAttempt;
use crate::connections::Connection;
use crate::endpoint_tracker::DispatchEnd;
use crate::entry::Entry;
use crate::events::EventSplitter;
use crate::forward::ForwardedRequest;

/// The frames of a body; the last item is an error when the response is incomplete.
pub(crate) type FrameStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>>> + Send>>;

/// Relays the body of one response to the caller.
pub(crate) struct Relay {
    pub(crate) entry: Arc<Entry>,
    pub(crate) body: Incoming,
    pub(crate) connection: Option<Connection>,
    pub(crate) in_flight: InFlightAttempt,
    pub(crate) endpoint_idle_timeout: Option<Duration>,
    /// Completes at the request's deadline.
    pub(crate) deadline: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// Set for event streams, which are relayed in whole events.
    pub(crate) events: Option<EventSplitter>,
    /// Set while the stream can be resumed on another endpoint.
    pub(crate) request: Option<Box<ForwardedRequest>>,
    /// Bytes of the body still to be read, if the response has a `content-length`.
    ///
    /// The HTTP library stops polling the body once it has written that many bytes, so the end of the
    /// response is detected by this count.
    pub(crate) remaining: Option<u64>,
    /// Whether the response is delimited by `content-length` or `transfer-encoding`.
    pub(crate) is_framed: bool,
    pub(crate) is_endpoint_failure: bool,
}

impl Relay {
    /// Converts the relay into the stream of frames that is sent to the caller.
    pub(crate) fn into_frames(self) -> FrameStream {
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
            let cause = match self.read_data().await {
                Ok(Some(data)) => match self.process_data(data) {
                    Ok(out) if out.is_empty() => continue,
                    Ok(out) => return Some(Ok(Frame::data(out))),
                    Err(e) => e,
                },
                Ok(None) if self.is_truncated_inside_event() => {
                    let detail = "endpoint closed the connection in the middle of an event";
                    Error::new(Kind::StreamBroken, detail)
                }
                Ok(None) => return self.end_of_body(),
                Err(e) => e,
            };
            if let Err(e) = self.resume(cause).await {
                return Some(Err(e));
            }
        }
    }

    /// Returns whether a response that is delimited only by the end of its connection ended in the
    /// middle of an event.
    fn is_truncated_inside_event(&self) -> bool {
        let partial = self.events.as_ref().map(EventSplitter::partial);
        !self.is_framed && partial.is_some_and(|partial| !partial.is_empty())
    }

    async fn read_data(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = &mut self.deadline => {
                    let detail = "response not complete by the deadline of the request";
                    return Err(Error::new(Kind::DeadlineExceeded, detail));
                }
            };
            match frame {
                None => return Ok(None),
                Some(Err(e)) => {
                    let detail = "reading the endpoint's response failed";
                    return Err(Error::with_source(Kind::OutcomeUnknown, detail, e));
                }
                // Trailers apply only to the endpoint's connection and are dropped.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Counts data of the response and returns the bytes that can be sent to the caller.
    fn process_data(&mut self, data: Bytes) -> Result<Bytes> {
        let len = data.len() as u64;
        self.in_flight.count_chunk(len);
        if let Some(connection) = &self.connection {
            connection.count_body(len);
        }
        self.remaining = self.remaining.map(|left| left.saturating_sub(len));
        let out = match &mut self.events {
            Some(events) => events.push(&data)?,
            None => data,
        };
        if self.remaining == Some(0) {
            self.complete();
        }
        Ok(out)
    }

    /// Gives the response up, because it does not continue the stream that it was requested for.
    pub(crate) fn reject(mut self) {
        let detail = "response of another kind to the request to resume a stream";
        let cause = Error::new(Kind::StreamBroken, detail);
        self.in_flight.fail(DispatchEnd::Failed, &cause);
    }

    /// Records that the whole response was read, and keeps its connection for reuse.
    pub(crate) fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.entry
                .connections()
                .put(connection, self.endpoint_idle_timeout);
        }
        self.in_flight.finish(self.is_endpoint_failure);
    }

    fn end_of_body(&mut self) -> Option<Result<Frame<Bytes>>> {
        self.complete();
        let partial_event = self.events.as_mut().map(EventSplitter::take_partial);
        partial_event
            .filter(|partial_event| !partial_event.is_empty())
            .map(|partial_event| Ok(Frame::data(partial_event)))
    }

    /// Resumes the stream on another endpoint after the last complete event.
    async fn resume(&mut self, cause: Error) -> Result<()> {
        self.connection = None;
        if cause.kind() == Kind::DeadlineExceeded {
            self.in_flight.fail(DispatchEnd::Neutral, &cause);
            return Err(cause);
        }
        self.in_flight.fail(DispatchEnd::Disconnected, &cause);
        let (Some(request), Some(events)) = (self.request.take(), &mut self.events) else {
            return Err(cause);
        };
        events.drop_partial();
        let next = request.resume(events.last_id()).await;
        let Some(next) = next else {
            return Err(cause);
        };
        let events = self.events.take();
        *self = next;
        self.events = events;
        Ok(())
    }
}
