//! The renewals record, which names the machines whose leases this follower renews.

use super::{Leadership, PendingHeartbeat};
use crate::controller::Controller;
use crate::messages::{PendingRequest, StoreRequestPurpose};
use crate::protocol::key_value_api::{Change, Transaction, VersionCondition};
use crate::protocol::records::{LEADER_KEY, RenewalsRecord, renewals_key};
use crate::protocol::{Clock, Micros};
use crate::state::store_client::{RequestPriority, StoreRequest, StoreResponse};
use std::collections::BTreeSet;

/// The record is rewritten at this interval to show the leader that this controller is alive.
pub const RECORD_REFRESH_INTERVAL: Micros = Micros::millis(10_000);
/// Minimum time between two writes. Each write names all machines, and after a takeover hundreds of agents arrive
/// within one or two seconds, so their machines are batched.
const MIN_WRITE_INTERVAL: Micros = Micros::millis(200);
/// Fraction of this controller's write budget that the record may use.
const WRITE_BUDGET_SHARE: f64 = 0.5;
/// Minimum time between attempts to clear the record of an earlier incarnation.
const CLEAR_RETRY_INTERVAL: Micros = Micros::millis(1_000);
/// A record that is too large is shortened by this fraction of its machines at a time (its reciprocal).
const OVERFLOW_STEPS: usize = 10;
/// Maximum ratio between the rates of a controller's clock and an agent's clock.
const CLOCK_DRIFT_FACTOR: f64 = 1.002;
/// Maximum delay of a timer, in seconds.
const TIMER_MARGIN_S: f64 = 0.5;

/// A transaction that writes the record, and the machines that it names.
struct RecordWrite {
    machines: Vec<String>,
    transaction: Transaction,
}

/// The record of the first of these machines, as many as fit into `max_parts` parts of at most `max_bytes` each.
fn fitting_parts(
    term: u64,
    machines: &[&String],
    max_bytes: usize,
    max_parts: usize,
) -> Vec<RenewalsRecord> {
    let mut count = machines.len();
    loop {
        let mut names = machines[..count].to_vec();
        names.sort_unstable();
        let parts = RenewalsRecord::split(term, names.into_iter(), max_bytes);
        if parts.len() <= max_parts || count == 0 {
            return parts;
        }
        count -= count.div_ceil(OVERFLOW_STEPS);
    }
}

impl Controller {
    /// Writes the record, unless a write is in flight or the last one was too recent.
    pub(super) fn write_renewals_record(&mut self, clock: Clock) {
        if self.renewals.write_in_flight || clock.now < self.next_record_write_at() {
            return;
        }
        let write = self.build_record_write();
        let write_rate = self.store.write_rate() * WRITE_BUDGET_SHARE;
        let renewals = &mut self.renewals;
        renewals.write_in_flight = true;
        // From now on the record may omit the machines that this write omits.
        let named: BTreeSet<&String> = write.machines.iter().collect();
        renewals
            .recorded_machines
            .retain(|machine| named.contains(machine));
        renewals.last_write_at = clock.now;
        renewals.write_delay = Micros::secs(write.transaction.changes.len() as f64 / write_rate);
        self.store.enqueue(
            RequestPriority::Urgent,
            StoreRequestPurpose::RecordRenewals(write.machines),
            StoreRequest::Transaction(write.transaction),
        );
    }

    fn next_record_write_at(&self) -> Micros {
        let renewals = &self.renewals;
        renewals.last_write_at + renewals.write_delay.max(MIN_WRITE_INTERVAL)
    }

    /// The transaction that replaces all parts of the record, on condition that the leader record is unchanged.
    fn build_record_write(&self) -> RecordWrite {
        let leadership = self.renewals.leadership;
        let limits = &self.settings.params.state;
        // Machines that do not fit into one transaction are left out, so their leases are not renewed. Those that the
        // record names already come first: their leases may have been renewed.
        let on_record = self.machines_on_record();
        let machines = self.renewals.last_renewals.keys();
        let (mut machines, others): (Vec<&String>, Vec<&String>) =
            machines.partition(|machine| on_record.contains(*machine));
        machines.extend(others);
        let mut parts = fitting_parts(
            leadership.term,
            &machines,
            limits.effective_value_bytes(),
            limits.effective_txn_ops(),
        );
        let named: Vec<String> = parts.iter().flat_map(RenewalsRecord::machines).collect();
        let stored_parts = self.cache.renewals_of(&self.settings.node);
        let empty = RenewalsRecord::new(leadership.term, [].into_iter());
        while parts.len() < stored_parts.len() {
            parts.push(empty.clone());
        }
        let mut conditions = vec![VersionCondition::new(LEADER_KEY, leadership.record_version)];
        let mut changes = Vec::new();
        for (index, part) in parts.iter().enumerate() {
            let key = renewals_key(&self.settings.node, index);
            let stored = stored_parts.get(index).copied().flatten();
            let stored_is_empty = stored.is_some_and(|(record, _)| record.is_empty());
            if index > 0 && part.is_empty() && stored_is_empty {
                continue;
            }
            // Prevents a delayed write whose response was lost from replacing a newer record.
            let stored_version = stored.map_or(0, |(_, version)| *version);
            conditions.push(VersionCondition::new(&key, stored_version));
            changes.push(Change::put(&key, part, None));
        }
        RecordWrite {
            machines: named,
            transaction: Transaction {
                conditions,
                changes,
            },
        }
    }

    /// Handles the response to a write of the record that named these machines.
    pub fn on_renewals_write_response(
        &mut self,
        clock: Clock,
        machines: Vec<String>,
        request: StoreRequest,
        sent_at: Micros,
        response: StoreResponse,
    ) {
        self.renewals.write_in_flight = false;
        match (&response, &request) {
            (StoreResponse::Committed(revision), StoreRequest::Transaction(transaction)) => {
                self.apply_own_commit(transaction, *revision);
                if transaction.conditions[0].version == self.renewals.leadership.record_version {
                    self.on_renewals_recorded(clock, machines, *revision, sent_at);
                }
                self.respond_to_recorded_machines(clock);
            }
            _ => {
                log::info!("delegated renewals not confirmed response={response:?}");
                self.request_read_barrier(clock, PendingRequest::SettleRenewalsWrite);
            }
        }
    }

    /// Responds to the pending heartbeats after a write of the record has failed or was not answered, and the cache has
    /// caught up.
    pub fn settle_renewals_write(&mut self, clock: Clock) {
        if self.renewals.write_in_flight {
            return;
        }
        if self.renewal_leadership_unchanged() {
            self.respond_to_recorded_machines(clock);
        } else {
            self.respond_without_record(clock);
        }
    }

    fn on_renewals_recorded(
        &mut self,
        clock: Clock,
        machines: Vec<String>,
        revision: u64,
        sent_at: Micros,
    ) {
        let renewals = &mut self.renewals;
        log::info!(
            "delegated renewals recorded term={} machines={}",
            renewals.leadership.term,
            machines.len()
        );
        renewals.record_version = revision;
        renewals.recorded_machines = machines.into_iter().collect();
        // The commit proves that the leadership was unchanged; the cache includes all earlier cancellations only after
        // a read.
        if renewals.last_confirmed_read == Micros::ZERO {
            renewals.last_confirmed_read = sent_at;
        }
        self.request_read_barrier(clock, PendingRequest::ConfirmLeadership);
    }

    /// Responds to the pending heartbeats of machines that the record now names; the others wait for the next write.
    fn respond_to_recorded_machines(&mut self, clock: Clock) {
        for (machine, pending) in std::mem::take(&mut self.renewals.pending_heartbeats) {
            if self.renewals.recorded_machines.contains(&machine) {
                self.renew_recorded(clock, pending.connection, &pending.heartbeat);
            } else {
                self.renewals.pending_heartbeats.insert(machine, pending);
            }
        }
        if !self.renewals.pending_heartbeats.is_empty() {
            self.write_renewals_record(clock);
        }
    }

    /// Responds to the pending heartbeats of machines that could not be recorded.
    pub fn respond_without_record(&mut self, clock: Clock) {
        if self.renewals.write_in_flight {
            return;
        }
        for (machine, pending) in std::mem::take(&mut self.renewals.pending_heartbeats) {
            let PendingHeartbeat {
                connection,
                heartbeat,
            } = pending;
            if !self.renewals.recorded_machines.contains(&machine) {
                self.renewals.last_renewals.remove(&machine);
            }
            if self.may_renew_unrecorded(clock, &heartbeat) {
                self.renew_unrecorded(clock, connection, &heartbeat);
            } else {
                self.refuse(connection, 503, "the state service does not answer");
            }
        }
    }

    /// Handles a completed read that was sent at `sent_at`: confirms the renewals if the leader record is unchanged, and
    /// ends them otherwise.
    ///
    /// Only this controller writes its renewals record. So another version than expected is one of its own writes whose
    /// response was lost, or one of its earlier run, and applies from now on. Other unanswered writes are conditional on
    /// the version before and can no longer be carried out.
    pub fn confirm_renewals(&mut self, sent_at: Micros) {
        if !self.renewals.active() {
            return;
        }
        let version = self.cached_renewals_version();
        let record_unchanged = version == self.renewals.record_version;
        let leadership_unchanged = self.renewal_leadership_unchanged();
        if self.renewals.write_in_flight && !(record_unchanged && leadership_unchanged) {
            // The read may already include the write in flight, whose response has not arrived yet.
            return;
        }
        if !leadership_unchanged {
            self.end_renewals();
            return;
        }
        if !record_unchanged {
            let machines = self.machines_on_record();
            log::info!(
                "delegated renewals found on record version={version} machines={}",
                machines.len()
            );
            self.renewals.record_version = version;
            self.renewals.recorded_machines = machines;
        }
        let renewals = &mut self.renewals;
        renewals.last_confirmed_read = renewals.last_confirmed_read.max(sent_at);
    }

    /// Ends the renewals under a leadership that has changed.
    fn end_renewals(&mut self) {
        let renewals = &mut self.renewals;
        log::info!(
            "delegated renewals ended term={} reason=leadership_changed",
            renewals.leadership.term
        );
        renewals.recorded_machines.clear();
        renewals.last_renewals.clear();
    }

    /// Version of this controller's record in the cache; 0 if there is none.
    pub(super) fn cached_renewals_version(&self) -> u64 {
        let record = self.cache.renewals.get(&self.settings.node);
        record.map_or(0, |(_, version)| *version)
    }

    /// Machines that this controller's record in the cache names under the present leadership.
    pub(super) fn machines_on_record(&self) -> BTreeSet<String> {
        let term = self.renewals.leadership.term;
        let parts = self.cache.renewals_of(&self.settings.node);
        let current = parts.into_iter().flatten();
        current
            .filter(|(record, _)| record.term == term)
            .flat_map(|(record, _)| record.machines())
            .collect()
    }

    /// Removes machines whose last renewed leases have expired, and refreshes the record; returns when to check
    /// again.
    pub fn maintain_renewals(&mut self, clock: Clock) -> Micros {
        if self.renewals.write_in_flight {
            return Micros::FAR_FUTURE;
        }
        let lease_s = self.settings.params.agents.lease_s;
        let lease = Micros::secs(lease_s * CLOCK_DRIFT_FACTOR + TIMER_MARGIN_S);
        if !self.renewals.active() {
            return self.clear_inherited_record(clock, lease);
        }
        let renewals = &mut self.renewals;
        let count_before = renewals.last_renewals.len();
        renewals
            .last_renewals
            .retain(|_, renewed_at| clock.now.since(*renewed_at) < lease);
        let any_removed = renewals.last_renewals.len() != count_before;
        if any_removed {
            // The leases of the removed machines are no longer renewed, even if the write of the record fails.
            let remaining: BTreeSet<String> = renewals.last_renewals.keys().cloned().collect();
            renewals
                .recorded_machines
                .retain(|machine| remaining.contains(machine));
        }
        let refresh_at = renewals.last_write_at + RECORD_REFRESH_INTERVAL;
        if any_removed
            || !renewals.pending_heartbeats.is_empty()
            || renewals.last_renewals.len() != renewals.recorded_machines.len()
            || refresh_at <= clock.now
        {
            self.write_renewals_record(clock);
            return self.next_record_write_at();
        }
        let last_renewals = renewals.last_renewals.values();
        let next_expiry = last_renewals.map(|renewed_at| *renewed_at + lease).min();
        next_expiry.unwrap_or(Micros::FAR_FUTURE).min(refresh_at)
    }

    /// Clears the record of an earlier incarnation of this controller once the leases that it renewed have expired;
    /// returns when to check again.
    fn clear_inherited_record(&mut self, clock: Clock, lease: Micros) -> Micros {
        let own_records = self.cache.renewals_of(&self.settings.node);
        let recorded_term = own_records
            .into_iter()
            .flatten()
            .find(|(record, _)| !record.is_empty())
            .map(|(record, _)| record.term);
        let leadership = self
            .cache
            .leader
            .as_ref()
            .map(|(record, version)| Leadership {
                term: record.term,
                record_version: *version,
            });
        let Some(leadership) =
            leadership.filter(|leadership| recorded_term == Some(leadership.term))
        else {
            return Micros::FAR_FUTURE;
        };
        let expired_at = self.started_at.max(self.renewals.last_renewal_at) + lease;
        let retry_at = self.renewals.last_write_at + CLEAR_RETRY_INTERVAL;
        if clock.now < expired_at || clock.now < retry_at {
            return expired_at.max(clock.now + CLEAR_RETRY_INTERVAL);
        }
        let record_version = self.cached_renewals_version();
        self.renewals.reset(leadership, record_version);
        self.write_renewals_record(clock);
        Micros::FAR_FUTURE
    }
}

#[cfg(test)]
mod tests;
