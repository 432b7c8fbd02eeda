//! The format in which a control instance writes changes and snapshots.

use std::sync::Arc;

use pomelovale_protocol::format::Format;
use pomelovale_transport::peer_format::UnnamedFormat;
use pomelovale_transport::peer_link::PeerLink;

use super::event_loop::EventLoop;

/// What is known about the formats of the log.
pub(super) struct FormatState {
    /// Format of the last stored data that belongs to one format only.
    stored: Option<Format>,
    /// Whether the data directory is sealed against builds of the first format.
    sealed: bool,
    unnamed: Arc<UnnamedFormat>,
}

impl FormatState {
    pub(super) fn new(
        stored: Option<Format>,
        sealed: bool,
        unnamed: &Arc<UnnamedFormat>,
    ) -> FormatState {
        // Only a log of the first format is ever sealed.
        let earlier = if sealed { Some(Format::First) } else { stored };
        earlier.into_iter().for_each(|f| unnamed.assume(f));
        if sealed {
            unnamed.exclude();
        }
        FormatState {
            stored,
            sealed,
            unnamed: unnamed.clone(),
        }
    }

    /// Whether builds of the first format can't take part any more.
    pub(super) fn is_sealed(&self) -> bool {
        self.sealed
    }
}

impl EventLoop {
    /// The format of new changes and snapshots: the latest one once all members have
    /// named it, and until then that of the earlier builds. `None` while such an instance
    /// is connected and nothing shows its format.
    pub(super) fn write_format(&self) -> Option<Format> {
        if self.formats.sealed {
            return Some(Format::LATEST);
        }
        let status = self.replica.status();
        let mut members = status.voters.iter().chain(&status.learners);
        let named = |name| {
            let link = self.controls.get(name).and_then(|id| self.links.get(id));
            link.is_some_and(|link| link.named_format() == Some(Format::LATEST))
        };
        if members.all(|id| id.name == self.config.name || named(&id.name)) {
            return Some(Format::LATEST);
        }
        let is_unknown = || self.links.values().any(|l| l.named_format().is_none());
        match self.formats.unnamed.get() {
            None if is_unknown() => None,
            format => Some(format.unwrap_or(Format::LATEST)),
        }
    }

    /// Records the format of what is stored next, and whether an instance of an earlier
    /// build sent it. The first data of the second format in a log of the first one seals
    /// the directory: builds of the first format would read another change, or none.
    pub(super) fn note_format(&mut self, format: Option<Format>, is_earlier: bool) {
        let Some(format) = format else {
            return;
        };
        // Before it holds such data, a log may be of any earlier build.
        let earlier = self.formats.stored.or(self.formats.unnamed.get());
        let is_turn = (earlier, format) == (Some(Format::First), Format::Second);
        if is_turn && !is_earlier && !self.formats.sealed {
            log::info!("all members know {format}; earlier builds can't read this log from now on");
            self.seal();
            // Tells the peers when they connect again: those whose data shows no format
            // can't see the turn.
            let controls = self.controls.values();
            let links = controls.filter_map(|id| self.links.get(id));
            links.for_each(|link| link.close());
        }
        self.formats.stored = Some(format);
        self.formats.unnamed.assume(format);
    }

    /// Seals the directory if a peer's is sealed: this instance has joined the log since
    /// then, and what it was sent doesn't show it.
    pub(super) fn note_seal(&mut self, link: &PeerLink) {
        if link.is_sealed() && !self.formats.sealed {
            log::info!("the log of {} is sealed, sealing this one", link.peer);
            self.seal();
        }
    }

    fn seal(&mut self) {
        self.log_writer.seal(Format::LATEST);
        self.formats.sealed = true;
        self.formats.unnamed.exclude();
    }
}
