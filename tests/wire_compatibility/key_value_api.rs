//! Requests to the key-value store and its responses.

use crate::fixtures::{Fixtures, list, map, strings};
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
    let live = Change::Put {
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
        changes: vec![job, live, delete],
    }
}

/// Returns method, path and body of a request to the store.
fn request_bytes(ask: StoreRequest) -> Vec<u8> {
    let address = "127.0.0.1:7000".parse().unwrap();
    let mut store = StoreClient::new(address, 100.0, 100.0, 100.0);
    let mut sent = Vec::new();
    store.enqueue(RequestPriority::Urgent, (), ask);
    store.send_queued(Micros::millis(10_000), &mut 0, &mut sent);
    let [NetworkCommand::Call(call)] = sent.as_slice() else {
        panic!("not one call: {sent:?}");
    };
    let head = format!("{} {}\n", call.method, call.path);
    [head.as_bytes(), &call.body].concat()
}

/// Returns what the client of the store makes of the response to a request.
fn reply_to(ask: StoreRequest, status: u16, body: &[u8]) -> StoreResponse {
    let address = "127.0.0.1:7000".parse().unwrap();
    let mut store = StoreClient::new(address, 100.0, 100.0, 100.0);
    let (mut id, mut sent) = (0, Vec::new());
    store.enqueue(RequestPriority::Urgent, (), ask);
    store.send_queued(Micros::millis(10_000), &mut id, &mut sent);
    let outcome = Outcome::Response {
        status,
        body: body.to_vec(),
    };
    store
        .on_response(id, &outcome)
        .expect("the request")
        .response
}

#[test]
fn store_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::open("key_value_api.hex");
    store_requests(&mut fixtures);
    transaction_responses(&mut fixtures);
    listing_responses(&mut fixtures);
    watch_responses(&mut fixtures);
    lease_messages(&mut fixtures);
    fixtures.finish();
}

fn store_requests(fixtures: &mut Fixtures) {
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
    for (name, ask) in requests {
        fixtures.written(name, &request_bytes(ask));
    }
    fixtures.both_ways("transaction", &transaction());
}

fn transaction_responses(fixtures: &mut Fixtures) {
    let committed = TransactionResponse {
        revision: 413,
        failed: Vec::new(),
    };
    let body = map([("edition", 413.into())]);
    fixtures.read_as("committed", &body, &committed);
    let body = &fixtures.used["committed"];
    let reply = reply_to(StoreRequest::Transaction(transaction()), 200, body);
    assert_eq!(reply, StoreResponse::Committed(413));
    let conflict = TransactionResponse {
        revision: 0,
        failed: strings(["wt/lead", "wt/live"]),
    };
    let failed = list(["wt/lead".into(), "wt/live".into()]);
    fixtures.read_as("conflict", &map([("failed", failed)]), &conflict);
    let body = &fixtures.used["conflict"];
    let reply = reply_to(StoreRequest::Transaction(transaction()), 409, body);
    assert_eq!(reply, StoreResponse::Conflict(conflict.failed));
}

fn listing_responses(fixtures: &mut Fixtures) {
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
    fixtures.both_ways("page", &page);
    let item = |key: &str, value: Value, version: u64| {
        map([
            ("k", key.into()),
            ("value", value),
            ("stamp", version.into()),
        ])
    };
    let items = list([
        item("wt/base", 1900.into(), 3),
        item("wt/j/req-17", to_value(&plain_job()), 412),
    ]);
    let body = map([
        ("items", items),
        ("more", true.into()),
        ("edition", 413.into()),
    ]);
    fixtures.read_as("page_of_the_service", &body, &page);
    let ask = StoreRequest::List {
        after: String::new(),
    };
    let reply = reply_to(ask, 200, &fixtures.used["page_of_the_service"]);
    assert_eq!(reply, StoreResponse::Page(page));
}

fn watch_responses(fixtures: &mut Fixtures) {
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
    let answer = WatchResponse {
        revision: 414,
        events: vec![put, deleted],
    };
    fixtures.both_ways("watch_answer", &answer);
    let put = map([
        ("put", "wt/base".into()),
        ("value", 1900.into()),
        ("stamp", 413.into()),
    ]);
    let deleted = map([("drop", "wt/live".into()), ("stamp", 414.into())]);
    let body = map([("edition", 414.into()), ("news", list([put, deleted]))]);
    fixtures.read_as("watch_answer_of_the_service", &body, &answer);
    let ask = StoreRequest::Watch {
        after: 412,
        block_ms: 0,
    };
    let reply = reply_to(ask, 200, &fixtures.used["watch_answer_of_the_service"]);
    assert_eq!(reply, StoreResponse::Events(answer));
}

fn lease_messages(fixtures: &mut Fixtures) {
    fixtures.both_ways("lease_request", &LeaseRequest { ttl_ms: 3_000 });
    let answer = LeaseResponse { lease: 91 };
    fixtures.both_ways("lease_answer", &answer);
    let body = &fixtures.used["lease_answer"];
    let reply = reply_to(StoreRequest::NewLease(Micros::millis(3_000)), 200, body);
    assert_eq!(reply, StoreResponse::Lease(91));
}
