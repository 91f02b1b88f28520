//! Every state of a small model of the parts: holders that see grants late or never; a giver that uses
//! what it has not lent, and is relieved by another; clocks that are apart. Times are kept as seen from now, so the model
//! goes on for ever in finitely many states. Each line that the argument rests on is also taken out, and
//! must then be missed.

use admission_control::fair::Asked;
use admission_control::parts::{Grant, Part, Rules, Want};
use model_checker::{Model, Seen, explore};
use std::collections::BTreeMap;

const HOLDERS: [&str; 3] = ["a", "b", "c"];
/// The true time, always.
const NOW: u64 = 10;

/// Which line is left out.
#[derive(Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// What older grants still allow is forgotten with the next one.
    Owed,
    /// A holder takes its clock for everybody's.
    Apart,
    /// A relieved giver's write is carried out all the same.
    Fence,
    /// A grant is taken for seen as soon as it is on record.
    Told,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    /// Something was given in this tick already: it is as often as it gets.
    given: bool,
    newest: Grant,
    seen: [Grant; 3],
    /// The newest grant that each has told of.
    told: [u64; 3],
    /// Which of two controllers leads.
    lead: usize,
    /// What the other one last saw on record, and may write upon.
    behind: Grant,
}

#[derive(Debug, Clone)]
#[allow(dead_code)]
enum Step {
    Tick,
    Give([u64; 3]),
    /// The relieved giver writes upon what it last saw.
    Late([u64; 3]),
    See(usize),
    Tell(usize),
    Relieve,
}

struct Parts {
    without: Without,
    /// How far each holder's clock is from the true time, and the givers'.
    off: [i64; 4],
    /// How many holders there are.
    holders: usize,
    /// Whether they tell which grant they have seen.
    tell: bool,
    rules: Rules,
}

impl Parts {
    fn wall(&self, i: usize) -> u64 {
        (NOW as i64 + self.off[i]) as u64
    }

    fn next(&self, on: &Grant, told: &[u64; 3], wants: [u64; 3]) -> Grant {
        let all = HOLDERS.iter().zip(wants).zip(told).take(self.holders);
        let wants = all.map(|((h, amount), told)| Want {
            holder: h.to_string(),
            amount,
            weight: 1.0,
            seen: match self.without {
                // It counts as soon as it is written.
                Without::Told => on.epoch,
                _ => *told,
            },
        });
        let wants: Vec<Want> = wants.collect();
        let own = Asked {
            amount: 1.0,
            weight: 1.0,
        };
        let mut next = on.next(self.wall(3), own, &wants, &self.rules);
        if self.without == Without::Owed {
            next = Grant::default().next(self.wall(3), own, &wants, &self.rules);
            next.epoch = on.epoch + 1;
        }
        next
    }
}

const WANTS: [[u64; 3]; 2] = [[4, 0, 0], [0, 4, 4]];

/// A tick has passed: all times are a tick nearer, and what has ended for every clock says nothing.
fn nearer(g: &mut Grant) {
    let past = |p: &mut Part| {
        p.until -= 1;
        p.until + 3 > NOW
    };
    g.parts.retain(|_, p| past(p));
    g.owed.retain(|_, l| {
        l.retain_mut(past);
        !l.is_empty()
    });
}

impl Model for Parts {
    type State = State;
    type Step = Step;

    fn start(&self) -> Vec<State> {
        vec![State {
            given: false,
            newest: Grant::default(),
            seen: Default::default(),
            told: [0; 3],
            lead: 0,
            behind: Grant::default(),
        }]
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut all = Vec::new();
        let mut later = s.clone();
        later.given = false;
        nearer(&mut later.newest);
        nearer(&mut later.behind);
        later.seen.iter_mut().for_each(nearer);
        all.push((Step::Tick, later));
        let given = |newest: Grant| State {
            newest,
            given: true,
            ..s.clone()
        };
        for wants in WANTS.into_iter().filter(|_| !s.given) {
            let next = self.next(&s.newest, &s.told, wants);
            all.push((Step::Give(wants), given(next)));
            if self.without == Without::Fence && s.lead == 1 {
                let next = self.next(&s.behind, &s.told, wants);
                all.push((Step::Late(wants), given(next)));
            }
        }
        for i in 0..self.holders {
            if s.seen[i] != s.newest {
                let mut next = s.clone();
                next.seen[i] = s.newest.clone();
                all.push((Step::See(i), next));
            }
            if self.tell && s.seen[i].epoch > s.told[i] {
                let mut next = s.clone();
                next.told[i] = s.seen[i].epoch;
                all.push((Step::Tell(i), next));
            }
        }
        if s.lead == 0 {
            let mut next = s.clone();
            next.lead = 1;
            next.behind = match self.without {
                Without::Fence => s.newest.clone(),
                _ => Grant::default(),
            };
            all.push((Step::Relieve, next));
        }
        all
    }

    fn broken(&self, s: &State) -> Option<String> {
        let rules = match self.without {
            Without::Apart => Rules {
                apart: 0,
                ..self.rules
            },
            _ => self.rules,
        };
        let used = |i: usize| s.seen[i].part(HOLDERS[i], self.wall(i), &rules);
        let all: BTreeMap<&str, u64> = (0..self.holders).map(|i| (HOLDERS[i], used(i))).collect();
        // What is not lent the giver uses itself.
        let told = |h: &str| {
            let i = HOLDERS.iter().position(|x| *x == h).unwrap_or(0);
            match self.without {
                Without::Told => s.newest.epoch,
                _ => s.told[i],
            }
        };
        let lent = s.newest.lent(self.wall(3), &self.rules, told);
        let own = self.rules.whole.saturating_sub(lent);
        let sum = own + all.values().sum::<u64>();
        (sum > self.rules.whole).then(|| format!("in use: {all:?}, and {own} by the giver"))
    }

    /// Epochs are only names: what counts is their order.
    fn fold(&self, mut s: State) -> State {
        fn each(s: &mut State, mut f: impl FnMut(&mut u64)) {
            let grants = [&mut s.newest, &mut s.behind];
            for g in grants.into_iter().chain(&mut s.seen) {
                f(&mut g.epoch);
                g.parts.values_mut().for_each(|p| f(&mut p.epoch));
                g.owed.values_mut().flatten().for_each(|p| f(&mut p.epoch));
            }
            s.told.iter_mut().for_each(f);
        }
        let mut all = vec![0];
        each(&mut s, |e| all.push(*e));
        all.sort_unstable();
        all.dedup();
        each(&mut s, |e| {
            *e = all.iter().position(|a| a == e).unwrap_or(0) as u64;
        });
        s
    }
}

/// A model of so many holders.
fn parts(holders: usize, tell: bool, life: u64, apart: u64) -> Parts {
    Parts {
        without: Without::Nothing,
        off: [0; 4],
        holders,
        tell,
        rules: Rules {
            whole: 4,
            life,
            apart,
        },
    }
}

fn look(without: Without, off: [i64; 4], model: Parts) -> Seen<Step> {
    let model = Parts {
        without,
        off,
        ..model
    };
    explore(&model, 400_000)
}

#[test]
fn no_state_has_more_in_use_than_there_is() {
    // Clocks are up to a tick from the true time, either way.
    let all = [
        ([-1, 1, 0, 1], parts(3, false, 3, 1)),
        ([-1, 1, 0, 1], parts(2, true, 2, 1)),
    ];
    for (off, model) in all {
        let seen = look(Without::Nothing, off, model);
        assert!(matches!(seen, Seen::All { .. }), "{}", seen.story());
        println!("{off:?}: {}", seen.story());
    }
}

#[test]
fn each_line_that_is_taken_out_is_missed() {
    for (without, off, model) in [
        (Without::Owed, [0, 0, 0, 0], parts(3, false, 3, 1)),
        (Without::Apart, [-1, 0, 0, 1], parts(3, false, 3, 1)),
        (Without::Fence, [0, 0, 0, 0], parts(3, false, 3, 1)),
        (Without::Told, [0, 0, 0, 0], parts(2, true, 3, 0)),
    ] {
        let seen = look(without, off, model);
        assert!(matches!(seen, Seen::Broken { .. }), "{}", seen.story());
        println!("{}", seen.story());
    }
}
