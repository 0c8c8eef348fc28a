//! Log lines: JSON on the standard output, bounded and never blocking.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use serde_json::{Map, Value};

/// Bytes of lines that wait for the writer; further lines are dropped and counted.
const BUFFER_BYTES: usize = 256 << 10;
/// Batches on their way to the writer.
const BATCHES: usize = 4;
/// Time between batches.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Lines on their way to the standard output.
///
/// Lines gather in a bounded buffer and go to a thread of their own in batches, so that a reader who
/// stops reading stops nothing but the lines.
#[derive(Clone)]
pub struct LineWriter {
    buffer: Arc<Mutex<Vec<u8>>>,
    batches: SyncSender<Vec<u8>>,
    // Batches that the writer has not written yet.
    open: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread that writes to `output`.
    pub fn start<W>(mut output: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (batches, receiver) = sync_channel::<Vec<u8>>(BATCHES);
        let open = Arc::<AtomicU64>::default();
        let written = Arc::clone(&open);
        std::thread::spawn(move || {
            for batch in receiver {
                let result = output.write_all(&batch).and_then(|()| output.flush());
                written.fetch_sub(1, Ordering::Release);
                // There is nowhere left to say that the output is gone.
                if result.is_err() {
                    break;
                }
            }
        });
        Self {
            open,
            buffer: Arc::default(),
            batches,
            dropped: Arc::default(),
        }
    }

    /// Adds a line, unless the buffer is full.
    pub fn push(&self, line: &str) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.len() + line.len() > BUFFER_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        buffer.extend_from_slice(line.as_bytes());
        buffer.push(b'\n');
    }

    /// Hands gathered lines to the writer, if it takes any.
    pub fn flush(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut *buffer);
        self.open.fetch_add(1, Ordering::Acquire);
        if let Err(
            std::sync::mpsc::TrySendError::Full(batch)
            | std::sync::mpsc::TrySendError::Disconnected(batch),
        ) = self.batches.try_send(batch)
        {
            self.open.fetch_sub(1, Ordering::Release);
            *buffer = batch;
        }
    }

    /// Returns whether every line that was handed over is written.
    pub fn is_written(&self) -> bool {
        self.open.load(Ordering::Acquire) == 0
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Sends log records of this process to `lines`, one JSON object each.
///
/// # Errors
///
/// Fails when a logger is set already.
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
    // Events are objects already; anything else is a sentence.
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

/// Builds the line of one event.
#[derive(Debug)]
pub struct Event {
    fields: Map<String, Value>,
}

impl Event {
    /// Begins an event.
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

    /// Adds a time in milliseconds.
    pub fn with_time(self, name: &str, time: Duration) -> Self {
        self.with(name, time.as_millis() as u64)
    }

    /// Logs the event.
    pub fn log(self) {
        log::info!("{}", Value::Object(self.fields));
    }
}
