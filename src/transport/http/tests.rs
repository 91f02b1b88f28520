//! Tests of HTTP parsing and writing.

use super::*;

#[test]
fn requests_arrive_in_pieces_and_one_after_the_other() {
    let mut all = Vec::new();
    put_request(&mut all, "POST", "/a", "h", b"xyz");
    put_request(&mut all, "GET", "/b?c=1", "h", b"");
    let mut buf = Vec::new();
    let mut got = Vec::new();
    for byte in all {
        buf.push(byte);
        if let Parsed::Whole(m) = take_request(&mut buf) {
            got.push((m.method, m.path, m.body));
        }
    }
    let want = vec![
        ("POST".to_string(), "/a".to_string(), b"xyz".to_vec()),
        ("GET".to_string(), "/b?c=1".to_string(), vec![]),
    ];
    assert_eq!(got, want);
}

#[test]
fn too_long_a_body_is_refused_before_it_is_read() {
    let mut buf = b"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_vec();
    assert_eq!(take_request(&mut buf), Parsed::Bad(413));
}

#[test]
fn responses_come_chunked_counted_or_until_the_end() {
    let mut b =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".to_vec();
    let Parsed::Whole(m) = take_response(&mut b, false) else {
        panic!("not whole")
    };
    assert_eq!((m.status, m.body.as_slice()), (200, b"abc".as_slice()));
    assert!(b.is_empty());
    let mut b = b"HTTP/1.1 503 No\r\n\r\nsorry".to_vec();
    assert_eq!(take_response(&mut b, false), Parsed::Partial);
    let Parsed::Whole(m) = take_response(&mut b, true) else {
        panic!("not whole")
    };
    assert_eq!((m.body.as_slice(), m.keep), (b"sorry".as_slice(), false));
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
