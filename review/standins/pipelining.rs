//! LOST: requests that were passed on to sound servers get no answer, since an answer before them
//! on their connection broke off.

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::http::Reader;
use crate::operator::{HOST, KEY, LOOKUP, REGISTRY};
use crate::record::Record;
use crate::servers::{body, size, FULL};
use crate::{has_trouble, Fault, Stage};

/// Clients, requests that each sends at once, and the pause before the next ones.
const CLIENTS: usize = 60;
const DEPTH: usize = 6;
const PAUSE: Duration = Duration::from_millis(700);
const LIMIT: Duration = Duration::from_secs(8);
/// `garble` as the site file names it: this share of the servers, one in so many of their answers,
/// and this long.
const SHARE: f64 = 0.35;
const BREAKS_ONE_IN: usize = 50;
const TROUBLE_TIME: Duration = Duration::from_millis(5_500);
/// Times that it comes, and the time between.
const TIMES: usize = 7;
const GAP: Duration = Duration::from_secs(4);
/// Times that the rule allows.
const LOST_MAX: usize = 3;

/// Requests without an answer, as their clients saw it, and those whose answer was cut.
#[derive(Default)]
struct Ends {
    unanswered: Vec<String>,
    cut: usize,
    whole: usize,
    wrong: usize,
}

pub fn run(stage: &mut Stage) -> Result<bool, Fault> {
    let fronts: Vec<String> = stage.site.gateways().iter().map(|n| n.front()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<Ends>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let front = fronts[n % fronts.len()].clone();
            let (stop, ends, record) = (stop.clone(), ends.clone(), stage.record.clone());
            std::thread::spawn(move || {
                sleep(PAUSE.mul_f64(n as f64 / CLIENTS as f64));
                while !stop.load(Ordering::SeqCst) {
                    connection(&front, &stop, &ends, &record);
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(3));
    let all = stage.servers.iter().filter(|s| s.service == REGISTRY);
    let all: Vec<_> = all.cloned().collect();
    let garbled = &all[..(all.len() as f64 * SHARE) as usize];
    let garbled_names: HashSet<String> = garbled.iter().map(|s| s.id.clone()).collect();
    for _ in 0..TIMES {
        if has_trouble() {
            stage.record.say(&format!(
                "servers break off one in {BREAKS_ONE_IN} answers: {garbled_names:?}"
            ));
            let one_in = BREAKS_ONE_IN;
            garbled
                .iter()
                .for_each(|s| s.breaks_one_in.store(one_in, Ordering::SeqCst));
        }
        sleep(TROUBLE_TIME);
        garbled
            .iter()
            .for_each(|s| s.breaks_one_in.store(0, Ordering::SeqCst));
        sleep(GAP);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ends = ends.lock().expect("no panic");
    let mut servers: HashMap<String, Vec<String>> = HashMap::new();
    for run in stage.record.all_reached() {
        servers.entry(run.request).or_default().push(run.server);
    }
    let mut lost = 0;
    for id in &ends.unanswered {
        let Some(servers) = servers.get(id) else {
            continue;
        };
        if servers.iter().all(|s| !garbled_names.contains(s)) {
            lost += 1;
            stage.record.say(&format!(
                "{id} was passed on to {servers:?}, and its connection ended without an answer"
            ));
        }
    }
    stage.record.say(&format!(
        "{} answers were whole, {} wrong, {} cut; {} requests got none; {lost} of these were passed on to sound servers only",
        ends.whole, ends.wrong, ends.cut, ends.unanswered.len()
    ));
    if ends.whole < 500 {
        return Err("few requests were answered".to_owned());
    }
    Ok(lost > LOST_MAX)
}

// Sends requests on one connection, several at once, until it ends or the run does.
fn connection(front: &str, stop: &AtomicBool, ends: &Mutex<Ends>, record: &Record) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let Ok(stream) = TcpStream::connect(front) else {
        sleep(PAUSE);
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(LIMIT));
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = Reader::new(reading);
    while !stop.load(Ordering::SeqCst) {
        let numbers: Vec<u64> = (0..DEPTH)
            .map(|_| NEXT.fetch_add(1, Ordering::SeqCst))
            .collect();
        let ids: Vec<String> = numbers.iter().map(|n| format!("{n:016x}")).collect();
        // The first one asks for much.
        let path = |i: usize| {
            let end = if i == 0 { FULL } else { "" };
            format!("{}{:x}{end}", LOOKUP.1, numbers[i] % 251)
        };
        let request = |i: usize| {
            format!(
                "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Pomelovale-Request-Id: {}\r\nCookie: X-Pomelovale-Affinity-Key={}\r\nX-Pomelovale-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\n\r\n",
                LOOKUP.0,
                path(i),
                ids[i],
                numbers[i] % 97,
                LIMIT.as_millis()
            )
        };
        let requests: String = (0..DEPTH).map(request).collect();
        record.add(&format!(
            "client sends {} to {} to {front} at once",
            ids[0],
            ids[DEPTH - 1]
        ));
        if (&stream).write_all(requests.as_bytes()).is_err() {
            return;
        }
        for (n, id) in ids.iter().enumerate() {
            let answer = reader.next();
            let mut ends = ends.lock().expect("no panic");
            match answer {
                Ok(Some(message)) => {
                    let good = message.status() != 200 || message.body == body(id, size(&path(n)));
                    ends.whole += usize::from(good);
                    ends.wrong += usize::from(!good);
                    if message.closes() {
                        return;
                    }
                }
                ended => {
                    // The first one was begun and broke off, or was not begun either.
                    let began = ended.is_err() && reader.has_begun();
                    ends.cut += usize::from(began);
                    ends.unanswered
                        .extend(ids[n + usize::from(began)..].iter().cloned());
                    record.add(&format!("the connection of {id} ends, begun: {began}"));
                    return;
                }
            }
        }
        sleep(PAUSE);
    }
}
