//! Tests that run a single scheduling pass.

use super::*;
use crate::protocol::{JobSpec, Micros, Priority};
use crate::scheduling::job_queue::JobQueue;
use crate::scheduling::pending_jobs::SchedulingContext;
use crate::scheduling::placement::{Host, PlacementConstraints, TaskRequirements};
use crate::scheduling::priority_inheritance::InheritedPriorities;
use std::collections::BTreeMap;
use std::sync::Arc;

const IMAGE: u32 = 7;

fn host(free: f64, images: &[u32]) -> Host {
    Host {
        machine_type: 1,
        zone: 2,
        spot: false,
        agent_epoch: 1,
        total: [4.0; 3],
        free: [free; 3],
        schedulable: true,
        images: Arc::new(images.to_vec()),
        stopping: [0.0; 3],
        reserved: None,
    }
}

fn entry<'a>(spec: &'a JobSpec, fetch_s: f64) -> QueueEntry<'a> {
    QueueEntry {
        id: "req-2",
        accepted_at: Micros::ZERO,
        spec,
        lost_tasks: 0,
        requirements: TaskRequirements {
            need: [1.0; 3],
            constraints: Arc::new(PlacementConstraints {
                machine_types: None,
                zone: None,
                spot: false,
            }),
            saves_checkpoints: false,
            image: IMAGE,
            avoided_hosts: Vec::new(),
        },
        team: 0,
        feasibility_class: 0,
        tasks: vec![0],
        task_locations: Vec::new(),
        fetch_s,
        estimate_s: 0.0,
        priority: spec.priority,
        guaranteed: false,
        overdue: false,
        aged: false,
        starved: false,
    }
}

fn preemptible(priority: Priority) -> PreemptibleTask<'static> {
    PreemptibleTask {
        job: "req-1",
        task: 3,
        host: 1,
        need: [1.0; 3],
        start_order: 1,
        backfilled: false,
        accepted_at: Micros::ZERO,
        priority,
        saves_checkpoints: true,
        save_s: 3.0,
        team: 0,
        beyond_guarantee: true,
        stops_alone: true,
        class: 0,
        exempt: false,
    }
}

fn run(
    entry: QueueEntry<'_>,
    hosts: &[Host],
    preemptible: &[PreemptibleTask<'_>],
) -> SchedulingPlan<'static> {
    run_all(&[entry], hosts, preemptible)
}

fn run_all(
    entries: &[QueueEntry<'_>],
    hosts: &[Host],
    preemptible: &[PreemptibleTask<'_>],
) -> SchedulingPlan<'static> {
    let backlog = JobQueue::default();
    let context = SchedulingContext {
        job_queue: &backlog,
        jobs: &BTreeMap::new(),
        guarantee_cutoffs: Default::default(),
        inherited_priorities: InheritedPriorities::default(),
        slowest_fetch_gb_per_s: 1.0,
        wall_clock: Micros::ZERO,
    };
    let pending = PendingJobs::new(&context, [].into_iter());
    let mut index = CapacityIndex::new(hosts.to_vec());
    let mut quotas = QuotaTracker::default();
    let mut plan = run_pass(entries, &pending, &mut index, preemptible, &mut quotas, 1.0);
    let unmet_demands = plan.unmet_demands.drain(..).map(|demand| UnmetDemand {
        candidate: QueueCandidate::Active(0),
        tasks: demand.tasks,
    });
    SchedulingPlan {
        unmet_demands: unmet_demands.collect(),
        placements: plan.placements,
        preemptions: plan.preemptions,
        reservations: plan.reservations,
    }
}

#[test]
fn a_replica_preempts_a_checkpointing_task_instead_of_waiting_for_a_long_fetch() {
    let service = JobSpec {
        priority: Priority::Production,
        ..JobSpec::sample(JobKind::Service)
    };
    // The first machine has room but not the image; the second has the image but no room.
    let hosts = || [host(4.0, &[]), host(0.0, &[IMAGE])];
    let low_priority = [preemptible(Priority::Low)];
    let plan = run(entry(&service, 20.0), &hosts(), &low_priority);
    assert_eq!(plan.preemptions, [("req-1".to_string(), 3)]);
    assert_eq!(plan.reservations, [(1, "req-2".to_string())]);
    assert!(
        plan.placements.is_empty() && plan.unmet_demands.is_empty(),
        "expected neither placements nor unmet demand, found {plan:?}"
    );
    // While the preempted task writes its checkpoint, no other task is preempted and the replica waits.
    let mut cleared_hosts = hosts();
    cleared_hosts[1].reserved = Some("req-2".into());
    cleared_hosts[1].stopping = [1.0; 3];
    let plan = run(entry(&service, 20.0), &cleared_hosts, &low_priority);
    assert!(
        plan.preemptions.is_empty() && plan.placements.is_empty() && plan.unmet_demands.is_empty(),
        "expected an empty plan, found {plan:?}"
    );
    // Once the preempted task has ended, the replica starts on its machine.
    cleared_hosts[1].free = [1.0; 3];
    let plan = run(entry(&service, 20.0), &cleared_hosts, &[]);
    assert_eq!(plan.placements[0].host, 1);
    // No task is preempted if the fetch is short, or if the running task has the same priority.
    for (fetch_s, priority) in [(9.0, Priority::Low), (20.0, Priority::Production)] {
        let tasks = [preemptible(priority)];
        let plan = run(entry(&service, fetch_s), &hosts(), &tasks);
        assert!(
            plan.preemptions.is_empty() && plan.placements[0].host == 0,
            "fetch {fetch_s} s, priority {priority:?}: expected a placement on machine 0 only, found {plan:?}"
        );
    }
}

/// Guards against an array of many thousand short tasks that uses up each pass, so that other jobs do not
/// start for minutes (inc-fb2d), and against leaving half of a pass unused when no other job waits.
#[test]
fn a_wide_array_leaves_half_of_a_pass_to_the_jobs_behind_it() {
    let array = JobSpec::sample(JobKind::Array);
    let job = |id: &'static str, tasks: u32| QueueEntry {
        id,
        tasks: (0..tasks).collect(),
        ..entry(&array, 1.0)
    };
    let hosts: Vec<Host> = (0..60).map(|_| host(4.0, &[])).collect();
    let count = |plan: &SchedulingPlan<'_>, id: &str| {
        let placements = plan.placements.iter();
        placements.filter(|placement| placement.job == id).count()
    };
    let queue = [job("req-1", 128), job("req-2", 128), job("req-3", 20)];
    let plan = run_all(&queue, &hosts, &[]);
    assert_eq!(count(&plan, "req-3"), 20);
    // The remaining room goes to the wide arrays, in queue order.
    assert_eq!((count(&plan, "req-1"), count(&plan, "req-2")), (128, 92));
    let plan = run_all(&queue[..1], &hosts, &[]);
    assert_eq!(count(&plan, "req-1"), 128);
}

/// Guards against restoring a team's guarantee on one machine at a time, and against counting a reserved
/// machine that is filled by the job's own tasks as room that is still being cleared.
#[test]
fn a_guarantee_is_restored_on_several_machines_at_once() {
    let array = JobSpec::sample(JobKind::Array);
    let waiting = |tasks: u32, guaranteed| QueueEntry {
        tasks: (0..tasks).collect(),
        guaranteed,
        ..entry(&array, 1.0)
    };
    let mut hosts = [
        host(0.0, &[]),
        host(0.0, &[]),
        host(0.0, &[]),
        host(0.0, &[]),
    ];
    let beyond_guarantee: Vec<PreemptibleTask<'_>> = (0..16)
        .map(|number| PreemptibleTask {
            task: number as u32,
            host: number % 4,
            start_order: number as u64,
            team: 1,
            beyond_guarantee: true,
            ..preemptible(Priority::Low)
        })
        .collect();
    let plan = run(waiting(6, true), &hosts, &beyond_guarantee);
    assert_eq!((plan.preemptions.len(), plan.reservations.len()), (6, 2));
    assert!(
        run(waiting(6, false), &hosts, &beyond_guarantee)
            .preemptions
            .is_empty()
    );
    // Two machines are reserved. The job's own tasks fill the first; tasks are being stopped on the second.
    hosts[0].reserved = Some("req-2".into());
    hosts[1].reserved = Some("req-2".into());
    hosts[1].stopping = [2.0; 3];
    let plan = run(waiting(6, true), &hosts, &beyond_guarantee);
    assert_eq!((plan.preemptions.len(), plan.reservations.len()), (4, 1));
}

#[test]
fn a_gang_that_has_waited_long_preempts_tasks_without_checkpoints() {
    let gang = JobSpec {
        priority: Priority::High,
        ..JobSpec::sample(JobKind::Gang)
    };
    let full = [host(0.0, &[]), host(0.0, &[])];
    let array = PreemptibleTask {
        saves_checkpoints: false,
        ..preemptible(Priority::Normal)
    };
    let waiting = |aged| QueueEntry {
        aged,
        ..entry(&gang, 1.0)
    };
    let preemptions_for = |entry, task: &PreemptibleTask<'static>| {
        run(entry, &full, std::slice::from_ref(task)).preemptions
    };
    assert!(preemptions_for(waiting(false), &array).is_empty());
    assert_eq!(
        preemptions_for(waiting(true), &array),
        [("req-1".to_string(), 3)]
    );
    // Tasks of an exempt class, tasks of the same priority, members of a gang and tasks within a guarantee are not
    // preempted.
    let exempt = PreemptibleTask {
        exempt: true,
        ..array.clone()
    };
    let same_priority = PreemptibleTask {
        priority: Priority::High,
        ..array.clone()
    };
    let gang_member = PreemptibleTask {
        stops_alone: false,
        ..array.clone()
    };
    let within_guarantee = PreemptibleTask {
        beyond_guarantee: false,
        ..array.clone()
    };
    for task in [exempt, same_priority, gang_member, within_guarantee] {
        assert!(preemptions_for(waiting(true), &task).is_empty());
    }
}

/// Guards against tasks of later jobs being placed on a machine in the pass that clears it for a gang (review/6): the
/// machine never became empty, and the gang and these tasks were stopped in turn without end.
#[test]
fn a_machine_that_is_cleared_for_a_gang_gets_no_other_task_in_the_same_pass() {
    let gang_spec = JobSpec::sample(JobKind::Gang);
    let array_spec = JobSpec::sample(JobKind::Array);
    let mut gang = entry(&gang_spec, 1.0);
    gang.requirements.need = [4.0; 3];
    let array = QueueEntry {
        id: "req-3",
        accepted_at: Micros::millis(1),
        ..entry(&array_spec, 1.0)
    };
    let backfilled: Vec<PreemptibleTask<'_>> = (0..3)
        .map(|task| PreemptibleTask {
            task,
            host: 0,
            backfilled: true,
            ..preemptible(Priority::Low)
        })
        .collect();
    let plan = run_all(&[gang, array], &[host(1.0, &[IMAGE])], &backfilled);
    assert_eq!(
        (plan.preemptions.len(), plan.reservations.as_slice()),
        (3, &[(0, "req-2".to_string())][..])
    );
    assert!(
        plan.placements.is_empty(),
        "the machine is being cleared, found {:?}",
        plan.placements
    );
}
