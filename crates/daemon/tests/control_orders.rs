//! Orders of operators that name no version.

mod control_kit;

use std::time::Duration;

use control_kit::{until, Cluster};
use pomelovale_state::command::Command;
use pomelovale_state::document::Region;
use pomelovale_state::{ErrorKind, Name};
use pomelovaled::operator_commands::{OperatorCommands, ORDER_MAX_AGE_MS};

const ORDER_TIMEOUT_MS: u64 = 20_000;

fn orders(cluster: &Cluster, i: usize) -> OperatorCommands {
    let server = cluster.server(i);
    let name = cluster.names[i].clone();
    OperatorCommands::new(server.handle(), server.view(), name, ORDER_TIMEOUT_MS)
}

async fn start() -> Cluster {
    let region = Region {
        domains: vec![Name::from("north-a")],
    };
    let put = Command::PutRegion {
        name: Name::from("north"),
        region,
    };
    Cluster::start_with(3, vec![put]).await
}

fn is_evacuated(cluster: &Cluster, i: usize, domain: &Name) -> bool {
    cluster
        .server(i)
        .view()
        .document()
        .evacuated
        .contains(domain)
}

/// Guards against an order that was read by an instance, reaches the leader seconds later,
/// and undoes a later order that was acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn late_order_does_not_undo_a_later_one() {
    let cluster = start().await;
    let domain = Name::from("north-a");
    let (leader, late) = (cluster.leader().await, cluster.follower().await);
    let current = orders(&cluster, leader);
    assert_eq!(current.evacuate(domain.clone(), true, 0).await, Ok(()));
    until("the instance knows of it", || {
        is_evacuated(&cluster, late, &domain)
    })
    .await;
    cluster.cut(&cluster.names[late], true);
    let delayed = orders(&cluster, late);
    let readmitted = domain.clone();
    let delayed = tokio::spawn(async move { delayed.evacuate(readmitted, false, 0).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(current.evacuate(domain.clone(), false, 0).await, Ok(()));
    assert_eq!(current.evacuate(domain.clone(), true, 0).await, Ok(()));
    cluster.cut(&cluster.names[late], false);
    let ended = delayed.await.unwrap();
    assert_eq!(ended, Err(ErrorKind::Unavailable));
    assert!(is_evacuated(&cluster, leader, &domain));
    assert_eq!(current.evacuate(domain.clone(), false, 0).await, Ok(()));
}

/// An order that may have waited while its sender turned to another instance.
#[tokio::test(flavor = "multi_thread")]
async fn order_that_waited_unread_is_not_taken() {
    let cluster = start().await;
    let domain = Name::from("north-a");
    let i = cluster.leader().await;
    let orders = orders(&cluster, i);
    let waited = orders.evacuate(domain.clone(), true, ORDER_MAX_AGE_MS);
    assert_eq!(waited.await, Err(ErrorKind::Unavailable));
    assert!(!is_evacuated(&cluster, i, &domain));
}
