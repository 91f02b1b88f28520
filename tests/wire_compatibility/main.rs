//! Stored records and messages keep their bytes.
//!
//! Each file below `tests/data` holds cases, one a line: a name and the bytes in hexadecimal. A test builds the
//! value of each case in code, compares its encoding with the file, decodes the bytes of the file, and compares the
//! result with the value. `UPDATE_FIXTURES=1 cargo test --test wire_compatibility` rewrites the files and fails, so
//! that such a run never passes for a comparison.

mod agent_api;
mod client_api;
mod cloud_api;
mod fixtures;
mod key_value_api;
mod peer_heartbeats;
mod records;
mod samples;
