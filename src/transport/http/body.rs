//! Parsing of HTTP message bodies of known length and in chunked encoding.

/// Length of the line break after each chunk.
const LINE_BREAK_BYTES: usize = 2;

/// Result of parsing a body.
pub(super) enum Body {
    /// The body is not complete yet.
    Partial,
    /// The framing is malformed.
    Invalid,
    /// The body is longer than allowed.
    TooLong,
    /// The complete body.
    Complete {
        /// The body without its framing.
        bytes: Vec<u8>,
        /// Length in the buffer, including the framing.
        length: usize,
    },
}

impl Body {
    /// Parses a body of known length.
    pub(super) fn sized(received: &[u8], length: usize) -> Body {
        match received.get(..length) {
            Some(bytes) => Body::Complete {
                bytes: bytes.to_vec(),
                length,
            },
            None => Body::Partial,
        }
    }

    /// Parses a body in chunked encoding, of at most `max_bytes` in total.
    pub(super) fn chunked(received: &[u8], max_bytes: usize) -> Body {
        let mut bytes = Vec::new();
        let mut position = 0;
        loop {
            let (head_length, size) = match httparse::parse_chunk_size(&received[position..]) {
                Ok(httparse::Status::Complete((head_length, size))) => (head_length, size as usize),
                Ok(httparse::Status::Partial) => return Body::Partial,
                Err(_) => return Body::Invalid,
            };
            position += head_length;
            if bytes.len().saturating_add(size) > max_bytes {
                return Body::TooLong;
            }
            let end = position
                .saturating_add(size)
                .saturating_add(LINE_BREAK_BYTES);
            if received.len() < end {
                return Body::Partial;
            }
            if size == 0 {
                // The last chunk is empty. Trailers are not parsed, since these interfaces use none.
                return Body::Complete { bytes, length: end };
            }
            bytes.extend_from_slice(&received[position..position + size]);
            position = end;
        }
    }
}
