//! Mutual authentication of peers by a shared secret.
//!
//! The client authenticates first, so that a peer without the secret learns
//! only a random nonce.

use std::fmt;

use hmac::{Hmac, Mac};
use pomelovale_state::Name;
use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 32;
/// Shortest shared secret accepted, in bytes.
pub const SECRET_MIN_BYTES: usize = 16;

/// A random number used once.
pub type Nonce = [u8; NONCE_BYTES];
/// An HMAC-SHA-256.
pub type Tag = [u8; 32];

/// The role in which a process opens a connection.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A control instance.
    Control,
    /// An entry instance.
    Entry,
}

/// Messages of the authentication handshake, in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Handshake {
    /// The client's name, role and nonce.
    Hello {
        /// Its instance name.
        name: Name,
        /// Its role.
        role: Role,
        /// Its nonce.
        nonce: Nonce,
    },
    /// The server's nonce.
    Challenge(Nonce),
    /// The client's proof.
    Confirm(Tag),
    /// The server's proof; the connection is open.
    Welcome(Tag),
}

/// The secret that all processes of a deployment share.
#[derive(Clone, Deserialize)]
#[serde(try_from = "String")]
pub struct Secret(Vec<u8>);

impl TryFrom<String> for Secret {
    type Error = String;

    fn try_from(text: String) -> Result<Secret, String> {
        match text.len() {
            n if n < SECRET_MIN_BYTES => Err(format!(
                "the secret needs at least {SECRET_MIN_BYTES} bytes"
            )),
            _ => Ok(Secret(text.into_bytes())),
        }
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The values that both sides of a connection authenticate by an HMAC.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Session {
    /// The client's instance name.
    pub client: Name,
    /// The client's role.
    pub role: Role,
    /// The client's nonce.
    pub client_nonce: Nonce,
    /// The server's instance name; the client authenticates the one it wants to reach.
    pub server: Name,
    /// The server's nonce.
    pub server_nonce: Nonce,
}

impl Session {
    /// The client's proof.
    pub fn client_tag(&self, secret: &Secret) -> Tag {
        self.mac(secret, b"client").finalize().into_bytes().into()
    }

    /// The server's proof.
    pub fn server_tag(&self, secret: &Secret) -> Tag {
        self.mac(secret, b"server").finalize().into_bytes().into()
    }

    /// Checks the client's proof in constant time.
    pub fn verify_client_tag(&self, secret: &Secret, tag: &Tag) -> bool {
        self.mac(secret, b"client").verify_slice(tag).is_ok()
    }

    /// Checks the server's proof in constant time.
    pub fn verify_server_tag(&self, secret: &Secret, tag: &Tag) -> bool {
        self.mac(secret, b"server").verify_slice(tag).is_ok()
    }

    // The label prevents reflection: the proof of one side is not valid for the
    // other.
    fn mac(&self, secret: &Secret, label: &[u8]) -> Hmac<Sha256> {
        let role: &[u8] = match self.role {
            Role::Control => b"control",
            Role::Entry => b"entry",
        };
        let parts: [&[u8]; 6] = [
            label,
            self.client.as_bytes(),
            role,
            &self.client_nonce,
            self.server.as_bytes(),
            &self.server_nonce,
        ];
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&secret.0).expect("HMAC accepts keys of every length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

/// A nonce from a cryptographic generator seeded by the operating system.
pub fn nonce() -> Nonce {
    let mut bytes = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}
