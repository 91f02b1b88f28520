//! Dispatches responses of the key-value store to the components that made the requests.

use crate::controller::Controller;
use crate::leadership::format_negotiation::FORMAT_CHECK_INTERVAL;
use crate::messages::StoreRequestPurpose;
use crate::protocol::Clock;
use crate::state::store_client::CompletedRequest;

impl Controller {
    /// Dispatches a response by the purpose of its request.
    pub(super) fn on_store_response(
        &mut self,
        clock: Clock,
        completed: CompletedRequest<StoreRequestPurpose>,
    ) {
        let CompletedRequest {
            purpose,
            request,
            sent_at: sent,
            response,
        } = completed;
        match purpose {
            StoreRequestPurpose::ListRecords => self.on_listing_response(clock, response),
            StoreRequestPurpose::Watch => self.on_watch_response(clock, sent, response),
            StoreRequestPurpose::ReadBarrier => {
                self.on_read_barrier_response(clock, sent, response);
            }
            StoreRequestPurpose::AcceptJobs(ids) => self.on_acceptance_result(clock, ids, response),
            StoreRequestPurpose::CancelJob(id) => {
                self.on_cancellation_result(clock, id, request, response);
            }
            StoreRequestPurpose::LeaderLease => self.on_candidate_lease_response(clock, response),
            StoreRequestPurpose::ClaimLeadership => {
                self.on_claim_response(clock, &request, &response);
            }
            StoreRequestPurpose::RenewLeaderLease => {
                self.on_lease_renewal_response(clock, sent, response);
            }
            StoreRequestPurpose::ReplacementLease => {
                self.on_replacement_lease_response(clock, response);
            }
            StoreRequestPurpose::AttachReplacementLease => {
                self.on_lease_attachment_response(clock, &request, &response);
            }
            StoreRequestPurpose::RaiseTerm => {
                self.on_term_raise_response(clock, &request, &response);
            }
            StoreRequestPurpose::WriteJobs(batch) => {
                self.on_job_writes_result(clock, batch, request, response);
            }
            StoreRequestPurpose::BackgroundWrite => {
                self.apply_if_committed(&request, &response);
            }
            StoreRequestPurpose::BudgetShares => {
                self.on_budget_grant_response(clock, request, response)
            }
            StoreRequestPurpose::TransferLeadership => {
                self.on_transfer_response(clock, &request, &response);
            }
            StoreRequestPurpose::RecordRenewals(machines) => {
                self.on_renewals_write_response(clock, machines, request, sent, response);
            }
            StoreRequestPurpose::RecordFormat => {
                self.format_record_due = Some(clock.now + FORMAT_CHECK_INTERVAL);
                self.apply_if_committed(&request, &response);
            }
        }
    }
}
