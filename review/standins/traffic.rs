//! Clients that send requests at a steady rate.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http;
use crate::operator::{HOST, KEY};
use crate::record::Record;

/// A request of a client and its end.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    pub status: u16,
}

/// Clients that run until they are stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Traffic {
    /// Starts `clients` clients at the gateways `fronts`, each of which sends a request to a
    /// path below `prefix` every `gap`, on a new connection.
    pub fn start(
        fronts: Vec<String>,
        (method, prefix): (&'static str, &'static str),
        clients: usize,
        gap: Duration,
        limit: Duration,
        record: &Arc<Record>,
    ) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let task = |n: usize| {
            let (front, stop) = (fronts[n % fronts.len()].clone(), stop.clone());
            let (sent, record) = (sent.clone(), record.clone());
            std::thread::spawn(move || {
                let mut next = Instant::now() + gap.mul_f64(n as f64 / 7.0 % 1.0);
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += gap;
                    let number = NEXT.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{number:016x}");
                    let length = if method == "POST" {
                        "Content-Length: 0\r\n"
                    } else {
                        ""
                    };
                    let request = format!(
                        "{method} {prefix}{:x} HTTP/1.1\r\nHost: {HOST}\r\nX-Pomelovale-Request-Id: {id}\r\nCookie: X-Pomelovale-Affinity-Key={}\r\nX-Pomelovale-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n",
                        number % 251,
                        number % 97,
                        limit.as_millis()
                    );
                    record.add(&format!("client sends {id} to {front}"));
                    let at = record.now();
                    let end = http::call(&front, request.as_bytes(), limit);
                    record.add(&format!("client gets for {id}: {}", end.text()));
                    let status = end.status();
                    sent.lock().expect("no panic").push(Sent { at, status });
                }
            })
        };
        Traffic {
            tasks: (0..clients).map(task).collect(),
            stop,
            sent,
        }
    }

    /// Stops the clients and returns what they have sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        self.tasks.into_iter().for_each(|t| drop(t.join()));
        let sent = self.sent.lock().expect("no panic");
        sent.clone()
    }
}
