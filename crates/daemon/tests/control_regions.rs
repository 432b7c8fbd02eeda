//! Demand that gateways report, and the plan of the regions that comes back to them.

mod control_kit;

use std::sync::Arc;

use control_kit::{change, until, Cluster, Entry};
use pomelovale_protocol::frame::encode;
use pomelovale_protocol::messages::{DemandReport, PeerMessage, PlanNotice, RegionNotice};
use pomelovale_state::command::{Applied, Command};
use pomelovale_state::document::{Backend, Instance, MemberState, Region};
use pomelovale_state::routing::{CallerLimits, HostRoute, Repeat, RoutedService, Routing, Target};
use pomelovale_state::Name;
use pomelovale_steering::region_plan::{route_key, RouteDemand};

/// Bytes of a message with the demand or the plan at the size of the largest deployment: three
/// services with four routes, three regions.
const MESSAGE_MAX_BYTES: usize = 320;

fn commands() -> Vec<Command> {
    let route = HostRoute {
        name: "lookup".into(),
        prefix: "/".into(),
        repeat: Repeat::Idempotent,
        timeout_ms: 6_000,
        objective_ms: 800,
        priority: 1,
        open: true,
        sticky: true,
        attempts: 2,
        homes: Vec::new(),
        targets: vec![Target {
            service: "s".into(),
            weight: 1,
        }],
    };
    let service = RoutedService {
        probe: "/health".into(),
        connections: 100,
        cold_ms: 0,
        cold_rate: 0,
    };
    let routing = Routing {
        version: 1,
        limits: CallerLimits::default(),
        workspaces: [].into(),
        keys: [].into(),
        hosts: [("shop.example".into(), vec![route])].into(),
        services: [("s".into(), service)].into(),
    };
    let mut commands = vec![Command::ReplaceRouting {
        base: 0,
        routing: Arc::new(routing),
        source: "".into(),
    }];
    for (region, gateway, slots) in [("east", "g0", 10), ("west", "g1", 90)] {
        let domain = Name::from(format!("{region}-a"));
        let (region, address) = (Name::from(region), "127.0.0.1:9".parse().unwrap());
        let domains = vec![domain.clone()];
        commands.push(Command::PutRegion {
            name: region.clone(),
            region: Region { domains },
        });
        commands.push(Command::PutInstance {
            name: gateway.into(),
            instance: Instance {
                callers: Some(address),
                peers: None,
                region: region.clone(),
                domain: domain.clone(),
                state: MemberState::Serving,
            },
        });
        commands.push(Command::PutBackend {
            name: format!("{region}-1").into(),
            backend: Backend {
                address,
                service: "s".into(),
                region,
                domain,
                slots,
                connections: 100,
                cold_ms: 0,
                state: MemberState::Serving,
            },
        });
    }
    commands
}

fn demand(key: u32, rate: u32) -> RouteDemand {
    RouteDemand {
        key,
        rate,
        work_ms: 1_000,
        held_ms: 300,
        pinned: 0,
    }
}

fn report(entry: &Entry, rate: u32) {
    entry.handle.report_demand(DemandReport {
        instance: entry.name.clone(),
        routes: vec![demand(route_key(&"s".into(), &"lookup".into()), rate)],
        round_trips: Vec::new(),
    });
}

fn parts(entry: &Entry) -> Option<Vec<u16>> {
    let (_, notice) = entry.view.plan()?;
    let row = notice.rows.first().filter(|_| notice.rows.len() == 1)?;
    Some(row.shares.parts().to_vec())
}

/// Guards against demand that doesn't reach the leader from subscribers of a follower, against
/// plans for other regions or for instances that follow none, and against a new leader that
/// starts the plan anew.
#[tokio::test]
async fn demand_returns_as_a_plan() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    for (n, command) in commands().into_iter().enumerate() {
        let applied = cluster
            .propose(leader, change(&format!("c{n}"), command))
            .await;
        assert!(matches!(applied, Applied::Accepted { .. }), "{applied:?}");
    }
    let follower = cluster.follower().await;
    let east = cluster.entry("g0", leader).await;
    let west = cluster.entry("g1", follower).await;
    let other = cluster.entry("g2", follower).await;
    until("a plan without demand at home", || {
        report(&east, 20);
        report(&west, 200);
        let plans = [parts(&east), parts(&west)];
        // Objects of the east return from the 800 parts of the division for equal demand.
        let [Some(east), Some(west)] = plans else {
            return false;
        };
        east[1] < 500 && west[1] == 1_000
    })
    .await;
    assert!(other.view.plan().is_none());
    cluster.kill(leader).await;
    let before = parts(&west);
    cluster.leader_except(Some(leader)).await;
    let (received, _) = west.view.plan().unwrap();
    until("the plan of a new leader", || {
        report(&east, 20);
        report(&west, 200);
        west.view.plan().is_some_and(|(at, _)| at > received)
    })
    .await;
    assert_eq!(parts(&west), before);
}

/// Guards against messages that take a relevant part of a narrow link: with both of them every
/// 500 ms, about 1 kB/s of 840.
#[test]
fn messages_are_small() {
    let keys = (0..12).map(|n| u32::MAX - n);
    let report = DemandReport {
        instance: "gateway-east-a-11".into(),
        routes: keys.clone().map(|key| demand(key, 1_000)).collect(),
        round_trips: vec![("west".into(), 110), ("middle".into(), 110)],
    };
    let mut plan = pomelovale_steering::region_plan::RegionPlan::default();
    let figures = ["east", "middle", "west"].map(|region| {
        let routes = keys.clone().map(|key| demand(key, 1_000)).collect();
        let slots = 300 * region.len() as u32;
        let (region, round_trips) = (region.into(), Vec::new());
        pomelovale_steering::region_plan::RegionFigures {
            region,
            slots,
            routes,
            round_trips,
        }
    });
    let objectives: Vec<(u32, u64)> = keys.map(|key| (key, 800)).collect();
    plan.step(pomelovale_state::Millis(0), &figures, &objectives);
    let plan = PlanNotice {
        age_ms: 100,
        regions: vec!["east".into(), "middle".into(), "west".into()],
        rows: plan.rows().collect(),
    };
    let notices = [
        RegionNotice::Demand(report),
        RegionNotice::Plan(plan.of_region(&"middle".into())),
    ];
    for notice in notices {
        let size = encode(&PeerMessage::Regions(notice)).unwrap().len();
        println!("{size}");
        assert!(size <= MESSAGE_MAX_BYTES, "{size} bytes");
    }
}
