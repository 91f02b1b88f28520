//! Responses of the key-value store, dispatched to the component that made the request.

use crate::controller::Controller;
use crate::leadership::format_negotiation::FORMAT_CHECK_INTERVAL;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::state::store_client::CompletedRequest;

impl Controller {
    /// Dispatches the response to a request by the purpose of the request.
    pub(super) fn on_store_response(
        &mut self,
        clock: Clock,
        completed: CompletedRequest<StoreRequestPurpose>,
    ) {
        let CompletedRequest {
            purpose,
            request,
            sent_at: sent,
            response: reply,
        } = completed;
        match purpose {
            StoreRequestPurpose::ListRecords => self.on_listing_response(clock, reply),
            StoreRequestPurpose::Watch => self.on_watch_response(clock, sent, reply),
            StoreRequestPurpose::ReadBarrier => {
                self.on_read_barrier_response(clock, sent, reply);
            }
            StoreRequestPurpose::AcceptJobs(ids) => self.on_acceptance_result(clock, ids, reply),
            StoreRequestPurpose::CancelJob(id) => {
                self.on_cancellation_result(clock, id, request, reply);
            }
            StoreRequestPurpose::LeaderLease => self.on_candidate_lease_response(clock, reply),
            StoreRequestPurpose::ClaimLeadership => {
                self.on_claim_response(clock, &request, &reply);
            }
            StoreRequestPurpose::RenewLeaderLease => {
                self.on_lease_renewal_response(clock, sent, reply);
            }
            StoreRequestPurpose::ReplacementLease => {
                self.on_replacement_lease_response(clock, reply);
            }
            StoreRequestPurpose::AttachReplacementLease => {
                self.on_lease_attachment_response(clock, &request, &reply);
            }
            StoreRequestPurpose::RaiseTerm => {
                self.on_term_raise_response(clock, &request, &reply);
            }
            StoreRequestPurpose::WriteJobs(batch) => {
                self.on_job_writes_result(clock, batch, request, reply);
            }
            StoreRequestPurpose::BackgroundWrite => {
                self.apply_if_committed(&request, &reply);
            }
            StoreRequestPurpose::BudgetShares => {
                self.on_budget_grant_response(clock, request, reply)
            }
            StoreRequestPurpose::TransferLeadership => {
                self.on_transfer_response(clock, &request, &reply);
            }
            StoreRequestPurpose::RecordRenewals(machines) => {
                self.on_renewals_write_response(clock, machines, request, sent, reply);
            }
            StoreRequestPurpose::RecordFormat => {
                self.format_record_due = Some(clock.now + FORMAT_CHECK_INTERVAL);
                self.apply_if_committed(&request, &reply);
            }
        }
    }
}
