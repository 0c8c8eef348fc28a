//! Who reads the store's feeds, and what the others ask instead.
//!
//! In each zone one instance reads the store, the ready one with the lowest id. The others ask it
//! what came after the offset up to which they know a feed. It answers with its changes and with the
//! age of its view; added to the time since the question was sent, this bounds the age of theirs,
//! however late the answer comes. Whoever gets no answer, or an old one, reads the store itself.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use apricotwell_messages::{FeedAnswer, FeedQuery, ModelHeld, ServerChange, ServerListed};
use apricotwell_types::{InstanceId, Offset, ServerId};

use crate::backends::BackendEntry;
use crate::model::{Inventory, ModelName};

/// Changes of the list of servers that are kept for other instances.
const MAX_CHANGES: usize = 4096;
/// Changes in one answer, so that it fits into a datagram.
const MAX_ANSWERED: usize = 32;

/// Feed of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Feed {
    /// Configuration.
    Configuration,
    /// List of servers.
    Servers,
}

/// Where an instance learns what is new.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedSource {
    /// In the store.
    Store,
    /// From another instance.
    Peer(InstanceId),
}

/// Change of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerListChange {
    /// Entry of a server.
    Entry(BackendEntry),
    /// A server left the list.
    Removed(ServerId),
}

/// What another instance told of a feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedUpdate {
    /// Changes of the list of servers.
    pub changes: Vec<ServerListChange>,
    /// Offset up to which the feed is known now.
    pub next: Offset,
    /// Time up to which nothing else came; `None` while more is to be asked for.
    pub confirmed_at: Option<Instant>,
}

/// Views of both feeds, with what other instances may ask of them.
#[derive(Debug, Default)]
pub struct FeedViews {
    configuration: Option<View>,
    servers: Option<View>,
    changes: VecDeque<(Offset, ServerChange)>,
    // Offset from which on all changes are kept.
    kept_from: Offset,
}

#[derive(Clone, Copy, Debug)]
struct View {
    next: Offset,
    current: Instant,
}

impl FeedViews {
    /// Notes that a feed is known up to an offset, and that nothing else had come at `current`.
    pub fn record_position(&mut self, feed: Feed, next: Offset, current: Instant) {
        let view = match feed {
            Feed::Configuration => &mut self.configuration,
            Feed::Servers => &mut self.servers,
        };
        let current = view.map_or(current, |view| view.current.max(current));
        *view = Some(View { next, current });
    }

    /// Notes that the list of servers is known from an offset on only.
    pub fn reset_changes(&mut self, next: Offset) {
        self.changes.clear();
        self.kept_from = next;
    }

    /// Keeps a change of the list of servers that came before `next`.
    pub fn record_change(&mut self, next: Offset, change: &ServerListChange) {
        self.changes.push_back((next, encode_change(change)));
        if self.changes.len() > MAX_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.kept_from = dropped;
        }
    }

    /// Returns the age of a feed's view, `None` if it was never read.
    pub fn age(&self, now: Instant, feed: Feed) -> Option<Duration> {
        let view = self.view(feed)?;
        Some(now.saturating_duration_since(view.current))
    }

    fn view(&self, feed: Feed) -> Option<View> {
        match feed {
            Feed::Configuration => self.configuration,
            Feed::Servers => self.servers,
        }
    }

    /// Answers another instance; `None` before the feed was read.
    pub fn answer(&self, now: Instant, query: &FeedQuery) -> Option<FeedAnswer> {
        let feed = if query.servers {
            Feed::Servers
        } else {
            Feed::Configuration
        };
        let view = self.view(feed)?;
        let age = now.saturating_duration_since(view.current).as_millis();
        let mut answer = FeedAnswer {
            number: query.number,
            covers: query.from >= view.next,
            next: view.next,
            // Rounded up: a view must never pass for younger than it is.
            age: u32::try_from(age).unwrap_or(u32::MAX).saturating_add(1),
            servers: Vec::new(),
            more: false,
        };
        if query.servers && !answer.covers && query.from >= self.kept_from {
            self.add_changes(query.from, &mut answer);
        }
        Some(answer)
    }

    fn add_changes(&self, from: Offset, answer: &mut FeedAnswer) {
        let missing = self.changes.iter().filter(|(next, _)| *next > from);
        let mut last = from;
        for (next, change) in missing {
            // Changes that came together stay together.
            if answer.servers.len() >= MAX_ANSWERED && *next > last {
                answer.next = last;
                answer.more = true;
                break;
            }
            last = *next;
            answer.servers.push(change.clone());
        }
        answer.covers = true;
    }
}

/// Decodes an answer to a question that was sent at `asked`, when the feed was known up to `from`.
///
/// Returns `None` if it does not tell all that came since.
pub fn decode_answer(asked: Instant, from: Offset, answer: &FeedAnswer) -> Option<FeedUpdate> {
    if !answer.covers {
        return None;
    }
    let changes = answer.servers.iter().map(decode_change);
    Some(FeedUpdate {
        changes: changes.collect::<Option<_>>()?,
        next: answer.next.max(from),
        confirmed_at: match answer.more {
            true => None,
            false => Some(asked.checked_sub(Duration::from_millis(u64::from(answer.age)))?),
        },
    })
}

fn encode_change(change: &ServerListChange) -> ServerChange {
    match change {
        ServerListChange::Removed(id) => ServerChange {
            server: id.to_string(),
            listed: None,
        },
        ServerListChange::Entry(entry) => ServerChange {
            server: entry.id.to_string(),
            listed: Some(encode_entry(entry)),
        },
    }
}

fn encode_entry(entry: &BackendEntry) -> ServerListed {
    let names = |names: &[ModelName]| names.iter().map(ToString::to_string).collect();
    let held = entry
        .inventory
        .models
        .iter()
        .map(|(model, adapters)| ModelHeld {
            model: model.to_string(),
            adapters: names(adapters),
        });
    ServerListed {
        service: entry.service.to_string(),
        address: entry.address.to_string(),
        zone: entry.zone.to_string(),
        slots: entry.slots,
        leaving: entry.draining,
        remaining: entry
            .remaining
            .map(|left| u32::try_from(left.as_millis()).unwrap_or(u32::MAX)),
        born: entry.started_ms,
        orders: entry.inventory.orders,
        models: held.collect(),
        in_memory: names(&entry.inventory.in_memory),
        on_disk: names(&entry.inventory.on_disk),
    }
}

fn decode_change(change: &ServerChange) -> Option<ServerListChange> {
    let id: ServerId = change.server.as_str().into();
    let Some(listed) = &change.listed else {
        return Some(ServerListChange::Removed(id));
    };
    let address: SocketAddr = listed.address.parse().ok()?;
    let names = |names: &[String]| names.iter().map(|name| name.as_str().into()).collect();
    let models = listed.models.iter();
    Some(ServerListChange::Entry(BackendEntry {
        id,
        service: listed.service.as_str().into(),
        address,
        zone: listed.zone.as_str().into(),
        slots: listed.slots,
        draining: listed.leaving,
        remaining: listed
            .remaining
            .map(|left| Duration::from_millis(u64::from(left))),
        started_ms: listed.born,
        inventory: Inventory {
            orders: listed.orders,
            models: models
                .map(|held| (held.model.as_str().into(), names(&held.adapters)))
                .collect(),
            in_memory: names(&listed.in_memory),
            on_disk: names(&listed.on_disk),
        },
    }))
}
