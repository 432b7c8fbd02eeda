//! Deployments, policies and cases of the benchmark.

use pomelovale_state::Name;
use pomelovale_steering::admission::AdmissionPolicy;
use pomelovale_steering::balancer::BalancerPolicy;
use pomelovale_steering::entries::EntryPolicy;
use pomelovale_steering::hedge::HedgePolicy;
use pomelovale_steering::region::RegionPolicy;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;
/// Microseconds in a second.
pub const SECOND: u64 = 1_000 * MS;
/// Duration of a run.
pub const RUN: u64 = 30 * SECOND;
/// Requests sent before this time are not counted.
pub const COUNTED_FROM: u64 = 5 * SECOND;
/// Requests sent from this time on are not counted.
pub const COUNTED_UNTIL: u64 = 27 * SECOND;
/// Start of the fault of a case.
pub const FAULT: u64 = 10 * SECOND;
/// End of a temporary fault.
pub const FAULT_END: u64 = 20 * SECOND;
/// Mean service time of a request in microseconds: 90% lookups of 20 ms, 10%
/// bookings of 40 ms.
pub const MEAN_WORK: f64 = 22_000.0;
/// Share of the load that each workspace causes.
pub const SHARES: [f64; 8] = [0.30, 0.20, 0.15, 0.10, 0.10, 0.05, 0.05, 0.05];
/// Rate limit of a workspace in multiples of its mean rate.
pub const RATE_FACTOR: f64 = 1.2;
/// Burst of a workspace in seconds at its rate limit.
pub const BURST_SECONDS: f64 = 0.25;
/// Number of caller blocks per workspace.
pub const BLOCKS: usize = 24;
/// Index of the workspace that exceeds its rate in the flood cases.
pub const FLOODING_WORKSPACE: usize = 1;

/// Size of a deployment of one service.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub label: &'static str,
    pub servers: usize,
    /// Slots of servers with even and with odd index.
    pub slots: [u32; 2],
    pub connections: u32,
    pub entries: usize,
    pub client_ms: u64,
}

pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        label: "A",
        servers: 14,
        slots: [5, 6],
        connections: 330,
        entries: 8,
        client_ms: 1,
    },
    Deployment {
        label: "B",
        servers: 20,
        slots: [9, 9],
        connections: 390,
        entries: 12,
        client_ms: 8,
    },
];

pub fn region(i: usize) -> Name {
    Name::from(format!("r{}", i % 3))
}

pub fn domain(i: usize) -> Name {
    Name::from(format!("r{}-{}", i % 3, i / 3 % 2))
}

/// One policy of each kind.
#[derive(Clone, Copy, Debug)]
pub struct PolicySet {
    pub label: &'static str,
    pub balancer: BalancerPolicy,
    pub admission: AdmissionPolicy,
    pub region: RegionPolicy,
    pub hedge: HedgePolicy,
    pub entry: EntryPolicy,
}

const fn baseline(
    label: &'static str,
    balancer: BalancerPolicy,
    admission: AdmissionPolicy,
) -> PolicySet {
    PolicySet {
        label,
        balancer,
        admission,
        region: RegionPolicy::NoSpill,
        hedge: HedgePolicy::Off,
        entry: EntryPolicy::Nearest,
    }
}

/// The policies under test.
pub const STEERED: PolicySet = PolicySet {
    label: "steered",
    balancer: BalancerPolicy::SlotShares,
    admission: AdmissionPolicy::Fair,
    region: RegionPolicy::Spill,
    hedge: HedgePolicy::Percentile,
    entry: EntryPolicy::Headroom,
};

pub const BASELINES: [PolicySet; 5] = [
    baseline("rr+fifo", BalancerPolicy::RoundRobin, AdmissionPolicy::Fifo),
    baseline("rand+fifo", BalancerPolicy::Random, AdmissionPolicy::Fifo),
    baseline(
        "least+fifo",
        BalancerPolicy::LeastOutstanding,
        AdmissionPolicy::Fifo,
    ),
    baseline(
        "least+open",
        BalancerPolicy::LeastOutstanding,
        AdmissionPolicy::Open,
    ),
    baseline("rr+open", BalancerPolicy::RoundRobin, AdmissionPolicy::Open),
];

/// The policies under test with one of them replaced.
pub const ABLATIONS: [PolicySet; 4] = [
    PolicySet {
        label: "-shares",
        balancer: BalancerPolicy::LeastOutstanding,
        ..STEERED
    },
    PolicySet {
        label: "-fair",
        admission: AdmissionPolicy::Fifo,
        ..STEERED
    },
    PolicySet {
        label: "-spill",
        region: RegionPolicy::NoSpill,
        ..STEERED
    },
    PolicySet {
        label: "-hedge",
        hedge: HedgePolicy::Off,
        ..STEERED
    },
];

/// Faults and changes that a case injects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Half of each region's servers restart cold.
    ColdHalf,
    /// The servers of one failure domain are drained.
    Drain,
    /// Every lookup takes 20 ms and every booking 40 ms, so that only queueing
    /// times make latencies differ.
    EvenWork,
    /// One server fails every request immediately.
    FastFail,
    /// One workspace sends five times its rate.
    Flood,
    /// Load reports and headroom measurements stop.
    NoReports,
    /// One region fails with its servers and entries.
    RegionLost,
    /// All entries restart, one after the other.
    Restarts,
    /// One server stops responding.
    Silent,
    /// One server reports zero load.
    ZeroReport,
}

/// A load, relative to capacity, and the faults injected at that load.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub label: &'static str,
    pub load: f64,
    pub faults: &'static [Fault],
}

pub const CASES: [Case; 14] = [
    Case {
        label: "calm 50%",
        load: 0.5,
        faults: &[],
    },
    Case {
        label: "calm 80%",
        load: 0.8,
        faults: &[],
    },
    Case {
        label: "even work 80%",
        load: 0.8,
        faults: &[Fault::EvenWork],
    },
    Case {
        label: "flood 80%",
        load: 0.8,
        faults: &[Fault::Flood],
    },
    Case {
        label: "zero report 80%",
        load: 0.8,
        faults: &[Fault::ZeroReport],
    },
    Case {
        label: "silent 60%",
        load: 0.6,
        faults: &[Fault::Silent],
    },
    Case {
        label: "fast fail 60%",
        load: 0.6,
        faults: &[Fault::FastFail],
    },
    Case {
        label: "cold half 60%",
        load: 0.6,
        faults: &[Fault::ColdHalf],
    },
    Case {
        label: "drain 60%",
        load: 0.6,
        faults: &[Fault::Drain],
    },
    Case {
        label: "region lost 60%",
        load: 0.6,
        faults: &[Fault::RegionLost],
    },
    Case {
        label: "no reports 80%",
        load: 0.8,
        faults: &[Fault::NoReports],
    },
    Case {
        label: "restarts 60%",
        load: 0.6,
        faults: &[Fault::Restarts],
    },
    Case {
        label: "silent+flood 60%",
        load: 0.6,
        faults: &[Fault::Silent, Fault::Flood],
    },
    Case {
        label: "drain+no reports 60%",
        load: 0.6,
        faults: &[Fault::Drain, Fault::NoReports],
    },
];

impl Case {
    pub fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }
}
