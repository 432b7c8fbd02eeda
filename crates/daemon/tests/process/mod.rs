//! A cluster of three daemon processes in a temporary directory, and a simulated
//! backend server.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use pomelovale_state::digest::Digest;
use serde_json::{json, Map, Value};
use tempfile::TempDir;

pub const KEY: &str = "pk.k1.00112233";
const OPERATOR_KEY: &str = "pk.op.44556677";
const NAMES: [&str; 3] = ["i0", "i1", "i2"];
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Ports below the ephemeral range, so that no outgoing connection can take a port
/// between the search for a free one and the start of the process.
const PORT_RANGE: std::ops::Range<u16> = 20_000..32_000;

fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() as u16 % 100 * 100;
    loop {
        let step = first + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = PORT_RANGE.start + step % (PORT_RANGE.end - PORT_RANGE.start);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Longest wait for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const BINARY: &str = env!("CARGO_BIN_EXE_pomelovaled");

/// Runs the daemon's binary with the given arguments.
pub fn run(args: &[&str]) -> Output {
    run_build(Path::new(BINARY), args)
}

/// Likewise, with the binary of another build.
pub fn run_build(binary: &Path, args: &[&str]) -> Output {
    Command::new(binary).args(args).output().unwrap()
}

/// A simulated backend server that answers every request after a delay.
pub struct Backend {
    pub address: SocketAddr,
    pub requests: Arc<AtomicUsize>,
}

impl Backend {
    pub fn start(delay: Duration) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let seen = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let seen = Arc::clone(&seen);
                thread::spawn(move || answer(stream.unwrap(), delay, &seen));
            }
        });
        Backend { address, requests }
    }
}

fn answer(mut stream: TcpStream, delay: Duration, seen: &AtomicUsize) {
    let mut head = Vec::new();
    let mut byte = [0];
    while matches!(stream.read(&mut byte), Ok(1)) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let load = head.starts_with(b"GET /load");
        head.clear();
        let body = if load {
            r#"{"slots":6,"busy":0,"queued":0}"#
        } else {
            "done"
        };
        if !load {
            seen.fetch_add(1, Ordering::SeqCst);
            thread::sleep(delay);
        }
        let length = body.len();
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// A cluster of three daemon processes.
pub struct Cluster {
    pub dir: TempDir,
    ports: Vec<u16>,
    backend: SocketAddr,
    binaries: [PathBuf; 3],
    children: Vec<Option<Child>>,
}

impl Cluster {
    /// Starts the processes and waits until each serves keyed requests.
    pub fn start(backend: &Backend) -> Cluster {
        Cluster::start_build(backend, Path::new(env!("CARGO_BIN_EXE_pomelovaled")))
    }

    /// Likewise, with the binary of another build.
    pub fn start_build(backend: &Backend, binary: &Path) -> Cluster {
        let ports = (0..9).map(|_| free_port()).collect();
        let dir = TempDir::new().unwrap();
        std::fs::write(dir.path().join("secret"), "a secret of the tests").unwrap();
        let children = vec![None, None, None];
        let mut cluster = Cluster {
            dir,
            ports,
            backend: backend.address,
            binaries: std::array::from_fn(|_| binary.to_path_buf()),
            children,
        };
        (0..3).for_each(|i| cluster.spawn(i));
        (0..3).for_each(|i| cluster.wait_until_ready(i));
        cluster
    }

    /// Address of a process for callers.
    pub fn callers(&self, i: usize) -> String {
        self.address(0, i)
    }

    fn address(&self, kind: usize, i: usize) -> String {
        format!("127.0.0.1:{}", self.ports[3 * kind + i])
    }

    pub fn data(&self, i: usize) -> std::path::PathBuf {
        self.dir.path().join(NAMES[i])
    }

    fn settings(&self, i: usize) -> Value {
        let rows = |row: &dyn Fn(usize) -> Value| {
            let rows = NAMES
                .iter()
                .enumerate()
                .map(|(i, name)| ((*name).to_owned(), row(i)));
            Value::Object(rows.collect::<Map<String, Value>>())
        };
        let peers =
            rows(&|i| json!({"address": self.address(1, i), "region": "north", "domain": "a"}));
        let instances = rows(
            &|i| json!({"callers": self.address(0, i), "peers": self.address(1, i), "region": "north", "domain": "a"}),
        );
        json!({
            "instance": NAMES[i], "region": "north", "domain": "a", "roles": ["entry", "control"],
            "callers": self.address(0, i), "listen": self.address(1, i), "operators": self.address(2, i),
            "peers": peers, "secret_file": self.dir.path().join("secret"), "data": self.data(i),
            "entry": {"list_ms": 300, "spread_ms": 300},
            "initial": {
                "regions": {"north": {"domains": ["a"]}},
                "services": {"s": {"timeout_ms": 5000}},
                "backends": {"b": {"address": self.backend, "service": "s", "region": "north",
                    "domain": "a", "slots": 6, "connections": 100}},
                "instances": instances,
                "workspaces": {"w": {"rate": 1000, "burst": 2000}},
                "keys": {
                    "k1": {"workspace": "w", "digest": Digest::of_key(KEY)},
                    "op": {"operator": "ann", "digest": Digest::of_key(OPERATOR_KEY)},
                }
            }
        })
    }

    /// Chooses the binary for the next start of a process.
    pub fn set_build(&mut self, i: usize, binary: &Path) {
        self.binaries[i] = binary.to_path_buf();
    }

    /// Sends a request to the listener for operators, and returns status and body; status
    /// 0 if there was no response.
    pub fn operate(&self, i: usize, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let body = body.to_string();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR_KEY}\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        let exchange = || {
            let mut stream = TcpStream::connect(self.address(2, i))?;
            stream.write_all(head.as_bytes())?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            std::io::Result::Ok(text)
        };
        let text = exchange().unwrap_or_default();
        let status = text.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0);
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        (status, serde_json::from_str(body).unwrap_or_default())
    }

    /// Starts a process.
    pub fn spawn(&mut self, i: usize) {
        self.spawn_as(i, Command::new(&self.binaries[i]));
    }

    /// Starts a process that may open so many descriptors.
    pub fn spawn_limited(&mut self, i: usize, descriptors: usize) {
        let mut command = Command::new("sh");
        let limit = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        command.args(["-c", &limit, BINARY]);
        self.spawn_as(i, command);
    }

    fn spawn_as(&mut self, i: usize, mut command: Command) {
        let path = self.dir.path().join(format!("{}.json", NAMES[i]));
        std::fs::write(&path, self.settings(i).to_string()).unwrap();
        let log = std::fs::File::create(self.log(i)).unwrap();
        let child = command
            .args([Path::new("--config"), &path])
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children[i] = Some(child);
    }

    fn log(&self, i: usize) -> std::path::PathBuf {
        self.dir.path().join(format!("{}.log", NAMES[i]))
    }

    /// Returns the log of a process.
    pub fn logged(&self, i: usize) -> String {
        std::fs::read_to_string(self.log(i)).unwrap()
    }

    /// Waits until a process serves keyed requests.
    pub fn wait_until_ready(&mut self, i: usize) {
        while self.status(i) != 200 {
            let ended = self.children[i].as_mut().unwrap().try_wait().unwrap();
            assert_eq!(ended, None, "{}", self.logged(i));
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the status of a keyed GET request; 0 if there was no response.
    pub fn status(&self, i: usize) -> u16 {
        self.status_of_key(i, KEY)
    }

    /// Likewise, with another key.
    pub fn status_of_key(&self, i: usize, key: &str) -> u16 {
        let text = self.get_with_key(i, "/s/x", key).unwrap_or_default();
        text.get(9..12).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the whole response to a keyed GET request.
    pub fn get(&self, i: usize, path: &str) -> std::io::Result<String> {
        self.get_with_key(i, path, KEY)
    }

    fn get_with_key(&self, i: usize, path: &str, key: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.address(0, i))?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let request =
            format!("GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    }

    /// Returns the response with the entry list of a process; empty on failure.
    pub fn entry_list(&self, i: usize) -> String {
        self.get(i, "/.pomelovale/entries").unwrap_or_default()
    }

    /// Waits for a leader and returns its index, according to the logs of the running
    /// processes.
    pub fn leader(&self) -> usize {
        let leads = |i: &usize| {
            let text = self.logged(*i);
            let last = text.lines().rfind(|l| l.contains("lead"));
            last.is_some_and(|l| l.contains(" leads "))
        };
        loop {
            if let Some(i) = (0..3).filter(|i| self.children[*i].is_some()).find(leads) {
                return i;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        let mut child = self.children[i].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&self, i: usize) {
        let id = self.children[i].as_ref().unwrap().id().to_string();
        assert!(Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .unwrap()
            .success());
    }

    /// Waits for a process to exit and returns its exit code.
    pub fn wait_for_exit(&mut self, i: usize) -> Option<i32> {
        self.children[i].take().unwrap().wait().unwrap().code()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
