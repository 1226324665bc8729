//! Stand-in for a client, with one kept connection.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::http::read_head;

/// Time for which a client waits for more of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of one read of a body.
const READ_BYTES: usize = 16 * 1024;

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u32,
    /// Further header lines, each with its line end.
    pub headers: &'a str,
    pub body: &'a str,
}

/// What a client got.
pub struct Outcome {
    /// The status, if a head arrived.
    pub status: Option<u16>,
    /// Bytes of the body that arrived.
    pub body_bytes: usize,
    /// Whether the answer is complete.
    pub is_complete: bool,
}

impl Outcome {
    const NOTHING: Self = Self {
        status: None,
        body_bytes: 0,
        is_complete: false,
    };
}

/// One connection of a client.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request.
    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        let Request {
            method,
            path,
            id,
            key,
            deadline_ms,
            headers,
            body,
        } = request;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nKey: {key}\r\n\
             Deadline-Ms: {deadline_ms}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Reads the answer; with a pause, it rests for so long after each part of the body.
    pub fn receive(&mut self, pause: Option<Duration>) -> Outcome {
        let Ok(Some(head)) = read_head(&mut self.reader) else {
            return Outcome::NOTHING;
        };
        let mut outcome = Outcome {
            status: head.word(1).parse().ok(),
            ..Outcome::NOTHING
        };
        let complete = self.receive_body(&head, pause, &mut outcome.body_bytes);
        outcome.is_complete = complete.is_ok();
        outcome
    }

    fn receive_body(
        &mut self,
        head: &Message,
        pause: Option<Duration>,
        received: &mut usize,
    ) -> io::Result<()> {
        let length = head.content_length();
        let mut buf = vec![0; READ_BYTES];
        while *received < length {
            let limit = READ_BYTES.min(length - *received);
            let n = self.reader.read(&mut buf[..limit])?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            *received += n;
            if let Some(pause) = pause {
                thread::sleep(pause);
            }
        }
        Ok(())
    }
}
