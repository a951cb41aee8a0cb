//! A client.

use crate::http::{read_body, read_head, Ended, Head};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub ended: Ended,
}

impl Answer {
    fn none() -> Self {
        Self { status: 0, head: Head::default(), body: Vec::new(), ended: Ended::Cut }
    }

    pub fn is_whole(&self) -> bool {
        self.status != 0 && self.ended != Ended::Cut
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A request as its text up to the blank line, without the line breaks at its end.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, more: &[(&str, &str)], body: &str) -> String {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Deadline-Ms: {deadline_ms}\r\nCleatshelf-Key: key-1\r\nConnection: close\r\n"
    );
    for (name, value) in more {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text
}

/// Sends a request on a new channel, and hands over each piece of the answer's body as it arrives.
pub fn call(address: SocketAddr, request: &str, limit: Duration, mut piece: impl FnMut(&[u8])) -> Answer {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return Answer::none() };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_nodelay(true);
    if (&stream).write_all(request.as_bytes()).is_err() {
        return Answer::none();
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut reader) else { return Answer::none() };
    let mut body = Vec::new();
    let ended = read_body(&mut reader, &head, false, |bytes| {
        body.extend_from_slice(bytes);
        piece(bytes);
    });
    Answer { status: head.status(), head, body, ended }
}

/// The status of `GET /api/ready`; 0 without an answer.
pub fn readiness(address: SocketAddr) -> u16 {
    call(address, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", Duration::from_secs(1), |_| {})
        .status
}

/// A page of the operators' address, such as `/metrics`.
pub fn page(address: SocketAddr, path: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    call(address, &text, Duration::from_secs(1), |_| {}).text()
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;

/// Makes a channel end with a reset when its last copy is closed.
pub fn reset_on_close(stream: &TcpStream) {
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // SAFETY: a plain call of the C library on an open descriptor, with a buffer of the stated length.
    let _ = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// Opens a channel with a receive buffer of about this size, as clients with little memory have.
pub fn connect_small(address: SocketAddr, buffer: i32) -> std::io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(v4) = address else { return Err(std::io::ErrorKind::InvalidInput.into()) };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: plain calls of the C library on a descriptor that this function owns, with buffers of the stated lengths.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let owned = OwnedFd::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, 4) != 0 || connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(TcpStream::from(owned))
    }
}
