//! The platform's append-only log.

use std::future::Future;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use prost::Message;
use serde::{Deserialize, Serialize};

use apricotwell_records::{AppendError, LogBatch, ReadError};
use apricotwell_types::Offset;

/// Maximum size of the response to a read.
const MAX_SLICE_BYTES: usize = 16 << 20;

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
    client: Client,
    address: String,
    timeout: Duration,
}

impl HttpLog {
    /// Returns an adapter for the log at `address`.
    ///
    /// An append fails after `timeout`; a read fails after `timeout` plus its `wait`.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            client: crate::control_client(),
            address: address.to_owned(),
            timeout,
        }
    }

    /// Returns the URL of a stream.
    pub fn url(&self, stream: &str) -> String {
        format!("http://{}/log/{stream}", self.address)
    }

    async fn try_append(&self, stream: &str, body: Vec<u8>) -> Result<Offset, AppendError> {
        let sent = self.client.post(self.url(stream)).send_body(body).await;
        let mut response = match sent {
            Ok(response) => response,
            Err(error) if crate::is_unsent(&error) => return Err(AppendError::NotAppended),
            Err(_) => return Err(AppendError::Unknown),
        };
        match response.status() {
            StatusCode::OK => {
                let reply = response.json::<AppendReply>().await;
                reply
                    .map(|reply| reply.first)
                    .map_err(|_| AppendError::Unknown)
            }
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
        let url = self.url(stream);
        let url = format!("{url}?from={from}&wait_ms={}", wait.as_millis());
        let sent = self.client.get(url).send().await;
        let mut response = sent.map_err(|_| ReadError::Unreachable)?;
        match response.status() {
            StatusCode::OK => {
                let body = response.body().limit(MAX_SLICE_BYTES).await;
                let body = body.map_err(|_| ReadError::Unreachable)?;
                let slice = StreamSlice::decode(body).map_err(|_| ReadError::Unreachable)?;
                Ok(LogBatch {
                    first: slice.first,
                    records: slice.records,
                    end: slice.end,
                })
            }
            StatusCode::GONE => {
                let reply = response.json::<ExpiredReply>().await;
                let reply = reply.map_err(|_| ReadError::Unreachable)?;
                Err(ReadError::Expired(reply.first))
            }
            _ => Err(ReadError::Unreachable),
        }
    }
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
