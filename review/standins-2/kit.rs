//! Stand-ins for the users' platform, operator, callers and backend servers, and the processes
//! of a small site. Only the standard library is used.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "shop.example";
pub const OPERATOR_PORT: u16 = 8_381;
pub const LIST_PORT: u16 = 8_382;
pub const DIRECTORY_PORT: u16 = 8_383;
pub const READY_PORT: u16 = 8_384;
pub const SERVER_PORT: u16 = 8_386;
pub const CALLER_PORT: u16 = 8_388;
pub const INTERNAL_PORTS: [u16; 2] = [7_560, 7_575];

/// Why a case could not be carried out.
pub type Fallible<T> = Result<T, String>;

/// Writes what was sent, answered and run to `record.txt`, with the time since the start.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Fallible<Arc<Record>> {
        let file = File::create(path).map_err(|e| format!("{path}: {e}"))?;
        Ok(Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(file),
        }))
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:9.3} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A request or response head, and its body if it has a length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn word(&self, n: usize) -> &str {
        self.first.split(' ').nth(n).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// How reading a message ended.
#[derive(Debug)]
pub enum Received {
    Whole(Message),
    /// The connection has ended before the first byte.
    End,
    /// It has ended within the message, or failed.
    Broken(Message, String),
}

/// Reads messages from a connection.
#[derive(Debug)]
pub struct Reader {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, held: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let n = self.stream.read(&mut buffer)?;
        self.held.extend_from_slice(&buffer[..n]);
        Ok(n)
    }

    /// Reads the response to a HEAD request.
    pub fn next_head(&mut self) -> Received {
        self.read(false)
    }

    pub fn next(&mut self) -> Received {
        self.read(true)
    }

    fn read(&mut self, has_body: bool) -> Received {
        let broken = |message: &Message, e: io::Error| Received::Broken(message.clone(), e.to_string());
        let cut = |message: &Message| Received::Broken(message.clone(), "ended early".to_owned());
        let mut message = Message::default();
        let head = loop {
            if let Some(at) = self.held.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            match self.fill() {
                Ok(0) if self.held.is_empty() => return Received::End,
                Ok(0) => return cut(&message),
                Ok(_) => {}
                Err(e) if self.held.is_empty() && e.kind() == io::ErrorKind::ConnectionReset => {
                    return broken(&message, e)
                }
                Err(e) => return broken(&message, e),
            }
        };
        let rest = self.held.split_off(head + 4);
        let text = String::from_utf8_lossy(&self.held[..head]).into_owned();
        self.held = rest;
        let mut lines = text.split("\r\n");
        message.first = lines.next().unwrap_or("").to_owned();
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if !has_body {
            return Received::Whole(message);
        }
        let length = message.field("content-length").and_then(|v| v.parse::<usize>().ok());
        let chunked = message.field("transfer-encoding").is_some();
        if !chunked {
            let length = length.unwrap_or(0);
            while self.held.len() < length {
                match self.fill() {
                    Ok(0) => {
                        message.body = std::mem::take(&mut self.held);
                        return cut(&message);
                    }
                    Ok(_) => {}
                    Err(e) => {
                        message.body = std::mem::take(&mut self.held);
                        return broken(&message, e);
                    }
                }
            }
            let rest = self.held.split_off(length);
            message.body = std::mem::replace(&mut self.held, rest);
            return Received::Whole(message);
        }
        loop {
            let line = loop {
                if let Some(at) = self.held.windows(2).position(|w| w == b"\r\n") {
                    let rest = self.held.split_off(at + 2);
                    let line = std::mem::replace(&mut self.held, rest);
                    break String::from_utf8_lossy(&line[..at]).into_owned();
                }
                match self.fill() {
                    Ok(0) => return cut(&message),
                    Ok(_) => {}
                    Err(e) => return broken(&message, e),
                }
            };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let Ok(size) = size else {
                return Received::Broken(message, format!("bad chunk size {line:?}"));
            };
            while self.held.len() < size + 2 {
                match self.fill() {
                    Ok(0) => return cut(&message),
                    Ok(_) => {}
                    Err(e) => return broken(&message, e),
                }
            }
            let rest = self.held.split_off(size + 2);
            let chunk = std::mem::replace(&mut self.held, rest);
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Received::Whole(message);
            }
        }
    }
}

pub fn connect(address: &str, limit: Duration) -> io::Result<TcpStream> {
    let address = address.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends one request on a new connection and reads its response.
pub fn call(address: &str, request: &str, limit: Duration) -> Option<Message> {
    let mut stream = connect(address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    match Reader::new(stream).next() {
        Received::Whole(message) => Some(message),
        Received::End | Received::Broken(..) => None,
    }
}

/// Sends a signal to a process that the site has started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

/// A machine of the site and its process.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub region: String,
    pub is_core: bool,
    pub child: Option<Child>,
}

impl Node {
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn address(&self, port: u16) -> String {
        format!("{}:{port}", self.ip)
    }
}

/// The processes of a small site.
pub struct Site {
    pub dir: PathBuf,
    pub net: String,
    pub zones: Vec<(String, String)>,
    pub nodes: Vec<Node>,
    pub list: String,
    pub seeds: Vec<String>,
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                signal(child.id(), "CONT");
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

// Notes a process for `run.sh`, which ends those that are left.
fn note_pid(dir: &Path, pid: u32) {
    let pids = File::options().create(true).append(true).open(dir.join("pids"));
    let _ = pids.and_then(|mut f| writeln!(f, "{pid}"));
}

/// Finds a loopback network on which nobody listens.
pub fn free_net() -> Fallible<String> {
    for n in 0..200u32 {
        let seed = std::process::id().wrapping_add(n.wrapping_mul(7_919));
        let net = format!("127.{}.{}", 20 + seed % 200, (seed / 200) % 250);
        let free = (1..60).step_by(7).all(|host| {
            [OPERATOR_PORT, CALLER_PORT, SERVER_PORT, 9_464]
                .iter()
                .all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        });
        if free {
            return Ok(net);
        }
    }
    Err("no free loopback network".to_owned())
}

impl Site {
    /// `zones` are pairs of zone and region; `cores` and `edges` give the zone of each machine.
    pub fn new(zones: &[(&str, &str)], cores: &[usize], edges: &[usize]) -> Fallible<Site> {
        let net = free_net()?;
        let dir = std::env::var("CASE_DIR").map_err(|_| "CASE_DIR is not set".to_owned())?;
        note_pid(Path::new(&dir), std::process::id());
        let zones: Vec<(String, String)> =
            zones.iter().map(|(z, r)| ((*z).to_owned(), (*r).to_owned())).collect();
        let node = |is_core: bool, n: usize, zone: usize| Node {
            name: format!("{}-{}-{}", if is_core { "core" } else { "edge" }, zones[zone].0, n + 1),
            ip: format!("{net}.{}", n + 1 + if is_core { 0 } else { 20 }),
            zone: zones[zone].0.clone(),
            region: zones[zone].1.clone(),
            is_core,
            child: None,
        };
        let mut nodes: Vec<Node> =
            cores.iter().enumerate().map(|(n, zone)| node(true, n, *zone)).collect();
        nodes.extend(edges.iter().enumerate().map(|(n, zone)| node(false, n, *zone)));
        let seeds = nodes.iter().filter(|n| n.is_core).take(3);
        let seeds = seeds.map(|n| n.address(OPERATOR_PORT)).collect();
        Ok(Site {
            dir: PathBuf::from(dir),
            list: format!("{net}.100:{LIST_PORT}"),
            net,
            zones,
            nodes,
            seeds,
        })
    }

    pub fn cores(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].is_core).collect()
    }

    pub fn edges(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| !self.nodes[*i].is_core).collect()
    }

    /// Data folder of a core machine.
    pub fn data(&self, i: usize) -> PathBuf {
        self.dir.join(format!("{}-data", self.nodes[i].name))
    }

    fn settings(&self, i: usize, bootstrap: bool) -> String {
        let node = &self.nodes[i];
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let zones: String = self.zones.iter().map(|(z, r)| format!("{z} = \"{r}\"\n")).collect();
        let data = self.data(i);
        let (role, class, serves, listen, limits, data) = match node.is_core {
            true => (
                "control",
                "core",
                "\"control_plane\", \"directory\"",
                format!(
                    "control = \"{}\"\ndirectory = \"{}\"",
                    node.address(OPERATOR_PORT),
                    node.address(DIRECTORY_PORT)
                ),
                "cpu-share = 0.15\nmemory-mb = 256\nmax-fds = 4096\ndisk-mb = 256",
                format!("data-dir = \"{}\"\n", data.display()),
            ),
            false => (
                "gateway",
                "edge",
                "\"edge\"",
                format!(
                    "front = \"{}\"\nreadiness = \"{}\"",
                    node.address(CALLER_PORT),
                    node.address(READY_PORT)
                ),
                "cpu-share = 0.2\nmemory-mb = 260\nmax-fds = 4100\ndisk-mb = 0",
                String::new(),
            ),
        };
        format!(
            "[self]\nnode = \"{name}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             in-loss-budget = {is_core}\nbootstrap = {bootstrap}\n{data}\
             [self.limits]\ncpu-cores = 1\nlink-mbps = 1000.0\n{limits}\n\
             [network]\ninternal-ports = [{p0}, {p1}]\nseeds = [{seeds}]\n\
             [network.listen]\n{listen}\n[network.zones]\n{zones}\
             [platform]\ndiscovery = \"cloud_api\"\nentry = \"directory\"\nheartbeat-s = 1.5\n\
             [platform.cloud]\naddress = \"{list}\"\nrate-per-s = 44.0\nduties = []\nmax-lag-s = 0.8\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"tenants\",\"quota\"]\n\
             [terms.tolerate]\nmachines = 1\nzones = 1\nregions = 1\n\
             [terms.bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-window-s = 4\nack-s = 5\n\
             catch-up-s = 4\ndrain-s = 3\ngrace-s = 6\nloss-slack-s = 0.2\nconfig-apply-s = 2.5\n\
             rollback-slack-s = 0.25\nmax-stretch-s = 6\nstrict-revoke = false\nrevoke-s = 5\n\
             retry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 56\nquota-window-s = 5\n\
             quota-overage = 0.1\nquota-slack = 20\ncold-overage = 1.5\ncold-slack = 5\n\
             evacuate-s = 5\nrecovery-s = 15\nttl_max_s = 5\nmax-shift-fraction = 0.15\n",
            name = node.name,
            ip = node.ip,
            zone = node.zone,
            region = node.region,
            is_core = node.is_core,
            p0 = INTERNAL_PORTS[0],
            p1 = INTERNAL_PORTS[1],
            seeds = seeds.join(", "),
            list = self.list,
        )
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, i: usize, bootstrap: bool) -> Fallible<()> {
        let (settings, data) = (self.settings(i, bootstrap), self.data(i));
        let dir = self.dir.clone();
        let node = &mut self.nodes[i];
        let failed = |e: io::Error| format!("{}: {e}", node.name);
        let file = dir.join(format!("{}.toml", node.name));
        fs::write(&file, settings).map_err(failed)?;
        if node.is_core {
            fs::create_dir_all(data).map_err(failed)?;
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(dir.join(format!("{}.log", node.name)))
            .map_err(failed)?;
        let child = Command::new("target/release/pomelovale-platform")
            .args(["run", "--secret", "deploy/peer.secret"])
            .env("POMELOVALE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        node.child = Some(child);
        let pid = node.pid();
        note_pid(&dir, pid);
        Ok(())
    }

    pub fn start_all(&mut self) -> Fallible<()> {
        for i in 0..self.nodes.len() {
            self.start(i, true)?;
        }
        Ok(())
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self, limit: Duration) -> Fallible<()> {
        let end = Instant::now() + limit;
        let request = "GET /-/readiness HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n";
        for i in self.edges() {
            let address = self.nodes[i].address(READY_PORT);
            loop {
                let answer = call(&address, request, Duration::from_millis(500));
                if answer.is_some_and(|m| m.status() == 200) {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{} is not ready", self.nodes[i].name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Whether a process has ended by itself.
    pub fn ended(&mut self, i: usize) -> Option<String> {
        let child = self.nodes[i].child.as_mut()?;
        child.try_wait().ok()?.map(|status| status.to_string())
    }
}

/// Sends an order to the control instances in turn until one has acknowledged it.
pub fn order(site: &Site, record: &Record, path: &str, base: Option<u64>, body: &str) -> Fallible<()> {
    let addresses: Vec<String> =
        site.cores().iter().map(|i| site.nodes[*i].address(OPERATOR_PORT)).collect();
    order_at(&addresses, record, path, base, body, Duration::from_secs(20))
}

pub fn order_at(
    addresses: &[String],
    record: &Record,
    path: &str,
    base: Option<u64>,
    body: &str,
    limit: Duration,
) -> Fallible<()> {
    let base = base.map_or_else(String::new, |b| format!("X-Pomelovale-Base-Version: {b}\r\n"));
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: control\r\n{base}Content-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let end = Instant::now() + limit;
    record.note(format!("operator sends {path}"));
    for n in 0.. {
        let address = &addresses[n % addresses.len()];
        match call(address, &request, Duration::from_secs(1)).map(|m| m.status()) {
            Some(200..=299) => {
                record.note(format!("operator's {path} is acknowledged by {address}"));
                return Ok(());
            }
            Some(status @ (400 | 409 | 412 | 413 | 422)) => {
                return Err(format!("{path} was refused with {status}"));
            }
            Some(_) | None => {}
        }
        if Instant::now() > end {
            return Err(format!("{path} was not acknowledged"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    unreachable!()
}

/// The platform's list of servers.
#[derive(Debug, Default)]
pub struct List {
    pub rows: Mutex<Vec<Row>>,
}

#[derive(Clone, Debug)]
pub struct Row {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
}

impl List {
    pub fn serve(self: &Arc<List>, address: &str) -> Fallible<()> {
        let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
        let list = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let mut reader = Reader::new(stream);
                    while let Received::Whole(_) = reader.next() {
                        let rows: Vec<String> = list.rows.lock().unwrap().iter().map(Row::json).collect();
                        let body = format!(
                            "{{\"instances\":{{\"columns\":[\"service\",\"address\",\"zone\",\"version\",\
                             \"slots\",\"state\",\"cold-remaining-s\",\"id\"],\"rows\":[{}]}},\
                             \"next-page-token\":null}}",
                            rows.join(",")
                        );
                        let answer = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                             Content-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if reader.stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }
}

impl Row {
    fn json(&self) -> String {
        format!(
            "[\"{}\",\"{}\",\"{}\",\"v1\",{},\"{}\",0,\"{}\"]",
            self.service, self.address, self.zone, self.slots, self.state, self.id
        )
    }
}

/// A request at a server.
pub struct Arrived<'a> {
    pub server: &'a Server,
    pub message: &'a Message,
    pub stream: &'a mut TcpStream,
}

impl Arrived<'_> {
    pub fn id(&self) -> &str {
        self.message.field("x-pomelovale-request-id").unwrap_or("")
    }

    /// Works for a time, or until the caller closes the connection. Returns whether the work
    /// was finished.
    pub fn work(&mut self, time: Duration) -> bool {
        let end = Instant::now() + time;
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(10)));
        let mut byte = [0];
        let finished = loop {
            match self.stream.peek(&mut byte) {
                Ok(0) => break false,
                Err(e) if !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    break false
                }
                Ok(_) => thread::sleep(Duration::from_millis(10)),
                Err(_) => {}
            }
            if Instant::now() >= end {
                break true;
            }
        };
        let _ = self.stream.set_read_timeout(None);
        finished
    }

    /// Head of a response with status 200.
    pub fn head(&self, length: usize) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Pomelovale-Request-Id: {}\r\n\
             X-Pomelovale-Server-Stamp: {}.{}\r\nX-Pomelovale-Server-Load: 1,0,{}\r\n\
             Content-Length: {length}\r\n\r\n",
            self.id(),
            self.server.id,
            self.id(),
            self.server.slots
        )
    }
}

/// What a server does with a request. False closes the connection.
pub type Work = Arc<dyn Fn(&mut Arrived) -> bool + Send + Sync>;

/// A backend server.
pub struct Server {
    pub id: String,
    pub address: String,
    pub slots: u32,
    pub work: Work,
    pub wait_for_probe: Arc<dyn Fn() + Send + Sync>,
    pub arrivals: AtomicU64,
}

impl Server {
    /// Starts a server and puts it on the list.
    pub fn start(
        list: &List,
        (id, service, zone, ip): (&str, &str, &str, &str),
        slots: u32,
        work: Work,
    ) -> Fallible<Arc<Server>> {
        Server::start_with(list, (id, service, zone, ip), slots, work, Arc::new(|| {}))
    }

    /// Likewise. `wait_for_probe` returns once a health probe has a slot.
    pub fn start_with(
        list: &List,
        (id, service, zone, ip): (&str, &str, &str, &str),
        slots: u32,
        work: Work,
        wait_for_probe: Arc<dyn Fn() + Send + Sync>,
    ) -> Fallible<Arc<Server>> {
        let address = format!("{ip}:{SERVER_PORT}");
        let listener = TcpListener::bind(&address).map_err(|e| format!("{address}: {e}"))?;
        let server = Arc::new(Server {
            id: id.to_owned(),
            address: address.clone(),
            slots,
            work,
            wait_for_probe,
            arrivals: AtomicU64::new(0),
        });
        list.rows.lock().unwrap().push(Row {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots,
            state: "ready",
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Received::Whole(message) = reader.next() {
            let expected = message.field("x-pomelovale-expect-instance");
            let answered = if message.word(1) == "/health" {
                (self.wait_for_probe)();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Pomelovale-Instance-Id: {}\r\n\
                     X-Pomelovale-Server-Load: 0,0,{}\r\nContent-Length: 0\r\n\r\n",
                    self.id, self.slots
                );
                writer.write_all(answer.as_bytes()).is_ok()
            } else if expected.is_some_and(|name| name != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Pomelovale-Request-Id: {}\r\n\
                     X-Pomelovale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    message.field("x-pomelovale-request-id").unwrap_or("")
                );
                writer.write_all(answer.as_bytes()).is_ok()
            } else {
                self.arrivals.fetch_add(1, Ordering::Relaxed);
                (self.work)(&mut Arrived { server: self, message: &message, stream: &mut writer })
            };
            if !answered {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// A route of the config.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
    pub attempts: u32,
    pub target_s: f64,
}

/// A tenant of the config.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
    pub rate: u64,
    pub burst: u64,
}

pub fn config(version: u64, tenants: &[Tenant], routes: &[Route], services: &[&str]) -> String {
    let tenant = |t: &Tenant| {
        let keys: Vec<String> = t.keys.iter().map(|k| format!("\"{k}\"")).collect();
        format!(
            "{{\"name\":\"{}\",\"api-keys\":[{}],\"priority\":1,\"rate-per-s\":{},\"burst\":{},\
             \"home-regions\":[]}}",
            t.name,
            keys.join(","),
            t.rate,
            t.burst
        )
    };
    let route = |r: &Route| {
        format!(
            "{{\"name\":\"{}\",\"kind\":\"{}\",\"target-latency-s\":{},\"priority\":1,\
             \"public\":false,\"sticky\":false,\"match\":{{\"path-prefix\":\"{}\"}},\
             \"action\":{{\"service\":\"{}\",\"timeout-s\":{},\"max-attempts\":{},\"home-regions\":[]}}}}",
            r.name, r.kind, r.target_s, r.prefix, r.service, r.timeout_s, r.attempts
        )
    };
    let service = |s: &&str| {
        format!(
            "{{\"name\":\"{s}\",\"health-path\":\"/health\",\"max-connections\":390,\
             \"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":6.1}}"
        )
    };
    let list = |items: Vec<String>| items.join(",");
    format!(
        "{{\"version\":{version},\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\
         \"header-timeout-s\":3,\"idle-timeout-s\":15}},\"tenants\":[{}],\
         \"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{}]}}],\"clusters\":[{}]}}",
        list(tenants.iter().map(tenant).collect()),
        list(routes.iter().map(route).collect()),
        list(services.iter().map(service).collect())
    )
}

/// Identifiers of requests, each used once.
pub fn request_id(prefix: &str, n: usize) -> String {
    format!("{prefix}{n:08x}")
}

pub fn request(method: &str, path: &str, id: &str, key: &str, deadline_ms: u64, body: Option<&str>) -> String {
    let body_head = body.map_or_else(String::new, |b| format!("Content-Length: {}\r\n", b.len()));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Pomelovale-Request-Id: {id}\r\n\
         X-Pomelovale-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{body_head}\r\n{}",
        body.unwrap_or("")
    )
}

/// Runs a case and ends the process with the exit code that the review asks for.
pub fn finish(case: fn(trouble: bool, record: &Arc<Record>) -> Fallible<bool>) -> ! {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let result = Record::create(&path).and_then(|record| {
        let broken = case(trouble, &record);
        if let Err(e) = &broken {
            record.note(format!("the case could not run: {e}"));
        }
        broken
    });
    std::process::exit(match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            2
        }
    })
}

/// Counts by name, for the closing line of a record.
pub fn counts(names: impl IntoIterator<Item = String>) -> String {
    let mut counts: HashMap<String, u64> = HashMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    let mut counts: Vec<(String, u64)> = counts.into_iter().collect();
    counts.sort();
    let counts: Vec<String> = counts.into_iter().map(|(n, c)| format!("{n}: {c}")).collect();
    counts.join(", ")
}
