//! Latency that an entry instance adds, and requests a second on one core.
//!
//! Callers, entry and backend servers run in one process on loopback, each in
//! threads of their own. Direct calls, calls through a relay that only copies
//! bytes, and calls through the entry alternate, so that all meet the same
//! disturbances. The relay shows what any further hop costs on this machine.

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
const RATE: u64 = 6_000;
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_secs(2);
const BODY_BYTES: usize = 200;
/// Time before latencies count: each round opens 300 connections, and the first
/// requests on them would make up 2.5% of a round.
const WARM_UP: Duration = Duration::from_millis(500);
const PROVE: Duration = Duration::from_millis(500);

fn runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .unwrap()
}

/// Answers each head at once.
async fn backend(listener: TcpListener) {
    let answer: Arc<[u8]> = ok_bytes(&"x".repeat(BODY_BYTES)).into();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let answer = answer.clone();
        tokio::spawn(async move {
            stream.set_nodelay(true).unwrap();
            let (mut room, mut used) = (vec![0; 4_096], 0);
            loop {
                match stream.read(&mut room[used..]).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => used += n,
                }
                if room[..used].ends_with(b"\r\n\r\n") {
                    used = 0;
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                }
            }
        });
    }
}

/// Copies bytes between each caller and a connection of its own.
async fn relay(listener: TcpListener, backends: Vec<SocketAddr>) {
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

/// Sends one request and reads its answer, whose body has a known length.
async fn call(stream: &mut TcpStream, request: &[u8], room: &mut [u8]) {
    stream.write_all(request).await.unwrap();
    let mut used = 0;
    loop {
        let n = stream.read(&mut room[used..]).await.unwrap();
        assert!(n > 0, "the connection was closed");
        used += n;
        let head = room[..used].windows(4).position(|w| w == b"\r\n\r\n");
        if head.is_some_and(|at| used >= at + 4 + BODY_BYTES) {
            let text = String::from_utf8_lossy(&room[..used]);
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
            return;
        }
    }
}

/// Calls at a fixed rate, spread over all connections; latencies in ns.
async fn paced(addresses: Vec<SocketAddr>, length: Duration) -> Histogram<u64> {
    let pause = Duration::from_nanos(1_000_000_000 * CONNECTIONS / RATE);
    let begin = Instant::now() + Duration::from_millis(50);
    let mut tasks = Vec::new();
    for n in 0..CONNECTIONS {
        let address = addresses[n as usize % addresses.len()];
        tasks.push(tokio::spawn(async move {
            let request = keyed("GET", "/catalogue/x", "", "").into_bytes();
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut room = vec![0; 4_096];
            let mut taken = Histogram::<u64>::new(3).unwrap();
            let mut due = begin + pause * n as u32 / CONNECTIONS as u32;
            while due < begin + WARM_UP + length {
                tokio::time::sleep_until(due.into()).await;
                let start = Instant::now();
                call(&mut stream, &request, &mut room).await;
                if due >= begin + WARM_UP {
                    taken.record(start.elapsed().as_nanos() as u64).unwrap();
                }
                due += pause;
            }
            taken
        }));
    }
    let mut all = Histogram::new(3).unwrap();
    for task in tasks {
        all.add(task.await.unwrap()).unwrap();
    }
    all
}

/// Calls without a pause on all connections; requests a second, and the
/// processor time of one in us.
async fn saturated(address: SocketAddr, length: Duration) -> (u64, f64) {
    let done = Arc::new(AtomicU64::new(0));
    let over = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for _ in 0..CONNECTIONS {
        let (done, over) = (done.clone(), over.clone());
        tasks.push(tokio::spawn(async move {
            let request = keyed("GET", "/catalogue/x", "", "").into_bytes();
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut room = vec![0; 4_096];
            while !over.load(Ordering::Relaxed) {
                call(&mut stream, &request, &mut room).await;
                done.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    // Connections and limits settle first.
    tokio::time::sleep(length / 2).await;
    let (before, start) = (done.load(Ordering::Relaxed), Instant::now());
    let used = busy_ns("entry-1");
    tokio::time::sleep(length).await;
    let count = done.load(Ordering::Relaxed) - before;
    let busy = (busy_ns("entry-1") - used) as f64 / 1_000.0 / count as f64;
    let rate = count as f64 / start.elapsed().as_secs_f64();
    over.store(true, Ordering::Relaxed);
    for task in tasks {
        task.await.unwrap();
    }
    (rate as u64, busy)
}

fn start_backends(runtime: &Runtime) -> Vec<SocketAddr> {
    let start = || {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        runtime.spawn(backend(listener));
        address
    };
    (0..BACKENDS).map(|_| start()).collect()
}

fn start_relay(runtime: &Runtime, backends: &[SocketAddr]) -> SocketAddr {
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    runtime.spawn(relay(listener, backends.to_vec()));
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
        let prove = control.prover();
        tokio::spawn(async move {
            loop {
                prove();
                tokio::time::sleep(PROVE).await;
            }
        });
        (control, entry)
    };
    runtime.block_on(start)
}

/// Time on a processor of the threads with a name, in ns.
fn busy_ns(name: &str) -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let busy = tasks.map(|task| {
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
    busy.sum()
}

fn load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or("").to_owned()
}

fn us(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn print(name: &str, taken: &[Histogram<u64>; 3]) {
    let row = taken.each_ref().map(|h| (us(h, 0.5), us(h, 0.99)));
    let [(a, b), (c, d), (e, f)] = row;
    let (p50, p99) = (e - a, f - b);
    println!("{name:>5}  {a:.0}/{b:.0}  {c:.0}/{d:.0}  {e:.0}/{f:.0}  {p50:.0}/{p99:.0}");
}

fn main() {
    let servers = runtime("backends", 2);
    let callers = runtime("callers", 2);
    let backends = start_backends(&servers);
    let relays = runtime("relay", 2);
    let relayed = vec![start_relay(&relays, &backends)];
    let entries = runtime("entry", 2);
    let (_control, entry) = start_entry(&entries, &backends);
    let through = vec![entry.address()];
    callers.block_on(paced(through.clone(), ROUND));
    let before = [busy_ns("relay"), busy_ns("entry")];
    let mut all = [(); 3].map(|()| Histogram::new(3).unwrap());
    println!("load average at the start {}", load());
    println!("{CONNECTIONS} connections, {RATE} requests/s, {BACKENDS} backend servers, us");
    println!("round  direct p50/p99  relay p50/p99  entry p50/p99  added by entry");
    for round in 0..ROUNDS {
        let run = |to: &Vec<SocketAddr>| callers.block_on(paced(to.clone(), ROUND));
        let taken = [run(&backends), run(&relayed), run(&through)];
        print(&round.to_string(), &taken);
        for (sum, one) in all.iter_mut().zip(taken) {
            sum.add(one).unwrap();
        }
    }
    print("all", &all);
    let busy = |name, at: usize| {
        let ns = busy_ns(name) - before[at];
        ns as f64 / 1_000.0 / all[at + 1].len() as f64
    };
    let (relay, entry) = (busy("relay", 0), busy("entry", 1));
    println!(
        "paced: {relay:.1} us of processor time a request in the relay, {entry:.1} in the entry"
    );
    let single = runtime("entry-1", 1);
    let (_control, one) = start_entry(&single, &backends);
    let (rate, busy) = callers.block_on(saturated(one.address(), ROUND));
    let core = 1_000_000.0 / busy;
    println!("saturated, one worker thread: {rate} requests/s, {busy:.1} us of processor time");
    println!("a request, which is {core:.0} requests/s on one core");
    println!("load average at the end {}", load());
    for runtime in [single, entries, relays, callers, servers] {
        runtime.shutdown_background();
    }
}
