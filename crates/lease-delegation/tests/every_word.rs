//! Every state of a small model of cancellations that are passed on: a leader L whom the state service refuses, F
//! who confirms cancellations to users, T beside them, and one agent at L with tasks of two jobs. F and T may read the
//! records at any moment, or never again; F crashes and comes back; what L is told is late, lost, comes again, or tells of
//! one job at a time. Each line that the argument rests on is also taken out, and must then be missed.

use lease_delegation::Time;
use lease_delegation::cancellations::{Batch, Heard, Log};
use lease_delegation::quiet::{PeerAnswer, PeerFreshness, PeerKnowledge};
use model_checker::{Model, Seen, explore};

const LEASE: Time = 2;
const GRACE: Time = 1;
const CANCEL: Time = LEASE + GRACE;
const TIMEOUT: Time = 1;
const START: Time = 10;
/// Peers, as L numbers them. T knows F alone.
const F: usize = 0;
const T: usize = 1;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Without {
    Nothing,
    /// What was heard stops no task.
    Stop,
    /// A batch is taken for the whole.
    Whole,
    /// Another run's log is taken for the same one.
    Run,
    /// What was heard is not passed on.
    PassOn,
    /// A peer vouches for others although it has not told all that it knows.
    Vouchers,
    /// Who has not read the records since it started vouches.
    Unread,
    /// What was known once is known for good.
    Grace,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct StoreResponse {
    run: u64,
    read: bool,
    batch: Batch,
    /// How long ago it last knew of everything that F had told.
    of_f: Time,
}

/// An answer on its way, to what was asked at this moment. An answer given later than it was asked for tells more, and
/// counts for no more, so it is given at once.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Message {
    asked: Time,
    reply: StoreResponse,
}

/// F or T.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct PeerSettings {
    run: u64,
    /// Its copy holds so many of the recorded cancellations; none: it has not read them since it started.
    copy: Option<u64>,
    log: Log,
    heard: Heard,
    /// Up to when T knows of everything that F has told, from the records or from F.
    vouched: PeerFreshness,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    now: Time,
    /// Cancellations on record; the first is of job 0, the second of job 1.
    recorded: u64,
    told: [Option<Time>; 2],
    f: PeerSettings,
    t: PeerSettings,
    crashed: bool,
    // L
    heard: Heard,
    vouched: PeerFreshness,
    /// What is on its way to L, and from whom. One at a time: what it hears of one does not touch what it knows of
    /// the other. T asks F in no time.
    asks: Option<(usize, Message)>,
    // The agent
    from: Time,
    on: [bool; 2],
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Tick,
    Confirm,
    CrashF,
    ReadF,
    ReadT,
    Renew,
    StoreRequest(usize),
    Hear,
    /// The same, and it comes again.
    HearCopy,
}

/// Whom L can ask.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Hears {
    /// F alone; T has told nothing, and that is known.
    F,
    /// T alone.
    T,
    Both,
}

struct Words {
    without: Without,
    until: Time,
    crashes: bool,
    hears: Hears,
}

fn name(n: u64) -> String {
    ["a", "b"][n as usize].to_string()
}

impl PeerSettings {
    fn new(run: u64, copy: Option<u64>) -> PeerSettings {
        PeerSettings {
            run,
            copy,
            log: Log::default(),
            heard: Heard::new(1),
            vouched: PeerFreshness::new(1, 0),
        }
    }

    /// Reads all records; the newest first, as a listing may.
    fn read(&mut self, recorded: u64, now: Option<Time>) {
        for n in (self.copy.unwrap_or(0)..recorded).rev() {
            self.log.learn(&name(n), n + 1);
        }
        self.copy = Some(recorded);
        if let Some(now) = now {
            self.vouched.learnt(0, now);
        }
    }
}

impl Words {
    fn hear(&self, n: &mut State, link: usize, m: &Message) {
        let (now, r) = (n.now, &m.reply);
        let (heard, i) = match link {
            2 => (&mut n.t.heard, 0),
            i => (&mut n.heard, i),
        };
        let run = if self.without == Without::Run {
            1
        } else {
            r.run
        };
        let (new, all) = heard.take(i, run, &r.batch, 0);
        if link == 2 && self.without != Without::PassOn {
            for (job, version) in &new {
                n.t.log.learn(job, *version);
            }
        }
        let known = match (r.read, all || self.without == Without::Whole) {
            (false, _) if self.without != Without::Unread => PeerKnowledge::Unread,
            (_, true) => PeerKnowledge::All,
            _ => PeerKnowledge::Some,
        };
        let a = PeerAnswer {
            known,
            quiet: false,
        };
        let vouched = match link {
            2 => &mut n.t.vouched,
            _ => &mut n.vouched,
        };
        vouched.answered(i, a, m.asked, now);
        if link == T && (known == PeerKnowledge::All || self.without == Without::Vouchers) {
            n.vouched.learnt(F, m.asked.saturating_sub(r.of_f));
        }
    }

    fn step(&self, s: &State, step: Step) -> Option<State> {
        let mut n = s.clone();
        let now = s.now;
        match step {
            Step::Tick => n.now += 1,
            Step::Confirm if s.f.copy == Some(s.recorded) && s.recorded < 2 => {
                n.recorded += 1;
                n.f.read(n.recorded, None);
                n.told[s.recorded as usize] = Some(now);
            }
            Step::CrashF if self.crashes && !s.crashed => {
                n.crashed = true;
                n.f = PeerSettings::new(2, None);
            }
            Step::ReadF if s.f.copy != Some(s.recorded) => n.f.read(s.recorded, None),
            Step::ReadT if self.hears != Hears::F && s.t.copy != Some(s.recorded) => {
                n.t.read(s.recorded, Some(now))
            }
            Step::Renew if s.from < now => {
                let known = match self.without {
                    Without::Grace => Time::MAX / 2,
                    _ => s.vouched.all()?,
                };
                if now >= known + GRACE {
                    return None;
                }
                n.from = now;
                for job in 0..2 {
                    let stop = s.heard.contains(&name(job as u64));
                    n.on[job] &= !stop || self.without == Without::Stop;
                }
            }
            Step::StoreRequest(link) if s.asks.is_none() || link == 2 => {
                let (who, cursor, complete) = match link {
                    F if self.hears == Hears::T => return None,
                    T | 2 if self.hears == Hears::F => return None,
                    F => (&s.f, s.heard.cursor(F), 0),
                    T => (&s.t, s.heard.cursor(T), 0),
                    _ => (&s.f, s.t.heard.cursor(0), s.t.copy?),
                };
                let same = cursor.run == who.run || self.without == Without::Run;
                let from = if same { cursor.next } else { 0 };
                let reply = StoreResponse {
                    run: who.run,
                    read: who.copy.is_some(),
                    batch: who.log.batch(from, complete, 1).unwrap_or_default(),
                    of_f: if link == T {
                        now - who.vouched.of(0)
                    } else {
                        0
                    },
                };
                let m = Message { asked: now, reply };
                match link {
                    2 => self.hear(&mut n, link, &m),
                    _ => n.asks = Some((link, m)),
                }
            }
            Step::Hear | Step::HearCopy => {
                let (link, m) = n.asks.take()?;
                self.hear(&mut n, link, &m);
                if matches!(step, Step::HearCopy) {
                    n.asks = Some((link, m));
                }
            }
            _ => return None,
        }
        let late = |(_, m): &(usize, Message)| n.now > m.asked + TIMEOUT;
        if n.asks.as_ref().is_some_and(late) {
            n.asks = None;
        }
        Some(n)
    }
}

impl Model for Words {
    type State = State;
    type Step = Step;

    fn start(&self) -> Vec<State> {
        let mut vouched = PeerFreshness::new(2, 0);
        vouched.learnt(F, START);
        let until = if self.hears == Hears::F {
            2 * START
        } else {
            START
        };
        vouched.learnt(T, until);
        let peer = || {
            let mut s = PeerSettings::new(1, Some(0));
            s.vouched.learnt(0, START);
            s
        };
        vec![State {
            now: START,
            recorded: 0,
            told: [None; 2],
            f: peer(),
            t: peer(),
            crashed: false,
            heard: Heard::new(2),
            vouched,
            asks: None,
            from: START,
            on: [true; 2],
        }]
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        use Step::*;
        // Once the agent's lease has run out, or both tasks are gone, nothing more can happen.
        if s.now >= self.until || s.now > s.from + LEASE || s.on == [false; 2] {
            return Vec::new();
        }
        let links = [
            StoreRequest(F),
            StoreRequest(T),
            StoreRequest(2),
            Hear,
            HearCopy,
        ];
        let all = [Tick, Confirm, CrashF, ReadF, ReadT, Renew];
        let next = |step: Step| Some((step, self.step(s, step)?));
        all.into_iter().chain(links).filter_map(next).collect()
    }

    fn broken(&self, s: &State) -> Option<String> {
        let late = |job: &usize| s.on[*job] && s.told[*job].is_some_and(|t| s.now > t + CANCEL);
        let job = (0..2).find(late).filter(|_| s.now <= s.from + LEASE)?;
        Some(format!(
            "job {job} is there, long after its user was told that it is cancelled"
        ))
    }
}

fn words(without: Without, ticks: Time, crashes: bool, hears: Hears) -> Words {
    Words {
        without,
        until: START + ticks,
        crashes,
        hears,
    }
}

/// With both there are 970,593 states without copies; all of these were looked at on 2026-12-02, and here the first
/// 200,000 are, with them.
#[test]
fn no_task_outlives_its_cancellation_however_it_is_passed_on() {
    for (crashes, hears, whole) in [
        (true, Hears::F, true),
        (true, Hears::T, true),
        (false, Hears::Both, false),
    ] {
        let most = if whole { 2_000_000 } else { 200_000 };
        let seen = explore(&words(Without::Nothing, 5, crashes, hears), most);
        println!("{hears:?}, crashes {crashes}: {}", seen.story());
        let fine = match seen {
            Seen::All { .. } => true,
            Seen::TooMany { .. } => !whole,
            Seen::Broken { .. } => false,
        };
        assert!(fine, "{}", seen.story());
    }
}

#[test]
fn each_line_that_is_taken_out_is_missed() {
    for (without, crashes, hears) in [
        (Without::Stop, false, Hears::F),
        (Without::Whole, false, Hears::F),
        (Without::Run, true, Hears::F),
        (Without::PassOn, false, Hears::T),
        (Without::Vouchers, false, Hears::T),
        (Without::Unread, true, Hears::F),
        (Without::Grace, false, Hears::F),
    ] {
        let seen = explore(&words(without, 6, crashes, hears), 1_000_000);
        assert!(
            matches!(seen, Seen::Broken { .. }),
            "{without:?}: {}",
            seen.story()
        );
    }
}
