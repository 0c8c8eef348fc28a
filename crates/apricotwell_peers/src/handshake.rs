//! Mutual authentication of the two ends of a link.
//!
//! Each end sends a random nonce and a MAC over both nonces, which proves that it knows the secret.

use std::io;

use rand::RngCore;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::secret::{LinkSecret, SessionKey};

const NONCE_BYTES: usize = 16;
const PROOF_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];

/// Authenticates the connecting end and then verifies the accepting end.
pub(crate) async fn connect(stream: &mut TcpStream, secret: &LinkSecret) -> io::Result<SessionKey> {
    let own_nonce = random_nonce();
    let mut peer_nonce: Nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut peer_nonce).await?;
    stream.write_all(&own_nonce).await?;
    stream
        .write_all(&secret.mac(&[b"connect", &peer_nonce, &own_nonce]))
        .await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    verify_proof(&proof, &secret.mac(&[b"accept", &peer_nonce, &own_nonce]))?;
    Ok(SessionKey::new(secret.mac(&[
        b"frames",
        &peer_nonce,
        &own_nonce,
    ])))
}

/// Verifies the connecting end and then authenticates the accepting end.
pub(crate) async fn accept(stream: &mut TcpStream, secret: &LinkSecret) -> io::Result<SessionKey> {
    let own_nonce = random_nonce();
    stream.write_all(&own_nonce).await?;
    let mut peer_nonce: Nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut peer_nonce).await?;
    let mut proof = [0; PROOF_BYTES];
    stream.read_exact(&mut proof).await?;
    verify_proof(&proof, &secret.mac(&[b"connect", &own_nonce, &peer_nonce]))?;
    stream
        .write_all(&secret.mac(&[b"accept", &own_nonce, &peer_nonce]))
        .await?;
    Ok(SessionKey::new(secret.mac(&[
        b"frames",
        &own_nonce,
        &peer_nonce,
    ])))
}

fn verify_proof(proof: &[u8; PROOF_BYTES], expected: &[u8; PROOF_BYTES]) -> io::Result<()> {
    if bool::from(proof.ct_eq(expected)) {
        return Ok(());
    }
    Err(io::Error::new(
        io::ErrorKind::PermissionDenied,
        "the peer uses a different link secret; set the same fleet.link_secret on all instances",
    ))
}

fn random_nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}
