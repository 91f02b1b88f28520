//! One controller over real loopback sockets, against stand-ins of state service and cloud.

#[path = "simulation/fake_store.rs"]
mod store;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use walnuttrestle::policy::Policy;
use walnuttrestle::protocol::Settings;
use walnuttrestle::protocol::client_api::JobState;
use walnuttrestle::protocol::cloud_api::{MachinePage, MachineType, MachineTypes};
use walnuttrestle::protocol::codec::{decode, encode};
use walnuttrestle::protocol::job::parse;
use walnuttrestle::transport::http::{self, Parsed};
use walnuttrestle::transport::net::{Listeners, Net};
use walnuttrestle::transport::{NetworkCommand, NetworkEvent};

fn free_port() -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    l.local_addr().unwrap()
}

/// Serves the state service and the cloud on two ports until the test process ends.
fn stand_ins() -> (SocketAddr, SocketAddr) {
    let (state, cloud) = (free_port(), free_port());
    let listeners = Listeners::bind(state, cloud).unwrap();
    let (tx, rx) = crossbeam_channel::unbounded();
    let started = Instant::now();
    let (net, handle) = Net::new(listeners, tx, std::thread::current(), 200, started).unwrap();
    std::thread::spawn(move || net.run());
    std::thread::spawn(move || {
        let mut kept = store::FakeStore::default();
        loop {
            let batch = rx
                .recv_timeout(Duration::from_millis(20))
                .unwrap_or_default();
            let now = started.elapsed().as_micros() as u64;
            let mut out = Vec::new();
            for e in batch {
                let NetworkEvent::Request {
                    conn,
                    internal,
                    method,
                    path,
                    body,
                } = e
                else {
                    continue;
                };
                let answer = if internal {
                    Some((200, cloud_answer(&path)))
                } else {
                    kept.handle(now, 0, conn, &method, &path, &body)
                };
                if let Some((status, body)) = answer {
                    out.push(respond(conn, status, body));
                }
            }
            kept.expire(now);
            for (conn, body) in kept.answerable(now) {
                out.push(respond(conn, 200, body));
            }
            handle.send(out);
        }
    });
    (state, cloud)
}

fn respond(conn: u64, status: u16, body: Vec<u8>) -> NetworkCommand {
    NetworkCommand::Respond {
        conn,
        status,
        body,
        retry_after: None,
    }
}

fn cloud_answer(path: &str) -> Vec<u8> {
    if path.starts_with("/flavors") {
        let t = MachineType {
            name: "box".into(),
            cpus: 8.0,
            gpus: 8.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.4,
            boot_s: 5.0,
            zones: vec!["a".into()],
        };
        return encode(&MachineTypes { types: vec![t] });
    }
    encode(&MachinePage {
        machines: Vec::new(),
        more: false,
    })
}

fn controller() -> SocketAddr {
    let (state, cloud) = stand_ins();
    let (public, internal) = (free_port(), free_port());
    let text = format!(
        "member=\"kernel-0\"\nzone=\"a\"\nserve_on=\"{public}\"\ninternal_addr=\"{internal}\"\n\
         [external]\ncloud=\"{cloud}\"\nstate=\"{state}\"\n[params]\nzones=[\"a\"]\n\
         [[params.teams]]\nname=\"red\"\ngpus_max=4.0\n\
         [params.workers]\nreport_s=2.0\nlease_s=10.0\ngang_wait_s=30.0\ngang_peer_s=5.0\ncancel_s=30.0\n\
         [params.state]\nrps=200.0\nwrite_rps=60.0\nvalue_kb=8.0\ntxn_ops=8\n\
         [params.cloud]\nrps=8.0\nlist_lag_s=2.0\n[params.limits]\ncore_share=1.0\nmem_mb=100.0\nsockets=200\n"
    );
    let settings = Settings::parse("test.toml", &text).unwrap();
    std::thread::spawn(move || {
        walnuttrestle::controller::runtime::run(settings, Policy::default())
    });
    public
}

struct Client {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Client {
    fn new(addr: SocketAddr) -> Client {
        let by = Instant::now() + Duration::from_secs(20);
        loop {
            match TcpStream::connect(addr) {
                Ok(stream) => {
                    let limit = Some(Duration::from_secs(20));
                    stream.set_read_timeout(limit).unwrap();
                    return Client {
                        stream,
                        buf: Vec::new(),
                    };
                }
                Err(e) => assert!(Instant::now() < by, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn ask(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let mut out = Vec::new();
        http::put_request(&mut out, method, path, "test", body);
        self.stream.write_all(&out).unwrap();
        self.answer()
    }

    fn answer(&mut self) -> (u16, Vec<u8>) {
        let mut chunk = [0u8; 4096];
        loop {
            if let Parsed::Whole(m) = http::take_response(&mut self.buf, false) {
                return (m.status, m.body);
            }
            let n = self.stream.read(&mut chunk).unwrap();
            assert!(n > 0, "closed without an answer");
            self.buf.extend_from_slice(&chunk[..n]);
        }
    }
}

fn submission(id: &str) -> Vec<(rmpv::Value, rmpv::Value)> {
    use rmpv::Value;
    let text = |s: &str| Value::from(s);
    [
        ("id", text(id)),
        ("docket", text("c")),
        ("crew", text("red")),
        ("shape", text("sweep")),
        ("rank", text("standard")),
        ("sheets", Value::from(2)),
        ("cpus", Value::from(1)),
        ("cards", Value::from(1.0)),
        ("memory_gb", Value::from(1.0)),
        ("plate", text("img")),
        ("size_gb", Value::from(1.0)),
        ("presses", Value::Nil),
        ("together", Value::from(false)),
        ("scatter", Value::from(false)),
        ("loaners", Value::from(false)),
        ("expected_s", Value::from(1.0)),
        ("proof_s", Value::from(0.0)),
        ("stash_s", Value::from(0)),
    ]
    .into_iter()
    .map(|(k, v)| (Value::from(k), v))
    .collect()
}

fn bytes(map: Vec<(rmpv::Value, rmpv::Value)>) -> Vec<u8> {
    encode(&rmpv::Value::Map(map))
}

fn with(field: &str, value: rmpv::Value) -> Vec<u8> {
    let mut m = submission("req-7");
    m.retain(|(k, _)| k.as_str() != Some(field));
    m.push((field.into(), value));
    bytes(m)
}

#[test]
fn every_field_of_a_submission_is_checked() {
    use rmpv::Value;
    assert!(parse(&bytes(submission("req-7"))).is_ok());
    let long = "x".repeat(300);
    for (field, value) in [
        ("id", Value::from("job-7")),
        ("id", Value::from("req-")),
        ("id", Value::from("req-7/../8")),
        ("id", Value::from(7)),
        ("sheets", Value::from(0)),
        ("sheets", Value::from(-1)),
        ("sheets", Value::from(100_001)),
        ("sheets", Value::from(2.5)),
        ("cpus", Value::from(-1.0)),
        ("cpus", Value::from(f64::NAN)),
        ("cards", Value::from(f64::INFINITY)),
        ("memory_gb", Value::from(1e300)),
        ("memory_gb", Value::from("4")),
        ("shape", Value::from("round")),
        ("rank", Value::from(1)),
        ("together", Value::from(1)),
        ("presses", Value::Array(vec![])),
        ("presses", Value::Array(vec![Value::from(3)])),
        ("yard", Value::from(3)),
        ("due_s", Value::from(-3.0)),
        ("plate", Value::Nil),
        ("docket", Value::from(long.as_str())),
        ("awaits", Value::from("req-1")),
        ("awaits", Value::Array(vec![Value::from(1)])),
        ("awaits", Value::Array(vec![Value::Nil])),
        ("awaits", Value::Array(vec![Value::from("job-1")])),
    ] {
        assert!(
            parse(&with(field, value.clone())).is_err(),
            "{field} {value}"
        );
    }
    for (field, _) in submission("req-7") {
        let mut m = submission("req-7");
        m.retain(|(k, _)| *k != field);
        let optional = field.as_str() == Some("presses");
        assert_eq!(parse(&bytes(m)).is_ok(), optional, "{field}");
    }
    let needs = |v| parse(&with("awaits", v)).unwrap().1.needs;
    assert!(needs(Value::Nil).is_empty() && needs(Value::Array(vec![])).is_empty());
    let twice = ["req-2", "req-1", "req-2"].map(Value::from);
    assert_eq!(needs(Value::Array(twice.to_vec())), ["req-1", "req-2"]);
    assert!(parse(b"").is_err() && parse(&[0xc1]).is_err() && parse(&[0x93, 1, 2, 3]).is_err());
    assert!(
        parse(&with("cards", Value::from(2))).is_ok(),
        "a whole number is an amount"
    );
}

#[test]
fn the_example_of_a_pipeline_is_taken() {
    let text = include_str!("../examples/pipeline.json");
    let jobs: Vec<rmpv::Value> = serde_json::from_str(text).unwrap();
    let mut met = Vec::new();
    for j in jobs {
        let mut body = Vec::new();
        rmpv::encode::write_value(&mut body, &j).unwrap();
        let (id, spec) = parse(&body).unwrap();
        assert!(spec.needs.iter().all(|n| met.contains(n)), "{id}");
        met.push(id);
    }
    assert_eq!(met.len(), 5);
}

#[test]
fn users_are_answered_over_real_sockets() {
    let addr = controller();
    // A client that never finishes its request holds up nobody.
    let mut slow = Client::new(addr);
    slow.stream
        .write_all(b"POST /submissions HTTP/1.1\r\nContent-")
        .unwrap();
    let mut c = Client::new(addr);
    let by = Instant::now() + Duration::from_secs(20);
    loop {
        let (status, _) = c.ask("POST", "/submissions", &bytes(submission("req-1")));
        if status == 201 {
            break;
        }
        assert!(status == 503 && Instant::now() < by, "{status}");
        std::thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(c.ask("GET", "/healthz", b"").0, 200);
    assert_eq!(
        c.ask("POST", "/submissions", &bytes(submission("req-1"))).0,
        200
    );
    let (status, body) = c.ask("GET", "/submissions/req-1", b"");
    let state: JobState = decode(&body).unwrap();
    assert_eq!((status, state.status.as_str()), (200, "pending"));
    assert_eq!(c.ask("GET", "/submissions/req-2", b"").0, 404);
    assert_eq!(c.ask("POST", "/submissions/req-2/cancel", b"").0, 404);
    assert_eq!(c.ask("DELETE", "/submissions/req-1", b"").0, 405);
    assert_eq!(c.ask("GET", "/submissions", b"").0, 405);
    assert_eq!(c.ask("GET", "/elsewhere", b"").0, 404);
    assert_eq!(c.ask("POST", "/submissions", b"nonsense").0, 400);
    assert_eq!(
        c.ask("POST", "/submissions", &with("crew", "blue".into()))
            .0,
        422
    );
    assert_eq!(
        c.ask("POST", "/submissions", &with("cards", 5.0.into())).0,
        422
    );
    assert_eq!(
        c.ask("POST", "/submissions", &with("cpus", 9.0.into())).0,
        422
    );
    let (status, body) = c.ask("POST", "/submissions/req-1/cancel", b"");
    let state: JobState = decode(&body).unwrap();
    assert_eq!((status, state.status.as_str()), (200, "cancelled"));
    let (_, body) = c.ask("GET", "/submissions/req-1", b"");
    assert_eq!(decode::<JobState>(&body).unwrap().status, "cancelled");
    // Too long a body is refused by its announced length, and the connection is closed.
    let mut big = Client::new(addr);
    big.stream
        .write_all(b"POST /submissions HTTP/1.1\r\nContent-Length: 65537\r\n\r\n")
        .unwrap();
    assert_eq!(big.answer().0, 413);
    assert_eq!(big.stream.read(&mut [0u8; 16]).unwrap(), 0);
}

#[test]
fn settings_say_which_field_is_wrong() {
    let fine = include_str!("../examples/settings.toml");
    assert!(Settings::parse("s.toml", fine).is_ok());
    for (from, to, word) in [
        ("lease_s = 10.0", "lease_s = 0.0", "lease_s"),
        ("lease_s = 10.0", "lease_s = 50.0", "cancel_s"),
        ("lease_s = 10.0", "", "lease_s"),
        ("txn_ops = 8", "txn_ops = 1", "txn_ops"),
        ("sockets = 1000", "sockets = \"many\"", "sockets"),
        ("member = \"kernel-0\"", "member = \"\"", "member"),
    ] {
        assert!(fine.contains(from), "{from}");
        let e = Settings::parse("s.toml", &fine.replace(from, to)).unwrap_err();
        let text = e.to_string();
        assert!(text.contains("s.toml") && text.contains(word), "{text}");
    }
    let next = |line: &str| {
        let at = "[params.state.next]\n";
        Settings::parse("s.toml", &format!("{fine}\n{at}{line}\n"))
    };
    for (line, word) in [
        ("value_kb = 0.0", "params.state.next.value_kb"),
        ("write_rps = -1.0", "params.state.next.write_rps"),
        ("rps = inf", "params.state.next.rps"),
        ("txn_ops = 1", "params.state.next.txn_ops"),
        ("txn_ops = \"few\"", "txn_ops"),
    ] {
        let text = next(line).unwrap_err().to_string();
        assert!(text.contains(word), "{text}");
    }
    let lower = next("write_rps = 7.5\ntxn_ops = 4000").unwrap();
    let state = &lower.params.state;
    assert_eq!(state.least_write_rps(), 7.5);
    assert_eq!(state.least_txn_ops(), 8, "never above the present limit");
    assert_eq!(
        state.least_rps(),
        state.rps,
        "what is not named does not change"
    );
    let more = format!("colour = \"red\"\n{fine}");
    assert!(
        Settings::parse("s.toml", &more).is_ok(),
        "unknown fields are ignored"
    );
}
