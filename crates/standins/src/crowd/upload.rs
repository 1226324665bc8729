//! One request of a client that misbehaves.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bytes of one write, rounded to whole units.
const WRITE_BYTES: usize = 64 * 1024;

/// How the body of a request is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its declared length in bytes.
    Length(usize),
    /// In chunks of this many bytes, without a last one.
    Chunks(usize),
    /// Not at all: what is sent belongs to the head, which does not end.
    Head,
    /// No byte is sent, not even a head.
    Silence,
}

/// A request of which only the beginning is sent.
#[derive(Debug, Clone)]
pub struct Upload {
    /// Request line and headers, each with its line break.
    pub head: String,
    /// How the body is delimited.
    pub framing: Framing,
    /// Bytes of the body that are sent.
    pub sent_bytes: usize,
    /// Bytes of the body between two pauses, rounded up to whole chunks.
    pub piece_bytes: usize,
    /// Pause after each piece.
    pub pause: Duration,
}

impl Upload {
    /// Returns the head with the headers that delimit the body.
    fn head(&self) -> String {
        let head = &self.head;
        match self.framing {
            Framing::Length(bytes) => format!("{head}Content-Length: {bytes}\r\n\r\n"),
            Framing::Chunks(_) => format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            Framing::Head | Framing::Silence => format!("{head}Note: "),
        }
    }

    /// Sends the beginning of the request.
    pub(super) async fn send(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        if self.framing == Framing::Silence {
            return Ok(());
        }
        stream.write_all(self.head().as_bytes()).await?;
        let unit = self.unit();
        let mut units_left = self.sent_bytes / unit.bytes;
        let units_per_piece = self.piece_bytes.div_ceil(unit.bytes).max(1);
        while units_left > 0 {
            let units = units_per_piece.min(units_left);
            unit.write(stream, units).await?;
            units_left -= units;
            tokio::time::sleep(self.pause).await;
        }
        Ok(())
    }

    fn unit(&self) -> Unit {
        match self.framing {
            Framing::Length(_) | Framing::Head | Framing::Silence => Unit::new(b"x", 1),
            Framing::Chunks(bytes) => Unit::new(&chunk(bytes), bytes),
        }
    }
}

/// Part of a body that is sent again and again.
struct Unit {
    /// Bytes of the body in the unit.
    bytes: usize,
    encoded_bytes: usize,
    /// The encoded unit, as often as fits into one write.
    repeated: Vec<u8>,
}

impl Unit {
    fn new(encoded: &[u8], bytes: usize) -> Self {
        let count = (WRITE_BYTES / encoded.len()).max(1);
        Self {
            bytes,
            encoded_bytes: encoded.len(),
            repeated: encoded.repeat(count),
        }
    }

    async fn write(&self, stream: &mut TcpStream, units: usize) -> io::Result<()> {
        let mut bytes_left = units * self.encoded_bytes;
        while bytes_left > 0 {
            let n = bytes_left.min(self.repeated.len());
            stream.write_all(&self.repeated[..n]).await?;
            bytes_left -= n;
        }
        Ok(())
    }
}

/// Returns a chunk of this many bytes.
fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}
