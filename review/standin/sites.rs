//! Settings of the two operators' deployments, from the briefs.

use crate::cluster::Site;
use crate::world::{MachineKind, WorkerTimes};

pub const NAIDU: Site = Site {
    zones: ["suva-rack", "nadi-rack"],
    params: r#"[params]
count = 3
zones = ["suva-rack", "nadi-rack"]
clock_off_ms = 25.0

[[params.teams]]
name = "scoring-desk"
gpus = 64.0
gpus_max = 160.0

[[params.teams]]
name = "league-ops"
gpus = 56.0
gpus_max = 96.0

[params.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 6.0
cancel_s = 40.0

[params.state]
rps = 120.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 12

[params.cloud]
rps = 4.0
list_lag_s = 8.0

[params.limits]
core_share = 0.04
mem_mb = 72.0
sockets = 1200
"#,
    workers: WorkerTimes {
        report_s: 2.0,
        lease_s: 10.0,
    },
    machine_kind: MachineKind {
        name: "reef-node",
        cpus: 24.0,
        gpus: 4.0,
        memory_gb: 192.0,
    },
    txn_ops: 12,
    list_lag_s: 8.0,
    capacity: 16,
    gpu_limits: &[("scoring-desk", 160.0), ("league-ops", 96.0)],
};

pub const ARMOR: Site = Site {
    zones: ["rennes-hall", "brest-dock"],
    params: r#"[params]
count = 3
zones = ["brest-dock", "rennes-hall"]
clock_off_ms = 25.0

[[params.teams]]
name = "platform-crew"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[params.workers]
report_s = 2.5
lease_s = 16.0
gang_wait_s = 45.0
gang_peer_s = 5.0
cancel_s = 36.0

[params.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8

[params.cloud]
rps = 8.0
list_lag_s = 8.0

[params.limits]
core_share = 0.2
mem_mb = 104.0
sockets = 1800
"#,
    workers: WorkerTimes {
        report_s: 2.5,
        lease_s: 16.0,
    },
    machine_kind: MachineKind {
        name: "menhir-box",
        cpus: 64.0,
        gpus: 8.0,
        memory_gb: 256.0,
    },
    txn_ops: 8,
    list_lag_s: 8.0,
    capacity: 12,
    gpu_limits: &[],
};

/// The same with the limits of `examples/settings.toml` for one team.
pub const NAIDU_SMALL: Site = Site {
    zones: ["suva-rack", "nadi-rack"],
    params: r#"[params]
count = 3
zones = ["suva-rack", "nadi-rack"]
clock_off_ms = 25.0

[[params.teams]]
name = "scoring-desk"
gpus = 64.0
gpus_max = 160.0

[[params.teams]]
name = "league-ops"
gpus = 8.0
gpus_max = 16.0

[params.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 6.0
cancel_s = 40.0

[params.state]
rps = 120.0
write_rps = 40.0
value_kb = 8.0
txn_ops = 12

[params.cloud]
rps = 4.0
list_lag_s = 8.0

[params.limits]
core_share = 0.04
mem_mb = 72.0
sockets = 1200
"#,
    workers: WorkerTimes {
        report_s: 2.0,
        lease_s: 10.0,
    },
    machine_kind: MachineKind {
        name: "reef-node",
        cpus: 24.0,
        gpus: 4.0,
        memory_gb: 192.0,
    },
    txn_ops: 12,
    list_lag_s: 8.0,
    capacity: 12,
    gpu_limits: &[("scoring-desk", 160.0), ("league-ops", 16.0)],
};
