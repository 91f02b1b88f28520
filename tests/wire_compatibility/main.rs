//! Checks that the encoding of stored records and messages does not change.
//!
//! Each fixture file in `tests/data` has one case per line: a name and the encoded bytes in hexadecimal. A test builds
//! the value of each case, compares its encoding with the fixture, decodes the bytes of the fixture, and compares the
//! result with the value. `UPDATE_FIXTURES=1 cargo test --test wire_compatibility` rewrites the files and always
//! fails, so that such a run cannot be mistaken for a successful comparison.

mod agent_api;
mod client_api;
mod cloud_api;
mod fixtures;
mod key_value_api;
mod peer_heartbeats;
mod records;
mod samples;
