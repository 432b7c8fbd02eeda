//! Formats of the messages on a peer connection.
//!
//! Each side names the latest format that it knows in a header when the connection is
//! opened. Builds before that send no header and ignore it. A second header says that the
//! log is sealed against them, the others that the side knows messages that the format
//! lacks.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use pomelovale_protocol::format::Format;

/// Names the latest format that a side knows.
pub(crate) const FORMAT: HeaderName = HeaderName::from_static("pomelovale-format");

/// Sent by processes whose log is sealed against builds that name no format.
pub(crate) const SEALED: HeaderName = HeaderName::from_static("pomelovale-sealed");

/// Sent by processes that know [`PeerMessage::List`].
///
/// [`PeerMessage::List`]: pomelovale_protocol::messages::PeerMessage::List
pub(crate) const LIST: HeaderName = HeaderName::from_static("pomelovale-list");

/// Sent by processes that know [`PeerMessage::Loads`].
///
/// [`PeerMessage::Loads`]: pomelovale_protocol::messages::PeerMessage::Loads
pub(crate) const LOADS: HeaderName = HeaderName::from_static("pomelovale-loads");

/// Sent by processes that know [`PeerMessage::FinishedPaced`].
///
/// [`PeerMessage::FinishedPaced`]: pomelovale_protocol::messages::PeerMessage::FinishedPaced
pub(crate) const PACE: HeaderName = HeaderName::from_static("pomelovale-pace");

/// Sent by processes that know [`Request::Tokens`].
///
/// [`Request::Tokens`]: pomelovale_protocol::messages::Request::Tokens
pub(crate) const TOKENS: HeaderName = HeaderName::from_static("pomelovale-tokens");

/// Sent by processes that know [`PeerMessage::Schedule`] and [`PeerMessage::Waiting`].
///
/// [`PeerMessage::Schedule`]: pomelovale_protocol::messages::PeerMessage::Schedule
/// [`PeerMessage::Waiting`]: pomelovale_protocol::messages::PeerMessage::Waiting
pub(crate) const SCHEDULE: HeaderName = HeaderName::from_static("pomelovale-schedule");

/// Sent by processes that know [`PeerMessage::Regions`].
///
/// [`PeerMessage::Regions`]: pomelovale_protocol::messages::PeerMessage::Regions
pub(crate) const REGIONS: HeaderName = HeaderName::from_static("pomelovale-regions");

/// The format of the peers that name none, shared by all connections of a process. All
/// of them are of one build.
#[derive(Debug, Default)]
pub struct UnnamedFormat {
    number: AtomicU32,
    excluded: AtomicBool,
}

impl UnnamedFormat {
    /// The format; `None` until something was read that belongs to one format only.
    pub fn get(&self) -> Option<Format> {
        match self.number.load(Ordering::Acquire) {
            0 => None,
            1 => Some(Format::First),
            _ => Some(Format::Second),
        }
    }

    /// Records the format of a message of such a peer.
    pub fn set(&self, format: Format) {
        let before = self.number.swap(format.number(), Ordering::AcqRel);
        if before != format.number() {
            log::info!("instances of earlier builds use {format}");
        }
    }

    /// Records the format of stored data, unless something is known already: such a peer
    /// may have written it.
    pub fn assume(&self, format: Format) {
        let number = format.number();
        let order = (Ordering::AcqRel, Ordering::Acquire);
        let _ = self.number.compare_exchange(0, number, order.0, order.1);
    }

    /// Records that control instances that name no format can't take part in the log any
    /// more. Connections that are opened later tell the peer.
    pub fn exclude(&self) {
        self.excluded.store(true, Ordering::Release);
    }

    /// Whether [`UnnamedFormat::exclude`] was called.
    pub fn is_excluded(&self) -> bool {
        self.excluded.load(Ordering::Acquire)
    }
}

/// The format of one connection.
#[derive(Clone, Debug)]
pub(crate) struct LinkFormat {
    /// What the peer named.
    pub(crate) named: Option<Format>,
    /// Whether the peer's log is sealed.
    pub(crate) sealed: bool,
    /// Whether the peer knows messages about the list of backend servers.
    pub(crate) list: bool,
    /// Whether the peer knows messages about the loads of backend servers.
    pub(crate) loads: bool,
    /// Whether the peer knows messages with the pace of a server.
    pub(crate) pace: bool,
    /// Whether the peer knows requests for tokens of a workspace.
    pub(crate) tokens: bool,
    /// Whether the peer knows messages about scheduled requests.
    pub(crate) schedule: bool,
    /// Whether the peer knows messages about the division among regions.
    pub(crate) regions: bool,
    pub(crate) unnamed: Arc<UnnamedFormat>,
}

impl LinkFormat {
    /// The format of a connection whose peer sent these headers.
    pub(crate) fn of(headers: &HeaderMap, unnamed: &Arc<UnnamedFormat>) -> LinkFormat {
        let text = headers.get(FORMAT).and_then(|value| value.to_str().ok());
        let number: Option<u32> = text.and_then(|text| text.parse().ok());
        let named = number.map(|number| match number {
            0 | 1 => Format::First,
            _ => Format::LATEST,
        });
        LinkFormat {
            named,
            sealed: headers.contains_key(SEALED),
            list: headers.contains_key(LIST),
            loads: headers.contains_key(LOADS),
            pace: headers.contains_key(PACE),
            tokens: headers.contains_key(TOKENS),
            schedule: headers.contains_key(SCHEDULE),
            regions: headers.contains_key(REGIONS),
            unnamed: unnamed.clone(),
        }
    }

    /// The format of messages to the peer.
    pub(crate) fn outgoing(&self) -> Format {
        self.named
            .or_else(|| self.unnamed.get())
            .unwrap_or(Format::LATEST)
    }
}

/// The headers that this build sends.
pub(crate) fn headers(unnamed: &UnnamedFormat) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(FORMAT, HeaderValue::from(Format::LATEST.number()));
    headers.insert(LIST, HeaderValue::from(1));
    headers.insert(LOADS, HeaderValue::from(1));
    headers.insert(PACE, HeaderValue::from(1));
    headers.insert(TOKENS, HeaderValue::from(1));
    headers.insert(SCHEDULE, HeaderValue::from(1));
    headers.insert(REGIONS, HeaderValue::from(1));
    if unnamed.is_excluded() {
        headers.insert(SEALED, HeaderValue::from(1));
    }
    headers
}
