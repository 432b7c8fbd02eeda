//! Summaries of changes of the server list.

use pomelovale_state::command::Command;
use pomelovale_state::document::{Backend, MemberState};
use pomelovale_state::Name;
use pomelovaled::list_change::ListChange;

fn put(name: &str, state: MemberState) -> Command {
    Command::PutBackend {
        name: name.into(),
        backend: Backend {
            address: "127.0.0.1:7000".parse().unwrap(),
            service: "s".into(),
            region: "north".into(),
            domain: "north-a".into(),
            slots: 6,
            connections: 256,
            cold_ms: 0,
            state,
        },
    }
}

fn leaving(count: usize) -> Command {
    let servers = (0..count).map(|n| put(&format!("b{n}"), MemberState::Leaving));
    Command::Batch(servers.collect())
}

macro_rules! changes {
    ($($name:ident: $command:expr => $closed:expr, $updated:expr;)*) => {$(
        #[test]
        fn $name() {
            let change = ListChange::of(&$command).map(|c| (c.closed_names(), c.updated));
            let wanted: Option<&str> = $closed;
            assert_eq!(change, wanted.map(|closed| (closed.to_owned(), $updated)));
        }
    )*};
}

changes! {
    leaving_server_is_closed: put("a", MemberState::Leaving) => Some("a"), 0;
    removed_server_is_closed: Command::RemoveBackend("a".into()) => Some("a"), 0;
    serving_server_is_updated: put("a", MemberState::Serving) => Some(""), 1;
    batch_is_summed_up: Command::Batch(vec![
        put("a", MemberState::Away),
        Command::RemoveBackend("b".into()),
        put("c", MemberState::Leaving),
    ]) => Some("b c"), 1;
    names_are_bounded: leaving(30) => Some("b0 b1 b2 b3 b4 b5 b6 b7 and 22 more"), 0;
    other_change_is_none: Command::EvacuateDomain(Name::from("north-a")) => None, 0;
}
