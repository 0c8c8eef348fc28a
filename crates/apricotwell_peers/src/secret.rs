//! The fleet's secret and what is derived from it.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a MAC on each frame.
pub(crate) const MAC_BYTES: usize = 16;
/// Least bytes of a secret.
const MIN_SECRET: usize = 16;

/// Secret that all entry instances of a fleet share.
#[derive(Clone)]
pub struct LinkSecret(Vec<u8>);

/// The secret is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecretError;

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the link secret needs at least {MIN_SECRET} bytes; use a random one"
        )
    }
}

impl std::error::Error for SecretError {}

impl LinkSecret {
    /// Returns the secret.
    ///
    /// # Errors
    ///
    /// Fails when it has fewer than 16 bytes.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        if text.len() < MIN_SECRET {
            return Err(SecretError);
        }
        Ok(Self(text.as_bytes().to_vec()))
    }

    pub(crate) fn mac(&self, parts: &[&[u8]]) -> [u8; 32] {
        mac(&self.0, parts)
    }
}

impl fmt::Debug for LinkSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkSecret(..)")
    }
}

/// Key of one link and the number of its next frame.
pub(crate) struct SessionKey {
    key: [u8; 32],
    number: u64,
}

impl SessionKey {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key, number: 0 }
    }

    /// Returns the MAC of the next frame.
    pub(crate) fn next_mac(&mut self, payload: &[u8]) -> [u8; MAC_BYTES] {
        let full = mac(&self.key, &[&self.number.to_le_bytes(), payload]);
        self.number += 1;
        let mut short = [0; MAC_BYTES];
        short.copy_from_slice(&full[..MAC_BYTES]);
        short
    }
}

fn mac(key: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    // HMAC takes keys of any length.
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else {
        return [0; 32];
    };
    for part in parts {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}
