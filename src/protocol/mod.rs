//! Messages on the wire, stored records and the settings file, each with its validation.
//!
//! The field names on the wire are defined by the external APIs. They appear only in this module, as serde renames
//! and in the parser of submissions in [`job`]; all other code uses the terms in the second column.
//!
//! | on the wire | in the code | module |
//! | --- | --- | --- |
//! | `docket` | `class` of a job | [`job`] |
//! | `crew` | `team` | [`job`] |
//! | `shape`: `sweep`, `gang`, `standing` | [`JobKind`]: `Array`, `Gang`, `Service` | [`job`] |
//! | `rank`: `best_effort`, `standard`, `urgent`, `prod` | [`Priority`]: `Low`, `Normal`, `High`, `Production` | [`job`] |
//! | `sheets`, `sheet` | `tasks`, `task` | [`job`], [`agent_api`] |
//! | `cards` | `gpus` | [`job`], [`cloud_api`] |
//! | `plate`, `size_gb` | `image`, `image_gb` | [`job`] |
//! | `presses`, `press` | machine types, `machine_type` | [`job`], [`agent_api`], [`cloud_api`] |
//! | `yard`, `yards` | `zone`, `zones` | [`job`], [`agent_api`], [`cloud_api`] |
//! | `together`, `scatter` | `one_zone`, `spread` | [`job`] |
//! | `loaners` | `spot` | [`job`], [`agent_api`], [`cloud_api`] |
//! | `expected_s`, `proof_s`, `stash_s`, `due_s` | `estimate_s`, `checkpoint_s`, `save_s`, `deadline_s` | [`job`] |
//! | `awaits` | `dependencies`: jobs that must be done first | [`job`] |
//! | `kernel`, `kernels` | `machine`, `machines` | [`agent_api`], [`cloud_api`] |
//! | `endpoint` | `address` | [`agent_api`], [`cloud_api`] |
//! | `shift`, `tally` | `agent_epoch`, `seq` | [`agent_api`] |
//! | `baton` | `term`, which agents treat as a fencing token | [`agent_api`] |
//! | `warning_s` | `notice_s` | [`agent_api`] |
//! | `try`, `status`, `cause`, `stored` | `attempt`, `phase`, `exit_reason`, `saved` | [`agent_api`] |
//! | `fetching`, `gathering`, `flushing`, `ended` | [`agent_api::TaskPhase`] | [`agent_api`] |
//! | `orders` | `commands` | [`agent_api`] |
//! | `verb`, `launch`, `leeway_s` | [`agent_api::Command`], `Start`, `grace_s` | [`agent_api`] |
//! | `foreman` | `leader` | [`agent_api`] |
//! | `hire` | `request_id` | [`cloud_api`] |
//! | `local_gb`, `low_price`, `startup_s`, `held_s` | `cache_gb`, `spot_price`, `boot_s`, `age_s` | [`cloud_api`] |
//! | `stamp`, `edition` | `version` of a key, `revision` of the store | [`key_value_api`] |
//! | `tenure`, `life_ms` | `lease`, `ttl_ms` | [`key_value_api`] |
//! | `if`, `then`, `drop`, `news` | conditions, changes, deletion, events | [`key_value_api`] |
//! | `member`, `siblings`, `workers` | `node`, `peers`, `agents` | [`settings`] |

pub mod agent_api;
pub mod client_api;
pub mod cloud_api;
pub mod codec;
pub mod format;
pub mod job;
pub mod key_value_api;
pub mod peer_messages;
pub mod records;
pub mod settings;
pub mod time;

pub use job::{JobKind, JobSpec, Priority};
pub use settings::Settings;
pub use time::{Clock, Micros};
