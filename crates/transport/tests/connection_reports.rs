//! Tests of what is counted and logged at the end of a caller's connection.

mod support;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use metrics::{Counter, CounterFn, Gauge, Histogram, Key, KeyName, Metadata, Recorder};
use metrics::{SharedString, Unit};
use pomelovale_transport::http_server::{Server, ServerLimits};
use support::{get, send, start_with};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::field::{Field, Visit};
use tracing::span;

/// Values of counters by name and cause.
#[derive(Clone, Default)]
struct Counts(Arc<Mutex<BTreeMap<(String, String), u64>>>);

struct Count(Counts, (String, String));

impl CounterFn for Count {
    fn increment(&self, value: u64) {
        let mut counts = self.0 .0.lock().unwrap();
        *counts.entry(self.1.clone()).or_default() += value;
    }

    fn absolute(&self, _: u64) {}
}

impl Recorder for Counts {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let cause = key.labels().find(|l| l.key() == "cause");
        let cause = cause.map_or("", |l| l.value()).to_owned();
        let count = Count(self.clone(), (key.name().to_owned(), cause));
        Counter::from_arc(Arc::new(count))
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

impl Counts {
    // The causes with a value other than zero.
    fn of(&self, name: &str) -> Vec<(String, u64)> {
        let counts = self.0.lock().unwrap();
        let named = counts.iter().filter(|((n, _), v)| n == name && **v > 0);
        named.map(|((_, c), v)| (c.clone(), *v)).collect()
    }
}

type Line = BTreeMap<String, String>;

/// Fields of the log lines on the ends of connections.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<Line>>>);

struct Fields(Line);

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.0.insert(field.name().to_owned(), format!("{value:?}"));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.insert(field.name().to_owned(), value.to_owned());
    }
}

impl tracing::Subscriber for Lines {
    fn enabled(&self, metadata: &tracing::Metadata<'_>) -> bool {
        metadata.is_event() && metadata.target().starts_with("pomelovale")
    }

    fn new_span(&self, _: &span::Attributes<'_>) -> span::Id {
        span::Id::from_u64(1)
    }

    fn record(&self, _: &span::Id, _: &span::Record<'_>) {}
    fn record_follows_from(&self, _: &span::Id, _: &span::Id) {}
    fn enter(&self, _: &span::Id) {}
    fn exit(&self, _: &span::Id) {}

    fn event(&self, event: &tracing::Event<'_>) {
        let mut fields = Fields(Line::new());
        event.record(&mut fields);
        if fields
            .0
            .get("event")
            .is_some_and(|e| e == "connection-ended")
        {
            self.0.lock().unwrap().push(fields.0);
        }
    }
}

/// What the caller or the operator does after the requests were sent.
#[derive(Clone, Copy)]
enum Action {
    Close,
    Connect(usize),
    Idle,
    Stop,
    Wait,
}

async fn act(action: Action, server: &mut Option<Server>, stream: TcpStream) -> Vec<TcpStream> {
    sleep(Duration::from_millis(100)).await;
    match action {
        Action::Close => vec![],
        Action::Connect(count) => {
            let mut open = vec![stream];
            for _ in 0..count {
                open.push(
                    TcpStream::connect(server.as_ref().unwrap().address())
                        .await
                        .unwrap(),
                );
                sleep(Duration::from_millis(20)).await;
            }
            open
        }
        Action::Stop => {
            let stop = server.take().unwrap().stop();
            timeout(Duration::from_millis(50), stop).await.ok();
            vec![stream]
        }
        Action::Idle => {
            sleep(Duration::from_millis(300)).await;
            vec![stream]
        }
        Action::Wait => vec![stream],
    }
}

// Limits on connections, requests, what happens then; label of the cause, numbers of
// requests without an answer and with one.
macro_rules! reports {
    ($($(#[$doc:meta])* $name:ident: ($limit:literal, $requests:expr, $action:expr) => ($cause:literal, $left:literal, $answered:literal);)*) => {
        $($(#[$doc])* #[tokio::test] async fn $name() {
            let (counts, lines) = (Counts::default(), Lines::default());
            let _recorder = metrics::set_default_local_recorder(&counts);
            let _subscriber = tracing::subscriber::set_default(lines.clone());
            let limits = ServerLimits {
                connections: $limit,
                head_ms: 300,
                idle_ms: 500,
                ..ServerLimits::default()
            };
            let (server, _) = start_with(limits).await;
            let stream = send(&server, &$requests).await;
            let mut server = Some(server);
            let _open = act($action, &mut server, stream).await;
            sleep(Duration::from_millis(300)).await;
            let ended = counts.of("caller_connections_ended_total");
            assert_eq!(ended, [($cause.to_owned(), 1)]);
            let left = counts.of("caller_requests_unanswered_total");
            let expected = [($cause.to_owned(), $left)];
            assert_eq!(left, &expected[..usize::from($left > 0)]);
            let lines = lines.0.lock().unwrap().clone();
            assert_eq!(lines.len(), 1, "{lines:?}");
            let field = |name: &str| lines[0][name].clone();
            assert_eq!(field("cause"), $cause);
            assert_eq!(field("in_progress"), $left.to_string());
            assert_eq!(field("answered"), $answered.to_string());
            assert!(field("caller").starts_with("127.0.0.1:"));
            assert!((0..1_000).contains(&field("age_ms").parse().unwrap()));
            assert_eq!(field("suppressed"), "0");
        })*
    };
}

fn text(text: &str) -> String {
    text.to_owned()
}

reports! {
    /// Each guards against an end that is not reported, or with another cause.
    idle_connection_is_closed_by_its_caller: (9, [get("/0/a")], Action::Close)
        => ("caller-closed", 0, 1);
    caller_leaves_requests: (9, [get("/0/a"), get("/900/b"), get("/900/c")], Action::Close)
        => ("caller-closed", 2, 1);
    caller_leaves_a_body: (9, [text("POST /0/a HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc")], Action::Close)
        => ("caller-closed", 0, 1);
    new_connection_evicts_an_idle_one: (2, [get("/0/a")], Action::Connect(2)) => ("evicted", 0, 1);
    new_connection_is_refused: (1, [get("/900/a")], Action::Connect(1)) => ("full", 0, 0);
    head_is_late: (9, [text("GET / HTTP/1.1\r\n")], Action::Wait) => ("head-timeout", 0, 0);
    no_request_arrives: (9, [], Action::Idle) => ("idle", 0, 0);
    answer_breaks_off: (9, [get("/0/cut"), get("/0/b")], Action::Wait)
        => ("incomplete-response", 2, 0);
    request_is_malformed: (9, [get("/0/a"), text("GET /\r\n\r\n")], Action::Wait)
        => ("protocol-error", 0, 1);
    pipelined_request_is_malformed: (9, [get("/50/a"), text("GET /\r\n\r\n")], Action::Wait)
        => ("protocol-error", 0, 1);
    request_closes: (9, [get("/0/a"), text("GET /0/b HTTP/1.0\r\n\r\n")], Action::Wait)
        => ("asked-by-request", 0, 2);
    answer_closes: (9, [get("/0/close")], Action::Wait) => ("asked-by-response", 0, 1);
    server_stops: (9, [get("/0/a"), get("/250/b")], Action::Stop) => ("stop", 0, 2);
}

/// Guards against a log that grows with the number of connections, and against ends
/// that it does not tell.
#[tokio::test]
async fn log_lines_are_limited() {
    let (counts, lines) = (Counts::default(), Lines::default());
    let _recorder = metrics::set_default_local_recorder(&counts);
    let _subscriber = tracing::subscriber::set_default(lines.clone());
    let (server, _) = start_with(ServerLimits::default()).await;
    let mut total = 0;
    let all = async {
        while lines
            .0
            .lock()
            .unwrap()
            .iter()
            .all(|l| l["suppressed"] == "0")
        {
            let mut stream = send(&server, &[get("/0/close")]).await;
            stream.read_to_end(&mut Vec::new()).await.unwrap();
            total += 1;
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(5), all).await.unwrap();
    let lines = lines.0.lock().unwrap().clone();
    let suppressed = lines
        .iter()
        .map(|l| l["suppressed"].parse::<usize>().unwrap());
    assert_eq!(suppressed.sum::<usize>() + lines.len(), total);
    assert!(lines.len() <= 11, "{} lines", lines.len());
}
