//! Request routing: dispatches a request to a component by listener, method and path.

use crate::api::client_api::CacheFreshness;
use crate::controller::Controller;
use crate::protocol::Clock;
use crate::protocol::agent_api::{AgentHeartbeat, Misdirected};
use crate::protocol::peer_messages::{FORWARD_PREFIX, PeerHeartbeat};
use crate::state::agent::parse_agent_heartbeat;

/// Path of health checks from the load balancer.
const HEALTH_PATH: &str = "/healthz";
/// Path of heartbeats from agents. On the internal listener, path of agent heartbeats that a peer relays to the leader.
const AGENT_HEARTBEAT_PATH: &str = "/hello";
/// Path of heartbeats from peers, on the internal listener.
const PEER_HEARTBEAT_PATH: &str = "/heartbeat";
/// Path for the submission of jobs.
pub(crate) const SUBMISSIONS_PATH: &str = "/submissions";
/// Prefix of the path of a job.
const JOB_PREFIX: &str = "/submissions/";
/// Suffix of the path that cancels a job.
pub(crate) const CANCEL_SUFFIX: &str = "/cancel";

/// An HTTP request from a client, an agent or a peer.
#[derive(Debug, Clone, Copy)]
pub struct HttpRequest<'a> {
    /// Connection that the response goes to.
    pub conn: u64,
    /// Method, in upper case.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Body; empty if there is none.
    pub body: &'a [u8],
}

/// Destination of a request on the public listener.
enum Route<'a> {
    Health,
    AgentHeartbeat,
    Submit,
    JobStatus(&'a str),
    CancelJob(&'a str),
    MethodNotAllowed,
    NotFound,
}

/// Determines the destination of a request; `path` has no query.
fn route<'a>(method: &str, path: &'a str) -> Route<'a> {
    let job_path = path.strip_prefix(JOB_PREFIX);
    match (method, path, job_path) {
        ("GET", HEALTH_PATH, _) => Route::Health,
        ("POST", AGENT_HEARTBEAT_PATH, _) => Route::AgentHeartbeat,
        ("POST", SUBMISSIONS_PATH, _) => Route::Submit,
        ("GET", _, Some(id)) if !id.contains('/') => Route::JobStatus(id),
        ("POST", _, Some(rest)) if rest.ends_with(CANCEL_SUFFIX) => {
            Route::CancelJob(rest.trim_end_matches(CANCEL_SUFFIX))
        }
        (_, HEALTH_PATH | AGENT_HEARTBEAT_PATH | SUBMISSIONS_PATH, _) => Route::MethodNotAllowed,
        (_, _, Some(rest)) if !rest.contains('/') || rest.ends_with(CANCEL_SUFFIX) => {
            Route::MethodNotAllowed
        }
        _ => Route::NotFound,
    }
}

impl Controller {
    /// Handles a request on the public listener, or forwards it to a peer if the store does not serve this controller.
    pub(super) fn on_public_request(&mut self, clock: Clock, request: HttpRequest<'_>) {
        if !self.forward_to_peer(clock, request) {
            self.on_client_request(clock, request);
        }
    }

    /// Handles a request on the internal listener, which only peers can reach.
    pub(super) fn on_internal_request(&mut self, clock: Clock, request: HttpRequest<'_>) {
        match request.path {
            PEER_HEARTBEAT_PATH => self.on_peer_heartbeat(clock, request.conn, request.body),
            AGENT_HEARTBEAT_PATH => {
                self.on_relayed_agent_heartbeat(clock, request.conn, request.body)
            }
            _ => match request.path.strip_prefix(FORWARD_PREFIX) {
                Some(path) => self.on_client_request(clock, HttpRequest { path, ..request }),
                None => self.refuse(request.conn, 404, "no such path"),
            },
        }
    }

    fn on_client_request(&mut self, clock: Clock, request: HttpRequest<'_>) {
        let conn = request.conn;
        let path = request.path.split('?').next().unwrap_or("");
        match route(request.method, path) {
            Route::Health => self.on_health_check(conn),
            Route::AgentHeartbeat => self.on_agent_heartbeat(clock, conn, request.body),
            Route::Submit => self.on_submit(clock, conn, request.body),
            Route::JobStatus(id) => {
                self.on_status_request(clock, conn, id.to_string(), CacheFreshness::Unconfirmed);
            }
            Route::CancelJob(id) => {
                self.on_cancel(clock, conn, id.to_string(), CacheFreshness::Unconfirmed);
            }
            Route::MethodNotAllowed => self.refuse(conn, 405, "method not allowed"),
            Route::NotFound => self.refuse(conn, 404, "no such path"),
        }
    }

    fn on_health_check(&mut self, conn: u64) {
        if !self.cache.synced {
            self.refuse(conn, 503, "still reading the records");
        } else if self.connectivity.health_check_failing() {
            let error = "neither the state service nor a sibling answers";
            self.refuse(conn, 503, error);
        } else {
            self.respond(conn, 200, &());
        }
    }

    fn on_peer_heartbeat(&mut self, clock: Clock, conn: u64, body: &[u8]) {
        match PeerHeartbeat::decode(body) {
            Ok(heartbeat) => {
                let response = self.respond_to_heartbeat(clock, heartbeat).encode();
                self.respond_encoded(conn, 200, response, None);
            }
            Err(error) => {
                log::warn!("peer heartbeat dropped error=\"{error}\"");
                self.refuse(conn, 400, "not a heartbeat");
            }
        }
    }

    /// Handles an agent heartbeat that a peer relayed because it considers this controller the leader.
    fn on_relayed_agent_heartbeat(&mut self, clock: Clock, conn: u64, body: &[u8]) {
        match (parse_agent_heartbeat(body), &self.leader) {
            (Some(heartbeat), Some(leader)) if heartbeat.term <= leader.term => {
                self.leader_heartbeat(clock, conn, heartbeat, true);
            }
            _ => self.refuse(conn, 503, "not leading"),
        }
    }

    fn on_agent_heartbeat(&mut self, clock: Clock, conn: u64, body: &[u8]) {
        let Some(heartbeat) = parse_agent_heartbeat(body) else {
            self.refuse(conn, 400, "not a report");
            return;
        };
        if heartbeat.zone != self.settings.zone {
            self.connectivity.on_remote_agent_contact(clock.now);
        }
        if self.leader.is_none() {
            self.on_heartbeat_as_follower(clock, conn, heartbeat);
            return;
        }
        if self
            .connectivity
            .should_redirect(&heartbeat.machine, clock.now)
        {
            log::info!(
                "agent heartbeat redirected machine={} reason=isolated",
                heartbeat.machine
            );
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        if self.leader_deposed_by(&heartbeat) {
            self.highest_term_seen = self.highest_term_seen.max(heartbeat.term);
            self.step_down("an agent has seen a higher term");
            self.respond(conn, 421, &Misdirected::default());
            return;
        }
        self.leader_heartbeat(clock, conn, heartbeat, false);
    }

    /// Returns whether the heartbeat shows that a controller with a higher term has become leader.
    fn leader_deposed_by(&self, heartbeat: &AgentHeartbeat) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|leader| heartbeat.term > leader.term)
    }
}
