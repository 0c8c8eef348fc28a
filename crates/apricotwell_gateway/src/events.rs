//! Structured logging: JSON lines on standard output, bounded and non-blocking.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use serde_json::{Map, Value};

/// Limit on the bytes of buffered lines; lines beyond it are dropped and counted.
const BUFFER_BYTES: usize = 256 << 10;
/// Capacity of the channel of batches to the writer thread.
const MAX_BATCHES: usize = 4;
/// Interval between flushes of the buffer.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Non-blocking line writer.
///
/// Lines are collected in a bounded buffer and written in batches by a dedicated thread, so a
/// stalled reader of the output loses lines but never blocks the process.
#[derive(Clone)]
pub struct LineWriter {
    buffer: Arc<Mutex<Vec<u8>>>,
    batches: SyncSender<Vec<u8>>,
    // Number of batches sent to the writer thread and not yet written.
    pending: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread that writes to `output`.
    pub fn start<W>(mut output: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (batches, receiver) = sync_channel::<Vec<u8>>(MAX_BATCHES);
        let pending = Arc::<AtomicU64>::default();
        let written = Arc::clone(&pending);
        std::thread::spawn(move || {
            for batch in receiver {
                let result = output.write_all(&batch).and_then(|()| output.flush());
                written.fetch_sub(1, Ordering::Release);
                // The output is closed, so the error can't be reported anywhere.
                if result.is_err() {
                    break;
                }
            }
        });
        Self {
            pending,
            buffer: Arc::default(),
            batches,
            dropped: Arc::default(),
        }
    }

    /// Adds a line to the buffer; drops it if the buffer is full.
    pub fn push(&self, line: &str) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.len() + line.len() > BUFFER_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        buffer.extend_from_slice(line.as_bytes());
        buffer.push(b'\n');
    }

    /// Sends the buffered lines to the writer thread; keeps them if its channel is full.
    pub fn flush(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut *buffer);
        self.pending.fetch_add(1, Ordering::Acquire);
        if let Err(
            std::sync::mpsc::TrySendError::Full(batch)
            | std::sync::mpsc::TrySendError::Disconnected(batch),
        ) = self.batches.try_send(batch)
        {
            self.pending.fetch_sub(1, Ordering::Release);
            *buffer = batch;
        }
    }

    /// Returns whether all flushed lines have been written.
    pub fn is_written(&self) -> bool {
        self.pending.load(Ordering::Acquire) == 0
    }

    /// Returns the total number of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Installs a logger that writes the records of this workspace's crates to `lines` as JSON objects.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn init(instance: &str, lines: LineWriter) -> Result<(), log::SetLoggerError> {
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .filter(|metadata| metadata.target().starts_with("apricotwell"))
        .chain(fern::Output::call(move |record| {
            lines.push(&line(&instance, record));
        }))
        .apply()
}

fn line(instance: &str, record: &log::Record<'_>) -> String {
    let at = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let text = record.args().to_string();
    // Events are already JSON objects; any other record is a plain message.
    match text.strip_prefix('{') {
        Some(rest) => format!(
            r#"{{"at_ms":{},"instance":"{instance}",{rest}"#,
            at.as_millis()
        ),
        None => {
            let text = Value::String(text);
            format!(
                r#"{{"at_ms":{},"instance":"{instance}","event":"note","message":{text}}}"#,
                at.as_millis()
            )
        }
    }
}

/// Builder of the log line of one event.
#[derive(Debug)]
pub struct Event {
    fields: Map<String, Value>,
}

impl Event {
    /// Creates an event with a name and no other fields.
    pub fn new(name: &str) -> Self {
        let mut fields = Map::new();
        fields.insert("event".to_owned(), name.into());
        Self { fields }
    }

    /// Adds a field.
    pub fn with<V>(mut self, name: &str, value: V) -> Self
    where
        V: Into<Value>,
    {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Adds a duration in milliseconds.
    pub fn with_time(self, name: &str, time: Duration) -> Self {
        self.with(name, time.as_millis() as u64)
    }

    /// Adds a duration in milliseconds, or no value.
    pub fn with_optional_time(self, name: &str, time: Option<Duration>) -> Self {
        self.with(name, time.map(|time| time.as_millis() as u64))
    }

    /// Logs the event.
    pub fn log(self) {
        log::info!("{}", Value::Object(self.fields));
    }
}
