//! Links as tasks.

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

/// Largest frame.
const MAX_FRAME: usize = 4 << 20;
/// Messages that wait for one link; further ones are lost.
const MAX_WAITING: usize = 1024;
/// Time between two pulses.
const PULSE: Duration = Duration::from_millis(500);
/// Time without a pulse after which a link is replaced.
const SILENCE: Duration = Duration::from_secs(2);
/// Time in which a link must come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Time without a message after which a link is closed.
const IDLE: Duration = Duration::from_secs(30);

/// Outgoing links, one for each address, opened when they are first used.
pub struct PeerLinks {
    secret: LinkSecret,
    links: Map<String, mpsc::Sender<Envelope>>,
}

impl PeerLinks {
    /// Returns no links yet.
    pub fn new(secret: LinkSecret) -> Self {
        Self {
            secret,
            links: Map::default(),
        }
    }

    /// Sends a message to the peer at `address`; it is lost when the link can't keep up.
    pub fn send(&mut self, address: &str, envelope: Envelope) {
        let known = self.links.get(address).filter(|link| !link.is_closed());
        let link = match known {
            Some(link) => link.clone(),
            None => self.open(address),
        };
        if link.try_send(envelope).is_err() {
            debug!("message to {address} lost: its link is full");
        }
    }

    fn open(&mut self, address: &str) -> mpsc::Sender<Envelope> {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        self.links.insert(address.to_owned(), sender.clone());
        tokio::task::spawn_local(run_link(address.to_owned(), self.secret.clone(), receiver));
        sender
    }
}

async fn run_link(address: String, secret: LinkSecret, mut waiting: mpsc::Receiver<Envelope>) {
    loop {
        match connect(&address, &secret).await {
            Ok((stream, key)) => match feed(stream, key, &mut waiting).await {
                Ok(()) => return,
                Err(error) => debug!("link to {address} broke: {error}"),
            },
            Err(error) => debug!("no link to {address}: {error}"),
        }
        sleep(RECONNECT_PAUSE).await;
        // What waited while the peer was away is stale: probes and asks are sent anew.
        while waiting.try_recv().is_ok() {}
        if waiting.is_closed() {
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

// Returns `Ok` when the link has been idle and is closed on purpose.
async fn feed(
    stream: TcpStream,
    mut key: SessionKey,
    waiting: &mut mpsc::Receiver<Envelope>,
) -> io::Result<()> {
    let (mut pulses, writer) = stream.into_split();
    let mut frames = FramedWrite::new(writer, codec());
    let mut check = interval(PULSE);
    let mut last_pulse = Instant::now();
    let mut last_message = Instant::now();
    let mut buffer = [0; 64];
    loop {
        tokio::select! {
            message = waiting.recv() => {
                let Some(envelope) = message else { return Ok(()) };
                last_message = Instant::now();
                let frame = seal(&mut key, &envelope);
                timeout(SILENCE, frames.send(frame)).await??;
            }
            read = pulses.read(&mut buffer) => {
                if read? == 0 {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                last_pulse = Instant::now();
            }
            _ = check.tick() => {
                if last_pulse.elapsed() > SILENCE {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                if last_message.elapsed() > IDLE {
                    waiting.close();
                    return Ok(());
                }
            }
        }
    }
}

/// Accepts links and passes each message that comes on them to `deliver`.
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
                        debug!("link from {address} ended: {error}");
                    }
                });
            }
            Err(error) => {
                warn!("no link accepted: {error}; raise the limit of open files if it persists");
                sleep(RECONNECT_PAUSE).await;
            }
        }
    }
}

async fn serve<F>(mut stream: TcpStream, secret: &LinkSecret, deliver: F) -> io::Result<()>
where
    F: Fn(Envelope),
{
    stream.set_nodelay(true)?;
    let shaken = timeout(CONNECT_TIMEOUT, handshake::accept(&mut stream, secret)).await;
    let mut key = shaken.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let (reader, mut pulses) = stream.into_split();
    let mut frames = FramedRead::new(reader, codec());
    let mut pulse = interval(PULSE);
    loop {
        tokio::select! {
            frame = frames.next() => {
                let Some(frame) = frame else { return Ok(()) };
                deliver(unseal(&mut key, frame?)?);
            }
            _ = pulse.tick() => {
                timeout(SILENCE, pulses.write_all(&[1])).await??;
            }
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

fn seal(key: &mut SessionKey, envelope: &Envelope) -> Bytes {
    let payload = envelope.to_bytes();
    let mut frame = BytesMut::with_capacity(MAC_BYTES + payload.len());
    frame.put_slice(&key.next_mac(&payload));
    frame.put_slice(&payload);
    frame.freeze()
}

fn unseal(key: &mut SessionKey, frame: BytesMut) -> io::Result<Envelope> {
    let bad = |reason: &str| io::Error::new(io::ErrorKind::InvalidData, reason.to_owned());
    if frame.len() < MAC_BYTES {
        return Err(bad("a frame is too short"));
    }
    let (mac, payload) = frame.split_at(MAC_BYTES);
    if !bool::from(key.next_mac(payload).ct_eq(mac)) {
        return Err(bad("a frame has a wrong MAC"));
    }
    Envelope::from_bytes(payload).ok_or_else(|| bad("a frame is no message"))
}
