//! Encoding of requests to the key-value store and of its responses.

use crate::fixtures::{Fixtures, array, map, strings};
use crate::samples::plain_job;
use rmpv::Value;
use walnuttrestle::protocol::Micros;
use walnuttrestle::protocol::codec::to_value;
use walnuttrestle::protocol::key_value_api::{
    Change, Item, ItemPage, LeaseRequest, LeaseResponse, Transaction, TransactionResponse,
    VersionCondition, WatchEvent, WatchResponse,
};
use walnuttrestle::protocol::records;
use walnuttrestle::state::store_client::{
    RequestPriority, StoreClient, StoreRequest, StoreResponse,
};
use walnuttrestle::transport::{NetworkCommand, Outcome};

fn transaction() -> Transaction {
    let condition = |key: &str, version| VersionCondition {
        key: key.into(),
        version,
    };
    let job = Change::Put {
        key: records::job_key("req-17"),
        value: to_value(&plain_job()),
        lease: None,
    };
    let leader_lease = Change::Put {
        key: records::LEADER_LEASE_KEY.into(),
        value: "kernel-1".into(),
        lease: Some(91),
    };
    let delete = Change::Delete {
        key: records::chunk_key("req-17", 1),
    };
    Transaction {
        conditions: vec![
            condition(records::LEADER_KEY, 412),
            condition(records::LEADER_LEASE_KEY, 0),
        ],
        changes: vec![job, leader_lease, delete],
    }
}

/// Returns the method, path and body that `StoreClient` sends for a request.
fn request_bytes(request: StoreRequest) -> Vec<u8> {
    let address = "127.0.0.1:7000".parse().unwrap();
    let mut store = StoreClient::new(address, 100.0, 100.0, 100.0);
    let mut sent = Vec::new();
    store.enqueue(RequestPriority::Urgent, (), request);
    store.send_queued(Micros::millis(10_000), &mut 0, &mut sent);
    let [NetworkCommand::Call(call)] = sent.as_slice() else {
        panic!("expected one call, found {sent:?}");
    };
    let head = format!("{} {}\n", call.method, call.path);
    [head.as_bytes(), &call.body].concat()
}

/// Returns the result that `StoreClient` derives from the HTTP response to a request.
fn interpret_response(request: StoreRequest, status: u16, body: &[u8]) -> StoreResponse {
    let address = "127.0.0.1:7000".parse().unwrap();
    let mut store = StoreClient::new(address, 100.0, 100.0, 100.0);
    let (mut id, mut sent) = (0, Vec::new());
    store.enqueue(RequestPriority::Urgent, (), request);
    store.send_queued(Micros::millis(10_000), &mut id, &mut sent);
    let outcome = Outcome::Response {
        status,
        body: body.to_vec(),
    };
    store
        .on_response(id, &outcome)
        .expect("the response belongs to a pending request")
        .response
}

#[test]
fn store_message_encoding_is_stable() {
    let mut fixtures = Fixtures::open("key_value_api.hex");
    check_store_requests(&mut fixtures);
    check_transaction_responses(&mut fixtures);
    check_listing_responses(&mut fixtures);
    check_watch_responses(&mut fixtures);
    check_lease_messages(&mut fixtures);
    fixtures.finish();
}

fn check_store_requests(fixtures: &mut Fixtures) {
    let first_page = StoreRequest::List {
        after: String::new(),
    };
    let next_page = StoreRequest::List {
        after: "wt/j/req-17".into(),
    };
    let watch = StoreRequest::Watch {
        after: 412,
        block_ms: 2500,
    };
    let requests = [
        (
            "request_transaction",
            StoreRequest::Transaction(transaction()),
        ),
        ("request_first_page", first_page),
        ("request_next_page", next_page),
        ("request_watch", watch),
        (
            "request_lease",
            StoreRequest::NewLease(Micros::millis(3_000)),
        ),
        ("request_renewal", StoreRequest::Renew(91)),
    ];
    for (name, request) in requests {
        fixtures.check_encoding(name, &request_bytes(request));
    }
    fixtures.check_round_trip("transaction", &transaction());
}

fn check_transaction_responses(fixtures: &mut Fixtures) {
    let committed = TransactionResponse {
        revision: 413,
        failed: Vec::new(),
    };
    let body = map([("edition", 413.into())]);
    fixtures.check_decoding("committed", &body, &committed);
    let body = &fixtures.used["committed"];
    let response = interpret_response(StoreRequest::Transaction(transaction()), 200, body);
    assert_eq!(response, StoreResponse::Committed(413));
    let conflict = TransactionResponse {
        revision: 0,
        failed: strings(["wt/lead", "wt/live"]),
    };
    let failed = array(["wt/lead".into(), "wt/live".into()]);
    fixtures.check_decoding("conflict", &map([("failed", failed)]), &conflict);
    let body = &fixtures.used["conflict"];
    let response = interpret_response(StoreRequest::Transaction(transaction()), 409, body);
    assert_eq!(response, StoreResponse::Conflict(conflict.failed));
}

fn check_listing_responses(fixtures: &mut Fixtures) {
    let page = ItemPage {
        items: vec![
            Item {
                key: "wt/base".into(),
                value: 1900.into(),
                version: 3,
            },
            Item {
                key: "wt/j/req-17".into(),
                value: to_value(&plain_job()),
                version: 412,
            },
        ],
        has_more: true,
        revision: 413,
    };
    fixtures.check_round_trip("page", &page);
    let item = |key: &str, value: Value, version: u64| {
        map([
            ("k", key.into()),
            ("value", value),
            ("stamp", version.into()),
        ])
    };
    let items = array([
        item("wt/base", 1900.into(), 3),
        item("wt/j/req-17", to_value(&plain_job()), 412),
    ]);
    let body = map([
        ("items", items),
        ("more", true.into()),
        ("edition", 413.into()),
    ]);
    fixtures.check_decoding("page_of_the_service", &body, &page);
    let request = StoreRequest::List {
        after: String::new(),
    };
    let response = interpret_response(request, 200, &fixtures.used["page_of_the_service"]);
    assert_eq!(response, StoreResponse::Page(page));
}

fn check_watch_responses(fixtures: &mut Fixtures) {
    let put = WatchEvent {
        put: Some("wt/base".into()),
        value: Some(1900.into()),
        deleted: None,
        version: 413,
    };
    let deleted = WatchEvent {
        put: None,
        value: None,
        deleted: Some("wt/live".into()),
        version: 414,
    };
    let watch_response = WatchResponse {
        revision: 414,
        events: vec![put, deleted],
    };
    fixtures.check_round_trip("watch_answer", &watch_response);
    let put = map([
        ("put", "wt/base".into()),
        ("value", 1900.into()),
        ("stamp", 413.into()),
    ]);
    let deleted = map([("drop", "wt/live".into()), ("stamp", 414.into())]);
    let body = map([("edition", 414.into()), ("news", array([put, deleted]))]);
    fixtures.check_decoding("watch_answer_of_the_service", &body, &watch_response);
    let request = StoreRequest::Watch {
        after: 412,
        block_ms: 0,
    };
    let response = interpret_response(request, 200, &fixtures.used["watch_answer_of_the_service"]);
    assert_eq!(response, StoreResponse::Events(watch_response));
}

fn check_lease_messages(fixtures: &mut Fixtures) {
    fixtures.check_round_trip("lease_request", &LeaseRequest { ttl_ms: 3_000 });
    let lease_response = LeaseResponse { lease: 91 };
    fixtures.check_round_trip("lease_answer", &lease_response);
    let body = &fixtures.used["lease_answer"];
    let response = interpret_response(StoreRequest::NewLease(Micros::millis(3_000)), 200, body);
    assert_eq!(response, StoreResponse::Lease(91));
}
