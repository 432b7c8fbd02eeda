//! SHA-256 digests, serialized in hexadecimal in human-readable formats.

use std::fmt;
use std::str::FromStr;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::ErrorKind;

/// SHA-256 of a key or of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of a list of parts. Each is preceded by its length, so that
    /// different lists never give the same input.
    pub fn of(parts: &[&[u8]]) -> Digest {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Digest(hash.finalize().into())
    }

    /// The digest of a whole key text, as stored in the document.
    pub fn of_key(text: &str) -> Digest {
        Digest(Sha256::digest(text.as_bytes()).into())
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Digest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = ErrorKind;

    fn from_str(text: &str) -> Result<Digest, ErrorKind> {
        let mut bytes = [0; 32];
        if text.len() != 64 || !text.is_ascii() {
            return Err(ErrorKind::BadRequest);
        }
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16)
                .map_err(|_| ErrorKind::BadRequest)?;
        }
        Ok(Digest(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        match deserializer.is_human_readable() {
            false => <[u8; 32]>::deserialize(deserializer).map(Digest),
            true => {
                let text = String::deserialize(deserializer)?;
                text.parse()
                    .map_err(|_| de::Error::custom("a digest is 64 hexadecimal digits"))
            }
        }
    }
}
