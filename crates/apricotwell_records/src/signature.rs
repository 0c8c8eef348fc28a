//! Signatures of configuration changes and operator tokens.

use std::fmt;

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};

use crate::PutConfig;

/// Secret key with which an operator signs changes and tokens.
pub struct OperatorKey(SigningKey);

impl OperatorKey {
    /// Returns the key for a seed of 32 random bytes.
    pub fn from_seed(seed: [u8; 32]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Parses 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails when the text is not 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Result<Self, SignatureError> {
        let mut seed = [0; 32];
        hex::decode_to_slice(text.trim(), &mut seed).map_err(|_| SignatureError::MalformedKey)?;
        Ok(Self::from_seed(seed))
    }

    /// Returns the public key as 64 hexadecimal digits.
    pub fn public_hex(&self) -> String {
        hex::encode(self.0.verifying_key().to_bytes())
    }

    /// Signs `put` as `writer` and stores the signature in it.
    pub fn sign(&self, writer: &str, put: &mut PutConfig) {
        let text = signed_text(writer, put);
        put.signature = self.0.sign(&text).to_bytes().to_vec();
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey(..)")
    }
}

/// Why a signature was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignatureError {
    /// The text is not a key of 64 hexadecimal digits.
    MalformedKey,
    /// The key did not make this signature over this content, or the token has expired.
    WrongSignature,
}

impl fmt::Display for SignatureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SignatureError::MalformedKey => {
                "the key is not 64 hexadecimal digits: make one with `apricotwell-control operator new`"
            }
            SignatureError::WrongSignature => {
                "the signature does not match: sign with the key registered for this operator"
            }
        })
    }
}

impl std::error::Error for SignatureError {}

/// Signed token that authenticates an operator until it expires.
///
/// Its text form is `NAME.EXPIRY.SIGNATURE`. It proves the operator's identity and grants no
/// permissions.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorToken {
    /// Name of the operator.
    pub name: String,
    /// Expiry in seconds since the Unix epoch.
    pub expires: u64,
    signature: Vec<u8>,
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorToken")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl OperatorToken {
    /// Signs a token.
    pub fn sign(key: &OperatorKey, name: &str, expires: u64) -> Self {
        let signature = key.0.sign(&token_text(name, expires));
        Self {
            name: name.to_owned(),
            expires,
            signature: signature.to_bytes().to_vec(),
        }
    }

    /// Returns the token's text form.
    pub fn to_text(&self) -> String {
        format!(
            "{}.{}.{}",
            self.name,
            self.expires,
            hex::encode(&self.signature)
        )
    }

    /// Parses [`OperatorToken::to_text`]; `None` when the text is not a token.
    pub fn from_text(text: &str) -> Option<Self> {
        let (rest, signature) = text.rsplit_once('.')?;
        let (name, expires) = rest.rsplit_once('.')?;
        Some(Self {
            name: name.to_owned(),
            expires: expires.parse().ok()?,
            signature: hex::decode(signature).ok()?,
        })
    }

    /// Verifies that the owner of the key `public_hex` signed the token and that it is not expired.
    ///
    /// # Errors
    ///
    /// Fails when the key is malformed, the signature does not match or the token has expired.
    pub fn verify(&self, public_hex: &str, now_s: u64) -> Result<(), SignatureError> {
        if now_s >= self.expires {
            return Err(SignatureError::WrongSignature);
        }
        verify_text(
            public_hex,
            &token_text(&self.name, self.expires),
            &self.signature,
        )
    }
}

fn token_text(name: &str, expires: u64) -> Vec<u8> {
    format!("apricotwell operator 1 {} {name} {expires}", name.len()).into_bytes()
}

/// Verifies that the owner of the key `public_hex` signed `put` as `writer`.
///
/// # Errors
///
/// Fails when the key is malformed or the signature does not match.
pub fn verify_put(public_hex: &str, writer: &str, put: &PutConfig) -> Result<(), SignatureError> {
    verify_text(public_hex, &signed_text(writer, put), &put.signature)
}

fn verify_text(public_hex: &str, text: &[u8], signature: &[u8]) -> Result<(), SignatureError> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(public_hex, &mut bytes).map_err(|_| SignatureError::MalformedKey)?;
    let key = VerifyingKey::from_bytes(&bytes).map_err(|_| SignatureError::MalformedKey)?;
    let signature = Signature::from_slice(signature).map_err(|_| SignatureError::WrongSignature)?;
    key.verify(text, &signature)
        .map_err(|_| SignatureError::WrongSignature)
}

// A length precedes each variable part, so that different changes never yield the same text.
fn signed_text(writer: &str, put: &PutConfig) -> Vec<u8> {
    let mut text = b"apricotwell put 1".to_vec();
    for part in [writer, &put.path, put.value.as_deref().unwrap_or("")] {
        text.extend((part.len() as u64).to_le_bytes());
        text.extend(part.as_bytes());
    }
    text.push(u8::from(put.value.is_some()));
    text.extend(put.expected.to_le_bytes());
    text.extend(put.change.to_le_bytes());
    text
}
