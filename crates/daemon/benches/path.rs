//! Measures the latency that an entry instance adds, and its throughput on one core.
//!
//! Callers, relay, entry and backend servers run in one process over loopback, each
//! with its own threads. Each round measures direct requests, requests through a
//! relay that only copies bytes, and requests through the entry, so that noise on
//! the machine affects all three alike. The relay shows the cost of any extra hop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, MemberState};
use pomelovale_state::{Clock, Name};
use pomelovaled::entry::EntryHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};

#[path = "../tests/entry_support/mod.rs"]
mod entry_support;

use entry_support::{keyed, ok_bytes, setup, Control};

const CONNECTIONS: u64 = 300;
const BACKENDS: usize = 8;
const REQUESTS_PER_SECOND: u64 = 6_000;
const ROUNDS: usize = 5;
const ROUND_LENGTH: Duration = Duration::from_secs(2);
const BODY_BYTES: usize = 200;
/// Time at the start of a measurement in which latencies are not recorded: each
/// measurement opens 300 connections, and the first requests on them would make up
/// 2.5% of its requests.
const WARM_UP: Duration = Duration::from_millis(500);
const PROOF_INTERVAL: Duration = Duration::from_millis(500);

fn runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .unwrap()
}

/// Sends a fixed response to each request head without delay.
async fn serve_responses(listener: TcpListener) {
    let response: Arc<[u8]> = ok_bytes(&"x".repeat(BODY_BYTES)).into();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let response = response.clone();
        tokio::spawn(async move {
            stream.set_nodelay(true).unwrap();
            let (mut buffer, mut filled) = (vec![0; 4_096], 0);
            loop {
                match stream.read(&mut buffer[filled..]).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => filled += n,
                }
                if buffer[..filled].ends_with(b"\r\n\r\n") {
                    filled = 0;
                    if stream.write_all(&response).await.is_err() {
                        return;
                    }
                }
            }
        });
    }
}

/// Copies bytes between each accepted connection and a new one to a backend server.
async fn relay_connections(listener: TcpListener, backends: Vec<SocketAddr>) {
    for n in 0.. {
        let (mut caller, _) = listener.accept().await.unwrap();
        let address = backends[n % backends.len()];
        tokio::spawn(async move {
            let mut server = TcpStream::connect(address).await.unwrap();
            caller.set_nodelay(true).unwrap();
            server.set_nodelay(true).unwrap();
            let _ = tokio::io::copy_bidirectional(&mut caller, &mut server).await;
        });
    }
}

/// Sends one request and reads the response, whose body has `BODY_BYTES` bytes.
async fn send_request(stream: &mut TcpStream, request: &[u8], buffer: &mut [u8]) {
    stream.write_all(request).await.unwrap();
    let mut filled = 0;
    loop {
        let n = stream.read(&mut buffer[filled..]).await.unwrap();
        assert!(n > 0, "the connection was closed");
        filled += n;
        let head = buffer[..filled].windows(4).position(|w| w == b"\r\n\r\n");
        if head.is_some_and(|at| filled >= at + 4 + BODY_BYTES) {
            let text = String::from_utf8_lossy(&buffer[..filled]);
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
            return;
        }
    }
}

/// Sends `REQUESTS_PER_SECOND` requests per second, spread over all connections; returns the
/// latencies in nanoseconds.
async fn measure_latency(addresses: Vec<SocketAddr>, length: Duration) -> Histogram<u64> {
    let interval = Duration::from_nanos(1_000_000_000 * CONNECTIONS / REQUESTS_PER_SECOND);
    let begin = Instant::now() + Duration::from_millis(50);
    let mut tasks = Vec::new();
    for n in 0..CONNECTIONS {
        let address = addresses[n as usize % addresses.len()];
        tasks.push(tokio::spawn(async move {
            let request = keyed("GET", "/catalogue/x", "", "").into_bytes();
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut buffer = vec![0; 4_096];
            let mut latencies = Histogram::<u64>::new(3).unwrap();
            let mut due = begin + interval * n as u32 / CONNECTIONS as u32;
            while due < begin + WARM_UP + length {
                tokio::time::sleep_until(due.into()).await;
                let start = Instant::now();
                send_request(&mut stream, &request, &mut buffer).await;
                if due >= begin + WARM_UP {
                    latencies.record(start.elapsed().as_nanos() as u64).unwrap();
                }
                due += interval;
            }
            latencies
        }));
    }
    let mut all = Histogram::new(3).unwrap();
    for task in tasks {
        all.add(task.await.unwrap()).unwrap();
    }
    all
}

/// Sends requests back to back on all connections; returns the requests per second
/// and the CPU time per request of the thread `entry-1`, in microseconds.
async fn measure_throughput(address: SocketAddr, length: Duration) -> (u64, f64) {
    let completed = Arc::new(AtomicU64::new(0));
    let stopped = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for _ in 0..CONNECTIONS {
        let (completed, stopped) = (completed.clone(), stopped.clone());
        tasks.push(tokio::spawn(async move {
            let request = keyed("GET", "/catalogue/x", "", "").into_bytes();
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut buffer = vec![0; 4_096];
            while !stopped.load(Ordering::Relaxed) {
                send_request(&mut stream, &request, &mut buffer).await;
                completed.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    // Connections are opened and limits adapt before the measurement.
    tokio::time::sleep(length / 2).await;
    let (before, start) = (completed.load(Ordering::Relaxed), Instant::now());
    let cpu_before = thread_cpu_ns("entry-1");
    tokio::time::sleep(length).await;
    let count = completed.load(Ordering::Relaxed) - before;
    let cpu_us = (thread_cpu_ns("entry-1") - cpu_before) as f64 / 1_000.0 / count as f64;
    let rate = count as f64 / start.elapsed().as_secs_f64();
    stopped.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.unwrap();
    }
    (rate as u64, cpu_us)
}

fn start_backends(runtime: &Runtime) -> Vec<SocketAddr> {
    let start = || {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        runtime.spawn(serve_responses(listener));
        address
    };
    (0..BACKENDS).map(|_| start()).collect()
}

fn start_relay(runtime: &Runtime, backends: &[SocketAddr]) -> SocketAddr {
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    runtime.spawn(relay_connections(listener, backends.to_vec()));
    address
}

fn start_entry(runtime: &Runtime, backends: &[SocketAddr]) -> (Control, EntryHandle) {
    let start = async {
        let mut control = setup(&[]);
        control.clock = Clock::monotonic();
        for (n, address) in backends.iter().enumerate() {
            control.apply(Command::PutBackend {
                name: Name::from(format!("b{n}")),
                backend: Backend {
                    address: *address,
                    service: Name::from("catalogue"),
                    region: Name::from("north"),
                    domain: Name::from("north-a"),
                    slots: 64,
                    connections: 400,
                    cold_ms: 0,
                    state: MemberState::Serving,
                },
            });
        }
        let entry = control.entry(|_| {}).await;
        let prove_view = control.prover();
        tokio::spawn(async move {
            loop {
                prove_view();
                tokio::time::sleep(PROOF_INTERVAL).await;
            }
        });
        (control, entry)
    };
    runtime.block_on(start)
}

/// Returns the CPU time in nanoseconds of all threads named `name`.
fn thread_cpu_ns(name: &str) -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let cpu_times = tasks.map(|task| {
        let path = task.unwrap().path();
        let comm = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        let stat = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let ns = stat.split(' ').next().and_then(|n| n.parse().ok());
        if comm.trim() == name {
            ns.unwrap_or(0)
        } else {
            0
        }
    });
    cpu_times.sum()
}

fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or("").to_owned()
}

fn quantile_us(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn print_round(name: &str, latencies: &[Histogram<u64>; 3]) {
    let quantiles = latencies
        .each_ref()
        .map(|h| (quantile_us(h, 0.5), quantile_us(h, 0.99)));
    let [(direct50, direct99), (relay50, relay99), (entry50, entry99)] = quantiles;
    let (added50, added99) = (entry50 - direct50, entry99 - direct99);
    println!("{name:>5}  {direct50:.0}/{direct99:.0}  {relay50:.0}/{relay99:.0}  {entry50:.0}/{entry99:.0}  {added50:.0}/{added99:.0}");
}

fn main() {
    let servers = runtime("backends", 2);
    let callers = runtime("callers", 2);
    let backends = start_backends(&servers);
    let relays = runtime("relay", 2);
    let relay_addresses = vec![start_relay(&relays, &backends)];
    let entries = runtime("entry", 2);
    let (_control, entry) = start_entry(&entries, &backends);
    let entry_addresses = vec![entry.address()];
    callers.block_on(measure_latency(entry_addresses.clone(), ROUND_LENGTH));
    let cpu_before = [thread_cpu_ns("relay"), thread_cpu_ns("entry")];
    let mut all = [(); 3].map(|()| Histogram::new(3).unwrap());
    println!("load average at start: {}", load_average());
    println!(
        "{CONNECTIONS} connections, {REQUESTS_PER_SECOND} requests/s, {BACKENDS} backend servers; times in us"
    );
    println!("round  direct p50/p99  relay p50/p99  entry p50/p99  added by entry");
    for round in 0..ROUNDS {
        let run =
            |to: &Vec<SocketAddr>| callers.block_on(measure_latency(to.clone(), ROUND_LENGTH));
        let latencies = [run(&backends), run(&relay_addresses), run(&entry_addresses)];
        print_round(&round.to_string(), &latencies);
        for (total, round_latencies) in all.iter_mut().zip(latencies) {
            total.add(round_latencies).unwrap();
        }
    }
    print_round("all", &all);
    let cpu_per_request_us = |name, at: usize| {
        let ns = thread_cpu_ns(name) - cpu_before[at];
        ns as f64 / 1_000.0 / all[at + 1].len() as f64
    };
    let (relay, entry) = (
        cpu_per_request_us("relay", 0),
        cpu_per_request_us("entry", 1),
    );
    println!(
        "fixed rate: CPU time per request {relay:.1} us in the relay, {entry:.1} us in the entry"
    );
    let single_thread = runtime("entry-1", 1);
    let (_control, single_entry) = start_entry(&single_thread, &backends);
    let (rate, cpu_us) = callers.block_on(measure_throughput(single_entry.address(), ROUND_LENGTH));
    let per_core = 1_000_000.0 / cpu_us;
    println!(
        "saturated, one worker thread: {rate} requests/s, CPU time per request {cpu_us:.1} us"
    );
    println!("equivalent to {per_core:.0} requests/s on one core");
    println!("load average at end: {}", load_average());
    for runtime in [single_thread, entries, relays, callers, servers] {
        runtime.shutdown_background();
    }
}
