//! Local state: a cache of the stored records, the key-value client, and what agents last reported.

pub mod agent;
pub mod agent_reachability;
pub mod cached_job;
pub mod image_caches;
pub mod placed_tasks;
pub mod placement_batches;
pub mod record_cache;
pub mod record_key;
pub mod store_client;
pub mod token_bucket;
