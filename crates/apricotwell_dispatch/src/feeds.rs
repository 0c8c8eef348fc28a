//! Sharing of the store's feeds between the instances of a zone.
//!
//! In each zone only one instance reads the store: the ready one with the lowest id. The others
//! query it for the changes after the offset up to which they have read a feed. The answer contains
//! these changes and the age of the reader's view; added to the time since the query was sent, this
//! bounds the age of the querying instance's view, however late the answer arrives. An instance
//! that gets no answer, or one with an old view, reads the store itself.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_messages::{FeedQuery, FeedResponse, HeldModel, ServerChange, ServerEntry};
use apricotwell_types::{InstanceId, Map, Offset, ServerId};

use crate::backends::BackendEntry;
use crate::freshness::ChangeBounds;
use crate::model::{Inventory, ModelName};
use crate::outages::StoreOutages;
use crate::software;
use crate::standstills::Standstills;
use crate::store_contact::StoreContact;

/// Maximum number of server list changes that are retained for other instances.
const MAX_RETAINED_CHANGES: usize = 4096;
/// Encoded size of changes from which on an answer is split. With it a datagram fits into one packet of
/// most paths, unless a single change is larger: a datagram of several packets is lost with any of them.
const MAX_ANSWER_BYTES: usize = 1200;

/// Pause after a failed read of the store by an instance whose zone's reader has an old view too, per other
/// instance of the zone: together they ask the store this often whether it answers again.
const OUTAGE_PAUSE_PER_PEER: Duration = Duration::from_millis(100);
/// Longest such pause; after it an instance whose zone only lost its reader goes on by itself.
const MAX_OUTAGE_PAUSE: Duration = Duration::from_millis(3000);

/// Returns the pause after which an instance reads a store again that did not answer it, in a zone with
/// `zone_peers` other instances. Meanwhile it goes on asking the zone's reader.
pub fn outage_pause(zone_peers: usize) -> Duration {
    let zone_peers = u32::try_from(zone_peers).unwrap_or(u32::MAX);
    OUTAGE_PAUSE_PER_PEER
        .saturating_mul(zone_peers)
        .min(MAX_OUTAGE_PAUSE)
}

/// A feed of the store. Logged by variant name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Feed {
    /// Configuration versions.
    Configuration,
    /// Changes of the server list.
    Servers,
}

/// Where an instance reads a feed from. Logged by variant name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedSource {
    /// The store.
    Store,
    /// Another instance.
    Peer(InstanceId),
}

/// A change of the server list.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerListChange {
    /// A server was added or its entry changed.
    Entry(Box<BackendEntry>),
    /// A server was removed from the list.
    Removed(ServerId),
}

/// A decoded answer of another instance about a feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedUpdate {
    /// Changes of the server list, in order, each with the offset up to which the list is known with it.
    pub changes: Vec<(Offset, ServerListChange)>,
    /// Offset up to which the feed has been read now.
    pub next: Offset,
    /// Offset up to which the other instance has read the feed, or this answer's part of it.
    pub end: Offset,
    /// Time up to which there were no other changes; `None` if another query is needed.
    pub confirmed_at: Option<Instant>,
    /// Time at which the store is known to have answered the other instance.
    pub seen_at: Instant,
}

/// Read positions in both feeds, with the recent changes that other instances may query.
#[derive(Debug)]
pub struct FeedViews {
    bounds: ChangeBounds,
    configuration: Option<View>,
    servers: Option<View>,
    changes: VecDeque<(Offset, ServerChange)>,
    // Offset from which on all changes are retained.
    retained_from: Offset,
    // Where each view was last confirmed from.
    sources: Map<Feed, FeedSource>,
    /// Outages of the store.
    pub outages: StoreOutages,
    /// Answers of the store to this instance.
    pub contact: StoreContact,
    /// Times in which this process was not scheduled.
    pub standstills: Standstills,
}

#[derive(Clone, Copy, Debug)]
struct View {
    next: Offset,
    // Time up to which there was nothing beyond `next`.
    confirmed_at: Instant,
}

impl FeedViews {
    /// Returns the views of an instance that has not read any feed; `bounds` are the times within which
    /// changes must be in force.
    pub fn new(bounds: ChangeBounds) -> Self {
        Self {
            bounds,
            configuration: None,
            servers: None,
            changes: VecDeque::new(),
            retained_from: 0,
            sources: Map::default(),
            outages: StoreOutages::default(),
            contact: StoreContact::default(),
            standstills: Standstills::default(),
        }
    }

    /// Records that a feed has been read up to `next`, and that there was nothing beyond it at
    /// `confirmed_at`.
    pub fn record_position(&mut self, feed: Feed, next: Offset, confirmed_at: Instant) {
        let view = match feed {
            Feed::Configuration => &mut self.configuration,
            Feed::Servers => &mut self.servers,
        };
        let confirmed_at = view.map_or(confirmed_at, |view| view.confirmed_at.max(confirmed_at));
        *view = Some(View { next, confirmed_at });
        if feed == Feed::Servers {
            self.outages.record_known(next);
        }
    }

    /// Records that a call of the store that began at `start` has failed.
    pub fn record_failure(&mut self, now: Instant, start: Instant) {
        self.contact.record_failure(now, start, &self.standstills);
    }

    /// Records that the store answered this or another instance at `at`.
    pub fn record_seen(&mut self, now: Instant, at: Instant) {
        self.outages.record_seen(now, at, &self.standstills);
    }

    /// Records where a feed's view was last confirmed from.
    pub fn record_source(&mut self, feed: Feed, source: FeedSource) {
        self.sources.insert(feed, source);
    }

    /// Returns where a feed's view was last confirmed from, `None` if it never was.
    pub fn source(&self, feed: Feed) -> Option<&FeedSource> {
        self.sources.get(&feed)
    }

    /// Clears the retained changes after the whole server list was read up to `next`.
    pub fn reset_changes(&mut self, next: Offset) {
        self.changes.clear();
        self.retained_from = next;
    }

    /// Retains a change of the server list; `next` is the offset up to which the list is read with it.
    ///
    /// This must be its offset in the store's log, whoever told of it: by it others skip what they know, and
    /// never take an older entry for the newest one.
    pub fn record_change(&mut self, next: Offset, change: &ServerListChange) {
        let change = ServerChange {
            offset: next,
            ..encode_change(change)
        };
        self.changes.push_back((next, change));
        if self.changes.len() > MAX_RETAINED_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.retained_from = dropped;
        }
    }

    /// Returns the age of this instance's view of a feed, `None` if it was never read.
    pub fn age(&self, now: Instant, feed: Feed) -> Option<Duration> {
        let view = self.view(feed)?;
        Some(now.saturating_duration_since(view.confirmed_at))
    }

    /// Returns whether a view is too old to decide by it, though the store answers this instance.
    ///
    /// While the store is silent, an old view is used on: it may be silent to all, and nobody changes
    /// anything then.
    pub fn is_overdue(&self, now: Instant, feed: Feed) -> bool {
        let is_old = self
            .age(now, feed)
            .is_some_and(|age| age > self.bounds.max_use_age(feed));
        is_old && self.contact.duration(now) >= self.bounds.renewal_time(feed)
    }

    fn view(&self, feed: Feed) -> Option<View> {
        match feed {
            Feed::Configuration => self.configuration,
            Feed::Servers => self.servers,
        }
    }

    /// Returns the answer to another instance's query, `None` before the feed was read.
    pub fn answer(&self, now: Instant, query: &FeedQuery) -> Option<FeedResponse> {
        let feed = if query.servers {
            Feed::Servers
        } else {
            Feed::Configuration
        };
        let view = self.view(feed)?;
        let age = now.saturating_duration_since(view.confirmed_at).as_millis();
        let mut answer = FeedResponse {
            number: query.number,
            complete: query.from >= view.next,
            next: view.next,
            // Rounded up, so that the view never appears newer than it is.
            age_ms: u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1),
            servers: Vec::new(),
            more: false,
        };
        if query.servers && !answer.complete && query.from >= self.retained_from {
            self.add_changes(query.from, &mut answer);
        }
        Some(answer)
    }

    fn add_changes(&self, from: Offset, answer: &mut FeedResponse) {
        // Changes are retained in the order of their offsets.
        let known = self.changes.partition_point(|(next, _)| *next <= from);
        let missing = self.changes.range(known..);
        let (mut last, mut bytes) = (from, 0);
        for (next, change) in missing {
            bytes += change.size();
            // Changes with the same offset must not be split over two answers.
            if bytes > MAX_ANSWER_BYTES && *next > last && last > from {
                answer.next = last;
                answer.more = true;
                break;
            }
            last = *next;
            answer.servers.push(change.clone());
        }
        answer.complete = true;
    }
}

/// Returns the time up to which a read shows that there was nothing beyond its records.
///
/// The read began at `start`, the store was asked to wait for records for `wait`, and answered by `end`. An
/// empty answer after the whole wait shows that nothing came in it. The store may have looked at its log
/// at any time before an earlier one.
pub fn confirmation_time(start: Instant, wait: Duration, end: Instant, is_empty: bool) -> Instant {
    let has_waited = end.saturating_duration_since(start) >= wait;
    if is_empty && has_waited {
        start + wait
    } else {
        start
    }
}

/// Decodes the answer to a query that was sent at `sent_at` for the changes after `from`.
///
/// Returns `None` if the answer doesn't contain all changes since then.
pub fn decode_answer(sent_at: Instant, from: Offset, answer: &FeedResponse) -> Option<FeedUpdate> {
    if !answer.complete {
        return None;
    }
    let changes = answer.servers.iter().map(|change| {
        let offset = match change.offset {
            0 => answer.next,
            offset => offset,
        };
        Some((offset, decode_change(change)?))
    });
    let seen_at = sent_at.checked_sub(Duration::from_millis(u64::from(answer.age_ms)))?;
    Some(FeedUpdate {
        changes: changes.collect::<Option<_>>()?,
        next: answer.next.max(from),
        end: answer.next,
        confirmed_at: (!answer.more).then_some(seen_at),
        seen_at,
    })
}

fn encode_change(change: &ServerListChange) -> ServerChange {
    match change {
        ServerListChange::Removed(id) => ServerChange {
            server: id.to_string(),
            entry: None,
            offset: 0,
        },
        ServerListChange::Entry(entry) => ServerChange {
            server: entry.id.to_string(),
            entry: Some(encode_entry(entry)),
            offset: 0,
        },
    }
}

fn encode_entry(entry: &BackendEntry) -> ServerEntry {
    let names = |names: &[ModelName]| names.iter().map(ToString::to_string).collect();
    let held = entry
        .inventory
        .models
        .iter()
        .map(|(model, adapters)| HeldModel {
            model: model.to_string(),
            adapters: names(adapters),
        });
    ServerEntry {
        service: entry.service.to_string(),
        address: entry.address.to_string(),
        zone: entry.zone.to_string(),
        slots: entry.slots,
        draining: entry.draining,
        remaining_ms: entry
            .remaining
            .map(|left| u32::try_from(left.as_millis()).unwrap_or(u32::MAX)),
        started_ms: entry.started_ms,
        number: entry.number,
        orders: entry.inventory.orders,
        models: held.collect(),
        in_memory: names(&entry.inventory.in_memory),
        on_disk: names(&entry.inventory.on_disk),
        cold_left_ms: u32::try_from(entry.cold_left.as_millis()).unwrap_or(u32::MAX),
        software: entry.software.as_deref().map(str::to_owned),
    }
}

fn decode_change(change: &ServerChange) -> Option<ServerListChange> {
    let id: ServerId = change.server.as_str().into();
    let Some(listed) = &change.entry else {
        return Some(ServerListChange::Removed(id));
    };
    let address: SocketAddr = listed.address.parse().ok()?;
    let names = |names: &[String]| names.iter().map(|name| name.as_str().into()).collect();
    let models = listed.models.iter();
    let entry = BackendEntry {
        id,
        service: listed.service.as_str().into(),
        address,
        zone: listed.zone.as_str().into(),
        slots: listed.slots,
        draining: listed.draining,
        remaining: listed
            .remaining_ms
            .map(|left| Duration::from_millis(u64::from(left))),
        started_ms: listed.started_ms,
        number: listed.number,
        cold_left: Duration::from_millis(u64::from(listed.cold_left_ms)),
        software: listed.software.as_deref().and_then(software::known_version),
        inventory: Inventory {
            orders: listed.orders,
            models: models
                .map(|held| (held.model.as_str().into(), names(&held.adapters)))
                .collect(),
            in_memory: names(&listed.in_memory),
            on_disk: names(&listed.on_disk),
        },
    };
    Some(ServerListChange::Entry(Box::new(entry)))
}
