//! Distribution of the document and its accepted changes to subscribers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use pomelovale_coordination::server_list::KnownList;
use pomelovale_protocol::format::{encode_document, Format};
use pomelovale_protocol::log::Position;
use pomelovale_protocol::messages::{
    split_into_chunks, Content, Delta, ListNotice, PeerMessage, PlanNotice, Proof, RegionNotice,
    Renew, CHUNK_BYTES,
};
use pomelovale_state::command::{Change, Command};
use pomelovale_state::digest::Digest;
use pomelovale_state::document::Document;
use pomelovale_state::routing::Routing;
use pomelovale_state::{Millis, Name};
use pomelovale_transport::peer_link::PeerLink;

use crate::list_change::ListChange;

/// Maximum encoded size of the changes in one message. A change that is larger is
/// sent in a message of its own. What a subscriber has of a message that isn't complete is
/// lost when it connects elsewhere.
const GROUP_MAX_BYTES: usize = CHUNK_BYTES;
/// Maximum encoded size of all kept changes. Decoded, they take four times as
/// much memory.
const RECENT_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Encoded size of the changes that are still to be sent to a subscriber up to which they
/// are sent although earlier messages wait for its connection.
const BACKLOG_MAX_BYTES: usize = 8 * 1024;
/// Time that an encoded document is reused for other subscribers that load it,
/// in milliseconds.
const ENCODED_TTL_MS: u64 = 5_000;
/// Maximum number of changes of the server list that are followed until they are sent.
const UNSENT_MAX: usize = 64;

#[derive(Clone, Copy, Debug)]
enum Progress {
    /// Has not sent a renewal yet.
    New,
    /// The document as of this position is being sent.
    Loading(Position),
    /// All changes up to this position have been sent.
    Current(Position),
}

struct Subscriber {
    link: PeerLink,
    progress: Progress,
    // Number of the leaving server that it was told of last.
    told: u64,
    // Whether it has reported demand, so that it follows the plan of the regions.
    follows_plan: bool,
}

impl Subscriber {
    // Sends a message about the list if it is the answer to a renewal, or says something new.
    fn tell_leaving(&mut self, list: &KnownList, seq: Option<u64>, age_ms: Option<u64>) {
        let leaving = list.noticed_after(self.told);
        if !self.link.knows_list() || (seq.is_none() && leaving.is_empty()) {
            return;
        }
        self.told = list.last_number();
        self.link.send_urgent(PeerMessage::List(ListNotice {
            seq,
            age_ms,
            leaving,
        }));
    }
}

/// A change by which servers leave that some subscribers haven't been sent yet.
struct Unsent {
    position: Position,
    version: u64,
    applied: Millis,
}

#[derive(Clone)]
struct RecentChange {
    delta: Arc<Delta>,
    size: usize,
}

impl RecentChange {
    fn table(&self) -> Option<(u64, &Arc<Routing>)> {
        match &self.delta.change.command {
            Command::ReplaceRouting { base, routing, .. } => Some((*base, routing)),
            _ => None,
        }
    }

    // The same change with another command.
    fn with_command(&self, command: Command) -> RecentChange {
        let change = Change {
            command,
            ..self.delta.change.clone()
        };
        RecentChange {
            delta: Arc::new(Delta {
                change,
                ..(*self.delta).clone()
            }),
            size: self.size,
        }
    }
}

// Encoded size of changes.
fn size(changes: &[RecentChange]) -> usize {
    changes.iter().map(|r| r.size).sum()
}

/// Replaces routing tables that a later one of the same changes supersedes by changes
/// without effect, so that versions stay without gaps. The last table then follows the one
/// that the first of them has followed. Tables that define other services or workspaces have
/// effects beside the table, and are kept.
fn drop_superseded_tables(changes: &mut [RecentChange]) {
    let Some(last) = changes.iter().rposition(|r| r.table().is_some()) else {
        return;
    };
    let Some((_, newest)) = changes[last].table().map(|(base, t)| (base, t.clone())) else {
        return;
    };
    let defines_same = |table: &Routing| {
        table.services.keys().eq(newest.services.keys()) && table.workspaces == newest.workspaces
    };
    let mut first_base = None;
    for change in changes[..last].iter_mut().rev() {
        match change.table() {
            None => {}
            Some((base, table)) if defines_same(table) => {
                first_base = Some(base);
                // There is no record of a crash with this fingerprint.
                *change = RecentChange {
                    size: 0,
                    ..change.with_command(Command::ClearCrash(Digest([0; 32])))
                };
            }
            Some(_) => break,
        }
    }
    if let Some(base) = first_base {
        changes[last] = changes[last].with_command(Command::ReplaceRouting {
            base,
            routing: newest,
            source: Arc::from(""),
        });
    }
}

/// Values of a proof that come from the state of the log, not from the feed.
#[derive(Clone, Debug, Default)]
pub(super) struct ProofContext {
    /// Time since this instance last proved its document current, in milliseconds;
    /// `u64::MAX` if it hasn't since its start.
    pub(super) age_ms: u64,
    /// Name of the leader, if known.
    pub(super) leader: Option<Name>,
    /// The current time.
    pub(super) now: Millis,
}

impl ProofContext {
    // Whether the document may be sent. After a restart, an instance doesn't know
    // yet which of its stored log entries were committed. Its document is old or
    // empty, and a subscriber that loaded it would be sent all later changes one
    // by one.
    fn is_proven(&self) -> bool {
        self.age_ms != u64::MAX
    }
}

struct EncodedDocument {
    format: Format,
    position: Position,
    at: Millis,
    body: Arc<[u8]>,
}

/// The latest changes, and how far each subscriber has been sent them.
pub(super) struct Feed {
    // Position before the first change in `recent`.
    base: Position,
    position: Position,
    recent: VecDeque<RecentChange>,
    bytes: usize,
    max_changes: usize,
    encoded: Option<EncodedDocument>,
    // Encoded size of the document when it was last encoded.
    document_size: Option<usize>,
    subscribers: HashMap<u64, Subscriber>,
    unsent: VecDeque<Unsent>,
}

impl Feed {
    pub(super) fn new(max_changes: usize, position: Position) -> Feed {
        Feed {
            base: position,
            position,
            recent: VecDeque::new(),
            bytes: 0,
            max_changes,
            encoded: None,
            document_size: None,
            subscribers: HashMap::new(),
            unsent: VecDeque::new(),
        }
    }

    /// Position of the last distributed change.
    pub(super) fn position(&self) -> Position {
        self.position
    }

    /// Drops the kept changes after a snapshot was restored; subscribers that are
    /// behind it load the document again.
    pub(super) fn reset(&mut self, position: Position) {
        self.base = position;
        self.position = position;
        self.recent.clear();
        self.bytes = 0;
    }

    /// Adds an accepted change of `size` encoded bytes and drops the oldest ones
    /// over the limits.
    pub(super) fn add(&mut self, delta: Delta, size: usize, now: Millis) {
        self.position = delta.position;
        let list_change = ListChange::of(&delta.change.command);
        if list_change.is_some_and(|change| !change.closed.is_empty()) {
            if self.unsent.len() == UNSENT_MAX {
                self.unsent.pop_front();
            }
            self.unsent.push_back(Unsent {
                position: delta.position,
                version: delta.version,
                applied: now,
            });
        }
        self.bytes += size;
        let delta = Arc::new(delta);
        self.recent.push_back(RecentChange { delta, size });
        while self.recent.len() > self.max_changes || self.bytes > RECENT_MAX_BYTES {
            let Some(old) = self.recent.pop_front() else {
                return;
            };
            self.bytes -= old.size;
            self.base = old.delta.position;
        }
    }

    pub(super) fn open(&mut self, link: PeerLink) {
        let subscriber = Subscriber {
            link,
            progress: Progress::New,
            told: 0,
            follows_plan: false,
        };
        self.subscribers.insert(subscriber.link.id, subscriber);
    }

    pub(super) fn close(&mut self, id: u64) {
        self.subscribers.remove(&id);
    }

    /// Sends new changes to every subscriber that was sent all earlier ones. Large ones,
    /// such as routing tables, are kept while earlier messages wait for its connection: the
    /// next one may supersede them.
    pub(super) fn push(&mut self, context: &ProofContext) {
        if !context.is_proven() {
            return;
        }
        let is_recent = |e: &EncodedDocument| context.now.since(e.at) < ENCODED_TTL_MS;
        self.encoded = self.encoded.take().filter(is_recent);
        let ids: Vec<u64> = self.subscribers.keys().copied().collect();
        for id in ids {
            let Some(Subscriber {
                link,
                progress: Progress::Current(sent),
                ..
            }) = self.subscribers.get(&id)
            else {
                continue;
            };
            let sent = *sent;
            if sent.index < self.base.index {
                // It loads the document with its next renewal.
                continue;
            }
            let changes = self.changes_after(sent);
            if changes.is_empty() || link.has_backlog() && size(&changes) > BACKLOG_MAX_BYTES {
                continue;
            }
            self.send_changes(id, sent, None, changes, context);
        }
        self.record_sent(context.now);
    }

    // Logs the changes of the server list that all subscribers have been sent which have the
    // document.
    fn record_sent(&mut self, now: Millis) {
        let positions = self.subscribers.values().filter_map(|s| match s.progress {
            Progress::Current(sent) => Some(sent.index),
            Progress::New | Progress::Loading(_) => None,
        });
        let (subscribers, least) = (positions.clone().count(), positions.min());
        let is_sent = |unsent: &Unsent| least.is_none_or(|i| i >= unsent.position.index);
        let count = self.unsent.iter().take_while(|u| is_sent(u)).count();
        for sent in self.unsent.drain(..count) {
            let spent_ms = now.since(sent.applied);
            metrics::histogram!("feed_send_seconds").record(Millis(spent_ms).duration());
            tracing::info!(
                event = "list-sent",
                version = sent.version,
                subscribers,
                spent_ms
            );
        }
    }

    /// Tells all subscribers which servers leave that they weren't told of yet.
    pub(super) fn push_leaving(&mut self, list: &KnownList) {
        for subscriber in self.subscribers.values_mut() {
            subscriber.tell_leaving(list, None, None);
        }
    }

    /// Records that a subscriber follows the plan of the regions.
    pub(super) fn record_demand(&mut self, id: u64) {
        if let Some(subscriber) = self.subscribers.get_mut(&id) {
            subscriber.follows_plan = true;
        }
    }

    /// Sends the plan of the regions to the subscribers that follow it, each the part for its
    /// region.
    pub(super) fn push_plan(&self, notice: &PlanNotice, document: &Document) {
        let subscribers = self.subscribers.values().filter(|s| s.follows_plan);
        for Subscriber { link, .. } in subscribers {
            if let Some(instance) = document.instances.get(&link.peer) {
                let plan = RegionNotice::Plan(notice.of_region(&instance.region));
                link.send(PeerMessage::Regions(plan));
            }
        }
    }

    /// Answers a renewal with the time as of which the list of servers is known, and with the
    /// servers that leave which the subscriber wasn't told of yet.
    pub(super) fn renew_list(&mut self, id: u64, seq: u64, list: &KnownList, now: Millis) {
        let subscriber = self.subscribers.get_mut(&id);
        if let (Some(subscriber), Some(age_ms)) = (subscriber, list.age_ms(now)) {
            subscriber.tell_leaving(list, Some(seq), Some(age_ms));
        }
    }

    /// Answers a renewal with a proof and with what the subscriber is missing.
    pub(super) fn renew(
        &mut self,
        id: u64,
        renew: &Renew,
        document: &Document,
        context: &ProofContext,
    ) {
        let Some(subscriber) = self.subscribers.get(&id) else {
            return;
        };
        let seq = Some(renew.seq);
        if !context.is_proven() {
            return self.send_proof(id, seq, context, Vec::new());
        }
        match (subscriber.progress, renew.position) {
            (Progress::New, None) => self.load(id, seq, document, context),
            (Progress::New, Some(held)) => self.resume(id, held, seq, document, context),
            (Progress::Loading(to), Some(held)) if held.index >= to.index => {
                self.resume(id, held, seq, document, context);
            }
            (Progress::Loading(_), _) => self.send_proof(id, seq, context, Vec::new()),
            (Progress::Current(sent), _) => self.resume(id, sent, seq, document, context),
        }
    }

    // Sends the missing changes, or the document if they are no longer kept or
    // are larger than it. A subscriber that is ahead of this instance is sent
    // changes once this instance has passed its position.
    fn resume(
        &mut self,
        id: u64,
        held: Position,
        seq: Option<u64>,
        document: &Document,
        context: &ProofContext,
    ) {
        let changes = self.changes_after(held);
        let missed = size(&changes);
        let document_is_smaller = self.document_size.is_some_and(|size| size < missed);
        match held.index < self.base.index || document_is_smaller {
            true => self.load(id, seq, document, context),
            false => self.send_changes(id, held, seq, changes, context),
        }
    }

    // The changes after a position, as they are sent to a subscriber that has all earlier ones.
    fn changes_after(&self, held: Position) -> Vec<RecentChange> {
        let start = self
            .recent
            .partition_point(|r| r.delta.position.index <= held.index);
        let mut changes: Vec<RecentChange> = self.recent.range(start..).cloned().collect();
        drop_superseded_tables(&mut changes);
        changes
    }

    fn load(&mut self, id: u64, seq: Option<u64>, document: &Document, context: &ProofContext) {
        self.send_proof(id, seq, context, Vec::new());
        let position = self.position;
        let Some(format) = self.subscribers.get(&id).map(|s| s.link.format()) else {
            return;
        };
        let body = match &self.encoded {
            Some(e) if e.position == position && e.format == format => e.body.clone(),
            _ => match encode_document(document, format) {
                Ok(body) => Arc::from(body),
                Err(e) => return log::error!("can't encode the document for a subscriber: {e}"),
            },
        };
        self.document_size = Some(body.len());
        self.encoded = Some(EncodedDocument {
            format,
            position,
            at: context.now,
            body: body.clone(),
        });
        let Some(s) = self.subscribers.get_mut(&id) else {
            return;
        };
        if s.link
            .send_bulk(split_into_chunks(Content::Document(position), body))
        {
            s.progress = Progress::Loading(position);
        }
    }

    fn send_changes(
        &mut self,
        id: u64,
        sent: Position,
        seq: Option<u64>,
        changes: Vec<RecentChange>,
        context: &ProofContext,
    ) {
        let (mut groups, mut size) = (vec![Vec::new()], 0);
        for r in changes {
            if size > 0 && size + r.size > GROUP_MAX_BYTES {
                groups.push(Vec::new());
                size = 0;
            }
            size += r.size;
            if let Some(group) = groups.last_mut() {
                group.push(r.delta);
            }
        }
        if let Some(s) = self.subscribers.get_mut(&id) {
            s.progress = Progress::Current(sent.max(self.position));
        }
        for changes in groups {
            self.send_proof(id, seq, context, changes);
        }
    }

    fn send_proof(
        &self,
        id: u64,
        seq: Option<u64>,
        context: &ProofContext,
        changes: Vec<Arc<Delta>>,
    ) {
        let proof = Proof {
            seq,
            age_ms: context.age_ms,
            position: self.position,
            leader: context.leader.clone(),
            changes,
        };
        if let Some(s) = self.subscribers.get(&id) {
            s.link.send(PeerMessage::Proof(proof));
        }
    }
}
