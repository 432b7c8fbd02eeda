//! Runs one case of the review: `cases NAME FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod evacuation;
mod http;
mod list_entry;
mod long_day;
mod operator;
mod pipelining;
mod record;
mod servers;
mod site;
mod traffic;

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::time::{Duration, Instant};

use operator::Operator;
use record::Record;
use servers::{List, Server};
use site::{Site, Zones, GHIRLANDA, ROPES};

/// Why a case couldn't run.
pub type Fault = String;

/// Time that a request takes on a server.
const WORK: Duration = Duration::from_millis(60);
/// Servers of each service in each zone.
const PER_ZONE: usize = 2;

/// A running site with its stand-ins.
pub struct Stage {
    net: String,
    pub record: Arc<Record>,
    pub site: Site,
    pub list: Arc<List>,
    pub servers: Vec<Arc<Server>>,
    pub operator: Operator,
}

// The first two octets of a part of the loopback network that no other site uses.
fn free_net() -> Option<String> {
    let first = std::process::id() % 200;
    let mut nets = (0..200).map(|n| format!("127.{}", 20 + (first + n) % 200));
    nets.find(|net| TcpListener::bind(format!("{net}.1.11:8381")).is_ok())
}

impl Stage {
    /// Starts a site with one gateway in each zone, and sends the first config.
    pub fn start(zones: Zones) -> Result<Stage, Fault> {
        let record = Arc::new(Record::new());
        let net = free_net().ok_or("no part of the loopback network is free")?;
        let (list, address) = List::start(&format!("{net}.200.1"));
        let mut servers = Vec::new();
        for (service, block) in [(operator::REGISTRY, 64), (operator::FIELDBOOK, 65)] {
            for (z, (zone, _)) in zones.iter().enumerate() {
                for n in 0..PER_ZONE {
                    let ip = format!("{net}.{block}.{}", 10 + z * PER_ZONE + n);
                    let name = format!("i-{service}-{zone}-{n}");
                    servers.push(Server::start(&name, service, zone, &ip, WORK, &record));
                }
            }
        }
        list.set(&servers);
        let mut site = Site::new(&net, zones, &address);
        site.start_all();
        let nodes = site.controls().iter().map(|n| n.control()).collect();
        let operator = Operator::new(nodes, &record);
        let mut stage = Stage {
            net,
            record,
            site,
            list,
            servers,
            operator,
        };
        stage.operator.first_config()?;
        stage.wait_ready()?;
        Ok(stage)
    }

    fn wait_ready(&mut self) -> Result<(), Fault> {
        let start = Instant::now();
        let all: Vec<String> = self.site.gateways().iter().map(|n| n.readiness()).collect();
        while start.elapsed() < Duration::from_secs(15) {
            let request = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let ready = |a: &String| http::call(a, request, Duration::from_secs(1)).status() == 200;
            if all.iter().all(ready) {
                self.record.say("all gateways are ready");
                std::thread::sleep(Duration::from_millis(1_500));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err("the gateways are not ready".to_owned())
    }

    /// Starts another server beside an earlier one, in the same zone.
    pub fn successor(&self, n: usize, old: &Server) -> Arc<Server> {
        let ip = format!("{}.66.{}", self.net, 10 + n);
        let name = format!("{}-next", old.id);
        Server::start(&name, old.service, old.zone, &ip, WORK, &self.record)
    }
}

/// Whether the disruption is part of the run.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2).map(PathBuf::from)) else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let run: fn(&mut Stage) -> Result<bool, Fault> = match name.as_str() {
        "evacuation" => evacuation::run,
        "list-entry" => list_entry::run,
        "long-day" => long_day::run,
        "pipelining" => pipelining::run,
        _ => {
            eprintln!("there is no case {name}");
            exit(2);
        }
    };
    let zones = if name == "long-day" { GHIRLANDA } else { ROPES };
    let mut stage = match Stage::start(zones) {
        Ok(stage) => stage,
        Err(fault) => {
            eprintln!("could not run: {fault}");
            exit(2);
        }
    };
    let result = run(&mut stage);
    let record = stage.record.clone();
    drop(stage);
    let code = match result {
        Ok(true) => {
            record.say("the rule was broken");
            1
        }
        Ok(false) => {
            record.say("the rule held");
            0
        }
        Err(fault) => {
            record.say(&format!("could not run: {fault}"));
            2
        }
    };
    record.write(&folder);
    exit(code);
}
