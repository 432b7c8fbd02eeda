//! Verification of API keys against the view.

use pomelovale_coordination::view::View;
use pomelovale_protocol::http::KeyText;
use pomelovale_state::document::{Digest, Document, Key, KeyHolder};
use pomelovale_state::{ErrorKind, Millis, Name};

/// A verified API key. It holds no secret, so that it can be kept in queues.
#[derive(Clone, Debug)]
pub struct VerifiedKey {
    /// Workspace that the key belongs to.
    pub workspace: Name,
    id: Name,
    digest: Digest,
}

/// Verifies a key against the current view.
pub fn check(view: &View, now: Millis, key: Option<&KeyText>) -> Result<VerifiedKey, ErrorKind> {
    if !view.is_fresh_for_keys(now) {
        return Err(ErrorKind::StaleView);
    }
    let key = key.ok_or(ErrorKind::KeyRefused)?;
    let (document, digest) = (view.document(), key.digest());
    let found = key
        .candidate_ids()
        .into_iter()
        .find_map(|id| document.keys.get_key_value(id));
    let (id, row) = found.ok_or(ErrorKind::KeyRefused)?;
    let workspace = workspace_of_key(row, &digest).ok_or(ErrorKind::KeyRefused)?;
    Ok(VerifiedKey {
        workspace: workspace.clone(),
        id: id.clone(),
        digest,
    })
}

/// Verifies a key again after its request has waited.
pub fn recheck(view: &View, now: Millis, verified_key: &VerifiedKey) -> Result<(), ErrorKind> {
    if !view.is_fresh_for_keys(now) {
        return Err(ErrorKind::StaleView);
    }
    let document = view.document();
    match workspace_of_verified(&document, verified_key) {
        Some(workspace) if *workspace == verified_key.workspace => Ok(()),
        _ => Err(ErrorKind::KeyRefused),
    }
}

fn workspace_of_verified<'a>(
    document: &'a Document,
    verified_key: &VerifiedKey,
) -> Option<&'a Name> {
    workspace_of_key(document.keys.get(&verified_key.id)?, &verified_key.digest)
}

fn workspace_of_key<'a>(key: &'a Key, digest: &Digest) -> Option<&'a Name> {
    let equal = key.digest.matches(digest);
    match &key.holder {
        KeyHolder::Workspace(workspace) if equal && !key.revoked => Some(workspace),
        _ => None,
    }
}
