//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::io::{self, BufRead, Write};

/// A request or a response with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request: path and query.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start_line) = read_line(from)? else {
        return Ok(None);
    };
    let mut message = Message {
        start_line,
        ..Message::default()
    };
    loop {
        let line = read_line(from)?.ok_or_else(ended)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let field = (name.to_owned(), value.trim().to_owned());
            message.headers.push(field);
        }
    }
}

/// Reads the body that the head announces by a length or in chunks.
pub fn read_body(from: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(from)?.ok_or_else(ended)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| ended())?;
            let at = message.body.len();
            message.body.resize(at + size, 0);
            from.read_exact(&mut message.body[at..])?;
            read_line(from)?.ok_or_else(ended)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    from.read_exact(&mut message.body)
}

/// Reads a whole message; `None` if the connection ended before it.
pub fn read_message(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else {
        return Ok(None);
    };
    read_body(from, &mut message)?;
    Ok(Some(message))
}

/// Writes a message with a length.
pub fn write_message(
    to: &mut impl Write,
    start_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{start_line}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)?;
    to.flush()
}
