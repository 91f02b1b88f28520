//! Coverage: the time until which a controller has received the content of all answers of its peers to clients.

use crate::Time;

/// Coverage of each peer, as tracked by one controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerCoverage {
    /// How long a silence pledge is relied on; slightly shorter than the time for which it is kept.
    pledge_reliance: Time,
    /// Per peer: the time until which the content of its answers to clients has been received here.
    covered_until: Vec<Time>,
    /// Per peer: when it last reported, in a heartbeat of its own, that no pledge is active.
    released_at: Vec<Time>,
    /// Per peer: the current sequence of overlapping pledges.
    pledge_chains: Vec<Option<PledgeChain>>,
}

/// Overlapping pledges of one peer. It confirms no further cancellation to clients between start and end.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PledgeChain {
    start: Time,
    end: Time,
}

/// How completely a controller has received the content of a peer's answers to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCompleteness {
    /// The peer has not read the records since it started, so it cannot report the answers of its earlier incarnation.
    RecordsUnread,
    /// The peer may have answered clients with changes that have not been received here.
    Partial,
    /// All changes that the peer had answered clients with when it responded have been received here.
    Complete,
}

/// The content of a peer's heartbeat response that concerns its answers to clients.
#[derive(Debug, Clone, Copy)]
pub struct PeerResponse {
    /// Completeness after the response has been processed.
    pub completeness: AnswerCompleteness,
    /// Whether the response is a silence pledge.
    pub pledges_silence: bool,
}

impl PeerCoverage {
    /// Creates the state in which nothing is covered yet. A pledge is relied on for `pledge_reliance`.
    pub fn new(peers: usize, pledge_reliance: Time) -> PeerCoverage {
        PeerCoverage {
            pledge_reliance,
            covered_until: vec![0; peers],
            released_at: vec![0; peers],
            pledge_chains: vec![None; peers],
        }
    }

    /// Handles a peer's response to the heartbeat sent at `sent`.
    pub fn on_response(&mut self, peer: usize, response: PeerResponse, sent: Time, now: Time) {
        if !response.pledges_silence {
            self.cap_at(peer, now);
        }
        // A peer that has just started has no records. But if the pledge of its earlier incarnation was still active
        // when the new one had already started, neither of them has confirmed a cancellation to clients since that
        // pledge.
        let continues_pledge = response.pledges_silence
            && response.completeness == AnswerCompleteness::RecordsUnread
            && now < self.covered_until[peer];
        // A pledge that arrives after the message that released it does not count.
        let pledge_valid = response.pledges_silence && sent > self.released_at[peer];
        let pledge_end = sent + self.pledge_reliance;
        let previous_chain = self.pledge_chains[peer].take();
        self.pledge_chains[peer] = pledge_valid.then(|| match previous_chain {
            Some(chain) if now < chain.end => PledgeChain {
                start: chain.start,
                end: chain.end.max(pledge_end),
            },
            // The pledge was given before now, so it is in force from now at the latest.
            _ => PledgeChain {
                start: now,
                end: pledge_end,
            },
        });
        if response.completeness == AnswerCompleteness::Complete || continues_pledge {
            let until = if pledge_valid { pledge_end } else { sent };
            self.raise_to(peer, until);
        }
    }

    /// Handles a peer's own report that no pledge is active any longer.
    pub fn on_pledge_released(&mut self, peer: usize, now: Time) {
        self.cap_at(peer, now);
        self.released_at[peer] = now;
        self.pledge_chains[peer] = None;
    }

    /// Handles the report of another peer that it covered this one until `until`; the changes that the other peer had
    /// received must have been received here, too. The report is not a pledge, so it covers no later time by itself.
    pub fn extend(&mut self, peer: usize, until: Time) {
        self.raise_to(peer, until);
        if let Some(chain) = &self.pledge_chains[peer]
            && self.covered_until[peer] >= chain.start
        {
            let end = chain.end;
            self.raise_to(peer, end);
        }
    }

    fn raise_to(&mut self, peer: usize, until: Time) {
        let covered_until = &mut self.covered_until[peer];
        *covered_until = (*covered_until).max(until);
    }

    fn cap_at(&mut self, peer: usize, until: Time) {
        let covered_until = &mut self.covered_until[peer];
        *covered_until = (*covered_until).min(until);
    }

    /// Returns the time until which one peer is covered.
    pub fn covered_until(&self, peer: usize) -> Time {
        self.covered_until[peer]
    }

    /// Returns the time until which all peers are covered; `None` if there are no peers.
    pub fn all_covered_until(&self) -> Option<Time> {
        self.covered_until.iter().copied().min()
    }
}
