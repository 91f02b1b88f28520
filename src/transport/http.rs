//! Parsing and writing of HTTP/1.1 messages in byte buffers. `httparse` parses the heads.

mod body;

use body::Body;
use std::io::Write;

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Size of an incomplete request head above which the request is rejected.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 48;

const STATUS_NO_CONTENT: u16 = 204;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_CONTENT_TOO_LARGE: u16 = 413;
const STATUS_HEADERS_TOO_LARGE: u16 = 431;
/// Status of a request, and of [`Parsed::Invalid`] for a response: none.
const NO_STATUS: u16 = 0;

/// A complete message.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// Method; empty in a response.
    pub method: String,
    /// Path and query; empty in a response.
    pub path: String,
    /// Status code; 0 in a request.
    pub status: u16,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the sender keeps the connection open after this exchange.
    pub keep_alive: bool,
}

/// Result of parsing the start of a buffer.
#[derive(Debug, PartialEq)]
pub enum Parsed {
    /// The message is not complete yet; the buffer is unchanged.
    Partial,
    /// A complete message, which has been removed from the buffer.
    Complete(Message),
    /// The message is invalid: answer a request with this status (0 for a response) and close the connection.
    Invalid(u16),
}

/// Headers that determine the body length and the reuse of the connection.
struct Framing {
    content_length: Option<usize>,
    is_chunked: bool,
    keep_alive: bool,
}

impl Framing {
    /// Reads the headers; returns `None` if the content length is malformed.
    fn parse(headers: &[httparse::Header<'_>]) -> Option<Framing> {
        let mut framing = Framing {
            content_length: None,
            is_chunked: false,
            keep_alive: true,
        };
        for header in headers {
            if header.name.eq_ignore_ascii_case("content-length") {
                let length = std::str::from_utf8(header.value).ok()?;
                framing.content_length = Some(length.trim().parse().ok()?);
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.is_chunked = true;
            } else if header.name.eq_ignore_ascii_case("connection") {
                framing.keep_alive = !header.value.eq_ignore_ascii_case(b"close");
            }
        }
        Some(framing)
    }
}

/// Parses a request at the start of `buffer` and removes it.
pub fn take_request(buffer: &mut Vec<u8>) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Parsed::Invalid(STATUS_HEADERS_TOO_LARGE);
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Invalid(STATUS_BAD_REQUEST),
    };
    let Some(framing) = Framing::parse(request.headers) else {
        return Parsed::Invalid(STATUS_BAD_REQUEST);
    };
    let content_length = framing.content_length.unwrap_or(0);
    if content_length > MAX_BODY_BYTES {
        return Parsed::Invalid(STATUS_CONTENT_TOO_LARGE);
    }
    let received = &buffer[head_length..];
    let body = if framing.is_chunked {
        Body::chunked(received, MAX_BODY_BYTES)
    } else {
        Body::sized(received, content_length)
    };
    let (body, body_length) = match body {
        Body::Partial => return Parsed::Partial,
        Body::TooLong => return Parsed::Invalid(STATUS_CONTENT_TOO_LARGE),
        Body::Invalid => return Parsed::Invalid(STATUS_BAD_REQUEST),
        Body::Complete { bytes, length } => (bytes, length),
    };
    let is_http_1_1 = request.version == Some(1);
    let message = Message {
        method: request.method.unwrap_or("").to_string(),
        path: request.path.unwrap_or("").to_string(),
        status: NO_STATUS,
        body,
        keep_alive: framing.keep_alive && is_http_1_1,
    };
    buffer.drain(..head_length + body_length);
    Parsed::Complete(message)
}

/// Parses a response at the start of `buffer` and removes it. `ended` means that the remote side has closed the
/// connection.
pub fn take_response(buffer: &mut Vec<u8>, ended: bool) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head_length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Invalid(NO_STATUS),
    };
    let Some(framing) = Framing::parse(response.headers) else {
        return Parsed::Invalid(NO_STATUS);
    };
    let status = response.code.unwrap_or(NO_STATUS);
    let received = &buffer[head_length..];
    let mut keep_alive = framing.keep_alive;
    let body = if framing.is_chunked {
        Body::chunked(received, usize::MAX)
    } else if let Some(length) = framing.content_length {
        Body::sized(received, length)
    } else if status == STATUS_NO_CONTENT {
        Body::sized(received, 0)
    } else if ended {
        // A body without a length ends when the connection is closed.
        keep_alive = false;
        Body::sized(received, received.len())
    } else {
        Body::Partial
    };
    let (body, body_length) = match body {
        Body::Partial => return Parsed::Partial,
        Body::Invalid | Body::TooLong => return Parsed::Invalid(NO_STATUS),
        Body::Complete { bytes, length } => (bytes, length),
    };
    buffer.drain(..head_length + body_length);
    Parsed::Complete(Message {
        method: String::new(),
        path: String::new(),
        status,
        body,
        keep_alive,
    })
}

/// Returns the reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
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

/// Appends a response to `output`. `retry_after` is in seconds; `close` announces that the connection will be closed.
pub fn write_response(
    output: &mut Vec<u8>,
    status: u16,
    body: &[u8],
    retry_after: Option<u32>,
    close: bool,
) {
    // Writing into memory does not fail.
    let _ = write!(
        output,
        "HTTP/1.1 {status} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
        reason_phrase(status),
        body.len()
    );
    if let Some(seconds) = retry_after {
        let _ = write!(output, "Retry-After: {seconds}\r\n");
    }
    if close {
        output.extend_from_slice(b"Connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(body);
}

/// Appends a request to `output`.
pub fn write_request(output: &mut Vec<u8>, method: &str, path: &str, host: &str, body: &[u8]) {
    // Writing into memory does not fail.
    let _ = write!(output, "{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if !body.is_empty() || method == "POST" {
        let _ = write!(
            output,
            "Content-Type: application/msgpack\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(body);
}

#[cfg(test)]
mod tests;
