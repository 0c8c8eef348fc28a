//! The fleet's shared secret and the session keys derived from it.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of the truncated MAC of each frame.
pub(crate) const MAC_BYTES: usize = 16;
/// Minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;

/// Secret shared by all entry instances of a fleet.
#[derive(Clone)]
pub struct LinkSecret(Vec<u8>);

/// Error for a secret that is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecretError;

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the link secret needs at least {MIN_SECRET_BYTES} bytes; use a random one"
        )
    }
}

impl std::error::Error for SecretError {}

impl LinkSecret {
    /// Creates the secret from its text.
    ///
    /// # Errors
    ///
    /// Fails when the text has fewer than 16 bytes.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        if text.len() < MIN_SECRET_BYTES {
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

/// Session key of one link and the number of its next frame.
pub(crate) struct SessionKey {
    key: [u8; 32],
    number: u64,
}

impl SessionKey {
    pub(crate) fn new(key: [u8; 32]) -> Self {
        Self { key, number: 0 }
    }

    /// Returns the MAC of the next frame and advances the frame number.
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
