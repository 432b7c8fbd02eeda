//! Names of instances, services and other items, as shared immutable strings.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name accepted, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// An immutable string that is cheap to clone.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Whether the name is non-empty, within [`NAME_MAX_BYTES`], and made of
    /// ASCII letters, digits, `-`, `_` and `.` only.
    pub fn is_valid(&self) -> bool {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        !self.0.is_empty() && self.0.len() <= NAME_MAX_BYTES && self.0.chars().all(allowed)
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Default for Name {
    fn default() -> Name {
        Name(Arc::from(""))
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Name {
        Name(Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Name {
        Name(Arc::from(text))
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
