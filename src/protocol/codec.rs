//! Encoding of messages and stored values: MessagePack with named maps.

use serde::{Serialize, de::DeserializeOwned};

/// Encodes with named maps.
pub fn encode<T: Serialize>(v: &T) -> Vec<u8> {
    // Encoding into memory fails only for types without a MessagePack form; ours all have one.
    rmp_serde::to_vec_named(v).unwrap_or_default()
}

/// Decodes; anything malformed is none.
pub fn decode<T: DeserializeOwned>(b: &[u8]) -> Option<T> {
    rmp_serde::from_slice(b).ok()
}

/// A generic value as one of our types. Through bytes: `rmpv`'s own conversion takes no enum
/// from a string.
pub fn from_value<T: DeserializeOwned>(v: &rmpv::Value) -> Option<T> {
    let mut bytes = Vec::with_capacity(256);
    rmpv::encode::write_value(&mut bytes, v).ok()?;
    decode(&bytes)
}

/// One of our types as a generic value, with named maps.
pub fn to_value<T: Serialize>(v: &T) -> rmpv::Value {
    rmpv::decode::read_value(&mut encode(v).as_slice()).unwrap_or(rmpv::Value::Nil)
}

/// How long a value is as the state service counts it, which is as JSON.
pub fn json_len<T: Serialize>(v: &T) -> usize {
    struct Count(usize);
    impl std::io::Write for Count {
        fn write(&mut self, b: &[u8]) -> std::io::Result<usize> {
            self.0 += b.len();
            Ok(b.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut n = Count(0);
    match serde_json::to_writer(&mut n, v) {
        Ok(()) => n.0,
        // Only types without a JSON form fail; ours all have one.
        Err(_) => usize::MAX,
    }
}
