//! Reads of the external list of backend servers, of which some fail.

use std::sync::Arc;

use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, Document, MemberState, Region, Service};
use pomelovale_state::Name;
use pomelovaled::discovery::{changes, read, FetchServers, ListedServer, ServerList};

const DOMAINS: [&str; 3] = ["north-a", "north-b", "south-a"];

fn domains() -> Vec<Name> {
    DOMAINS.map(Name::from).to_vec()
}

fn server(name: &str, domain: &str, leaving: bool) -> ListedServer {
    ListedServer {
        name: name.into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        service: "s".into(),
        domain: domain.into(),
        slots: 6,
        leaving,
        cold_ms: 0,
    }
}

/// Lists one leaving server for each domain but those that fail.
fn fetch(failing: &'static [&'static str]) -> FetchServers {
    Arc::new(move |domain: Option<Name>| {
        let domain = domain.unwrap_or_default();
        let listed = match failing.contains(&domain.as_str()) {
            true => Err("no answer".to_owned()),
            false => Ok(ServerList {
                servers: vec![server(&format!("{domain}-1"), &domain, true)],
                calls: 1,
            }),
        };
        Box::pin(std::future::ready(listed))
    })
}

/// A document with two serving servers in each domain.
fn document() -> Document {
    let mut document = Document::default();
    document.services.insert("s".into(), Service::default());
    let all = Region { domains: domains() };
    document.regions.insert("all".into(), all);
    for domain in DOMAINS {
        for n in [1, 2] {
            let backend = Backend {
                address: "127.0.0.1:7000".parse().unwrap(),
                service: "s".into(),
                region: "all".into(),
                domain: domain.into(),
                slots: 6,
                connections: 256,
                cold_ms: 0,
                state: MemberState::Serving,
            };
            document
                .backends
                .insert(format!("{domain}-{n}").into(), backend);
        }
    }
    document
}

/// Names of the servers that leave and of those that are gone, in order.
async fn changed(failing: &'static [&'static str]) -> Result<(Vec<Name>, Vec<Name>), String> {
    let listing = read(&fetch(failing), &domains(), true, |_| {}).await?;
    let (mut leaving, mut gone) = (Vec::new(), Vec::new());
    for command in changes(&document(), &listing) {
        match command {
            Command::PutBackend { name, backend } => {
                assert_eq!(backend.state, MemberState::Leaving);
                leaving.push(name);
            }
            Command::RemoveBackend(name) => gone.push(name),
            other => panic!("unexpected: {other:?}"),
        }
    }
    leaving.sort();
    gone.sort();
    Ok((leaving, gone))
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

/// Guards against a list that is not followed as a whole.
#[tokio::test]
async fn whole_list_is_followed() {
    let (leaving, gone) = changed(&[]).await.unwrap();
    assert_eq!(leaving, names(&["north-a-1", "north-b-1", "south-a-1"]));
    assert_eq!(gone, names(&["north-a-2", "north-b-2", "south-a-2"]));
}

/// Guards against a domain that can't be read and holds back that servers of others leave,
/// and against servers that are removed since their domain could not be read.
#[tokio::test]
async fn domains_that_were_read_are_followed() {
    let (leaving, gone) = changed(&["north-b"]).await.unwrap();
    assert_eq!(leaving, names(&["north-a-1", "south-a-1"]));
    assert_eq!(gone, names(&["north-a-2", "south-a-2"]));
}

/// Guards against servers that are removed since the list is out of reach.
#[tokio::test]
async fn failed_read_changes_nothing() {
    assert_eq!(changed(&DOMAINS).await, Err("no answer".to_owned()));
}
