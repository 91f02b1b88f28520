//! Exhaustive check of a small model of budget shares.
//!
//! Holders read grants late or never, the grantor uses the amount that no holder can be using, another grantor replaces
//! it, and clocks differ. Times are relative to the current time, so an endless execution has finitely many states.
//! Each mechanism that the safety argument needs is also removed in turn, and a violation must then be found.

use admission_control::fair::Demand;
use admission_control::parts::{Grant, GrantParams, Share, ShareRequest};
use model_checker::{CheckResult, Model, explore};
use std::collections::BTreeMap;

const HOLDERS: [&str; 3] = ["a", "b", "c"];
/// The true time. It is constant because all other times are relative to it.
const NOW: u64 = 10;

/// The mechanism that is removed from the model.
#[derive(Clone, Copy, PartialEq)]
enum Omission {
    Nothing,
    /// A grant does not list the earlier shares that may still be in use.
    EarlierShares,
    /// Holders assume that their clock is exact.
    ClockBound,
    /// The write of a replaced grantor succeeds.
    Fencing,
    /// A grant counts as acknowledged as soon as it is recorded.
    Acknowledgement,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// A grant was already recorded in this tick; there is at most one per tick.
    granted: bool,
    newest: Grant,
    /// The newest grant that each holder has read.
    seen_grants: [Grant; 3],
    /// The epoch of the newest grant that each holder has acknowledged.
    acknowledged: [u64; 3],
    /// Whether the first grantor was replaced by the second.
    replaced: bool,
    /// The newest grant that the replaced grantor has read.
    stale: Grant,
}

#[derive(Debug, Clone)]
#[allow(dead_code)]
enum Step {
    Tick,
    Grant([u64; 3]),
    /// The replaced grantor records a grant that follows the newest one that it has read.
    StaleGrant([u64; 3]),
    ReceiveGrant(usize),
    Acknowledge(usize),
    ReplaceGrantor,
}

struct BudgetShares {
    omission: Omission,
    /// Offset of each holder's clock from the true time, followed by that of the grantors' clock.
    clock_offsets: [i64; 4],
    /// Number of holders.
    holders: usize,
    /// Whether holders acknowledge grants.
    with_acknowledgements: bool,
    params: GrantParams,
}

impl BudgetShares {
    fn wall_time(&self, clock: usize) -> u64 {
        (NOW as i64 + self.clock_offsets[clock]) as u64
    }

    /// Returns the grant that follows `previous`.
    fn next_grant(&self, previous: &Grant, acknowledged: &[u64; 3], requests: [u64; 3]) -> Grant {
        let holders = HOLDERS.iter().zip(requests).zip(acknowledged);
        let requests = holders
            .take(self.holders)
            .map(|((holder, amount), epoch)| ShareRequest {
                holder: holder.to_string(),
                amount,
                weight: 1.0,
                acknowledged_epoch: match self.omission {
                    Omission::Acknowledgement => previous.epoch,
                    _ => *epoch,
                },
            });
        let requests: Vec<ShareRequest> = requests.collect();
        let grantor_demand = Demand {
            amount: 1.0,
            weight: 1.0,
        };
        let mut next = previous.next(self.wall_time(3), grantor_demand, &requests, &self.params);
        if self.omission == Omission::EarlierShares {
            next =
                Grant::default().next(self.wall_time(3), grantor_demand, &requests, &self.params);
            next.epoch = previous.epoch + 1;
        }
        next
    }
}

const REQUESTED_AMOUNTS: [[u64; 3]; 2] = [[4, 0, 0], [0, 4, 4]];

/// Advances the time by a tick: all expiry times get nearer, and shares that have expired by every clock are dropped.
fn advance_by_tick(grant: &mut Grant) {
    let keep_after_tick = |share: &mut Share| {
        share.expires_at -= 1;
        share.expires_at + 3 > NOW
    };
    grant.shares.retain(|_, share| keep_after_tick(share));
    grant.earlier_shares.retain(|_, shares| {
        shares.retain_mut(keep_after_tick);
        !shares.is_empty()
    });
}

impl Model for BudgetShares {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        vec![State {
            granted: false,
            newest: Grant::default(),
            seen_grants: Default::default(),
            acknowledged: [0; 3],
            replaced: false,
            stale: Grant::default(),
        }]
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        let mut later = state.clone();
        later.granted = false;
        advance_by_tick(&mut later.newest);
        advance_by_tick(&mut later.stale);
        later.seen_grants.iter_mut().for_each(advance_by_tick);
        steps.push((Step::Tick, later));
        let with_grant = |newest: Grant| State {
            newest,
            granted: true,
            ..state.clone()
        };
        for requests in REQUESTED_AMOUNTS.into_iter().filter(|_| !state.granted) {
            let next = self.next_grant(&state.newest, &state.acknowledged, requests);
            steps.push((Step::Grant(requests), with_grant(next)));
            if self.omission == Omission::Fencing && state.replaced {
                let next = self.next_grant(&state.stale, &state.acknowledged, requests);
                steps.push((Step::StaleGrant(requests), with_grant(next)));
            }
        }
        for holder in 0..self.holders {
            if state.seen_grants[holder] != state.newest {
                let mut next = state.clone();
                next.seen_grants[holder] = state.newest.clone();
                steps.push((Step::ReceiveGrant(holder), next));
            }
            if self.with_acknowledgements
                && state.seen_grants[holder].epoch > state.acknowledged[holder]
            {
                let mut next = state.clone();
                next.acknowledged[holder] = state.seen_grants[holder].epoch;
                steps.push((Step::Acknowledge(holder), next));
            }
        }
        if !state.replaced {
            let mut next = state.clone();
            next.replaced = true;
            next.stale = match self.omission {
                Omission::Fencing => state.newest.clone(),
                _ => Grant::default(),
            };
            steps.push((Step::ReplaceGrantor, next));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let params = match self.omission {
            Omission::ClockBound => GrantParams {
                clock_margin: 0,
                ..self.params
            },
            _ => self.params,
        };
        let used_by = |holder: usize| {
            let name = HOLDERS[holder];
            let used =
                state.seen_grants[holder].usable_amount(name, self.wall_time(holder), &params);
            (name, used)
        };
        let used: BTreeMap<&str, u64> = (0..self.holders).map(used_by).collect();
        let acknowledged = |name: &str| {
            let holder = HOLDERS
                .iter()
                .position(|holder| *holder == name)
                .unwrap_or(0);
            match self.omission {
                Omission::Acknowledgement => state.newest.epoch,
                _ => state.acknowledged[holder],
            }
        };
        let max_in_use = state
            .newest
            .max_in_use(self.wall_time(3), &self.params, acknowledged);
        // The grantor uses the amount that no holder can be using.
        let used_by_grantor = self.params.total.saturating_sub(max_in_use);
        let sum = used_by_grantor + used.values().sum::<u64>();
        (sum > self.params.total)
            .then(|| format!("in use: {used:?}, and {used_by_grantor} by the grantor"))
    }

    /// Renumbers the epochs, since only their order matters.
    fn canonical(&self, mut state: State) -> State {
        fn for_each_epoch(state: &mut State, mut change: impl FnMut(&mut u64)) {
            let grants = [&mut state.newest, &mut state.stale];
            for grant in grants.into_iter().chain(&mut state.seen_grants) {
                change(&mut grant.epoch);
                let shares = grant.shares.values_mut();
                for share in shares.chain(grant.earlier_shares.values_mut().flatten()) {
                    change(&mut share.epoch);
                }
            }
            state.acknowledged.iter_mut().for_each(change);
        }
        let mut epochs = vec![0];
        for_each_epoch(&mut state, |epoch| epochs.push(*epoch));
        epochs.sort_unstable();
        epochs.dedup();
        for_each_epoch(&mut state, |epoch| {
            let index = epochs.iter().position(|candidate| candidate == epoch);
            *epoch = index.unwrap_or(0) as u64;
        });
        state
    }
}

/// Returns a model with exact clocks and all mechanisms.
fn model(
    holders: usize,
    with_acknowledgements: bool,
    lifetime: u64,
    clock_margin: u64,
) -> BudgetShares {
    BudgetShares {
        omission: Omission::Nothing,
        clock_offsets: [0; 4],
        holders,
        with_acknowledgements,
        params: GrantParams {
            total: 4,
            lifetime,
            clock_margin,
        },
    }
}

fn check(omission: Omission, clock_offsets: [i64; 4], model: BudgetShares) -> CheckResult<Step> {
    let model = BudgetShares {
        omission,
        clock_offsets,
        ..model
    };
    explore(&model, 400_000)
}

#[test]
fn shares_in_use_never_exceed_the_total() {
    // Clocks differ from the true time by at most a tick.
    let models = [
        ([-1, 1, 0, 1], model(3, false, 3, 1)),
        ([-1, 1, 0, 1], model(2, true, 2, 1)),
    ];
    for (clock_offsets, model) in models {
        let result = check(Omission::Nothing, clock_offsets, model);
        assert!(
            matches!(result, CheckResult::Verified { .. }),
            "{}",
            result.describe()
        );
        println!("{clock_offsets:?}: {}", result.describe());
    }
}

#[test]
fn removing_a_mechanism_causes_a_violation() {
    for (omission, clock_offsets, model) in [
        (Omission::EarlierShares, [0, 0, 0, 0], model(3, false, 3, 1)),
        (Omission::ClockBound, [-1, 0, 0, 1], model(3, false, 3, 1)),
        (Omission::Fencing, [0, 0, 0, 0], model(3, false, 3, 1)),
        (
            Omission::Acknowledgement,
            [0, 0, 0, 0],
            model(2, true, 3, 0),
        ),
    ] {
        let result = check(omission, clock_offsets, model);
        assert!(
            matches!(result, CheckResult::Violation { .. }),
            "{}",
            result.describe()
        );
        println!("{}", result.describe());
    }
}
