//! Request limits that backend servers name while they are overloaded.
//!
//! A server names its limit in its responses: the requests per second that it accepts from all
//! instances together. The limit holds until a response lacks it.

use std::time::Instant;

use apricotwell_types::{Map, ServerId};

/// Requests per second.
pub type RequestRate = f64;

/// What a server last said about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitNotice {
    // `None` after the limit was lifted.
    rate: Option<RequestRate>,
    // Time at which the server said so, at the earliest.
    at: Instant,
}

/// Response of a server, as far as it concerns the server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitResponse {
    /// When the request was sent that the server responded to.
    pub sent_at: Instant,
    /// Limit that the response names.
    pub rate: Option<RequestRate>,
}

/// Limits of all servers that named one.
#[derive(Debug, Default)]
pub struct LimitTable {
    servers: Map<ServerId, LimitNotice>,
}

impl LimitTable {
    /// Returns the limit of a server, `None` if it has none.
    pub fn rate(&self, server: &str) -> Option<RequestRate> {
        self.servers.get(server)?.rate
    }

    /// Applies a server's response; returns whether the server's limit changed.
    ///
    /// A response without a limit lifts it only if its request was sent after the limit was named:
    /// others may have been written before.
    pub fn record_response(
        &mut self,
        now: Instant,
        server: &ServerId,
        response: LimitResponse,
    ) -> bool {
        let known = self.servers.get(server).copied();
        let notice = LimitNotice {
            rate: response.rate,
            at: response.rate.map_or(response.sent_at, |_| now),
        };
        let is_news = match known {
            Some(known) => notice.at > known.at,
            None => notice.rate.is_some(),
        };
        if is_news {
            self.servers.insert(server.clone(), notice);
        }
        is_news && known.and_then(|known| known.rate) != notice.rate
    }

    /// Forgets a server that was restarted or removed from the list.
    pub fn remove_server(&mut self, server: &str) {
        self.servers.remove(server);
    }
}
