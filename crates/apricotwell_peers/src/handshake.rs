//! Proof of the secret by both ends.

use std::io;

use rand::RngCore;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::secret::{LinkSecret, SessionKey};

const NONCE_BYTES: usize = 16;
const PROOF_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];

/// Proves the secret as the end that connected.
pub(crate) async fn connect(stream: &mut TcpStream, secret: &LinkSecret) -> io::Result<SessionKey> {
    let own = fresh_nonce();
    let mut other: Nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut other).await?;
    stream.write_all(&own).await?;
    stream
        .write_all(&secret.mac(&[b"connect", &other, &own]))
        .await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    check(&proof, &secret.mac(&[b"accept", &other, &own]))?;
    Ok(SessionKey::new(secret.mac(&[b"frames", &other, &own])))
}

/// Proves the secret as the end that was connected to, once the other one has.
pub(crate) async fn accept(stream: &mut TcpStream, secret: &LinkSecret) -> io::Result<SessionKey> {
    let own = fresh_nonce();
    stream.write_all(&own).await?;
    let mut other: Nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut other).await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    check(&proof, &secret.mac(&[b"connect", &own, &other]))?;
    stream
        .write_all(&secret.mac(&[b"accept", &own, &other]))
        .await?;
    Ok(SessionKey::new(secret.mac(&[b"frames", &own, &other])))
}

fn check(proof: &[u8; PROOF_BYTES], expected: &[u8; PROOF_BYTES]) -> io::Result<()> {
    if bool::from(proof.ct_eq(expected)) {
        return Ok(());
    }
    Err(io::Error::new(
        io::ErrorKind::PermissionDenied,
        "the peer has another link secret; set [peers] secret alike on all instances",
    ))
}

fn fresh_nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}
