//! Reading of HTTP/1.1 messages.

use std::io::{self, BufRead};

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. `Ok(None)` at the end of the connection before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = Vec::new();
        let read = reader.read_until(b'\n', &mut line)?;
        if read == 0 {
            return if lines.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let first = lines.remove(0);
    let headers = lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    Ok(Some(Head { first, headers }))
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// At its stated length, or with its last chunk.
    Framed,
    /// With its connection, having neither a length nor chunks.
    WithConnection,
    /// Before its end.
    Cut,
}

/// Reads a body and hands over each piece as it arrives.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_request: bool, mut piece: impl FnMut(&[u8])) -> Ended {
    if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(n) if n > 0 && line.ends_with('\n')) {
                return Ended::Cut;
            }
            let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or("").trim(), 16) else {
                return Ended::Cut;
            };
            let mut bytes = vec![0; size + 2];
            if reader.read_exact(&mut bytes).is_err() {
                return Ended::Cut;
            }
            if size == 0 {
                return Ended::Framed;
            }
            piece(&bytes[..size]);
        }
    }
    if let Some(length) = head.get("content-length").and_then(|value| value.parse::<usize>().ok()) {
        let mut bytes = vec![0; length];
        if reader.read_exact(&mut bytes).is_err() {
            return Ended::Cut;
        }
        piece(&bytes);
        return Ended::Framed;
    }
    if is_request {
        return Ended::Framed;
    }
    let mut bytes = [0; 4096];
    loop {
        match reader.read(&mut bytes) {
            Ok(0) => return Ended::WithConnection,
            Ok(n) => piece(&bytes[..n]),
            Err(_) => return Ended::Cut,
        }
    }
}
