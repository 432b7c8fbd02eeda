//! Stand-ins for upstreams and for the platform's list of them.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{Message, Reader};
use crate::record::Record;

/// Slots of a server, and requests that may wait for one.
pub const SLOTS: usize = 9;
const QUEUE: usize = 18;
/// End of the paths whose answers are large, and the size of their bodies.
pub const FULL: &str = "/full";
const FULL_BYTES: usize = 128 * 1024;
/// Part of an answer that is written at a time, and the time that it takes to make it.
const PART_BYTES: usize = 8 * 1024;
const PART_TIME: Duration = Duration::from_millis(5);

/// What a server is and does.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: String,
    pub work: Duration,
    /// Whether the list shows it as draining.
    pub draining: AtomicBool,
    /// One in this many answers breaks off; 0 for none.
    pub breaks_one_in: AtomicUsize,
    answers: AtomicUsize,
    ended: AtomicBool,
    connections: Mutex<HashMap<SocketAddr, TcpStream>>,
    busy: Mutex<usize>,
    free: Condvar,
    waiting: AtomicUsize,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server on a free port of `ip`.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        ip: &str,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let server = Arc::new(Server {
            id: id.to_owned(),
            service,
            zone,
            address,
            work,
            draining: AtomicBool::new(false),
            breaks_one_in: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            busy: Mutex::new(0),
            free: Condvar::new(),
            waiting: AtomicUsize::new(0),
            record: record.clone(),
        });
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = accepting.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let peer = stream.peer_addr()?;
        let own = stream.try_clone()?;
        self.connections.lock().expect("no panic").insert(peer, own);
        let served = self.serve_all(&stream);
        self.connections.lock().expect("no panic").remove(&peer);
        served
    }

    fn serve_all(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(request) = reader.next()? {
            if self.ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            let answer = self.answer(&request);
            if self.send(stream, &request, &answer)? {
                return Ok(());
            }
            if self.draining.load(Ordering::SeqCst) {
                return Ok(());
            }
        }
        Ok(())
    }

    // Writes an answer, a large one as it is made. Returns whether it has broken off.
    fn send(&self, mut stream: &TcpStream, request: &Message, answer: &[u8]) -> io::Result<bool> {
        let count = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let one_in = self.breaks_one_in.load(Ordering::SeqCst);
        let breaks = one_in > 0 && count.is_multiple_of(one_in) && request.path() != "/health";
        let parts = answer.len().div_ceil(PART_BYTES);
        // The break is at another place each time.
        let whole = if breaks {
            (count / one_in * 7) % parts
        } else {
            parts
        };
        for part in answer.chunks(PART_BYTES).take(whole) {
            stream.write_all(part)?;
            if parts > 1 {
                std::thread::sleep(PART_TIME);
            }
        }
        if breaks {
            let id = request.field("x-pomelovale-request-id").unwrap_or("");
            self.record.add(&format!(
                "server {} breaks off its answer to {id} after {whole} of {parts} parts",
                self.id
            ));
            stream.shutdown(Shutdown::Both)?;
        }
        Ok(breaks)
    }

    fn head(&self, status: &str, request: &Message, more: &str, length: usize) -> Vec<u8> {
        let busy = *self.busy.lock().expect("no panic");
        let waiting = self.waiting.load(Ordering::SeqCst);
        let id = request.field("x-pomelovale-request-id");
        let id = id.map_or_else(String::new, |id| {
            format!("X-Pomelovale-Request-Id: {id}\r\n")
        });
        let close = match self.draining.load(Ordering::SeqCst) {
            true => "Connection: close\r\n",
            false => "",
        };
        format!(
            "HTTP/1.1 {status}\r\n{id}X-Pomelovale-Server-Load: {busy},{waiting},{SLOTS}\r\n{close}{more}Content-Length: {length}\r\n\r\n"
        )
        .into_bytes()
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let own = format!("X-Pomelovale-Instance-Id: {}\r\n", self.id);
        if request.path() == "/health" {
            return match self.draining.load(Ordering::SeqCst) {
                true => self.head("503 Service Unavailable", request, &own, 0),
                false => self.head("200 OK", request, &own, 0),
            };
        }
        let id = request
            .field("x-pomelovale-request-id")
            .unwrap_or("")
            .to_owned();
        let refused = "X-Pomelovale-Not-Executed: 1\r\n";
        let expected = request.field("x-pomelovale-expect-instance");
        if expected.is_some_and(|e| e != self.id) {
            self.record
                .add(&format!("server {} answers {id} with 421", self.id));
            return self.head("421 Misdirected Request", request, refused, 0);
        }
        self.record.reached(&id, &self.id);
        if id.is_empty() {
            return self.head("400 Bad Request", request, refused, 0);
        }
        if self.waiting.load(Ordering::SeqCst) >= QUEUE {
            return self.head("503 Service Unavailable", request, refused, 0);
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let mut busy = self.busy.lock().expect("no panic");
        while *busy >= SLOTS {
            busy = self.free.wait(busy).expect("no panic");
        }
        *busy += 1;
        drop(busy);
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        self.record.add(&format!("server {} runs {id}", self.id));
        std::thread::sleep(self.work);
        *self.busy.lock().expect("no panic") -= 1;
        self.free.notify_one();
        let body = body(&id, size(request.path()));
        let stamp = format!("X-Pomelovale-Server-Stamp: {}.{id}\r\n", self.id);
        let mut answer = self.head("200 OK", request, &stamp, body.len());
        answer.extend_from_slice(&body);
        answer
    }

    /// Ends the server with all of its connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which closes the port.
        let _ = TcpStream::connect(&self.address);
        let connections = std::mem::take(&mut *self.connections.lock().expect("no panic"));
        for connection in connections.into_values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Bytes of the body of an answer to a request for this path.
pub fn size(path: &str) -> usize {
    match path.ends_with(FULL) {
        true => FULL_BYTES,
        false => 500,
    }
}

/// The body of the answer to a request.
pub fn body(id: &str, size: usize) -> Vec<u8> {
    let line = format!("{id}\n").into_bytes();
    line.iter().copied().cycle().take(size).collect()
}

/// The platform's list.
#[derive(Default)]
pub struct List {
    servers: Mutex<Vec<Arc<Server>>>,
    /// Rows of other writers, as JSON.
    pub foreign: Mutex<Vec<String>>,
}

impl List {
    /// Starts the list. Returns it with its address.
    pub fn start(ip: &str) -> (Arc<List>, String) {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let list = Arc::new(List::default());
        let serving = list.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = serving.clone();
                std::thread::spawn(move || list.serve(stream));
            }
        });
        (list, address)
    }

    pub fn set(&self, servers: &[Arc<Server>]) {
        *self.servers.lock().expect("no panic") = servers.to_vec();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(request) = reader.next()? {
            let zone = request
                .path()
                .split_once("zone=")
                .map(|(_, z)| z.split('&').next().unwrap_or(z).to_owned());
            let servers = self.servers.lock().expect("no panic").clone();
            let shown = servers
                .iter()
                .filter(|s| zone.as_ref().is_none_or(|z| z == s.zone));
            let mut rows: Vec<String> = shown
                .map(|s| {
                    let state = if s.draining.load(Ordering::SeqCst) {
                        "draining"
                    } else {
                        "ready"
                    };
                    format!(
                        "[\"{}\",\"{}\",\"{}\",\"v1\",{SLOTS},\"{state}\",0,\"{}\"]",
                        s.service, s.address, s.zone, s.id
                    )
                })
                .collect();
            rows.extend(self.foreign.lock().expect("no panic").iter().cloned());
            let body = format!(
                "{{\"instances\":{{\"columns\":[\"service\",\"address\",\"zone\",\"version\",\"slots\",\"state\",\"cold-remaining-s\",\"id\"],\"rows\":[{}]}},\"next-page-token\":null}}",
                rows.join(",")
            );
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            (&stream).write_all(head.as_bytes())?;
            if request.closes() {
                return Ok(());
            }
        }
        Ok(())
    }
}
