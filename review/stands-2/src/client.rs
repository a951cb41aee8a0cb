//! A client's request and what came back.

use crate::util::now_ms;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub id: String,
    pub sent_ms: u64,
    /// 0 without a head.
    pub status: u16,
    pub body: String,
    /// True if the answer is complete.
    pub whole: bool,
}

impl Reply {
    /// Number, version and server of each event of a stream.
    pub fn events(&self) -> Vec<(u32, String, String)> {
        let mut events = Vec::new();
        for event in self.body.split("\n\n").filter(|event| !event.is_empty()) {
            let number = event.lines().find_map(|line| line.strip_prefix("id: ")).and_then(|n| n.parse().ok());
            let data = event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or_default();
            let words: Vec<&str> = data.split(' ').collect();
            if let (Some(number), [_, version, server]) = (number, &words[..]) {
                events.push((number, (*version).to_owned(), (*server).to_owned()));
            }
        }
        events
    }
}

/// Sends a request on a new channel and reads the answer to its end.
pub fn send(address: SocketAddr, method: &str, path: &str, id: &str, headers: &str, body: &str) -> Reply {
    let mut reply = Reply { id: id.to_owned(), sent_ms: now_ms(), ..Reply::default() };
    let Ok(mut stream) = TcpStream::connect(address) else { return reply };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Key: key-1\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return reply;
    }
    let mut bytes = Vec::new();
    let mut buffer = [0; 16_384];
    loop {
        let count = stream.read(&mut buffer).unwrap_or(0);
        bytes.extend_from_slice(&buffer[..count]);
        parse(&String::from_utf8_lossy(&bytes), &mut reply);
        if count == 0 || reply.whole {
            return reply;
        }
    }
}

fn parse(text: &str, reply: &mut Reply) {
    let Some((head, rest)) = text.split_once("\r\n\r\n") else { return };
    reply.status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let length = crate::util::header(head, "content-length").and_then(|length| length.parse::<usize>().ok());
    (reply.body, reply.whole) = match length {
        Some(length) => (rest.to_owned(), rest.len() >= length),
        None => chunks(rest),
    };
}

fn chunks(mut rest: &str) -> (String, bool) {
    let mut data = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            return (data, true);
        }
        let Some(chunk) = after.get(..size) else { break };
        data.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or("");
    }
    (data, false)
}
