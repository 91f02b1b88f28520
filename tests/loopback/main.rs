//! Runs one controller on real loopback sockets, with a fake key-value store and a fake cloud.

mod settings;
#[path = "../simulation/fake_store.rs"]
mod store;
mod submissions;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use submissions::{body, body_with, submission};
use walnuttrestle::policy::Policy;
use walnuttrestle::protocol::Settings;
use walnuttrestle::protocol::client_api::JobState;
use walnuttrestle::protocol::cloud_api::{MachinePage, MachineType, MachineTypes};
use walnuttrestle::protocol::codec::{decode, encode};
use walnuttrestle::transport::http::{self, Parsed};
use walnuttrestle::transport::net::{Listeners, NetworkThread};
use walnuttrestle::transport::{NetworkCommand, NetworkEvent};

/// Timeout of each connection attempt, response and wait for the controller to accept jobs.
const TIMEOUT: Duration = Duration::from_secs(20);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Addresses of the fake services.
struct FakeServices {
    store: SocketAddr,
    cloud: SocketAddr,
}

/// Starts threads that serve the key-value store and the cloud until the test process ends.
fn start_fake_services() -> FakeServices {
    let services = FakeServices {
        store: free_address(),
        cloud: free_address(),
    };
    let listeners = Listeners::bind(services.store, services.cloud).unwrap();
    let (sender, events) = crossbeam_channel::unbounded();
    let started = Instant::now();
    let (net, handle) =
        NetworkThread::new(listeners, sender, std::thread::current(), 200, started).unwrap();
    std::thread::spawn(move || net.run());
    std::thread::spawn(move || {
        let mut fake_store = store::FakeStore::default();
        loop {
            let batch = events
                .recv_timeout(Duration::from_millis(20))
                .unwrap_or_default();
            let now = started.elapsed().as_micros() as u64;
            let mut responses = Vec::new();
            for event in batch {
                let NetworkEvent::Request {
                    conn,
                    internal,
                    method,
                    path,
                    body,
                } = event
                else {
                    continue;
                };
                let response = if internal {
                    Some((200, cloud_response(&path)))
                } else {
                    fake_store.handle(now, 0, conn, &method, &path, &body)
                };
                if let Some((status, body)) = response {
                    responses.push(respond(conn, status, body));
                }
            }
            fake_store.expire(now);
            for (conn, body) in fake_store.take_ready_watches(now) {
                responses.push(respond(conn, 200, body));
            }
            handle.send(responses);
        }
    });
    services
}

fn respond(conn: u64, status: u16, body: Vec<u8>) -> NetworkCommand {
    NetworkCommand::Respond {
        conn,
        status,
        body,
        retry_after: None,
    }
}

fn cloud_response(path: &str) -> Vec<u8> {
    if path.starts_with("/flavors") {
        let machine_type = MachineType {
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
        return encode(&MachineTypes {
            types: vec![machine_type],
        });
    }
    encode(&MachinePage {
        machines: Vec::new(),
        has_more: false,
    })
}

/// Starts a controller and its fake services; returns the address on which it serves clients.
fn start_controller() -> SocketAddr {
    let FakeServices { store, cloud } = start_fake_services();
    let (public, internal) = (free_address(), free_address());
    let text = format!(
        "member=\"kernel-0\"\nzone=\"a\"\nserve_on=\"{public}\"\ninternal_addr=\"{internal}\"\n\
         [external]\ncloud=\"{cloud}\"\nstate=\"{store}\"\n[params]\nzones=[\"a\"]\n\
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

/// An HTTP client with one persistent connection.
struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    /// Connects, and retries until the controller listens.
    fn connect(address: SocketAddr) -> Client {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            match TcpStream::connect(address) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                    return Client {
                        stream,
                        buffer: Vec::new(),
                    };
                }
                Err(error) => assert!(
                    Instant::now() < deadline,
                    "cannot connect to {address}: {error}"
                ),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a request; returns the status and body of the response.
    fn request(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let mut request = Vec::new();
        http::write_request(&mut request, method, path, "test", body);
        self.stream.write_all(&request).unwrap();
        self.response()
    }

    fn response(&mut self) -> (u16, Vec<u8>) {
        let mut chunk = [0u8; 4096];
        loop {
            if let Parsed::Complete(message) = http::take_response(&mut self.buffer, false) {
                return (message.status, message.body);
            }
            let count = self.stream.read(&mut chunk).unwrap();
            assert!(
                count > 0,
                "the controller closed the connection without a response"
            );
            self.buffer.extend_from_slice(&chunk[..count]);
        }
    }
}

#[test]
fn clients_are_served_over_real_sockets() {
    let address = start_controller();
    // A client that never completes its request must not delay other clients.
    let mut slow = Client::connect(address);
    slow.stream
        .write_all(b"POST /submissions HTTP/1.1\r\nContent-")
        .unwrap();
    let mut client = Client::connect(address);
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let (status, _) = client.request("POST", "/submissions", &body(submission("req-1")));
        if status == 201 {
            break;
        }
        assert!(
            status == 503 && Instant::now() < deadline,
            "submission not accepted: status {status}"
        );
        std::thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(client.request("GET", "/healthz", b"").0, 200);
    assert_eq!(
        client
            .request("POST", "/submissions", &body(submission("req-1")))
            .0,
        200
    );
    let (status, response) = client.request("GET", "/submissions/req-1", b"");
    let state: JobState = decode(&response).unwrap();
    assert_eq!((status, state.status.as_str()), (200, "pending"));
    assert_eq!(client.request("GET", "/submissions/req-2", b"").0, 404);
    assert_eq!(
        client.request("POST", "/submissions/req-2/cancel", b"").0,
        404
    );
    assert_eq!(client.request("DELETE", "/submissions/req-1", b"").0, 405);
    assert_eq!(client.request("GET", "/submissions", b"").0, 405);
    assert_eq!(client.request("GET", "/elsewhere", b"").0, 404);
    assert_eq!(client.request("POST", "/submissions", b"nonsense").0, 400);
    assert_eq!(
        client
            .request("POST", "/submissions", &body_with("crew", "blue".into()))
            .0,
        422
    );
    assert_eq!(
        client
            .request("POST", "/submissions", &body_with("cards", 5.0.into()))
            .0,
        422
    );
    assert_eq!(
        client
            .request("POST", "/submissions", &body_with("cpus", 9.0.into()))
            .0,
        422
    );
    let (status, response) = client.request("POST", "/submissions/req-1/cancel", b"");
    let state: JobState = decode(&response).unwrap();
    assert_eq!((status, state.status.as_str()), (200, "cancelled"));
    let (_, response) = client.request("GET", "/submissions/req-1", b"");
    assert_eq!(decode::<JobState>(&response).unwrap().status, "cancelled");
    // A body that is too long is rejected based on its `Content-Length`, and the connection is closed.
    let mut large = Client::connect(address);
    large
        .stream
        .write_all(b"POST /submissions HTTP/1.1\r\nContent-Length: 65537\r\n\r\n")
        .unwrap();
    assert_eq!(large.response().0, 413);
    assert_eq!(large.stream.read(&mut [0u8; 16]).unwrap(), 0);
}
