//! Commands of a controller to the network: HTTP responses and calls to other machines.

use crate::controller::Controller;
use crate::messages::PendingCall;
use crate::protocol::Micros;
use crate::protocol::client_api::ErrorBody;
use crate::protocol::codec::encode;
use crate::transport::{Call, NetworkCommand};
use std::net::SocketAddr;

/// `Retry-After` of a 503 response for which no better estimate is available, in seconds.
const DEFAULT_RETRY_AFTER_S: u32 = 1;

impl Controller {
    /// Responds to the request on `conn` with a value.
    pub fn respond<T: serde::Serialize>(&mut self, conn: u64, status: u16, body: &T) {
        self.respond_encoded(conn, status, encode(body), None);
    }

    /// Responds with an error text; a 503 carries the default `Retry-After`.
    pub fn refuse(&mut self, conn: u64, status: u16, error: &str) {
        let retry_after = default_retry_after(status);
        self.send_refusal(conn, status, error, retry_after);
    }

    /// Responds with 503 and a `Retry-After` of `seconds`.
    pub fn refuse_with_retry_after(&mut self, conn: u64, error: &str, seconds: u32) {
        self.send_refusal(conn, 503, error, Some(seconds));
    }

    fn send_refusal(&mut self, conn: u64, status: u16, error: &str, retry_after: Option<u32>) {
        let body = encode(&ErrorBody {
            error: error.to_string(),
        });
        self.respond_encoded(conn, status, body, retry_after);
    }

    /// Responds with a body that is encoded already; `retry_after` is in seconds.
    pub(crate) fn respond_encoded(
        &mut self,
        conn: u64,
        status: u16,
        body: Vec<u8>,
        retry_after: Option<u32>,
    ) {
        self.commands.push(NetworkCommand::Respond {
            conn,
            status,
            body,
            retry_after,
        });
    }

    /// Sends a call to a host other than the key-value store; `pending` determines how the response is handled.
    pub fn call(
        &mut self,
        pending: PendingCall,
        addr: SocketAddr,
        method: &'static str,
        path: &str,
        body: Vec<u8>,
        timeout: Micros,
    ) {
        self.last_call_id += 1;
        self.pending_calls.insert(self.last_call_id, pending);
        self.commands.push(NetworkCommand::Call(Call {
            id: self.last_call_id,
            addr,
            method,
            path: path.to_string(),
            body,
            timeout,
        }));
    }

    /// Sends queued requests to the key-value store, as far as this controller's budgets allow.
    pub(crate) fn send_store_requests(&mut self, now: Micros) {
        self.store
            .send_queued(now, &mut self.last_call_id, &mut self.commands);
    }
}

/// Returns the default `Retry-After` of a response with this status, in seconds.
pub(crate) fn default_retry_after(status: u16) -> Option<u32> {
    (status == 503).then_some(DEFAULT_RETRY_AFTER_S)
}
