//! The platform's append-only log.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use prost::Message;
use serde::{Deserialize, Serialize};

use apricotwell_http::pool::SendError;
use apricotwell_records::{AppendError, LogBatch, ReadError};
use apricotwell_types::Offset;

use crate::http::{HttpCaller, request};

/// Maximum size of the response to a read.
const MAX_SLICE_BYTES: usize = 16 << 20;
/// Content type of requests.
const CONTENT_TYPE: &str = "application/octet-stream";

/// Append-only log of streams, each with offsets from 1.
pub trait LogStore {
    /// Appends records with consecutive offsets and returns the first one.
    ///
    /// # Errors
    ///
    /// Fails when the records were not appended, or when it is unknown whether they were.
    fn append(
        &self,
        stream: &str,
        records: Vec<Vec<u8>>,
    ) -> impl Future<Output = Result<Offset, AppendError>>;

    /// Reads records starting at `from`, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails when the records have expired or the log does not respond.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<LogBatch, ReadError>>;
}

/// Wire format of an append.
#[derive(Clone, PartialEq, Message)]
pub struct RecordBatch {
    /// Encoded records.
    #[prost(bytes = "vec", repeated, tag = "1")]
    pub records: Vec<Vec<u8>>,
}

/// Wire format of the response to a read.
#[derive(Clone, PartialEq, Message)]
pub struct StreamSlice {
    /// Offset of the first record.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// Offset that the next appended record will have.
    #[prost(uint64, tag = "2")]
    pub end: u64,
    /// Encoded records.
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub records: Vec<Vec<u8>>,
}

/// Wire format of the response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the first record.
    pub first: u64,
}

/// Wire format of the response to a read of expired records.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ExpiredReply {
    /// Offset of the first record that is still stored.
    pub first: u64,
}

/// Accesses the platform's log over HTTP.
#[derive(Clone)]
pub struct HttpLog {
    caller: HttpCaller,
    address: String,
    timeout: Duration,
}

impl HttpLog {
    /// Returns an adapter for the log at `address`.
    ///
    /// An append fails after `timeout`; a read fails after `timeout` plus its `wait`.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            caller: HttpCaller::pooled(),
            address: address.to_owned(),
            timeout,
        }
    }

    /// Returns the URL of a stream.
    pub fn url(&self, stream: &str) -> String {
        format!("http://{}{}", self.address, path(stream))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let request = request(method, (&self.address, path), CONTENT_TYPE, body)?;
        self.caller
            .call(&self.address, request, MAX_SLICE_BYTES)
            .await
    }

    async fn try_append(&self, stream: &str, body: Vec<u8>) -> Result<Offset, AppendError> {
        let (status, body) = match self.call(Method::POST, &path(stream), body).await {
            Ok(reply) => reply,
            Err(SendError::Unsent(_)) => return Err(AppendError::NotAppended),
            Err(SendError::Lost(_) | SendError::Invalid(_)) => return Err(AppendError::Unknown),
        };
        match status {
            StatusCode::OK => serde_json::from_slice::<AppendReply>(&body)
                .map(|reply| reply.first)
                .map_err(|_| AppendError::Unknown),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(AppendError::NotAppended)
            }
            _ => Err(AppendError::Unknown),
        }
    }

    async fn try_read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<LogBatch, ReadError> {
        let wait_ms = wait.as_millis();
        let path = format!("{}?from={from}&wait_ms={wait_ms}", path(stream));
        let reply = self.call(Method::GET, &path, Vec::new()).await;
        let (status, body) = reply.map_err(|_| ReadError::Unreachable)?;
        match status {
            StatusCode::OK => decode_slice(&body, from).ok_or(ReadError::Unreachable),
            StatusCode::GONE => {
                let reply = serde_json::from_slice::<ExpiredReply>(&body);
                let reply = reply.map_err(|_| ReadError::Unreachable)?;
                Err(ReadError::Expired(reply.first))
            }
            _ => Err(ReadError::Unreachable),
        }
    }
}

fn path(stream: &str) -> String {
    format!("/log/{stream}")
}

// Decodes the response to a read from `from`. A message that is cut between two fields decodes as one
// without the later ones, so it counts only if the records that must be there are.
fn decode_slice(body: &[u8], from: Offset) -> Option<LogBatch> {
    let slice = StreamSlice::decode(body).ok()?;
    let misses_records = slice.records.is_empty() && from < slice.end;
    if slice.end == 0 || misses_records {
        return None;
    }
    Some(LogBatch {
        first: slice.first,
        records: slice.records,
        end: slice.end,
    })
}

impl LogStore for HttpLog {
    async fn append(&self, stream: &str, records: Vec<Vec<u8>>) -> Result<Offset, AppendError> {
        let body = RecordBatch { records }.encode_to_vec();
        let append = self.try_append(stream, body);
        match tokio::time::timeout(self.timeout, append).await {
            Ok(result) => result,
            Err(_) => Err(AppendError::Unknown),
        }
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<LogBatch, ReadError> {
        let read = self.try_read(stream, from, wait);
        match tokio::time::timeout(self.timeout + wait, read).await {
            Ok(result) => result,
            Err(_) => Err(ReadError::Unreachable),
        }
    }
}
