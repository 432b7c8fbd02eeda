//! What a change of the document does to the list of backend servers.
//!
//! The steps of such a change are logged under the version of the document that it leads to.

use pomelovale_state::command::Command;
use pomelovale_state::document::MemberState;
use pomelovale_state::Name;

/// Number of servers that a log line names.
const NAMED_MAX: usize = 8;

/// The servers that a change concerns.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListChange {
    /// Servers that get no more requests, because they leave or are gone.
    pub closed: Vec<Name>,
    /// Number of servers that were added or changed otherwise.
    pub updated: usize,
}

impl ListChange {
    /// Returns what a command changes; `None` if it concerns no server.
    pub fn of(command: &Command) -> Option<ListChange> {
        let mut change = ListChange::default();
        change.add(command);
        (change.updated > 0 || !change.closed.is_empty()).then_some(change)
    }

    fn add(&mut self, command: &Command) {
        match command {
            Command::Batch(commands) => commands.iter().for_each(|c| self.add(c)),
            Command::RemoveBackend(name) => self.closed.push(name.clone()),
            Command::PutBackend { name, backend } if backend.state == MemberState::Leaving => {
                self.closed.push(name.clone());
            }
            Command::PutBackend { .. } => self.updated += 1,
            _ => {}
        }
    }

    /// Names of the closed servers for a log line.
    pub fn closed_names(&self) -> String {
        names_for_log(&self.closed)
    }
}

/// Names of servers for a log line, which are bounded.
pub fn names_for_log(servers: &[Name]) -> String {
    let names = servers.iter().map(Name::as_str);
    let named: Vec<&str> = names.take(NAMED_MAX).collect();
    let text = named.join(" ");
    match servers.len().saturating_sub(NAMED_MAX) {
        0 => text,
        more => format!("{text} and {more} more"),
    }
}
