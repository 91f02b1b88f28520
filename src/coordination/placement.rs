//! AdaBa: which machines a job's tasks go to (the paper's equation 7 and algorithm 1).

use crate::protocol::Spec;

/// CPUs, GPUs, memory.
pub type Amounts = [f64; 3];

/// What a task takes.
pub fn need(spec: &Spec) -> Amounts {
    [spec.cpus, spec.gpus, spec.memory_gb]
}

/// A machine as the queue sees it.
#[derive(Debug, Clone)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// The worker's session.
    pub session: u64,
    /// Room of an empty machine.
    pub total: Amounts,
    /// Room left.
    pub free: Amounts,
    /// Takes new tasks now.
    pub open: bool,
    /// Images it has or fetches.
    pub images: Vec<String>,
    /// Room is being made on it for this job; others keep off.
    pub reserved: Option<String>,
}

const EPS: f64 = 1e-6;

/// How many tasks of this size fit into the room.
pub fn slots(room: &Amounts, need: &Amounts) -> u32 {
    let mut n = 1e6;
    for r in 0..3 {
        if need[r] > 0.0 {
            n = f64::min(n, ((room[r] + EPS) / need[r]).floor());
        }
    }
    n.max(0.0) as u32
}

/// The share of an empty machine that a task takes, on the scarcest resource.
pub fn size(total: &Amounts, need: &Amounts) -> f64 {
    (0..3)
        .filter(|r| total[*r] > 0.0)
        .map(|r| need[r] / total[r])
        .fold(0.0, f64::max)
}

/// Equation 7: `a` is the free room and `l` an empty machine's, both in task sizes; `ratio`
/// is the job's demand over the largest seen.
pub fn weight(a: f64, l: f64, ratio: f64) -> f64 {
    -0.5 * a * a + l * ratio * a
}

/// Whether a job may use a machine at all.
pub fn allowed(spec: &Spec, kind: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec
            .types
            .as_ref()
            .is_none_or(|t| t.iter().any(|k| k == kind))
        && spec.zone.as_deref().is_none_or(|z| z == zone)
}

fn open_to(id: &str, spec: &Spec, h: &Host, need: &Amounts) -> bool {
    h.open
        && h.reserved.as_deref().is_none_or(|r| r == id)
        && allowed(spec, &h.kind, &h.zone, h.spot)
        && slots(&h.free, need) > 0
}

/// Whether a machine would take one task of this job.
pub fn may_take(h: &Host, id: &str, spec: &Spec) -> bool {
    open_to(id, spec, h, &need(spec))
}

fn rank(h: &Host, need: &Amounts, ratio: f64, image: &str) -> (bool, f64) {
    let w = weight(
        slots(&h.free, need) as f64,
        slots(&h.total, need) as f64,
        ratio,
    );
    (h.images.iter().any(|i| i == image), w)
}

fn better(a: (bool, f64), b: (bool, f64)) -> bool {
    // A machine with the image starts the task at once; only then does the weight decide.
    (a.0, a.1) > (b.0, b.1)
}

/// The best machine for one task; `fits` holds the job's own further conditions.
pub fn single(
    hosts: &[Host],
    id: &str,
    spec: &Spec,
    ratio: f64,
    fits: impl Fn(usize, &Host) -> bool,
) -> Option<usize> {
    let need = need(spec);
    let mut best: Option<(usize, (bool, f64))> = None;
    for (i, h) in hosts.iter().enumerate() {
        if !open_to(id, spec, h, &need) || !fits(i, h) {
            continue;
        }
        let r = rank(h, &need, ratio, &spec.image);
        if best.is_none_or(|(_, b)| better(r, b)) {
            best = Some((i, r));
        }
    }
    best.map(|(i, _)| i)
}

/// Places all `n` tasks of a gang or none: on one machine, else in one zone, else anywhere
/// (unless the job wants one zone).
pub fn gang(hosts: &[Host], id: &str, spec: &Spec, n: u32, ratio: f64) -> Option<Vec<usize>> {
    let need = need(spec);
    let mut order: Vec<(usize, (bool, f64), u32)> = hosts
        .iter()
        .enumerate()
        .filter(|(_, h)| open_to(id, spec, h, &need))
        .map(|(i, h)| {
            let r = rank(h, &need, ratio, &spec.image);
            (i, r, slots(&h.free, &need))
        })
        .collect();
    order.sort_by(|a, b| b.1.0.cmp(&a.1.0).then(b.1.1.total_cmp(&a.1.1)));
    let half = if spec.spread { n.div_ceil(2) } else { n };
    if half == n
        && let Some((i, _, _)) = order.iter().find(|(_, _, s)| *s >= n)
    {
        return Some(vec![*i; n as usize]);
    }
    let mut zones: Vec<&str> = order
        .iter()
        .map(|(i, _, _)| hosts[*i].zone.as_str())
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let fill = |zone: Option<&str>| {
        let mut taken: Vec<usize> = Vec::new();
        let mut per_zone: Vec<(&str, u32)> = zones.iter().map(|z| (*z, 0)).collect();
        for (i, _, s) in &order {
            let h = &hosts[*i];
            if zone.is_some_and(|z| z != h.zone) {
                continue;
            }
            let Some(used) = per_zone.iter_mut().find(|(z, _)| *z == h.zone) else {
                continue;
            };
            let k = (*s).min(n - taken.len() as u32).min(half - used.1);
            used.1 += k;
            taken.extend(std::iter::repeat_n(*i, k as usize));
            if taken.len() as u32 == n {
                return Some(taken);
            }
        }
        None
    };
    if half == n
        && let Some(found) = zones.iter().find_map(|z| fill(Some(z)))
    {
        return Some(found);
    }
    if spec.one_zone { None } else { fill(None) }
}
