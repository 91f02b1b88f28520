//! MessagePack and HTTP/1.1, as far as the pages use them. Standard library only.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    Int(i64),
    F(f64),
    S(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

impl V {
    pub fn get(&self, key: &str) -> &V {
        if let V::M(fields) = self {
            for (k, v) in fields {
                if k == key {
                    return v;
                }
            }
        }
        &V::Nil
    }
    pub fn has(&self, key: &str) -> bool {
        *self.get(key) != V::Nil
    }
    pub fn str(&self) -> &str {
        if let V::S(s) = self { s } else { "" }
    }
    pub fn int(&self) -> i64 {
        match self {
            V::Int(n) => *n,
            V::F(f) => *f as i64,
            _ => 0,
        }
    }
    pub fn num(&self) -> f64 {
        match self {
            V::Int(n) => *n as f64,
            V::F(f) => *f,
            _ => 0.0,
        }
    }
    pub fn truth(&self) -> bool {
        *self == V::Bool(true)
    }
    pub fn list(&self) -> &[V] {
        if let V::A(items) = self { items } else { &[] }
    }
}

pub fn s(text: impl Into<String>) -> V {
    V::S(text.into())
}

pub fn map(fields: Vec<(&str, V)>) -> V {
    V::M(fields.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

/// Length of a value as JSON, the form in which the pages count sizes.
pub fn json_len(v: &V) -> usize {
    match v {
        V::Nil => 4,
        V::Bool(b) => if *b { 4 } else { 5 },
        V::Int(n) => n.to_string().len(),
        V::F(f) => format!("{f:?}").len(),
        V::S(t) => t.len() + 2,
        V::A(items) => 2 + items.iter().map(json_len).sum::<usize>() + items.len().saturating_sub(1),
        V::M(fields) => {
            2 + fields.iter().map(|(k, v)| k.len() + 3 + json_len(v)).sum::<usize>()
                + fields.len().saturating_sub(1)
        }
    }
}

pub fn encode(v: &V) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, v);
    out
}

fn put_len(out: &mut Vec<u8>, n: usize, fix: u8, fix_max: usize, b16: u8, b32: u8) {
    if n <= fix_max {
        out.push(fix | n as u8);
    } else if n < 65536 {
        out.push(b16);
        out.extend((n as u16).to_be_bytes());
    } else {
        out.push(b32);
        out.extend((n as u32).to_be_bytes());
    }
}

fn put(out: &mut Vec<u8>, v: &V) {
    match v {
        V::Nil => out.push(0xc0),
        V::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
        V::Int(n) if *n >= 0 && *n < 128 => out.push(*n as u8),
        V::Int(n) if *n >= 0 => {
            out.push(0xcf);
            out.extend((*n as u64).to_be_bytes());
        }
        V::Int(n) => {
            out.push(0xd3);
            out.extend(n.to_be_bytes());
        }
        V::F(f) => {
            out.push(0xcb);
            out.extend(f.to_be_bytes());
        }
        V::S(t) => {
            let n = t.len();
            if n < 32 {
                out.push(0xa0 | n as u8);
            } else if n < 256 {
                out.push(0xd9);
                out.push(n as u8);
            } else if n < 65536 {
                out.push(0xda);
                out.extend((n as u16).to_be_bytes());
            } else {
                out.push(0xdb);
                out.extend((n as u32).to_be_bytes());
            }
            out.extend(t.as_bytes());
        }
        V::A(items) => {
            put_len(out, items.len(), 0x90, 15, 0xdc, 0xdd);
            items.iter().for_each(|item| put(out, item));
        }
        V::M(fields) => {
            put_len(out, fields.len(), 0x80, 15, 0xde, 0xdf);
            for (k, v) in fields {
                put(out, &V::S(k.clone()));
                put(out, v);
            }
        }
    }
}

pub fn decode(bytes: &[u8]) -> Option<V> {
    let mut at = 0;
    take(bytes, &mut at)
}

fn uint(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    let part = b.get(*at..*at + n)?;
    *at += n;
    Some(part.iter().fold(0u64, |sum, byte| sum << 8 | *byte as u64))
}

fn text(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let part = b.get(*at..*at + n)?;
    *at += n;
    Some(V::S(String::from_utf8_lossy(part).into_owned()))
}

fn array(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let mut items = Vec::new();
    for _ in 0..n {
        items.push(take(b, at)?);
    }
    Some(V::A(items))
}

fn fields(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let mut found = Vec::new();
    for _ in 0..n {
        let key = match take(b, at)? {
            V::S(key) => key,
            V::Int(n) => n.to_string(),
            _ => return None,
        };
        found.push((key, take(b, at)?));
    }
    Some(V::M(found))
}

fn take(b: &[u8], at: &mut usize) -> Option<V> {
    let head = *b.get(*at)?;
    *at += 1;
    Some(match head {
        0x00..=0x7f => V::Int(head as i64),
        0x80..=0x8f => fields(b, at, (head & 15) as usize)?,
        0x90..=0x9f => array(b, at, (head & 15) as usize)?,
        0xa0..=0xbf => text(b, at, (head & 31) as usize)?,
        0xc0 => V::Nil,
        0xc2 => V::Bool(false),
        0xc3 => V::Bool(true),
        0xca => V::F(f32::from_bits(uint(b, at, 4)? as u32) as f64),
        0xcb => V::F(f64::from_bits(uint(b, at, 8)?)),
        0xcc => V::Int(uint(b, at, 1)? as i64),
        0xcd => V::Int(uint(b, at, 2)? as i64),
        0xce => V::Int(uint(b, at, 4)? as i64),
        0xcf => V::Int(uint(b, at, 8)? as i64),
        0xd0 => V::Int(uint(b, at, 1)? as u8 as i8 as i64),
        0xd1 => V::Int(uint(b, at, 2)? as u16 as i16 as i64),
        0xd2 => V::Int(uint(b, at, 4)? as u32 as i32 as i64),
        0xd3 => V::Int(uint(b, at, 8)? as i64),
        0xd9 => { let n = uint(b, at, 1)? as usize; text(b, at, n)? }
        0xda => { let n = uint(b, at, 2)? as usize; text(b, at, n)? }
        0xdb => { let n = uint(b, at, 4)? as usize; text(b, at, n)? }
        0xdc => { let n = uint(b, at, 2)? as usize; array(b, at, n)? }
        0xdd => { let n = uint(b, at, 4)? as usize; array(b, at, n)? }
        0xde => { let n = uint(b, at, 2)? as usize; fields(b, at, n)? }
        0xdf => { let n = uint(b, at, 4)? as usize; fields(b, at, n)? }
        _ => return None,
    })
}

/// A message: first line and body.
pub struct Message {
    pub first: String,
    pub body: Vec<u8>,
    pub close: bool,
}

/// Reads one message; `None` if the connection ended or the time is over.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>, until: Option<Instant>) -> Option<Message> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or("").to_string();
            let (mut length, mut close) = (0, false);
            for line in lines {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().unwrap_or(0),
                    "connection" => close = value.trim().eq_ignore_ascii_case("close"),
                    _ => {}
                }
            }
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some(Message { first, body, close });
            }
        }
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now())?;
            stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(n) => buffer.extend(&chunk[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

pub fn write_response(stream: &mut TcpStream, status: u16, body: &[u8]) -> bool {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend(body);
    stream.write_all(&out).is_ok()
}

/// The answer to one request on a connection of its own: status and body; `None` if there was none in time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &[u8], timeout_ms: u64) -> Option<(u16, V)> {
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(timeout_ms)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend(body);
    stream.write_all(&out).ok()?;
    let message = read_message(&mut stream, &mut Vec::new(), Some(until))?;
    let status = message.first.split(' ').nth(1)?.parse().ok()?;
    Some((status, decode(&message.body).unwrap_or(V::Nil)))
}
