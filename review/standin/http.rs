//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client with one connection.

use crate::msgpack::V;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: V,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name)?;
        Some(&found.1)
    }
}

pub enum Answer {
    Reply(u16, V),
    /// No answer ever: the connection stays open and silent until the other side gives up.
    Silence,
}

pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer, None) {
        let mut words = head.split_whitespace();
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("").to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_string(), value.to_string()))
            .collect();
        let request = Request {
            method,
            path: path.to_string(),
            query,
            body: V::decode(&body).unwrap_or(V::Nil),
        };
        match handler(request) {
            Answer::Reply(status, value) => {
                let body = value.encode();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let message = [head.as_bytes(), &body].concat();
                if stream.write_all(&message).is_err() {
                    return;
                }
            }
            Answer::Silence => {
                // Reads until the other side closes the connection.
                let mut rest = [0; 1024];
                while matches!(stream.read(&mut rest), Ok(count) if count > 0) {}
                return;
            }
        }
    }
}

/// Reads one message; returns its first lines and its body. None: the connection has ended, or `deadline` has passed.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    deadline: Option<Instant>,
) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, value)| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        let wait = match deadline {
            Some(deadline) => Some(deadline.checked_duration_since(Instant::now())?),
            None => None,
        };
        stream
            .set_read_timeout(wait.map(|wait| wait.max(Duration::from_millis(1))))
            .ok()?;
        let mut chunk = [0; 16384];
        let count = stream.read(&mut chunk).ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

/// A client that keeps one connection open between calls.
#[derive(Default)]
pub struct Client {
    connection: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Makes a call. None: no response within the timeout, or the connection failed.
    pub fn call(
        &mut self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&V>,
        timeout: Duration,
    ) -> Option<(u16, V)> {
        let deadline = Instant::now() + timeout;
        let kept = self.connection.take().filter(|(to, _)| *to == address);
        let mut stream = match kept {
            Some((_, stream)) => stream,
            None => TcpStream::connect_timeout(&address, timeout).ok()?,
        };
        let _ = stream.set_nodelay(true);
        let body = body.map(V::encode).unwrap_or_default();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), &body].concat()).ok()?;
        let (head, body) = read_message(&mut stream, &mut Vec::new(), Some(deadline))?;
        let status = head.split_whitespace().nth(1)?.parse().ok()?;
        self.connection = Some((address, stream));
        Some((status, V::decode(&body).unwrap_or(V::Nil)))
    }
}
