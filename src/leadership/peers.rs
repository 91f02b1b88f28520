//! Peers: what controllers tell one another in heartbeats, who vouches for what, and who is heard.

use crate::controller::Controller;
use crate::leadership::election::LEADER_SILENCE_LIMIT;
use crate::messages::PendingCall;
use crate::policy::Policy;
use crate::protocol::Clock;
use crate::protocol::peer_messages::{
    CancellationCursor, CancellationNews, HeartbeatExtension, MOST_CANCELLATIONS, PeerHeartbeat,
    RecordSummary,
};
use crate::protocol::records::JobStage;
use crate::protocol::{Micros, format};
use crate::state::record_cache::RecordCache;
use crate::transport::Outcome;
use lease_delegation::cancellations::{Heard, Log};
use lease_delegation::holder::{KnownLeader, LeaseGrantee};
use lease_delegation::quiet::{PeerAnswer, PeerFreshness, PeerKnowledge, SilencePledges};
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeats among controllers.
const HEARTBEAT_TIMEOUT: Micros = Micros::millis(2000);
const HEARTBEAT_INTERVAL: Micros = Micros::millis(700);
/// A pledge to tell users nothing new is kept for this long, if nobody hears that it is over. Peers count on
/// a little less, for clocks that drift.
const PLEDGE: Micros = Micros::millis(15_000);
const PLEDGE_COUNTED: Micros = Micros::millis(14_900);

/// What a peer last told.
pub(crate) struct PeerStatus {
    pub(crate) heard: Micros,
    /// Since when it has been heard without a longer silence.
    pub(crate) since: Micros,
    pub(crate) leader_silent_ms: Option<u64>,
    pub(crate) served: bool,
    /// It has told of a format older than the one on record for it, so it has gone back.
    pub(crate) went_back: Option<u32>,
    /// What it asks for of the budget of changes.
    pub(crate) asks: u64,
}

/// What peers have told, and what we have told them.
pub struct Peers {
    beat_at: Micros,
    flying: Vec<bool>,
    /// Whether the heartbeat on its way to each peer said that we are not served.
    said_quiet: Vec<bool>,
    /// Up to when each peer is known to have told users nothing that we do not know.
    vouched: PeerFreshness,
    /// What we have pledged ourselves.
    pub(crate) quiet: SilencePledges,
    /// The right to renew leases that the leader has given us.
    pub(crate) right: LeaseGrantee,
    /// Which run of each peer's process last answered, and when it was asked.
    runs: Vec<Option<(u64, Micros)>>,
    /// What peers have told of the records, and since when we know of that lead; only until we have read them.
    pub(crate) record_summary: Option<(RecordSummary, Micros)>,
    /// What we know to be cancelled, for peers to ask.
    log: Log,
    /// What peers have told us to be cancelled that the copy may not show yet.
    pub(crate) heard: Heard,
    /// A peer that has more to tell.
    again: Option<usize>,
    /// Who was last heard to lead, and when.
    leader_heard: Option<(String, Micros)>,
    pub(crate) view: BTreeMap<String, PeerStatus>,
}

impl Peers {
    /// Nothing is heard of any yet.
    pub fn new(peers: usize, policy: &Policy, now: Micros) -> Peers {
        let life = |pledge: Micros| if policy.pledges >= 1.0 { pledge.0 } else { 0 };
        Peers {
            beat_at: now,
            flying: vec![false; peers],
            said_quiet: vec![true; peers],
            vouched: PeerFreshness::new(peers, life(PLEDGE_COUNTED)),
            quiet: SilencePledges::new(peers, life(PLEDGE), now.0),
            right: LeaseGrantee::default(),
            runs: vec![None; peers],
            record_summary: None,
            log: Log::default(),
            heard: Heard::new(peers),
            again: None,
            leader_heard: None,
            view: BTreeMap::new(),
        }
    }
}

impl Controller {
    pub(crate) fn send_peer_heartbeats(&mut self, clock: Clock) -> Micros {
        if self.peers.beat_at <= clock.now {
            // Whether or not anybody asks: the copy would keep the names for good, the log is bounded.
            self.log_cancelled();
            self.peers.beat_at = clock.now + HEARTBEAT_INTERVAL;
            for i in 0..self.settings.peers.len() {
                if !self.peers.flying[i] {
                    self.ask_sibling(clock, i);
                }
            }
        }
        if let Some(i) = self.peers.again.take()
            && !self.peers.flying[i]
        {
            self.ask_sibling(clock, i);
        }
        self.peers.beat_at
    }

    fn ask_sibling(&mut self, clock: Clock, i: usize) {
        let mut beat = self.heartbeat(clock);
        let cursor = self.peers.heard.cursor(i);
        beat.knows = self.complete().map(|complete| CancellationCursor {
            complete,
            heard: (cursor.run, cursor.next),
        });
        let s = &mut self.peers;
        s.flying[i] = true;
        s.said_quiet[i] = beat.more.is_some_and(|m| m.quiet);
        let addr = self.settings.peers[i].address;
        let tag = PendingCall::PeerHeartbeat {
            peer: i,
            sent_at: clock.now,
        };
        self.call(
            tag,
            addr,
            "POST",
            "/heartbeat",
            beat.encode(),
            HEARTBEAT_TIMEOUT,
        );
    }

    /// Up to which revision everything is known that has been cancelled: by the records, or by what peers
    /// have told of them to one that cannot read them.
    fn complete(&self) -> Option<u64> {
        match (&self.peers.record_summary, self.cache.synced) {
            (_, true) => Some(self.cache.revision),
            (Some((g, _)), false) => Some(g.revision),
            (None, false) => None,
        }
    }

    fn heartbeat(&self, clock: Clock) -> PeerHeartbeat {
        let grace = self.staleness_bound();
        PeerHeartbeat {
            node: self.settings.node.clone(),
            leading: self
                .leader
                .as_ref()
                .filter(|l| clock.now < l.vouched.max(l.last_confirmed_read) + grace)
                .map(|l| l.term),
            leader_silent_ms: self
                .peers
                .leader_heard
                .as_ref()
                .map(|(_, t)| clock.now.since(*t).0 / 1000),
            newest: self
                .cache
                .synced
                .then_some(self.cache.last_cancellation_or_claim),
            served: self.store_available(),
            format: format::NEWEST,
            asks: self.budget.asks(),
            epoch: self
                .cache
                .budget_shares
                .as_ref()
                .map_or(0, |(g, _)| g.epoch),
            more: Some(HeartbeatExtension {
                run: self.incarnation,
                right: None,
                used_ago: self.peers.right.used_ago(clock.now.0),
                quiet: self.policy.pledges >= 1.0 && !self.store_available(),
            }),
            record_summary: None,
            knows: None,
            news: None,
        }
    }

    /// What a peer that has not read the records has to know of them; only while nobody can read them, so that
    /// it stays true.
    fn record_summary_for(&self, clock: Clock) -> Option<RecordSummary> {
        let known = self.peer_knowledge_ages(clock);
        // What we have heard belongs to it: what we know of others rests on that, too.
        let heard = self.peers.heard.jobs();
        if !self.cache.synced {
            // What we were told ourselves.
            let (told, _) = self.peers.record_summary.as_ref()?;
            let cancelled: BTreeSet<&String> = told.cancelled.iter().chain(heard).collect();
            return Some(RecordSummary {
                known,
                cancelled: cancelled.into_iter().cloned().collect(),
                ..told.clone()
            });
        }
        let (lead, _) = self.cache.lead.as_ref()?;
        let jobs = self.cache.jobs.iter();
        let cancelled = jobs.filter(|(_, j)| j.rec.stage == JobStage::Cancelled);
        Some(RecordSummary {
            lead: (lead.node.clone(), lead.incarnation, lead.term),
            revision: self.cache.revision,
            cancelled: cancelled.map(|(id, _)| id).chain(heard).cloned().collect(),
            known,
        })
    }

    /// For each peer, how long ago we last knew of everything that it had told users.
    fn peer_knowledge_ages(&self, clock: Clock) -> Vec<(String, u64)> {
        let peers = self.settings.peers.iter().enumerate();
        let ago = |i| {
            let until = self.peers.vouched.of(i).max(self.confirmed_read_at.0);
            clock.now.0.saturating_sub(until)
        };
        peers.map(|(i, s)| (s.node.clone(), ago(i))).collect()
    }

    /// What of our log a peer does not know that knows so much of it; none: we cannot tell it all.
    fn cancellation_news(
        &mut self,
        clock: Clock,
        knows: &CancellationCursor,
    ) -> Option<CancellationNews> {
        self.log_cancelled();
        let from = knows.from(self.incarnation);
        let log = &self.peers.log;
        let batch = log.batch(from, knows.complete, MOST_CANCELLATIONS)?;
        Some(CancellationNews {
            lead: self.cache.lead.as_ref().map_or(0, |(_, v)| *v),
            from: batch.from,
            next: batch.next,
            more: batch.more,
            jobs: batch.jobs,
            known: self.peer_knowledge_ages(clock),
        })
    }

    /// What the copy has newly shown to be cancelled goes into our log.
    fn log_cancelled(&mut self) {
        for (job, version) in self.cache.take_cancelled() {
            self.peers.log.learn(&job, version);
        }
    }

    /// A peer has told of cancellations. What we learn by it we pass on, and stop at once. Returns whether
    /// we know now of everything that it had told users.
    fn on_cancellations(
        &mut self,
        clock: Clock,
        i: usize,
        run: u64,
        news: &CancellationNews,
    ) -> bool {
        let now = clock.now;
        let heard = &mut self.peers.heard;
        let (new, all) = heard.take(i, run, &news.batch(), now.0);
        if !new.is_empty() {
            let from = &self.settings.peers[i].node;
            log::debug!("{from} tells of {} cancelled jobs", new.len());
        }
        for (job, version) in new {
            if let (Some(l), Some(held)) = (&mut self.leader, self.cache.jobs.get(&job)) {
                let places = held.entries().filter_map(|e| e.machine());
                l.touched.extend(places.map(str::to_string));
            }
            self.peers.log.learn(&job, version);
        }
        if news.more {
            // The rest is asked for without waiting for the next heartbeat's time.
            self.peers.again = Some(i);
        }
        let lead = self.cache.lead.as_ref().map_or(0, |(_, v)| *v);
        let complete = self.complete().unwrap_or(0);
        all && news.lead <= lead.max(complete)
    }

    /// Which of the peers in the settings has this name.
    pub(crate) fn peer(&self, node: &str) -> Option<usize> {
        self.settings.peers.iter().position(|s| s.node == node)
    }

    /// Takes in what a peer, asked at `sent`, tells of the records.
    fn on_record_summary(&mut self, clock: Clock, sent: Micros, mut record_summary: RecordSummary) {
        let newer = |(g, _): &(RecordSummary, Micros)| g.revision > record_summary.revision;
        if self.cache.synced || self.peers.record_summary.as_ref().is_some_and(newer) {
            return;
        }
        self.learn_known(None, sent, &record_summary.known);
        let before = self.peers.record_summary.as_ref();
        // Who tells of newer records may not have heard what somebody else had; a cancellation is final.
        let earlier = before.iter().flat_map(|(g, _)| g.cancelled.iter().cloned());
        record_summary.cancelled.extend(earlier);
        record_summary.cancelled.sort_unstable();
        record_summary.cancelled.dedup();
        let since = before
            .filter(|(g, _)| g.lead == record_summary.lead)
            .map(|(_, t)| *t);
        if since.is_none() {
            log::info!(
                "told of the records up to revision {}",
                record_summary.revision
            );
        }
        self.peers.record_summary = Some((record_summary, since.unwrap_or(clock.now)));
    }

    /// A peer, asked at `sent`, knew all that others had told so long before it answered; `of`: itself left out.
    fn learn_known(&mut self, of: Option<usize>, sent: Micros, known: &[(String, u64)]) {
        for (node, ago) in known {
            if let Some(i) = self.peer(node).filter(|i| Some(*i) != of) {
                let until = sent.0.saturating_sub(*ago);
                self.peers.vouched.learnt(i, until);
            }
        }
    }

    /// Whether a job is known to be cancelled, from the records or from a peer.
    pub(crate) fn is_cancelled(&self, job: &str) -> bool {
        let told = |(g, _): &(RecordSummary, Micros)| g.cancelled.iter().any(|c| c == job);
        known_cancelled(&self.cache, &self.peers.heard, job)
            || self.peers.record_summary.as_ref().is_some_and(told)
    }

    /// Answers a peer's heartbeat. While the state service does not serve us, the answer is a pledge to tell
    /// users nothing that the peer may not know of, and if we lead, it gives the right to renew leases: with
    /// both, others can keep the agents alive should we be lost.
    pub(crate) fn respond_to_heartbeat(&mut self, clock: Clock, h: PeerHeartbeat) -> PeerHeartbeat {
        let (theirs, from, unread) = (h.more, h.node.clone(), h.newest.is_none());
        let knows = h.knows;
        self.on_heartbeat(clock, h);
        let mut beat = self.heartbeat(clock);
        if let Some(knows) = knows {
            beat.news = self.cancellation_news(clock, &knows);
        }
        let (served, peer) = (self.store_available(), self.peer(&from));
        let (Some(more), Some(theirs), Some(i)) = (&mut beat.more, theirs, peer) else {
            return beat;
        };
        if more.quiet {
            self.peers
                .quiet
                .pledge(i, self.cache.last_cancellation_or_claim, clock.now.0);
        }
        if let (Some(l), false, Some(term)) = (&mut self.leader, served, beat.leading) {
            more.right = Some(term);
            l.rights.give(&from, theirs.run, clock.now.0);
        }
        if more.quiet && unread {
            beat.record_summary = self.record_summary_for(clock);
        }
        beat
    }

    /// What a peer's answer tells of runs, rights and pledges.
    fn on_more(&mut self, clock: Clock, i: usize, sent: Micros, more: HeartbeatExtension) {
        let now = clock.now.0;
        let again = self.peers.runs[i].is_some_and(|(run, _)| run != more.run);
        if again {
            log::info!("{} has started again", self.settings.peers[i].node);
        }
        self.peers.runs[i] = Some((more.run, sent));
        self.peers.right.take(more.right, more.run, sent.0);
        if let Some(l) = &mut self.leader {
            let node = &self.settings.peers[i].node;
            l.rights.told(node, more.run, sent.0, now, more.used_ago);
        }
    }

    /// The lead on record, as we know it, and whether its process has ended: a process that
    /// has answered as another run, asked after we knew of the lead, does not lead any more. A connection
    /// that is refused, and silence, tell nothing of the kind.
    pub(crate) fn known_leader(&self) -> Option<KnownLeader> {
        let (node, run, term, since) = match (&self.cache.lead, &self.peers.record_summary) {
            (Some((l, version)), _) if self.cache.synced => {
                let since = Some(self.leader_record_seen.1)
                    .filter(|_| self.leader_record_seen.0 == *version);
                (&l.node, l.incarnation, l.term, since)
            }
            (_, Some((g, since))) if !self.cache.synced => {
                (&g.lead.0, g.lead.1, g.lead.2, Some(*since))
            }
            _ => return None,
        };
        let ended = if *node == self.settings.node {
            run != self.incarnation
        } else {
            let i = self.peer(node)?;
            self.peers.runs[i]
                .is_some_and(|(r, asked)| r != run && since.is_some_and(|t| asked >= t))
        };
        Some(KnownLeader { term, run, ended })
    }

    /// The leader's process has ended and started again.
    pub(crate) fn leader_process_restarted(&self) -> bool {
        self.known_leader().is_some_and(|l| l.ended)
    }

    /// Up to when everything is known that users were told, and every change of the lead: from the store or
    /// from all peers.
    pub(crate) fn known_until(&self) -> Micros {
        let told = self.peers.vouched.all().map_or(Micros::ZERO, Micros);
        self.confirmed_read_at.max(told)
    }

    /// A peer has answered a heartbeat of ours, or not. If it knows of no cancellation and no
    /// change of the lead that we do not know of, it vouches for our renewals as of when we asked.
    pub(crate) fn on_heartbeat_response(
        &mut self,
        clock: Clock,
        i: usize,
        sent: Micros,
        outcome: Outcome,
    ) {
        self.peers.flying[i] = false;
        let Outcome::Reply { status: 200, body } = outcome else {
            return;
        };
        let name = &self.settings.peers[i].node;
        let h = match PeerHeartbeat::decode(&body) {
            Ok(h) if h.node == *name => h,
            Ok(h) => {
                log::warn!("an answer of {name} is dropped: it is {}'s", h.node);
                return;
            }
            Err(e) => {
                log::warn!("an answer of {name} is dropped: {e}");
                return;
            }
        };
        let more = h.more.unwrap_or_default();
        let mut h = h;
        if let Some(record_summary) = h.record_summary.take() {
            self.on_record_summary(clock, sent, record_summary);
        }
        if !self.peers.said_quiet[i] {
            // It was told that we have pledged nothing, and has answered.
            self.peers.quiet.heard(i, sent.0, clock.now.0);
        }
        let vouchers = h.news.as_ref().map_or(Vec::new(), |n| n.known.clone());
        let known = match (h.newest, h.news.take(), h.more) {
            (None, ..) => PeerKnowledge::Unread,
            (Some(_), Some(news), Some(more)) => {
                let all = self.on_cancellations(clock, i, more.run, &news);
                if all {
                    PeerKnowledge::All
                } else {
                    PeerKnowledge::Some
                }
            }
            // Of an older format, or it cannot tell us all. Only what the copy is complete up to counts: a
            // commit of our own may have a higher revision than one of theirs that we have not seen.
            (Some(newest), ..) if newest <= self.complete().unwrap_or(0) => PeerKnowledge::All,
            _ => PeerKnowledge::Some,
        };
        let answer = PeerAnswer {
            known,
            quiet: more.quiet,
        };
        let vouched = &mut self.peers.vouched;
        vouched.answered(i, answer, sent.0, clock.now.0);
        if known == PeerKnowledge::All {
            // Whatever it knew of others we know now, too.
            self.learn_known(Some(i), sent, &vouchers);
        }
        if h.more.is_some() {
            self.on_more(clock, i, sent, more);
        }
        self.on_heartbeat(clock, h);
        self.note_vouched();
    }

    fn note_vouched(&mut self) {
        if let (Some(l), Some(all)) = (&mut self.leader, self.peers.vouched.all()) {
            l.vouched = Micros(all);
        }
    }

    fn on_heartbeat(&mut self, clock: Clock, h: PeerHeartbeat) {
        self.connectivity.peer(clock.now);
        self.highest_term_seen = self.highest_term_seen.max(h.leading.unwrap_or(0));
        if let (Some(theirs), Some(l)) = (h.leading, &self.leader)
            && theirs > l.term
        {
            // Cut off from the store, we would learn it late; the agents should not wait.
            self.step_down("another controller leads with a higher term");
        }
        if h.leading.is_some() {
            self.peers.leader_heard = Some((h.node.clone(), clock.now));
        }
        let peer = self.peer(&h.node);
        if let (Some(i), false) = (peer, h.more.unwrap_or_default().quiet) {
            self.peers.vouched.lifted(i, clock.now.0);
            self.note_vouched();
        }
        let before = self.peers.view.get(&h.node);
        let since = before
            .filter(|v| clock.now.since(v.heard) < LEADER_SILENCE_LIMIT)
            .map_or(clock.now, |v| v.since);
        let view = PeerStatus {
            heard: clock.now,
            since,
            leader_silent_ms: h.leader_silent_ms,
            served: h.served,
            went_back: Some(h.format).filter(|f| *f < self.cache.format_of(&h.node).0),
            asks: h.asks,
        };
        if h.epoch > 0 {
            self.budget.told(&h.node, h.epoch);
        }
        self.peers.view.insert(h.node, view);
    }

    /// Whether everybody who can be asked has lost sight of the leader. A takeover while it
    /// still lives costs a moment and is safe: the term fences it.
    pub(crate) fn leader_suspected(&self, clock: Clock, leader: &str) -> bool {
        let Some((heard, at)) = &self.peers.leader_heard else {
            return false;
        };
        if heard != leader || clock.now.since(*at) < LEADER_SILENCE_LIMIT {
            return false;
        }
        // One that is cut off by itself must not take the lead from the rest: somebody else has
        // to miss the leader, too. Otherwise the lease in the store decides. Where controllers could
        // not reach one another and can again, it is luck whom one hears first: somebody's word counts
        // only once they have been heard for as long as a leader may be silent.
        let recent = |v: &PeerStatus| clock.now.since(v.heard) < LEADER_SILENCE_LIMIT;
        let steady = |v: &PeerStatus| clock.now.since(v.since) >= LEADER_SILENCE_LIMIT;
        let views = self.peers.view.iter();
        let others: Vec<&PeerStatus> = views
            .filter(|(n, v)| *n != leader && recent(v))
            .map(|(_, v)| v)
            .collect();
        others.iter().any(|v| steady(v))
            && others.iter().all(|v| {
                let silent = v.leader_silent_ms;
                silent.is_none_or(|ms| ms * 1000 >= LEADER_SILENCE_LIMIT.0)
            })
    }

    /// How long nothing has been heard from the controller that leads, in whatever role; none:
    /// it was never heard.
    pub fn leader_silence(&self, clock: Clock, leader: &str) -> Option<Micros> {
        self.peers
            .view
            .get(leader)
            .map(|v| clock.now.since(v.heard))
    }

    /// We have read the records, and the state service serves us.
    pub fn store_available(&self) -> bool {
        self.cache.synced && !self.store.is_unresponsive()
    }

    /// The address of a peer that the state service serves while it does not serve us; the
    /// leader first.
    pub fn peer_with_store(&self, clock: Clock) -> Option<std::net::SocketAddr> {
        if self.store_available() {
            return None;
        }
        let leader = self.cache.lead.as_ref().map(|(l, _)| l.node.as_str());
        let mut found = None;
        for s in &self.settings.peers {
            let fit = self
                .peers
                .view
                .get(&s.node)
                .is_some_and(|v| v.served && clock.now.since(v.heard) < LEADER_SILENCE_LIMIT);
            if fit && (found.is_none() || leader == Some(s.node.as_str())) {
                found = Some(s.address);
            }
        }
        found
    }
}

/// Whether a job is cancelled, by the records or by what peers have told. A job that the records show as done
/// stays so, whatever anybody says.
pub fn known_cancelled(cache: &RecordCache, heard: &Heard, job: &str) -> bool {
    cache.is_cancelled(job) || heard.contains(job) && !cache.is_done(job)
}
