//! Tasks that run the outgoing and incoming links.

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use log::{debug, warn};
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use apricotwell_messages::Envelope;
use apricotwell_types::Map;

use crate::handshake;
use crate::secret::{LinkSecret, MAC_BYTES, SessionKey};

/// Maximum length of a frame.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Messages queued for one link; further ones are dropped.
const MAX_QUEUED: usize = 1024;
/// Time between two keepalive bytes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a keepalive byte, or spent in one write, after which a link is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the connection and the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next attempt after a failed connection or accept.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time without a message after which the sender closes a link.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Outgoing links, one per address, opened on first use.
pub struct PeerLinks {
    secret: LinkSecret,
    links: Map<String, mpsc::Sender<Envelope>>,
}

impl PeerLinks {
    /// Returns an empty set of links.
    pub fn new(secret: LinkSecret) -> Self {
        Self {
            secret,
            links: Map::default(),
        }
    }

    /// Sends a message to the peer at `address`, or drops it if the link's queue is full.
    pub fn send(&mut self, address: &str, envelope: Envelope) {
        let known = self.links.get(address).filter(|link| !link.is_closed());
        let link = match known {
            Some(link) => link.clone(),
            None => self.open(address),
        };
        if link.try_send(envelope).is_err() {
            debug!("message to {address} dropped: the queue of its link is full");
        }
    }

    fn open(&mut self, address: &str) -> mpsc::Sender<Envelope> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        self.links.insert(address.to_owned(), sender.clone());
        tokio::task::spawn_local(run_link(address.to_owned(), self.secret.clone(), receiver));
        sender
    }
}

async fn run_link(address: String, secret: LinkSecret, mut queue: mpsc::Receiver<Envelope>) {
    loop {
        match connect(&address, &secret).await {
            Ok((stream, key)) => match send_messages(stream, key, &mut queue).await {
                Ok(()) => return,
                Err(error) => debug!("link to {address} failed: {error}"),
            },
            Err(error) => debug!("can't open a link to {address}: {error}"),
        }
        sleep(RECONNECT_DELAY).await;
        // Messages queued while the peer was unreachable are stale: probes and requests are sent
        // again.
        while queue.try_recv().is_ok() {}
        if queue.is_closed() {
            return;
        }
    }
}

async fn connect(address: &str, secret: &LinkSecret) -> io::Result<(TcpStream, SessionKey)> {
    let attempt = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let key = handshake::connect(&mut stream, secret).await?;
        Ok((stream, key))
    };
    match timeout(CONNECT_TIMEOUT, attempt).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

// Sends queued messages. Returns `Ok` when the link is closed because it was idle.
async fn send_messages(
    stream: TcpStream,
    mut key: SessionKey,
    queue: &mut mpsc::Receiver<Envelope>,
) -> io::Result<()> {
    let (mut keepalives, writer) = stream.into_split();
    let mut frames = FramedWrite::new(writer, codec());
    let mut check = interval(KEEPALIVE_INTERVAL);
    let mut last_keepalive = Instant::now();
    let mut last_message = Instant::now();
    let mut buffer = [0; 64];
    loop {
        tokio::select! {
            message = queue.recv() => {
                let Some(envelope) = message else { return Ok(()) };
                last_message = Instant::now();
                let frame = encode_frame(&mut key, &envelope);
                timeout(KEEPALIVE_TIMEOUT, frames.send(frame)).await??;
            }
            read = keepalives.read(&mut buffer) => {
                if read? == 0 {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                last_keepalive = Instant::now();
            }
            _ = check.tick() => {
                if last_keepalive.elapsed() > KEEPALIVE_TIMEOUT {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                if last_message.elapsed() > IDLE_TIMEOUT {
                    queue.close();
                    return Ok(());
                }
            }
        }
    }
}

/// Accepts links and passes each received message to `deliver`.
pub async fn listen<F>(listener: TcpListener, secret: LinkSecret, deliver: F)
where
    F: Fn(Envelope) + Clone + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let secret = secret.clone();
                let deliver = deliver.clone();
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(stream, &secret, deliver).await {
                        debug!("link from {address} closed: {error}");
                    }
                });
            }
            Err(error) => {
                warn!(
                    "can't accept a link: {error}; raise the limit of open files if this persists"
                );
                sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

async fn serve<F>(mut stream: TcpStream, secret: &LinkSecret, deliver: F) -> io::Result<()>
where
    F: Fn(Envelope),
{
    stream.set_nodelay(true)?;
    let handshake_result = timeout(CONNECT_TIMEOUT, handshake::accept(&mut stream, secret)).await;
    let mut key = handshake_result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let (reader, mut keepalives) = stream.into_split();
    let mut frames = FramedRead::new(reader, codec());
    let mut keepalive = interval(KEEPALIVE_INTERVAL);
    loop {
        tokio::select! {
            frame = frames.next() => {
                let Some(frame) = frame else { return Ok(()) };
                deliver(decode_frame(&mut key, frame?)?);
            }
            _ = keepalive.tick() => {
                timeout(KEEPALIVE_TIMEOUT, keepalives.write_all(&[1])).await??;
            }
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn encode_frame(key: &mut SessionKey, envelope: &Envelope) -> Bytes {
    let payload = envelope.to_bytes();
    let mut frame = BytesMut::with_capacity(MAC_BYTES + payload.len());
    frame.put_slice(&key.next_mac(&payload));
    frame.put_slice(&payload);
    frame.freeze()
}

fn decode_frame(key: &mut SessionKey, frame: BytesMut) -> io::Result<Envelope> {
    let invalid = |reason: &str| io::Error::new(io::ErrorKind::InvalidData, reason.to_owned());
    if frame.len() < MAC_BYTES {
        return Err(invalid("the frame is too short"));
    }
    let (mac, payload) = frame.split_at(MAC_BYTES);
    if !bool::from(key.next_mac(payload).ct_eq(mac)) {
        return Err(invalid("the MAC of the frame is wrong"));
    }
    Envelope::from_bytes(payload).ok_or_else(|| invalid("the frame is not a message"))
}
