//! Tasks that follow the store's feeds, read from the store or through another instance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use apricotwell_dispatch::feeds::{FeedUpdate, confirmation_time, outage_pause};
use apricotwell_dispatch::freshness::{QUERY_INTERVAL, ViewAge};
use apricotwell_dispatch::log_position::{LogPosition, PageOrder};
use apricotwell_dispatch::prelude::*;
use apricotwell_types::{InstanceId, Offset, StoreEra};
use tokio::net::UdpSocket;

use crate::adapter::{FeedPage, FeedRecord, Platform, Store, StoreError};
use crate::evacuation;
use crate::events::Event;
use crate::gateway::Gateway;
use crate::permits::log_limit_changes;

mod entries;
mod helpers;
mod quotas;
mod reads;

use entries::{confirm_list, log_entry, log_held, log_outdated};
use quotas::log_quota_changes;

/// Step of the linear retry backoff, from the second consecutive failure on. The first retry is
/// immediate, since most often only the connection was broken.
const RETRY_DELAY_STEP: Duration = Duration::from_millis(400);
/// Consecutive failures after which the backoff stops growing.
const MAX_BACKOFF_FAILURES: u32 = 4;
/// Longest wait until views are confirmed for a decision that needs that.
const MAX_CONFIRM_TIME: Duration = Duration::from_millis(1500);
/// Interval at which such a wait looks at the views.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time between two reads of the store for such waits: at 410 instances that is 1,640 reads per second
/// of both feeds at most.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two records of reads of the store beside another instance.
const OWN_READ_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// How much of the changes another instance's answer contained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateExtent {
    /// All changes that it knows.
    Complete,
    /// Some of them; another query returns more.
    Partial,
}

/// Follows one feed; never returns.
pub async fn follow<P>(gateway: Rc<Gateway<P>>, socket: Rc<UdpSocket>, feed: Feed)
where
    P: Platform,
{
    let mut follower = Follower {
        retry_at: gateway.now(),
        gateway,
        socket,
        feed,
        next: None,
        era: None,
        reads_newest: false,
        position: LogPosition::default(),
        source: FeedSource::Store,
        failing_since: None,
        failures: 0,
        own_read_logged: None,
        has_changed: false,
        demanded_at: None,
        fallback_turn: 0,
    };
    loop {
        let pause = follower.step().await;
        follower.pause(pause).await;
    }
}

/// Waits until the store or another instance has confirmed both views as of the call or later; returns
/// whether that was in time.
pub async fn confirm<P>(gateway: &Gateway<P>) -> bool
where
    P: Platform,
{
    let called_at = gateway.now();
    loop {
        let waited = gateway.now().saturating_duration_since(called_at);
        let is_confirmed = |feed| {
            let dispatcher = gateway.dispatcher.borrow();
            let age = dispatcher.feeds.age(gateway.now(), feed);
            age.is_some_and(|age| age <= waited)
        };
        if is_confirmed(Feed::Configuration) && is_confirmed(Feed::Servers) {
            return true;
        }
        if waited >= MAX_CONFIRM_TIME {
            return false;
        }
        gateway.views_due.notify_waiters();
        tokio::time::sleep(CONFIRM_POLL_INTERVAL).await;
    }
}

struct Follower<P>
where
    P: Platform,
{
    gateway: Rc<Gateway<P>>,
    socket: Rc<UdpSocket>,
    feed: Feed,
    // Offset from which to read; `None` until the newest records have been read.
    next: Option<Offset>,
    // Era of the store whose log `next` and `position` are about.
    era: Option<StoreEra>,
    // Whether the newest records are to be read, since newer ones replace those from `next` on.
    reads_newest: bool,
    position: LogPosition,
    // Source of the last step.
    source: FeedSource,
    failing_since: Option<Instant>,
    // Number of consecutive failed store calls.
    failures: u32,
    // Before this time the store is not read as long as another instance is the source.
    retry_at: Instant,
    // When a read of the store beside another instance was last logged.
    own_read_logged: Option<Instant>,
    // Whether records were applied since waiting requests were last notified.
    has_changed: bool,
    // When the store was last read because a view had to be confirmed at once.
    demanded_at: Option<Instant>,
    // Turn in which the others are asked that help while the store does not answer.
    fallback_turn: usize,
}

impl<P> Follower<P>
where
    P: Platform,
{
    // Fetches new records once; returns the pause before the next step.
    async fn step(&mut self) -> Duration {
        self.observe_era();
        let Some(from) = self.read_position() else {
            return self.read_store(Duration::ZERO).await;
        };
        let now = self.gateway.now();
        let source = self.gateway.dispatcher.borrow().feed_source(now);
        let source = match source {
            // Its zone's reader that has lost the store follows others until its view is old, and then tries again.
            FeedSource::Store if self.failures > 0 => self
                .next_fallback()
                .map_or(FeedSource::Store, FeedSource::Peer),
            source => source,
        };
        self.set_source(&source);
        match (source, self.feed) {
            (FeedSource::Peer(peer), _) => self.follow_peer(&peer, from).await,
            (FeedSource::Store, Feed::Configuration) => {
                let wait = self.view_age().read_interval();
                self.read_store(wait).await
            }
            (FeedSource::Store, Feed::Servers) => self.read_store(Duration::ZERO).await,
        }
    }

    // Pauses before the next step, unless the view must be confirmed at once.
    async fn pause(&mut self, pause: Duration) {
        let gateway = Rc::clone(&self.gateway);
        let demand = async {
            let since = |at| gateway.now().saturating_duration_since(at);
            let elapsed = self.demanded_at.map_or(Duration::MAX, since);
            tokio::time::sleep(MIN_DEMAND_INTERVAL.saturating_sub(elapsed)).await;
            gateway.views_due.notified().await;
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = demand => {
                self.demanded_at = Some(self.gateway.now());
                self.read_store(Duration::ZERO).await;
            }
        }
    }

    // Returns the offset from which to read, `None` if the newest records are to be read.
    fn read_position(&self) -> Option<Offset> {
        self.next.filter(|_| !self.reads_newest)
    }

    // Queries another instance and reads the store once the view is too old.
    async fn follow_peer(&mut self, peer: &InstanceId, from: Offset) -> Duration {
        let may_read = self.gateway.now() >= self.retry_at;
        let time_left = self.time_left();
        // After a failed read an answer with an old view is better than none.
        let query_limit = if may_read && self.failures == 0 {
            time_left
        } else {
            QUERY_INTERVAL
        };
        let answer = match query_limit.is_zero() {
            true => None,
            false => self.query_peer(peer, from, query_limit).await,
        };
        if answer == Some(UpdateExtent::Partial) {
            return Duration::ZERO;
        }
        let is_missing = answer.is_none();
        let is_old = self.time_left().is_zero();
        if !is_missing && !is_old {
            return self.query_pause();
        }
        if !may_read {
            return QUERY_INTERVAL;
        }
        self.log_own_read(peer, is_missing && !query_limit.is_zero());
        self.read_store(Duration::ZERO).await;
        match self.failures {
            0 => self.query_pause(),
            // Most often only the connection was broken, so that the first repetition succeeds.
            1 => Duration::ZERO,
            _ => QUERY_INTERVAL,
        }
    }

    // Queries another instance for at most `limit`; returns `None` if there was no usable response.
    async fn query_peer(
        &mut self,
        peer: &InstanceId,
        from: Offset,
        limit: Duration,
    ) -> Option<UpdateExtent> {
        let feed_position = (self.feed, from);
        let clock = || self.gateway.now();
        let response = self
            .gateway
            .feed_queries
            .query(&self.socket, peer, feed_position, clock);
        let response = tokio::time::timeout(limit, response).await.ok()?;
        let FeedUpdate {
            changes,
            next,
            end,
            confirmed_at,
            seen_at,
        } = response?;
        if !self.position.accepts(seen_at, end) {
            return None;
        }
        self.record_seen(seen_at);
        let records = changes.into_iter().map(|(offset, change)| match change {
            ServerListChange::Entry(entry) => (offset, FeedRecord::Entry(entry)),
            ServerListChange::Removed(id) => (offset, FeedRecord::Removed(id)),
        });
        // What this instance knows already may be older than its newest entries.
        let records = records.filter(|(offset, _)| *offset > from);
        self.apply(confirmed_at, next, records.collect(), false);
        self.record_source(FeedSource::Peer(peer.clone()));
        Some(match confirmed_at {
            Some(_) => UpdateExtent::Complete,
            None => UpdateExtent::Partial,
        })
    }

    fn view_age(&self) -> ViewAge {
        let dispatcher = self.gateway.dispatcher.borrow();
        ViewAge::new(dispatcher.config.change_bounds.of(self.feed))
    }

    // Age of this instance's view, by the source that confirmed it last; `None` if it was never read.
    fn known_age(&self) -> Option<Duration> {
        let now = self.gateway.now();
        self.gateway.dispatcher.borrow().feeds.age(now, self.feed)
    }

    fn age(&self) -> Duration {
        self.known_age().unwrap_or(Duration::MAX)
    }

    fn time_left(&self) -> Duration {
        self.view_age().time_left(self.age())
    }

    fn query_pause(&self) -> Duration {
        self.view_age().query_pause(self.age())
    }

    // Reads the store once; returns the pause before the next read.
    async fn read_store(&mut self, wait: Duration) -> Duration {
        let start = self.gateway.now();
        let from = self.read_position();
        let known = self.position.known();
        let page = self.read_page(from, wait).await;
        if self.observe_era() {
            return Duration::ZERO;
        }
        match page.and_then(|page| self.check_position(start, known, page)) {
            Ok(None) => {
                self.record_success();
                self.record_seen(start);
                Duration::ZERO
            }
            Ok(Some(page)) => {
                self.gateway.metrics.count_store_call("read");
                self.record_success();
                self.record_seen(start);
                self.reads_newest = false;
                self.log_read(from, &page);
                let pauses = self.feed == Feed::Servers && page.is_end;
                // The newest records are read without a wait.
                let is_empty = from.is_some() && page.records.is_empty();
                let confirmed_at = confirmation_time(start, wait, self.gateway.now(), is_empty);
                let confirmed_at = page.is_end.then_some(confirmed_at);
                self.apply_page(confirmed_at, from, page);
                self.record_source(FeedSource::Store);
                if pauses {
                    self.view_age().read_interval()
                } else {
                    Duration::ZERO
                }
            }
            Err(StoreError::Truncated) => {
                self.next = None;
                Duration::ZERO
            }
            Err(StoreError::Superseded) => {
                self.reads_newest = true;
                Duration::ZERO
            }
            Err(error) => {
                self.log_failed_read(start, &error);
                self.record_failure(start, &error);
                RETRY_DELAY_STEP * (self.failures.min(MAX_BACKOFF_FAILURES) - 1)
            }
        }
    }

    // Returns whether the store has come back from an older copy. Its log may have been written again up to the
    // known offset and beyond, so that only the newest records tell what it holds.
    fn observe_era(&mut self) -> bool {
        let era = *self.gateway.store.era().borrow();
        let known = std::mem::replace(&mut self.era, era);
        // The server list shows by its end that it has restarted: its entries are written again over a while, and a
        // first look could bring back older states of servers.
        if known.is_none() || known == era || self.feed == Feed::Servers {
            return false;
        }
        Event::new("log_restarted")
            .with("feed", format!("{:?}", self.feed))
            .with("era", era)
            .with("known", self.position.known())
            .log();
        self.position.restart(self.gateway.now());
        self.next = None;
        true
    }

    // Refuses a page that ends before what was `known` at `start`, when its read began: entries on it may be older
    // than the known ones. After a restart of the log everything is read again; the version of a configuration
    // keeps an older one from being applied. Returns no page if others have told of later records meanwhile.
    fn check_position(
        &mut self,
        start: Instant,
        known: Offset,
        page: FeedPage,
    ) -> Result<Option<FeedPage>, StoreError> {
        let order = self.position.check_page(start, known, page.next);
        if matches!(order, PageOrder::Behind | PageOrder::Restarted) {
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            dispatcher.feeds.contact.restart();
        }
        match order {
            PageOrder::Current => Ok(Some(page)),
            PageOrder::Overtaken => Ok(None),
            PageOrder::Behind => Err(StoreError::Unknown(format!(
                "its log ends at {}, but is known up to {known}",
                page.next
            ))),
            PageOrder::Restarted => {
                Event::new("log_restarted")
                    .with("feed", format!("{:?}", self.feed))
                    .with("end", page.next)
                    .with("known", known)
                    .log();
                Err(StoreError::Truncated)
            }
        }
    }

    // Applies a page of the store that was read from `from` on. If `confirmed_at` is set, the page is complete up
    // to that time.
    fn apply_page(&mut self, confirmed_at: Option<Instant>, from: Option<Offset>, page: FeedPage) {
        if from.is_none() && self.feed == Feed::Configuration {
            evacuation::end_missing(&self.gateway, &page);
            self.record_skipped(&page);
        }
        if from.is_none() && self.feed == Feed::Servers {
            self.remove_missing(&page);
            self.gateway
                .dispatcher
                .borrow_mut()
                .feeds
                .reset_changes(page.next);
        }
        // Each record of the server list yields one item, so offsets follow from the end of the
        // page.
        let first = page
            .next
            .saturating_sub(page.records.len() as u64)
            .max(from.unwrap_or_default());
        let offsets = (first + 1..).map(|offset| offset.min(page.next));
        // Others may have told of the first ones while the store was read.
        let known = from.and(self.next).unwrap_or_default();
        let records = offsets.zip(page.records);
        let records = records.filter(|(offset, _)| *offset > known);
        self.apply(confirmed_at, page.next, records.collect(), from.is_none());
    }

    // Records that configurations before the newest one were not read, whose routes streams may have begun on.
    fn record_skipped(&self, page: &FeedPage) {
        let known = self.position.known();
        if known == 0 || page.next <= known + 1 {
            return;
        }
        Event::new("configurations_skipped")
            .with("known", known)
            .with("next", page.next)
            .log();
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.former_routes.record_gap(now);
    }

    // Applies records with the offsets up to which the feed is known with them; `next` is that of all. `is_anew` states
    // whether these are the newest records of all keys.
    fn apply(
        &mut self,
        confirmed_at: Option<Instant>,
        next: Offset,
        records: Vec<(Offset, FeedRecord)>,
        is_anew: bool,
    ) {
        let now = self.gateway.now();
        self.next = Some(next);
        self.position.advance(now, next);
        self.has_changed |= !records.is_empty();
        if self.feed == Feed::Servers {
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            let is_expected = is_anew || dispatcher.feeds.outages.returned_at(now).is_some();
            dispatcher.backends.expect_servers(is_expected);
        }
        for (offset, record) in records {
            self.apply_record(offset, record);
        }
        // An incomplete view is completed at once, and waiting requests need not look at each part of it.
        let Some(confirmed_at) = confirmed_at else {
            return;
        };
        if self.feed == Feed::Servers {
            self.has_changed |= confirm_list(&self.gateway, confirmed_at);
        }
        self.announce_changes();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher
            .feeds
            .record_position(self.feed, next, confirmed_at);
        if self.feed == Feed::Configuration {
            dispatcher.freshness.record_read(confirmed_at);
        }
    }

    // Notifies requests that wait for a server, and the placement, of applied records.
    fn announce_changes(&mut self) {
        self.gateway
            .dispatcher
            .borrow_mut()
            .update_warmups(self.gateway.now());
        log_limit_changes(&self.gateway);
        if std::mem::take(&mut self.has_changed) {
            self.gateway.servers_changed.notify_waiters();
            self.gateway.replan.notify_one();
        }
    }

    // Logs that the store is read beside another instance, and why.
    fn log_own_read(&mut self, peer: &InstanceId, is_missing: bool) {
        let now = self.gateway.now();
        let is_recent = |at| now.saturating_duration_since(at) < OWN_READ_LOG_INTERVAL;
        if self.own_read_logged.is_some_and(is_recent) {
            return;
        }
        self.own_read_logged = Some(now);
        let reason = if is_missing { "no_answer" } else { "old_view" };
        Event::new("feed_read_beside")
            .with("feed", format!("{:?}", self.feed))
            .with("source", &**peer)
            .with("reason", reason)
            .with_optional_time("age_ms", self.known_age())
            .log();
    }

    fn record_source(&self, source: FeedSource) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.feeds.record_source(self.feed, source);
    }

    fn set_source(&mut self, source: &FeedSource) {
        if self.source != *source {
            self.source = source.clone();
            Event::new("feed_source")
                .with("feed", format!("{:?}", self.feed))
                .with("source", format!("{source:?}"))
                .log();
        }
    }

    // Applies one record; the feed is then known up to `offset`.
    fn apply_record(&self, offset: Offset, record: FeedRecord) {
        let now = self.gateway.now();
        if let FeedRecord::Evacuation { zone, is_evacuated } = &record {
            return evacuation::apply(&self.gateway, zone, *is_evacuated);
        }
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        match record {
            FeedRecord::Evacuation { .. } => {}
            FeedRecord::Catalog(catalog) => {
                let version = catalog.version;
                let former = dispatcher.catalog.clone();
                let applied = dispatcher.apply_catalog(*catalog);
                if let Some(former) = former {
                    log_quota_changes(&dispatcher, &former);
                }
                let apply_time = self.gateway.now().saturating_duration_since(now);
                Event::new("configuration")
                    .with("version", version)
                    .with("applied", applied)
                    .with_time("apply_ms", apply_time)
                    .log();
            }
            FeedRecord::Entry(entry) => {
                if let Some(known) = dispatcher.backends.outdated_by(now, &entry) {
                    return log_outdated(offset, &entry, &known);
                }
                log_entry(&dispatcher.backends, now, offset, &entry);
                let outages = &mut dispatcher.feeds.outages;
                outages.record_entry(now, offset, &entry.id);
                if dispatcher.backends.is_changed(&entry) {
                    let change = ServerListChange::Entry(entry.clone());
                    dispatcher.feeds.record_change(offset, &change);
                }
                let former_state = dispatcher.backends.state_name(now, &entry.id);
                let id = entry.id.clone();
                dispatcher.apply_entry(now, *entry);
                log_held(&dispatcher.backends, now, &id, former_state);
            }
            FeedRecord::Removed(id) => {
                let former = dispatcher.backends.get(&id).map(|server| &server.entry);
                let born = former.map(|it| it.started_ms);
                let number = former.and_then(|it| it.number);
                let grace = dispatcher.feeds.outages.removal_grace(now, &id);
                Event::new("server_removed")
                    .with("server", &*id)
                    .with("offset", offset)
                    .with("born", born)
                    .with("number", number)
                    .with("cause", grace.map(|_| "lapse_after_outage"))
                    .with_optional_time("kept_ms", grace)
                    .log();
                dispatcher.backends.mark_removed(now, &id, grace);
                dispatcher.prompts.remove_server(&id);
                let change = ServerListChange::Removed(id);
                dispatcher.feeds.record_change(offset, &change);
            }
            FeedRecord::Unreadable { key, reason } => Event::new("record_unreadable")
                .with("key", key)
                .with("reason", reason)
                .log(),
        }
    }

    // Removes the known servers that are not on a page of the newest records.
    fn remove_missing(&self, page: &FeedPage) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        for id in dispatcher.backends.listed_ids() {
            let is_listed = page
                .records
                .iter()
                .any(|record| matches!(record, FeedRecord::Entry(entry) if entry.id == id));
            if !is_listed {
                let grace = dispatcher.feeds.outages.removal_grace(now, &id);
                dispatcher.backends.mark_removed(now, &id, grace);
            }
        }
    }

    // Records that the store answered this or another instance; to be called before its records are applied.
    fn record_seen(&self, at: Instant) {
        let now = self.gateway.now();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let known = dispatcher.feeds.outages.returned_at(now);
        dispatcher.feeds.record_seen(now, at);
        let returned = dispatcher.feeds.outages.returned_at(now);
        if returned.is_some() && returned != known {
            dispatcher.backends.record_store_return(now);
        }
    }

    fn record_failure(&mut self, start: Instant, error: &StoreError) {
        self.gateway.metrics.count_store_call("failed");
        self.gateway.record_store_failure(start);
        self.failures += 1;
        let now = self.gateway.now();
        if self.failures > 1 {
            let zone_peers = self.gateway.dispatcher.borrow().zone_peers(now).len();
            self.retry_at = now + outage_pause(zone_peers);
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(self.gateway.now());
            Event::new("store_lost")
                .with("feed", format!("{:?}", self.feed))
                .with("reason", error.to_string())
                .log();
        }
    }

    fn record_success(&mut self) {
        self.gateway.record_store_answer();
        self.failures = 0;
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let now = self.gateway.now();
        Event::new("store_regained")
            .with("feed", format!("{:?}", self.feed))
            .with_time("lost_ms", now.saturating_duration_since(since))
            .log();
    }
}
