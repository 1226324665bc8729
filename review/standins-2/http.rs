//! Heads and bodies of HTTP/1.1 messages.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// A request, or the head of a response.
pub struct Message {
    /// The first line.
    pub start: String,
    headers: Vec<(String, String)>,
    /// The body, if its length was given.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the `index`th word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the length of the body.
    pub fn content_length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if from.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(Message {
        start: start.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads a message whose body has a length.
pub fn read_message(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else {
        return Ok(None);
    };
    let mut body = vec![0; message.content_length()];
    from.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}
