//! Which control instance of a region holds the tokens of a workspace with a small rate.
//!
//! A limit that is divided among all control instances leaves each of them less than one token
//! of a small rate, so that requests wait for a round trip to the leader, often in another
//! region. One instance of each region, the owner, therefore asks for the tokens of such a
//! workspace, and the others pass requests on to it.

use pomelovale_state::Name;

use crate::region_assignment::{hash, hash_bytes};

/// Returns the owner among the control instances of a region: the one that is ranked first by
/// rendezvous hashing, so that another one takes over only what a lost one owned.
pub fn owner<'a>(workspace: &Name, instances: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    let key = hash_bytes(workspace.as_bytes());
    instances.max_by_key(|name| hash(&[key, hash_bytes(name.as_bytes())]))
}
