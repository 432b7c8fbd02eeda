//! The operator: configs, sent and resent as PROTOCOL.md says.

use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

use crate::http::{self, CallEnd};
use crate::record::Record;
use crate::Fault;

pub const HOST: &str = "ficu95.example";
pub const REGISTRY: &str = "huvo11a";
pub const FIELDBOOK: &str = "wuno96b";
/// Methods and paths of a safe and of an unsafe route to `REGISTRY`, and of an unsafe one to
/// `FIELDBOOK`.
pub const LOOKUP: (&str, &str) = ("GET", "/lohu930/");
pub const FILING: (&str, &str) = ("POST", "/pufi791/");
pub const FALL: (&str, &str) = ("POST", "/gono990/");
pub const TENANT: &str = "huka270";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Time after which a call without a response goes to another node.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Time for which an order may be sent again and answered (`ack-s`).
const ORDER_LIMIT: Duration = Duration::from_secs(5);

pub struct Operator {
    pub nodes: Vec<String>,
    pub version: u64,
    record: Arc<Record>,
}

impl Operator {
    pub fn new(nodes: Vec<String>, record: &Arc<Record>) -> Operator {
        Operator {
            nodes,
            version: 0,
            record: record.clone(),
        }
    }

    /// The config with `more` further routes.
    pub fn config(version: u64, more: usize) -> String {
        let rule = |name: &str, kind: &str, aim: f64, prefix: &str, service: &str, timeout: f64| {
            format!(
                "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"target-latency-s\":{aim},\"priority\":1,\"public\":false,\"sticky\":true,\"match\":{{\"path-prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\"timeout-s\":{timeout},\"max-attempts\":2,\"home-regions\":[]}}}}"
            )
        };
        let further: String = (0..more)
            .map(|n| {
                format!(
                    ",{}",
                    rule(
                        &format!("r-{n:06x}a"),
                        "safe",
                        1.0,
                        &format!("/more{n:04x}/"),
                        FIELDBOOK,
                        8.0
                    )
                )
            })
            .collect();
        let cluster = |name: &str| {
            format!("{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-connections\":390,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":6.1}}")
        };
        format!(
            "{{\"version\":{version},\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15}},\
             \"tenants\":[{{\"name\":\"{TENANT}\",\"api-keys\":[\"{KEY}\"],\"priority\":1,\"rate-per-s\":500,\"burst\":500,\"home-regions\":[]}}],\
             \"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{},{},{}{further}]}}],\"clusters\":[{},{}]}}",
            rule("r-lookup", "safe", 1.0, LOOKUP.1, REGISTRY, 8.0),
            rule("r-filing", "unsafe", 1.2, FILING.1, REGISTRY, 10.0),
            rule("r-fall", "unsafe", 0.8, FALL.1, FIELDBOOK, 5.0),
            cluster(REGISTRY),
            cluster(FIELDBOOK),
        )
    }

    /// Sends the first config until it is accepted.
    pub fn first_config(&mut self) -> Result<(), Fault> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            for n in 0..self.nodes.len() {
                if self.send_config(n, 0, 7, 0).status() == 200 {
                    self.version = 7;
                    self.record.say("the first config is acknowledged");
                    return Ok(());
                }
                std::thread::sleep(Duration::from_millis(150));
            }
        }
        Err("the first config was not accepted".to_owned())
    }

    /// Sends a config once, to one node.
    pub fn send_config(&self, node: usize, base: u64, version: u64, more: usize) -> CallEnd {
        let text = Operator::config(version, more);
        let request = format!(
            "POST /-/Config.Replace HTTP/1.1\r\nHost: c\r\nX-Pomelovale-Base-Version: {base}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        http::call(&self.nodes[node], request.as_bytes(), CALL_LIMIT)
    }

    /// Reads the config from a node. Returns its version, if there is an answer.
    pub fn read_config(&self, node: usize) -> Option<u64> {
        let request = b"GET /-/Config.Get HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n";
        let end = http::call(&self.nodes[node], request, CALL_LIMIT);
        let CallEnd::Answer(message) = end else {
            return None;
        };
        let text = String::from_utf8_lossy(&message.body).into_owned();
        let number = text.split("\"version\":").nth(1)?.split(',').next()?;
        (message.status() == 200).then(|| number.trim().parse().ok())?
    }

    /// Starts or finishes the evacuation of a zone: asks the nodes in the given order until one
    /// acknowledges it. After a second without a response it moves on to the next node, while the
    /// call may still be answered up to `ack-s`.
    pub fn evacuate(&self, start: bool, zone: &str, order: &[usize]) -> Result<f64, Fault> {
        let call = if start { "Start" } else { "Finish" };
        let request = format!(
            "POST /-/Evacuation.{call}/{zone} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"
        );
        let order_text = format!("Evacuation.{call}/{zone}");
        let (sender, answers) = mpsc::channel();
        let began = Instant::now();
        for node in order.iter().cycle() {
            if began.elapsed() > ORDER_LIMIT {
                break;
            }
            let (address, request) = (self.nodes[*node].clone(), request.clone());
            let (sender, record) = (sender.clone(), self.record.clone());
            let text = order_text.clone();
            record.say(&format!("operator sends {text} to {address}"));
            std::thread::spawn(move || {
                let end = http::call(&address, request.as_bytes(), ORDER_LIMIT);
                record.say(&format!(
                    "operator gets for {text} from {address}: {}",
                    end.text()
                ));
                let _ = sender.send(end.status());
            });
            match answers.recv_timeout(CALL_LIMIT) {
                Ok(200..=299) => return Ok(self.record.now()),
                Ok(_) => std::thread::sleep(Duration::from_millis(100)),
                Err(_) => {}
            }
        }
        Err(format!(
            "Evacuation.{call} was not acknowledged within ack-s"
        ))
    }
}
