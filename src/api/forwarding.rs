//! Forwarding of client requests to a peer while the key-value store serves the peer but not this controller.

use crate::controller::routing::{HttpRequest, SUBMISSIONS_PATH};
use crate::controller::{Controller, default_retry_after};
use crate::messages::PendingCall;
use crate::protocol::format::PIPELINES;
use crate::protocol::job::parse;
use crate::protocol::peer_messages::FORWARD_PREFIX;
use crate::protocol::{Clock, Micros};
use crate::state::record_cache::JobLookup;
use crate::transport::Outcome;

/// Timeout of a forwarded status request. Clients time out after 2 s.
const STATUS_TIMEOUT: Micros = Micros::millis(1500);
/// Timeout of a forwarded submission or cancellation. Clients time out after 5 s.
const CHANGE_TIMEOUT: Micros = Micros::millis(4500);

impl Controller {
    /// If the store does not serve this controller, forwards a client request to a peer that the store serves; returns
    /// whether it did. Requests about finished jobs are not forwarded, since the cache holds their final state.
    pub(crate) fn forward_to_peer(&mut self, clock: Clock, request: HttpRequest<'_>) -> bool {
        let Some(job_path) = request.path.strip_prefix(SUBMISSIONS_PATH) else {
            return false;
        };
        let id = job_path.trim_start_matches('/');
        if let Some(JobLookup::Finished(_)) = self.cache.job(id) {
            return false;
        }
        let is_submission = request.method == "POST" && job_path.is_empty();
        if is_submission && self.needs_pipeline_support(request.body) {
            return false;
        }
        let (method, timeout) = match request.method {
            "GET" => ("GET", STATUS_TIMEOUT),
            "POST" => ("POST", CHANGE_TIMEOUT),
            _ => return false,
        };
        let Some(addr) = self.peer_with_store_access(clock) else {
            return false;
        };
        let path = format!("{FORWARD_PREFIX}{}", request.path);
        let pending = PendingCall::ForwardedRequest { conn: request.conn };
        let body = request.body.to_vec();
        self.call(pending, addr, method, &path, body, timeout);
        true
    }

    /// Returns whether a submission depends on other jobs while some peer may not support dependencies: a peer of the
    /// first version would accept the job and ignore them.
    fn needs_pipeline_support(&self, body: &[u8]) -> bool {
        !self.all_controllers_read(PIPELINES)
            && parse(body).is_ok_and(|(_, spec)| !spec.dependencies.is_empty())
    }

    /// Relays the response of the peer to the client.
    pub(crate) fn on_forwarded_response(&mut self, conn: u64, outcome: Outcome) {
        match outcome {
            Outcome::Response { status, body } => {
                self.respond_encoded(conn, status, body, default_retry_after(status));
            }
            _ => self.refuse(conn, 503, "the state service does not answer"),
        }
    }
}
