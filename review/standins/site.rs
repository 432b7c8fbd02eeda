//! The processes of a small site: their settings files, and signals to them.

use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Zones with their regions.
pub type Zones = [(&'static str, &'static str); 6];
pub const ROPES: Zones = [
    ("squamish", "coast-south"),
    ("revelstoke", "columbia"),
    ("terrace", "coast-north"),
    ("pemberton", "coast-south"),
    ("golden", "columbia"),
    ("stewart", "coast-north"),
];
pub const GHIRLANDA: Zones = [
    ("ardeal-cluj", "ardeal"),
    ("muntenia-buc", "muntenia"),
    ("moldova-iasi", "moldova"),
    ("ardeal-sibiu", "ardeal"),
    ("muntenia-ploiesti", "muntenia"),
    ("moldova-suceava", "moldova"),
];
pub const CONTROLS: usize = 5;
const CONTROL_PORT: u16 = 8381;
const DIRECTORY_PORT: u16 = 8383;
const READINESS_PORT: u16 = 8384;
const FRONT_PORT: u16 = 8388;
/// `memory-mb` of control machines and of gateways.
pub const MEMORY_MB: (u64, u64) = (256, 260);

/// A process of the site.
pub struct Node {
    pub name: String,
    pub zone: &'static str,
    region: &'static str,
    ip: String,
    pub is_control: bool,
    child: Option<Child>,
}

impl Node {
    pub fn control(&self) -> String {
        format!("{}:{CONTROL_PORT}", self.ip)
    }

    pub fn directory(&self) -> String {
        format!("{}:{DIRECTORY_PORT}", self.ip)
    }

    pub fn readiness(&self) -> String {
        format!("{}:{READINESS_PORT}", self.ip)
    }

    pub fn front(&self) -> String {
        format!("{}:{FRONT_PORT}", self.ip)
    }
}

/// All processes; they are killed when it is dropped.
pub struct Site {
    pub nodes: Vec<Node>,
    zones: Zones,
    folder: PathBuf,
    list: String,
}

impl Site {
    /// Lays out a site with a gateway in each zone, whose addresses begin with `net`. `list` is the
    /// address of the platform's list.
    pub fn new(net: &str, zones: Zones, list: &str) -> Site {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let node = |is_control: bool, i: usize| {
            let (zone, region) = zones[i % zones.len()];
            let (kind, block) = if is_control { ("core", 1) } else { ("edge", 2) };
            Node {
                name: format!("{kind}-{zone}-{}", i / zones.len() + 1),
                zone,
                region,
                ip: format!("{net}.{block}.{}", 11 + i),
                is_control,
                child: None,
            }
        };
        let controls = (0..CONTROLS).map(|i| node(true, i));
        Site {
            nodes: controls
                .chain((0..zones.len()).map(|i| node(false, i)))
                .collect(),
            zones,
            folder,
            list: list.to_owned(),
        }
    }

    pub fn controls(&self) -> &[Node] {
        &self.nodes[..CONTROLS]
    }

    pub fn gateways(&self) -> &[Node] {
        &self.nodes[CONTROLS..]
    }

    fn settings(&self, i: usize, bootstrap: bool) -> String {
        let node = &self.nodes[i];
        let (class, serves) = match node.is_control {
            true => ("core", "\"control_plane\",\"directory\""),
            false => ("edge", "\"edge\""),
        };
        let (share, memory, disk) = match node.is_control {
            true => (0.15, MEMORY_MB.0, 256),
            false => (0.2, MEMORY_MB.1, 0),
        };
        let data = match node.is_control {
            true => format!(
                "data-dir = \"{}\"\n",
                self.folder.join(&node.name).display()
            ),
            false => String::new(),
        };
        let listen = match node.is_control {
            true => format!(
                "control = \"{}\"\ndirectory = \"{}\"\n",
                node.control(),
                node.directory()
            ),
            false => format!(
                "front = \"{}\"\nreadiness = \"{}\"\n",
                node.front(),
                node.readiness()
            ),
        };
        let seeds: Vec<String> = self.nodes[..3]
            .iter()
            .map(|n| format!("\"{}\"", n.control()))
            .collect();
        let zones: String = self
            .zones
            .iter()
            .map(|(z, r)| format!("{z} = \"{r}\"\n"))
            .collect();
        format!(
            "[self]\nnode = \"{}\"\nrole = \"{}\"\nmachine-class = \"{class}\"\nserves = [{serves}]\n\
             ip = \"{}\"\nzone = \"{}\"\nregion = \"{}\"\nin-loss-budget = {}\nbootstrap = {bootstrap}\n{data}\
             [self.limits]\ncpu-share = {share}\ncpu-cores = 1\nmemory-mb = {memory}\nmax-fds = 4096\n\
             link-mbps = 1000.0\ndisk-mb = {disk}\n\
             [network]\ninternal-ports = [7560,7575]\nseeds = [{}]\n[network.listen]\n{listen}\
             [network.zones]\n{zones}\
             [platform]\ndiscovery = \"cloud_api\"\nentry = \"directory\"\nheartbeat-s = 1.5\n\
             [platform.cloud]\naddress = \"{}\"\nrate-per-s = 44.0\nduties = []\nmax-lag-s = 0.8\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"tenants\",\"quota\"]\n\
             [terms.tolerate]\nmachines = 1\nzones = 1\nregions = 1\n[terms.bounds]\n{BOUNDS}",
            node.name,
            if node.is_control { "control" } else { "gateway" },
            node.ip,
            node.zone,
            node.region,
            node.is_control,
            seeds.join(","),
            self.list,
        )
    }

    /// Starts a process with the command of the deploy file, from the root of the repository.
    pub fn start(&mut self, i: usize, bootstrap: bool) {
        let file = self.folder.join(format!("{}.toml", self.nodes[i].name));
        fs::write(&file, self.settings(i, bootstrap)).expect("a settings file");
        if self.nodes[i].is_control {
            fs::create_dir_all(self.folder.join(&self.nodes[i].name)).expect("a data folder");
        }
        let log = self.folder.join(format!("{}.log", self.nodes[i].name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let child = Command::new("target/release/pomelovale-platform")
            .args(["run", "--secret", "deploy/peer.secret"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("POMELOVALE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        self.nodes[i].child = Some(child);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|i| self.start(i, true));
    }

    /// Sends a signal to a process that this program has started.
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.nodes[i].child {
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// The most memory that a process has used, without pages of files, in MB.
    pub fn memory_mb(&self, i: usize) -> u64 {
        let pid = self.nodes[i].child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name));
            let kb = line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
            kb.unwrap_or(0) / 1024
        };
        field("VmHWM:").saturating_sub(field("RssFile:"))
    }

    /// Whether a process still runs.
    pub fn is_running(&mut self, i: usize) -> bool {
        let child = self.nodes[i].child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.nodes[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        (0..self.nodes.len()).for_each(|i| self.kill(i));
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

const BOUNDS: &str = "seed-lag-s = 3\nreuse-after-s = 2\ncontact-window-s = 4\nack-s = 5\ncatch-up-s = 4\n\
drain-s = 3\ngrace-s = 6\nloss-slack-s = 0.2\nconfig-apply-s = 2.5\nrollback-slack-s = 0.25\n\
max-stretch-s = 6\nstrict-revoke = false\nrevoke-s = 5\nretry-budget-ratio = 0.2\nbudget-window-s = 10\n\
budget-slack = 64\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\ncold-overage = 1.5\n\
cold-slack = 5\nevacuate-s = 5\nrecovery-s = 15\nttl_max_s = 5\nmax-shift-fraction = 0.15\n";
