//! Tests of parsing and writing HTTP messages.

use super::*;

#[test]
fn requests_are_parsed_from_single_bytes_one_after_the_other() {
    let mut sent = Vec::new();
    write_request(&mut sent, "POST", "/a", "h", b"xyz");
    write_request(&mut sent, "GET", "/b?c=1", "h", b"");
    let mut buffer = Vec::new();
    let mut received = Vec::new();
    for byte in sent {
        buffer.push(byte);
        if let Parsed::Complete(request) = take_request(&mut buffer) {
            received.push((request.method, request.path, request.body));
        }
    }
    let expected = vec![
        ("POST".to_string(), "/a".to_string(), b"xyz".to_vec()),
        ("GET".to_string(), "/b?c=1".to_string(), vec![]),
    ];
    assert_eq!(received, expected);
}

#[test]
fn a_body_that_is_too_long_is_rejected_by_its_announced_length() {
    let mut buffer = b"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_vec();
    assert_eq!(take_request(&mut buffer), Parsed::Invalid(413));
}

#[test]
fn a_response_body_is_chunked_or_ends_with_the_connection() {
    let mut buffer =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".to_vec();
    let Parsed::Complete(response) = take_response(&mut buffer, false) else {
        panic!("the response should be complete")
    };
    assert_eq!(
        (response.status, response.body.as_slice()),
        (200, b"abc".as_slice())
    );
    assert!(buffer.is_empty());
    let mut buffer = b"HTTP/1.1 503 No\r\n\r\nsorry".to_vec();
    assert_eq!(take_response(&mut buffer, false), Parsed::Partial);
    let Parsed::Complete(response) = take_response(&mut buffer, true) else {
        panic!("the response should be complete")
    };
    assert_eq!(
        (response.body.as_slice(), response.keep_alive),
        (b"sorry".as_slice(), false)
    );
}

#[test]
fn a_length_that_overflows_is_never_complete() {
    let heads = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nabc", u64::MAX),
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\nabc",
            u64::MAX
        ),
    ];
    for head in heads {
        let mut buffer = head.into_bytes();
        assert_eq!(take_response(&mut buffer, false), Parsed::Partial);
        assert_eq!(take_response(&mut buffer, true), Parsed::Partial);
    }
}
