//! Requests that a gateway without a way to the servers relays, as other instances see them.

mod entry_support;
mod gateway_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry_support::{header, ReceivedRequest, Server, ServerAction};
use gateway_support::fleet::Fleet;
use gateway_support::{document, keyed, proven, request, response, send_to, status, KEY};
use pomelovale_state::document::{Backend, Document, Instance, MemberState};
use tokio::time::sleep;

/// Longest time until a request is refused that nobody takes.
const AT_ONCE: Duration = Duration::from_millis(300);
/// Longest time for a request of which an instance sends half a refusal; its deadline is at
/// 1.5 s.
const STALLED: Duration = Duration::from_millis(1_000);
const REFUSAL: &str = "pomelovale-relay: refused\r\npomelovale-outcome: not-run\r\n";

/// Reactions of the other instances, in the order in which they are asked.
type Script = fn(usize) -> ServerAction;

struct Site {
    fleet: Fleet,
    others: Vec<Server>,
}

fn add_instance(document: &mut Document, name: &str, region: &str, other: &Server) {
    let instance = Instance {
        callers: Some(other.address),
        peers: None,
        region: region.into(),
        domain: format!("{region}-a").into(),
        state: MemberState::Serving,
    };
    document.instances.insert(name.into(), instance);
}

impl Site {
    /// Starts a gateway all of whose servers refuse connections, and other instances.
    async fn start(count: usize, region: &str, script: Script) -> Site {
        let asked = Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let mut others = Vec::new();
        for _ in 0..count {
            let asked = asked.clone();
            let react = move |_: &ReceivedRequest, _: usize| {
                script(asked.fetch_add(1, std::sync::atomic::Ordering::SeqCst))
            };
            others.push(Server::start(react).await);
        }
        let server = Server::start(|_, _| ServerAction::Close).await;
        let mut document = document(&[&server]);
        let backend = document.backends["b0"].clone();
        for n in 0..4u16 {
            let closed = Backend {
                address: ([127, 0, 0, 3], 1_000 + n).into(),
                ..backend.clone()
            };
            document.backends.insert(format!("b{n}").into(), closed);
        }
        for (n, other) in others.iter().enumerate() {
            add_instance(&mut document, &format!("other-{n}"), region, other);
        }
        let site = Site {
            fleet: Fleet::start(1, document).await,
            others,
        };
        sleep(Duration::from_millis(100)).await;
        site
    }

    async fn send(&self, request: &str) -> String {
        send_to(self.fleet.gateways[0].address(), request).await
    }

    fn relayed(&self) -> Vec<ReceivedRequest> {
        self.others.iter().flat_map(Server::requests).collect()
    }
}

fn fine(_: usize) -> ServerAction {
    proven("200 OK", "fine")
}

fn first_closes(n: usize) -> ServerAction {
    match n {
        0 => ServerAction::Close,
        _ => fine(n),
    }
}

fn first_refuses(n: usize) -> ServerAction {
    match n {
        0 => refuses(n),
        _ => fine(n),
    }
}

fn refuses(_: usize) -> ServerAction {
    response("503 Service Unavailable", REFUSAL, "")
}

fn first_stalls(n: usize) -> ServerAction {
    match n {
        0 => {
            let head = "HTTP/1.1 503 Service Unavailable\r\npomelovale-request: q1\r\n";
            let text = format!("{head}{REFUSAL}content-length: 5\r\n\r\n");
            ServerAction::Write(text.into_bytes())
        }
        _ => fine(n),
    }
}

macro_rules! relays {
    ($($(#[$doc:meta])* $name:ident($method:literal, $path:literal, $script:expr) => ($status:literal, $outcome:expr, $relayed:literal);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let site = Site::start(3, "north", $script).await;
            let answer = site.send(&keyed($method, $path)).await;
            let outcome: Option<&str> = $outcome;
            assert_eq!(status(&answer), $status, "{answer}");
            assert_eq!(header(&answer, "pomelovale-outcome").as_deref(), outcome);
            assert_eq!(site.relayed().len(), $relayed);
        })*
    };
}

relays! {
    /// Guards against an answer that doesn't come back from a relay.
    lookup_is_served_through_another_instance("GET", "/safe/x", fine) => (200, None, 1);
    /// Guards against a booking that is sent again because the answer of a relay was lost.
    booking_whose_answer_is_lost_is_unknown("POST", "/once/x", first_closes) => (502, Some("unknown"), 1);
    /// Guards against a lookup that is given up although another relay could serve it.
    lookup_whose_answer_is_lost_is_sent_again("GET", "/safe/x", first_closes) => (200, None, 2);
    /// Guards against a booking that is given up because one relay did not take it.
    booking_that_one_instance_refuses_is_served("POST", "/once/x", first_refuses) => (200, None, 2);
    /// Guards against a booking that is not said to be not run although no relay took it.
    booking_that_no_instance_takes_is_not_run("POST", "/once/x", refuses) => (503, Some("not-run"), 3);
}

/// Guards against requests that wait although it is known that nobody takes them.
#[tokio::test]
async fn request_that_no_instance_takes_is_refused_at_once() {
    let site = Site::start(3, "north", refuses).await;
    site.send(&keyed("GET", "/safe/x")).await;
    for n in 0..5 {
        let start = Instant::now();
        let answer = site.send(&keyed("GET", &format!("/safe/{n}"))).await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(start.elapsed() < AT_ONCE, "{:?}", start.elapsed());
    }
}

/// Guards against a booking that waits to its deadline for the body of a refusal.
#[tokio::test]
async fn refusal_whose_body_stalls_does_not_hold_a_booking() {
    let site = Site::start(2, "north", first_stalls).await;
    let start = Instant::now();
    let answer = site.send(&keyed("POST", "/once/x")).await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert!(start.elapsed() < STALLED, "{:?}", start.elapsed());
    assert_eq!(site.relayed().len(), 2);
}

/// Guards against requests that go round between instances without a way to the servers.
#[tokio::test]
async fn relayed_request_is_not_relayed_again() {
    let site = Site::start(2, "north", fine).await;
    assert_eq!(status(&site.send(&keyed("GET", "/safe/x")).await), 200);
    let before = site.relayed().len();
    let headers =
        format!("authorization: Bearer {KEY}\r\npomelovale-relay: version=1;attempts=2\r\n");
    let answer = site.send(&request("GET", "/safe/y", &headers)).await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert_eq!(
        header(&answer, "pomelovale-relay").as_deref(),
        Some("refused")
    );
    assert_eq!(site.relayed().len(), before);
}

/// Guards against a relay that adds time or attempts, or passes on what only servers get.
#[tokio::test]
async fn relay_gets_the_key_and_what_is_left_of_time_and_attempts() {
    let site = Site::start(1, "north", fine).await;
    let headers = format!(
        "authorization: Bearer {KEY}\r\npomelovale-deadline-ms: 1200\r\npomelovale-workspace: other\r\n"
    );
    site.send(&request("POST", "/once/x", &headers)).await;
    let seen = site.relayed().remove(0);
    let value = |name: &str| header(&seen.head, name);
    assert_eq!(value("authorization"), Some(format!("Bearer {KEY}")));
    assert_eq!(
        value("pomelovale-relay").as_deref(),
        Some("version=1;attempts=2")
    );
    assert_eq!(value("pomelovale-workspace"), None);
    let left: u64 = value("pomelovale-deadline-ms").unwrap().parse().unwrap();
    assert!((1..1_200).contains(&left), "{left} ms left");
    assert_eq!(
        (seen.head.starts_with("POST /once/x "), seen.body.as_slice()),
        (true, &b"hi"[..])
    );
}

/// Guards against a request that leaves its home regions by a relay.
#[tokio::test]
async fn request_with_homes_is_relayed_to_its_homes_only() {
    let site = Site::start(2, "north", fine).await;
    let home = Server::start(|_, n| fine(n)).await;
    site.send(&keyed("GET", "/safe/x")).await;
    let before = site.relayed().len();
    site.fleet.edit(|document| {
        add_instance(document, "home", "south", &home);
        let mut routing = (**document.routing.as_ref().unwrap()).clone();
        let routes = routing.hosts.values_mut().flatten();
        routes.for_each(|route| route.homes = vec!["south".into()]);
        document.routing = Some(Arc::new(routing));
    });
    for n in 0..6 {
        let answer = site.send(&keyed("GET", &format!("/safe/{n}"))).await;
        assert_eq!(status(&answer), 200, "{answer}");
    }
    let elsewhere = site.relayed().len() - before;
    assert_eq!((elsewhere, home.requests().len()), (0, 6));
}

/// Guards against the marker of a relay that reaches a server.
#[tokio::test]
async fn marker_of_a_relay_is_not_forwarded_to_servers() {
    let server = Server::start(|_, n| fine(n)).await;
    let fleet = Fleet::start(1, document(&[&server])).await;
    let headers =
        format!("authorization: Bearer {KEY}\r\npomelovale-relay: version=1;attempts=1\r\n");
    let answer = send_to(
        fleet.gateways[0].address(),
        &request("GET", "/safe/x", &headers),
    )
    .await;
    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(header(&server.requests()[0].head, "pomelovale-relay"), None);
}
