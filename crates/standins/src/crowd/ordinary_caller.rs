//! A caller that behaves, beside a crowd.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time after which the caller gives up on an answer.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause before the caller returns when it was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest beginning of an answer that is read.
const ANSWER_BYTES: usize = 4_096;

/// A caller that sends one request on each connection, and returns until it is served.
#[derive(Debug, Clone)]
pub struct OrdinaryCaller {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Request line and headers, each with its line break, but for the length of the body.
    pub head: String,
}

impl OrdinaryCaller {
    /// Sends requests with bodies of this size until one is served; returns whether one was.
    pub async fn is_served(&self, body_bytes: usize) -> bool {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            let answer = tokio::time::timeout_at(until, self.send_request(body_bytes)).await;
            if answer.is_ok_and(|answer| answer.contains(" 200 ")) {
                return true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Sends one request; returns the beginning of its answer, which is empty if there is none.
    async fn send_request(&self, body_bytes: usize) -> String {
        let Ok(mut stream) = TcpStream::connect(self.entry).await else {
            return String::new();
        };
        let head = &self.head;
        let head = format!("{head}Content-Length: {body_bytes}\r\nConnection: close\r\n\r\n");
        let mut text = head.into_bytes();
        text.resize(text.len() + body_bytes, b'x');
        // An entry that refuses the request may close the connection before it has read the body.
        let _sent = stream.write_all(&text).await;
        let mut buf = vec![0; ANSWER_BYTES];
        let n = stream.read(&mut buf).await.unwrap_or(0);
        String::from_utf8_lossy(&buf[..n]).into_owned()
    }
}
