//! HTTP client with a connection pool.
//!
//! It tells a request that was not sent from one whose response is missing, and a response that was
//! received whole from one that was broken off. Every kind of framing is read: a length, chunks,
//! and a body that ends with its connection, which `awc` 3.11 takes for an empty one.
//!
//! For servers it tracks client connections until their last byte is written, so that a stop cuts off
//! no request that is being read and no response that is being written.
//!
//! A pool and its connections belong to one thread, and so do client connections.

pub mod backlog;
pub mod connections;
mod joined;
pub mod pool;
mod socket;

/// Re-exports of the commonly used items.
pub mod prelude {
    pub use crate::pool::{ConnectionPool, Reuse, SendError, StreamingResponse};
}
