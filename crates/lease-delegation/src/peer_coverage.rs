//! Coverage: until when a controller knows of everything that its peers have told clients.

use crate::Time;

/// Coverage of each peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PeerCoverage {
    /// How long a silence pledge is relied on: a little less than it is kept.
    pledge_reliance: Time,
    /// Per peer: until when its answers to clients are known here.
    covered_until: Vec<Time>,
    /// Per peer: when it last reported by itself that it has pledged nothing.
    released_at: Vec<Time>,
    /// Per peer: the current sequence of its pledges.
    pledge_chains: Vec<Option<PledgeChain>>,
}

/// Pledges of one peer that overlap: between start and end it has told clients nothing, whatever it told them before.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PledgeChain {
    start: Time,
    end: Time,
}

/// How much is known of what a peer may have told clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCompleteness {
    /// The peer has not read the records since it started, so it does not know what its earlier run told clients.
    RecordsUnread,
    /// It may have told clients something that is not known here.
    Partial,
    /// Everything is known here that it had told clients when it responded.
    Complete,
}

/// What a peer's response says about its answers to clients.
#[derive(Debug, Clone, Copy)]
pub struct PeerResponse {
    /// How much is known after the response.
    pub completeness: AnswerCompleteness,
    /// The response is a silence pledge.
    pub pledges_silence: bool,
}

impl PeerCoverage {
    /// Nothing is covered yet. A pledge is relied on for `pledge_reliance`.
    pub fn new(peers: usize, pledge_reliance: Time) -> PeerCoverage {
        PeerCoverage {
            pledge_reliance,
            covered_until: vec![0; peers],
            released_at: vec![0; peers],
            pledge_chains: vec![None; peers],
        }
    }

    /// A peer has responded to the heartbeat sent at `asked`.
    pub fn on_response(&mut self, peer: usize, response: PeerResponse, sent: Time, now: Time) {
        if !response.pledges_silence {
            self.cap_at(peer, now);
        }
        // A peer that has just started knows nothing. But if the pledge of its earlier run was still active when it had
        // already started, that run has told clients nothing since, and neither has the new run.
        let continues_pledge = response.pledges_silence
            && response.completeness == AnswerCompleteness::RecordsUnread
            && now < self.covered_until[peer];
        // A pledge may be overtaken by the message that releases it.
        let pledge_valid = response.pledges_silence && sent > self.released_at[peer];
        let pledge_end = sent + self.pledge_reliance;
        let previous_chain = self.pledge_chains[peer].take();
        self.pledge_chains[peer] = pledge_valid.then(|| match previous_chain {
            Some(chain) if now < chain.end => PledgeChain {
                start: chain.start,
                end: chain.end.max(pledge_end),
            },
            // The pledge was given before now.
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

    /// A peer has reported by itself that it no longer pledges anything.
    pub fn on_pledge_released(&mut self, peer: usize, now: Time) {
        self.cap_at(peer, now);
        self.released_at[peer] = now;
        self.pledge_chains[peer] = None;
    }

    /// Another peer has reported that at `until` it knew of everything that this one had told clients, and we know what
    /// that peer knew. This is no pledge, so nothing follows for later times.
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

    /// Until when everything is known that one peer has told clients.
    pub fn covered_until(&self, peer: usize) -> Time {
        self.covered_until[peer]
    }

    /// Until when everything is known that all peers have told clients; none: there are no peers.
    pub fn all_covered_until(&self) -> Option<Time> {
        self.covered_until.iter().copied().min()
    }
}
