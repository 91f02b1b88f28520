//! Encoding of messages and stored values: MessagePack, with structs as maps keyed by field name.

use serde::{Serialize, de::DeserializeOwned};

/// Initial buffer size for one value, large enough for most records.
const VALUE_CAPACITY_BYTES: usize = 256;

/// Encodes a value as MessagePack with named fields.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that MessagePack cannot represent, and none are used here.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes a MessagePack value; returns `None` if the bytes are malformed or do not fit the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

/// Converts a generic value into a typed one; returns `None` if it does not fit the type.
///
/// The conversion goes through bytes, because `rmpv` does not convert strings to enum variants.
pub fn from_value<T: DeserializeOwned>(value: &rmpv::Value) -> Option<T> {
    let mut bytes = Vec::with_capacity(VALUE_CAPACITY_BYTES);
    rmpv::encode::write_value(&mut bytes, value).ok()?;
    decode(&bytes)
}

/// Converts a typed value into a generic one with named fields.
pub fn to_value<T: Serialize>(value: &T) -> rmpv::Value {
    rmpv::decode::read_value(&mut encode(value).as_slice()).unwrap_or(rmpv::Value::Nil)
}

/// Returns the size of a value in bytes as counted by the key-value store: the length of its JSON encoding.
pub fn json_len<T: Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        // Serialization fails only for types that JSON cannot represent, and none are used here.
        Err(_) => usize::MAX,
    }
}

/// A writer that counts bytes and discards them.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
