//! Peer connections with unauthenticated, malformed and silent peers, and with peers of
//! earlier builds.

mod control_kit;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use control_kit::{change, Cluster};
use http::header::HeaderName;
use pomelovale_protocol::auth::{nonce, Handshake, Role, Secret, Session};
use pomelovale_protocol::format::Format;
use pomelovale_protocol::frame::{self, Decoder, FRAME_HEADER_BYTES};
use pomelovale_protocol::log::Position;
use pomelovale_protocol::message_format::encode_message;
use pomelovale_protocol::messages::{Delta, PeerMessage, Proof, Renew};
use pomelovale_protocol::report::Report;
use pomelovale_state::command::{Applied, Change, Command};
use pomelovale_state::routing::Routing;
use pomelovale_state::{Millis, Name};
use pomelovale_transport::peer_client::{PeerAddress, PeerClient};
use pomelovale_transport::peer_link::{PeerConfig, PeerCounters, PeerEvent, PeerTimings};
use pomelovale_transport::peer_server::PeerServer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const FORMAT_HEADER: HeaderName = HeaderName::from_static("pomelovale-format");
const SECRET: &str = "a shared secret of the tests";

fn config(name: &str, secret: &str) -> PeerConfig {
    PeerConfig {
        name: Name::from(name),
        role: Role::Entry,
        secret: Secret::try_from(secret.to_string()).unwrap(),
        timings: PeerTimings {
            connect_ms: 400,
            heartbeat_ms: 50,
            retry_ms: 20,
            silence_ms: 400,
        },
        delay_ms: 0,
        counters: Arc::new(PeerCounters::default()),
        unnamed: Arc::default(),
    }
}

struct TestListener {
    server: PeerServer,
    counters: Arc<PeerCounters>,
    events: flume::Receiver<PeerEvent>,
}

async fn listen() -> TestListener {
    let config = config("c1", SECRET);
    let counters = config.counters.clone();
    let (sender, events) = flume::unbounded();
    let address = "127.0.0.1:0".parse().unwrap();
    let server = PeerServer::start(config, address, sender).await.unwrap();
    TestListener {
        server,
        counters,
        events,
    }
}

impl TestListener {
    fn failures(&self) -> u64 {
        self.counters.rejected.load(Ordering::Relaxed)
            + self.counters.refused.load(Ordering::Relaxed)
    }

    async fn wait_for_failure(&self) {
        until(|| self.failures() == 1).await;
    }
}

async fn until(mut done: impl FnMut() -> bool) {
    let mut n = 0;
    while !done() {
        n += 1;
        assert!(n < 300, "the condition doesn't hold after {n} polls");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// Checks that the server still accepts a valid peer after a faulty one.
async fn assert_serves_others(listener: &TestListener) {
    let (sender, events) = flume::unbounded();
    let target = PeerAddress {
        name: Name::from("c1"),
        address: listener.server.address(),
    };
    let _client = PeerClient::start(config("e1", SECRET), target, sender);
    let PeerEvent::Opened(link) = events.recv_async().await.unwrap() else {
        panic!("the first event of a connection was not Opened");
    };
    link.send(PeerMessage::Renew(Renew {
        seq: 1,
        position: None,
    }));
    // Dropping the link would close the connection, so the received events are
    // kept.
    let mut seen = Vec::new();
    let is_renewal = |e: &PeerEvent| matches!(e, PeerEvent::Message(_, PeerMessage::Renew(_)));
    while !seen.last().is_some_and(is_renewal) {
        seen.push(listener.events.recv_async().await.unwrap());
    }
}

async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(bytes).await.unwrap();
    let mut received = Vec::new();
    let _ = socket.read_to_end(&mut received).await;
    received
}

macro_rules! raw_byte_cases {
    ($($name:ident: $bytes:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let listener = listen().await;
            let received = send_raw(listener.server.address(), $bytes).await;
            assert!(!received.windows(2).any(|w| w == b"c1"), "the server named itself");
            listener.wait_for_failure().await;
            assert!(listener.events.is_empty());
            assert_serves_others(&listener).await;
        }
    )*};
}

// Guards against bytes that stop or block the listener, or whose answer reveals
// something about the system.
raw_byte_cases! {
    nothing_until_the_time_limit: b"";
    http_1_request: b"GET / HTTP/1.1\r\nHost: c1\r\n\r\n";
    zeros: &[0; 4096];
    preface_only: b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    preface_and_garbage: b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff";
    preface_and_large_frame: b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\x04\x00\x00\x00\x00\x00";
}

struct RawClient {
    server: Name,
    send: h2::SendStream<Bytes>,
    receive: h2::RecvStream,
    decoder: Decoder,
}

impl RawClient {
    async fn open(address: SocketAddr) -> RawClient {
        RawClient::open_with(address, None).await
    }

    /// Opens a stream and names a format, as builds since format 2 do.
    async fn open_with(address: SocketAddr, format: Option<&str>) -> RawClient {
        let socket = TcpStream::connect(address).await.unwrap();
        let (requests, connection) = h2::client::handshake(socket).await.unwrap();
        tokio::spawn(connection);
        let mut requests = requests.ready().await.unwrap();
        let mut request = http::Request::post("/peer").body(()).unwrap();
        let value = format.map(|format| format.parse().unwrap());
        request
            .headers_mut()
            .extend(value.map(|value| (FORMAT_HEADER, value)));
        let (response, send) = requests.send_request(request, false).unwrap();
        let response = response.await.unwrap();
        assert_eq!(response.headers()[FORMAT_HEADER], "2");
        let receive = response.into_body();
        RawClient {
            server: Name::from("c1"),
            send,
            receive,
            decoder: Decoder::new(4096),
        }
    }

    fn write(&mut self, bytes: Bytes) {
        self.send.send_data(bytes, false).unwrap();
    }

    fn send(&mut self, message: &Handshake) {
        self.write(frame::encode(message).unwrap());
    }

    async fn read(&mut self) -> Option<Handshake> {
        loop {
            if let Some(message) = self.decoder.next_message().unwrap() {
                return Some(message);
            }
            self.decoder.push(&self.receive.data().await?.ok()?);
        }
    }

    async fn read_body(&mut self) -> Bytes {
        loop {
            if let Some(body) = self.decoder.next_body().unwrap() {
                return body;
            }
            let received = self.receive.data().await.unwrap().unwrap();
            self.decoder.push(&received);
        }
    }

    async fn hello(&mut self) -> Session {
        let client_nonce = nonce();
        self.send(&Handshake::Hello {
            name: Name::from("e9"),
            role: Role::Entry,
            nonce: client_nonce,
        });
        let Some(Handshake::Challenge(server_nonce)) = self.read().await else {
            panic!("the server did not answer with a challenge");
        };
        Session {
            client: Name::from("e9"),
            role: Role::Entry,
            client_nonce,
            server: self.server.clone(),
            server_nonce,
        }
    }

    /// Sends pings, and a report of the second format once told to.
    async fn keep_open(mut self, told: flume::Receiver<()>) {
        let ping = frame::encode(&PeerMessage::Ping).unwrap();
        let report = PeerMessage::Report(Report::default());
        let report = encode_message(&report, Format::Second).unwrap();
        loop {
            match tokio::time::timeout(Duration::from_millis(100), told.recv_async()).await {
                Ok(Ok(())) => self.write(report.clone()),
                Ok(Err(_)) => return,
                Err(_) => self.write(ping.clone()),
            }
        }
    }

    async fn authenticate(&mut self) {
        let secret = Secret::try_from(SECRET.to_string()).unwrap();
        self.authenticate_with(secret).await;
    }

    async fn authenticate_with(&mut self, secret: Secret) {
        let session = self.hello().await;
        self.send(&Handshake::Confirm(session.client_tag(&secret)));
        assert!(matches!(self.read().await, Some(Handshake::Welcome(_))));
    }
}

fn raw_frame(size: u32, version: u8, body: &[u8]) -> Bytes {
    Bytes::from([&size.to_be_bytes()[..], &[version], body].concat())
}

macro_rules! faulty_stream_cases {
    ($($name:ident: $fault:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let listener = listen().await;
            let raw = RawClient::open(listener.server.address()).await;
            let fault: fn(RawClient) -> RawClientFuture = $fault;
            let mut raw = fault(raw).await;
            assert!(raw.read().await.is_none(), "the server answered the faulty stream");
            listener.wait_for_failure().await;
            assert_serves_others(&listener).await;
        }
    )*};
}

type RawClientFuture = std::pin::Pin<Box<dyn std::future::Future<Output = RawClient> + Send>>;

// Guards against a faulty stream that is answered, kept open, or that affects
// other connections.
faulty_stream_cases! {
    no_hello: |raw| Box::pin(async move { raw });
    malformed_hello: |mut raw| Box::pin(async move { raw.write(raw_frame(6, 1, &[99])); raw });
    message_instead_of_hello: |mut raw| Box::pin(async move {
        raw.write(frame::encode(&PeerMessage::Ping).unwrap());
        raw
    });
    hello_of_another_version: |mut raw| Box::pin(async move { raw.write(raw_frame(6, 9, &[0])); raw });
    hello_over_the_limit: |mut raw| Box::pin(async move { raw.write(raw_frame(2000, 1, &[0; 1995])); raw });
    confirm_before_hello: |mut raw| Box::pin(async move { raw.send(&Handshake::Confirm([0; 32])); raw });
    proof_without_the_secret: |mut raw| Box::pin(async move {
        let session = raw.hello().await;
        let other = Secret::try_from("another secret of the tests".to_string()).unwrap();
        raw.send(&Handshake::Confirm(session.client_tag(&other)));
        raw
    });
    proof_in_another_role: |mut raw| Box::pin(async move {
        let mut session = raw.hello().await;
        session.role = Role::Control;
        let secret = Secret::try_from(SECRET.to_string()).unwrap();
        raw.send(&Handshake::Confirm(session.client_tag(&secret)));
        raw
    });
    malformed_frame_after_authentication: |mut raw| Box::pin(async move {
        raw.authenticate().await;
        raw.write(raw_frame(6, 1, &[200]));
        raw
    });
    oversize_frame_after_authentication: |mut raw| Box::pin(async move {
        raw.authenticate().await;
        raw.write(raw_frame(frame::FRAME_MAX_BYTES as u32 + 1, 1, &[3]));
        raw
    });
}

fn proof() -> PeerMessage {
    let change = Change {
        request: Name::from("r1"),
        sender: Name::from("operator"),
        base: None,
        at: Millis(1),
        command: Command::RevokeKey(Name::from("k1")),
    };
    PeerMessage::Proof(Proof {
        seq: None,
        age_ms: 0,
        position: Position::default(),
        leader: None,
        changes: vec![Arc::new(Delta {
            position: Position::default(),
            version: 1,
            change,
        })],
    })
}

macro_rules! format_cases {
    ($($name:ident: $named:expr, $sent:ident, $received:ident;)*) => {$(
        /// Guards against a peer of an earlier build whose report is refused, or that is
        /// sent what it can't read.
        #[tokio::test]
        async fn $name() {
            let listener = listen().await;
            let named: Option<&str> = $named;
            let mut raw = RawClient::open_with(listener.server.address(), named).await;
            raw.authenticate().await;
            let PeerEvent::Opened(link) = listener.events.recv_async().await.unwrap() else {
                panic!("the connection was not opened");
            };
            let report = PeerMessage::Report(Report {
                instance: Name::from("e9"),
                down: vec![Name::from("north-1")],
                ..Report::default()
            });
            raw.write(encode_message(&report, Format::$sent).unwrap());
            let PeerEvent::Message(_, read) = listener.events.recv_async().await.unwrap() else {
                panic!("the report was not read");
            };
            assert_eq!(read, report);
            assert_eq!(link.named_format().is_some(), named.is_some());
            link.send(proof());
            let expected = encode_message(&proof(), Format::$received).unwrap();
            let ping = encode_message(&PeerMessage::Ping, Format::Second).unwrap();
            let mut body = raw.read_body().await;
            while body == ping[FRAME_HEADER_BYTES..] {
                body = raw.read_body().await;
            }
            assert_eq!(body, expected[FRAME_HEADER_BYTES..]);
        }
    )*};
}

format_cases! {
    peer_of_the_first_format: None, First, First;
    peer_of_the_second_format_that_names_none: None, Second, Second;
    peer_that_names_the_second_format: Some("2"), Second, Second;
    peer_that_names_a_later_format: Some("9"), Second, Second;
}

/// Guards against orders of operators that wait, unacknowledged, until it is known which
/// earlier build a connected peer is of, although all builds read them, and against a
/// revocation that is written before that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_are_accepted_beside_a_peer_of_unknown_format() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    let put_key = change("k", control_kit::put_key("k1", "w"));
    let put_workspace = change("w", control_kit::put_workspace("w", 10));
    cluster.propose(leader, put_workspace).await;
    cluster.propose(leader, put_key).await;
    // As in a replacement, one member is down, so that not all have named a format.
    cluster.kill(others[1]).await;
    let mut raw = RawClient::open(cluster.server(leader).address()).await;
    raw.server = cluster.names[leader].clone();
    raw.authenticate_with(control_kit::secret()).await;
    let (send_report, told) = flume::bounded(1);
    tokio::spawn(raw.keep_open(told));
    let replace = Command::ReplaceRouting {
        base: 0,
        routing: Arc::new(Routing {
            version: 1,
            ..Routing::default()
        }),
        source: Arc::from("{}"),
    };
    let orders = [
        ("replace", replace),
        ("evacuate", Command::EvacuateDomain(Name::from("a"))),
        ("readmit", Command::ReadmitDomain(Name::from("a"))),
    ];
    for (request, command) in orders {
        let applied = cluster.propose(others[0], change(request, command)).await;
        let is_accepted = matches!(applied, Applied::Accepted { .. });
        assert!(is_accepted, "{request}: {applied:?}");
    }
    let handle = cluster.server(others[0]).handle();
    let revoke = change("revoke", Command::RevokeKey(Name::from("k1")));
    let mut revoked = std::pin::pin!(handle.propose(revoke));
    let waits = tokio::time::timeout(Duration::from_millis(300), &mut revoked).await;
    assert!(waits.is_err(), "{waits:?}");
    send_report.send(()).unwrap();
    let applied = control_kit::within("the revocation", revoked).await;
    assert!(
        matches!(applied, Ok(Applied::Accepted { .. })),
        "{applied:?}"
    );
    let view = cluster.server(leader).view();
    assert!(view.document().keys["k1"].revoked);
}

// Guards against a client that accepts a server which lacks the secret or isn't
// the instance that the client is configured to reach.
#[tokio::test]
async fn clients_authenticate_the_server() {
    let listener = listen().await;
    for (name, secret) in [("c1", "another secret of the tests"), ("c2", SECRET)] {
        let (sender, events) = flume::unbounded();
        let target = PeerAddress {
            name: Name::from(name),
            address: listener.server.address(),
        };
        let before = listener.failures();
        let client = PeerClient::start(config("e1", secret), target, sender);
        until(|| listener.failures() > before).await;
        drop(client);
        assert!(events.is_empty());
        assert!(listener.events.is_empty());
    }
}

/// Guards against a connection that is closed as silent, while the messages of the peer are
/// in its socket, because this process has stood still.
#[tokio::test]
async fn connection_outlasts_a_stall_of_the_process() {
    let (started, address) = flume::bounded(1);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async move {
            let mut config = config("c1", SECRET);
            config.timings.silence_ms = 10_000;
            let (sender, _events) = flume::unbounded();
            let listen = "127.0.0.1:0".parse().unwrap();
            let server = PeerServer::start(config, listen, sender).await.unwrap();
            started.send(server.address()).unwrap();
            tokio::time::sleep(Duration::from_secs(5)).await;
        });
    });
    let config = config("e1", SECRET);
    let counters = config.counters.clone();
    let target = PeerAddress {
        name: Name::from("c1"),
        address: address.recv().unwrap(),
    };
    let (sender, events) = flume::unbounded();
    let _client = PeerClient::start(config, target, sender);
    let opened = events.recv_async().await.unwrap();
    assert!(matches!(opened, PeerEvent::Opened(_)));
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        std::thread::sleep(Duration::from_millis(600));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(counters.silent.load(Ordering::Relaxed), 0);
    assert!(events.is_empty());
    // Keeps the connection open.
    drop(opened);
}
