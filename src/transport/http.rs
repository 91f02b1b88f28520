//! HTTP/1.1 framing over byte buffers (heads are parsed by `httparse`).

/// Largest request body.
pub const MAX_BODY: usize = 64 * 1024;
const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 48;

/// A whole message cut from a buffer.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// Method, or empty in a response.
    pub method: String,
    /// Path and query, or empty in a response.
    pub path: String,
    /// Status, or 0 in a request.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// The sender keeps the connection open.
    pub keep: bool,
}

/// What a buffer holds so far.
#[derive(Debug, PartialEq)]
pub enum Parsed {
    /// Not yet a whole message.
    Partial,
    /// A message, cut from the buffer.
    Whole(Message),
    /// Answer with this status and close.
    Bad(u16),
}

struct Frame {
    length: Option<usize>,
    chunked: bool,
    keep: bool,
}

fn frame(headers: &[httparse::Header<'_>]) -> Option<Frame> {
    let mut f = Frame {
        length: None,
        chunked: false,
        keep: true,
    };
    for h in headers {
        if h.name.eq_ignore_ascii_case("content-length") {
            f.length = Some(std::str::from_utf8(h.value).ok()?.trim().parse().ok()?);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            f.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            f.keep = !h.value.eq_ignore_ascii_case(b"close");
        }
    }
    Some(f)
}

/// Cuts a request from the front of `buf`.
pub fn take_request(buf: &mut Vec<u8>) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let head = match req.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if buf.len() > MAX_HEAD => return Parsed::Bad(431),
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Bad(400),
    };
    let Some(f) = frame(req.headers) else {
        return Parsed::Bad(400);
    };
    if f.length.unwrap_or(0) > MAX_BODY {
        return Parsed::Bad(413);
    }
    let keep = f.keep && req.version == Some(1);
    let (method, path) = (
        req.method.unwrap_or("").to_string(),
        req.path.unwrap_or("").to_string(),
    );
    if f.chunked {
        return match unchunk(&buf[head..], MAX_BODY) {
            Chunked::Partial => Parsed::Partial,
            Chunked::TooLong => Parsed::Bad(413),
            Chunked::Bad => Parsed::Bad(400),
            Chunked::Whole(body, used) => {
                buf.drain(..head + used);
                Parsed::Whole(Message {
                    method,
                    path,
                    status: 0,
                    body,
                    keep,
                })
            }
        };
    }
    let total = head + f.length.unwrap_or(0);
    if buf.len() < total {
        return Parsed::Partial;
    }
    let body = buf[head..total].to_vec();
    buf.drain(..total);
    Parsed::Whole(Message {
        method,
        path,
        status: 0,
        body,
        keep,
    })
}

/// Cuts a response from the front of `buf`; `eof`: the other side has closed.
pub fn take_response(buf: &mut Vec<u8>, eof: bool) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut resp = httparse::Response::new(&mut headers);
    let head = match resp.parse(buf) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Bad(0),
    };
    let Some(f) = frame(resp.headers) else {
        return Parsed::Bad(0);
    };
    let status = resp.code.unwrap_or(0);
    let (body, used, keep) = if f.chunked {
        match unchunk(&buf[head..], usize::MAX) {
            Chunked::Partial => return Parsed::Partial,
            Chunked::Whole(body, used) => (body, used, f.keep),
            Chunked::Bad | Chunked::TooLong => return Parsed::Bad(0),
        }
    } else if let Some(n) = f.length {
        if buf.len() < head + n {
            return Parsed::Partial;
        }
        (buf[head..head + n].to_vec(), n, f.keep)
    } else if status == 204 {
        (Vec::new(), 0, f.keep)
    } else if eof {
        (buf[head..].to_vec(), buf.len() - head, false)
    } else {
        return Parsed::Partial;
    };
    buf.drain(..head + used);
    Parsed::Whole(Message {
        method: String::new(),
        path: String::new(),
        status,
        body,
        keep,
    })
}

enum Chunked {
    Partial,
    Bad,
    TooLong,
    Whole(Vec<u8>, usize),
}

fn unchunk(b: &[u8], most: usize) -> Chunked {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (skip, n) = match httparse::parse_chunk_size(&b[at..]) {
            Ok(httparse::Status::Complete((skip, n))) => (skip, n as usize),
            Ok(httparse::Status::Partial) => return Chunked::Partial,
            Err(_) => return Chunked::Bad,
        };
        at += skip;
        if n == 0 {
            // No trailers are used on these interfaces.
            return if b.len() < at + 2 {
                Chunked::Partial
            } else {
                Chunked::Whole(body, at + 2)
            };
        }
        if body.len().saturating_add(n) > most {
            return Chunked::TooLong;
        }
        if b.len() < at + n + 2 {
            return Chunked::Partial;
        }
        body.extend_from_slice(&b[at..at + n]);
        at += n + 2;
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    }
}

/// Writes a response.
pub fn put_response(
    out: &mut Vec<u8>,
    status: u16,
    body: &[u8],
    retry_after: Option<u32>,
    close: bool,
) {
    use std::io::Write;
    // Writing into memory does not fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if let Some(s) = retry_after {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Writes a request.
pub fn put_request(out: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    use std::io::Write;
    let _ = write!(out, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(
            out,
            "Content-Type: application/msgpack\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests;
