//! Exhaustive check of a small model of budget shares.
//!
//! Holders see grants late or never, a grantor uses what it has not lent and is replaced by another, and clocks differ.
//! Times are relative to the present, so a model that runs forever has finitely many states. Each mechanism that the
//! safety argument needs is also removed, and a violation must then be found.

use admission_control::fair::Demand;
use admission_control::parts::{Grant, Part, Rules, ShareRequest};
use model_checker::{CheckResult, Model, explore};
use std::collections::BTreeMap;

const HOLDERS: [&str; 3] = ["a", "b", "c"];
/// The true time, which stays the same because all times are relative to it.
const NOW: u64 = 10;

/// Which mechanism is removed.
#[derive(Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// A grant does not carry what earlier ones still allow.
    EarlierShares,
    /// Holders assume that their clock is exact.
    ClockBound,
    /// The write of a replaced grantor is not rejected.
    Fencing,
    /// A grant counts as acknowledged as soon as it is on record.
    Acknowledgement,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// A grant was already made in this tick; there is at most one per tick.
    granted: bool,
    newest: Grant,
    /// The newest grant that each holder has seen.
    seen: [Grant; 3],
    /// The epoch of the newest grant that each holder has acknowledged.
    acknowledged: [u64; 3],
    /// Whether the first grantor was replaced by the second.
    replaced: bool,
    /// The grant that the replaced grantor last saw on record.
    stale: Grant,
}

#[derive(Debug, Clone)]
#[allow(dead_code)]
enum Step {
    Tick,
    Grant([u64; 3]),
    /// The replaced grantor makes a grant from what it last saw.
    StaleGrant([u64; 3]),
    See(usize),
    Acknowledge(usize),
    ReplaceGrantor,
}

struct BudgetShares {
    without: Without,
    /// Error of each holder's clock, and of the grantors' clock.
    clock_offsets: [i64; 4],
    /// Number of holders.
    holders: usize,
    /// Whether holders acknowledge grants.
    acknowledge: bool,
    rules: Rules,
}

impl BudgetShares {
    fn wall(&self, clock: usize) -> u64 {
        (NOW as i64 + self.clock_offsets[clock]) as u64
    }

    /// Returns the grant that follows `previous`.
    fn next_grant(&self, previous: &Grant, acknowledged: &[u64; 3], wants: [u64; 3]) -> Grant {
        let holders = HOLDERS.iter().zip(wants).zip(acknowledged);
        let wants = holders
            .take(self.holders)
            .map(|((holder, amount), epoch)| ShareRequest {
                holder: holder.to_string(),
                amount,
                weight: 1.0,
                seen: match self.without {
                    Without::Acknowledgement => previous.epoch,
                    _ => *epoch,
                },
            });
        let wants: Vec<ShareRequest> = wants.collect();
        let own = Demand {
            amount: 1.0,
            weight: 1.0,
        };
        let mut next = previous.next(self.wall(3), own, &wants, &self.rules);
        if self.without == Without::EarlierShares {
            next = Grant::default().next(self.wall(3), own, &wants, &self.rules);
            next.epoch = previous.epoch + 1;
        }
        next
    }
}

const WANTS: [[u64; 3]; 2] = [[4, 0, 0], [0, 4, 4]];

/// Lets a tick pass: all times move a tick nearer, and shares that have expired by every clock are dropped.
fn let_tick_pass(grant: &mut Grant) {
    let keep_after_tick = |part: &mut Part| {
        part.until -= 1;
        part.until + 3 > NOW
    };
    grant.parts.retain(|_, part| keep_after_tick(part));
    grant.owed.retain(|_, parts| {
        parts.retain_mut(keep_after_tick);
        !parts.is_empty()
    });
}

impl Model for BudgetShares {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        vec![State {
            granted: false,
            newest: Grant::default(),
            seen: Default::default(),
            acknowledged: [0; 3],
            replaced: false,
            stale: Grant::default(),
        }]
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        let mut later = state.clone();
        later.granted = false;
        let_tick_pass(&mut later.newest);
        let_tick_pass(&mut later.stale);
        later.seen.iter_mut().for_each(let_tick_pass);
        steps.push((Step::Tick, later));
        let with_grant = |newest: Grant| State {
            newest,
            granted: true,
            ..state.clone()
        };
        for wants in WANTS.into_iter().filter(|_| !state.granted) {
            let next = self.next_grant(&state.newest, &state.acknowledged, wants);
            steps.push((Step::Grant(wants), with_grant(next)));
            if self.without == Without::Fencing && state.replaced {
                let next = self.next_grant(&state.stale, &state.acknowledged, wants);
                steps.push((Step::StaleGrant(wants), with_grant(next)));
            }
        }
        for holder in 0..self.holders {
            if state.seen[holder] != state.newest {
                let mut next = state.clone();
                next.seen[holder] = state.newest.clone();
                steps.push((Step::See(holder), next));
            }
            if self.acknowledge && state.seen[holder].epoch > state.acknowledged[holder] {
                let mut next = state.clone();
                next.acknowledged[holder] = state.seen[holder].epoch;
                steps.push((Step::Acknowledge(holder), next));
            }
        }
        if !state.replaced {
            let mut next = state.clone();
            next.replaced = true;
            next.stale = match self.without {
                Without::Fencing => state.newest.clone(),
                _ => Grant::default(),
            };
            steps.push((Step::ReplaceGrantor, next));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let rules = match self.without {
            Without::ClockBound => Rules {
                apart: 0,
                ..self.rules
            },
            _ => self.rules,
        };
        let used_by = |holder: usize| {
            let name = HOLDERS[holder];
            let used = state.seen[holder].part(name, self.wall(holder), &rules);
            (name, used)
        };
        let used: BTreeMap<&str, u64> = (0..self.holders).map(used_by).collect();
        // The grantor uses what is not lent.
        let acknowledged = |name: &str| {
            let holder = HOLDERS
                .iter()
                .position(|holder| *holder == name)
                .unwrap_or(0);
            match self.without {
                Without::Acknowledgement => state.newest.epoch,
                _ => state.acknowledged[holder],
            }
        };
        let lent = state.newest.lent(self.wall(3), &self.rules, acknowledged);
        let own = self.rules.whole.saturating_sub(lent);
        let sum = own + used.values().sum::<u64>();
        (sum > self.rules.whole).then(|| format!("in use: {used:?}, and {own} by the grantor"))
    }

    /// Renumbers the epochs: only their order matters.
    fn canonical(&self, mut state: State) -> State {
        fn for_each_epoch(state: &mut State, mut change: impl FnMut(&mut u64)) {
            let grants = [&mut state.newest, &mut state.stale];
            for grant in grants.into_iter().chain(&mut state.seen) {
                change(&mut grant.epoch);
                let parts = grant.parts.values_mut();
                for part in parts.chain(grant.owed.values_mut().flatten()) {
                    change(&mut part.epoch);
                }
            }
            state.acknowledged.iter_mut().for_each(change);
        }
        let mut epochs = vec![0];
        for_each_epoch(&mut state, |epoch| epochs.push(*epoch));
        epochs.sort_unstable();
        epochs.dedup();
        for_each_epoch(&mut state, |epoch| {
            let index = epochs.iter().position(|known| known == epoch);
            *epoch = index.unwrap_or(0) as u64;
        });
        state
    }
}

/// Returns a model with exact clocks and all mechanisms.
fn model(holders: usize, acknowledge: bool, life: u64, apart: u64) -> BudgetShares {
    BudgetShares {
        without: Without::Nothing,
        clock_offsets: [0; 4],
        holders,
        acknowledge,
        rules: Rules {
            whole: 4,
            life,
            apart,
        },
    }
}

fn check(without: Without, clock_offsets: [i64; 4], model: BudgetShares) -> CheckResult<Step> {
    let model = BudgetShares {
        without,
        clock_offsets,
        ..model
    };
    explore(&model, 400_000)
}

#[test]
fn shares_in_use_never_exceed_the_total() {
    // Clocks differ from the true time by up to a tick in either direction.
    let models = [
        ([-1, 1, 0, 1], model(3, false, 3, 1)),
        ([-1, 1, 0, 1], model(2, true, 2, 1)),
    ];
    for (clock_offsets, model) in models {
        let result = check(Without::Nothing, clock_offsets, model);
        assert!(
            matches!(result, CheckResult::Verified { .. }),
            "{}",
            result.describe()
        );
        println!("{clock_offsets:?}: {}", result.describe());
    }
}

#[test]
fn each_mechanism_is_needed() {
    for (without, clock_offsets, model) in [
        (Without::EarlierShares, [0, 0, 0, 0], model(3, false, 3, 1)),
        (Without::ClockBound, [-1, 0, 0, 1], model(3, false, 3, 1)),
        (Without::Fencing, [0, 0, 0, 0], model(3, false, 3, 1)),
        (Without::Acknowledgement, [0, 0, 0, 0], model(2, true, 3, 0)),
    ] {
        let result = check(without, clock_offsets, model);
        assert!(
            matches!(result, CheckResult::Violation { .. }),
            "{}",
            result.describe()
        );
        println!("{}", result.describe());
    }
}
