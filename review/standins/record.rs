//! What was sent, answered and run, with times since the start.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub request: String,
    pub server: String,
}

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
    reached: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Mutex::default(),
            reached: Mutex::default(),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: &str) {
        let now = self.now();
        self.lines
            .lock()
            .expect("no panic")
            .push((now, text.to_owned()));
    }

    /// Adds a line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{:9.3} s  {text}", self.now());
        self.add(text);
    }

    pub fn reached(&self, request: &str, server: &str) {
        self.add(&format!("{request} reaches server {server}"));
        let run = Run {
            at: self.now(),
            request: request.to_owned(),
            server: server.to_owned(),
        };
        self.reached.lock().expect("no panic").push(run);
    }

    pub fn all_reached(&self) -> Vec<Run> {
        self.reached.lock().expect("no panic").clone()
    }

    /// Writes all lines to `record.txt` in a folder.
    pub fn write(&self, folder: &Path) {
        let mut lines = self.lines.lock().expect("no panic").clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:9.3} s  {line}");
        }
        let _ = std::fs::write(folder.join("record.txt"), text);
    }
}
