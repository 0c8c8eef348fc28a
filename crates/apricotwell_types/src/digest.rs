//! Digests of secrets and request bodies.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest of a client's API key.
///
/// # Invariants
///
/// Does not reveal the key: keys are random and have at least 128 bits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key that a client sent.
    pub fn of_secret(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Returns the digest as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Compares with a key in constant time.
    pub fn matches(&self, secret: &str) -> bool {
        self.equals(&Self::of_secret(secret))
    }

    /// Compares two digests in constant time.
    pub fn equals(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Digest of an organisation and a request body.
///
/// Requests of one organisation with equal bodies have the same digest, whatever their request ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyDigest(pub [u8; 16]);

impl BodyDigest {
    /// Returns the digest of a `body` that `org` sent.
    pub fn of_body(org: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update((org.len() as u64).to_le_bytes());
        hash.update(org.as_bytes());
        hash.update(body);
        let full: [u8; 32] = hash.finalize().into();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&full[..16]);
        Self(bytes)
    }

    /// Returns the first 64 bits, for tables in which a rare collision does little harm.
    pub fn short(self) -> u64 {
        let (first, _) = self.0.split_at(size_of::<u64>());
        first
            .iter()
            .fold(0, |bits, byte| bits << 8 | u64::from(*byte))
    }

    /// Returns the digest as 32 hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Parses 32 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; 16];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Converts from the bytes in a record; `None` unless there are 16.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }
}
