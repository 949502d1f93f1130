//! API keys of callers: parsing, text form and stored hash.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Fixed prefix of every key, which lets secret scanners find leaked keys.
const KEY_PREFIX: &str = "kc_";

const SECRET_BYTES: usize = 24;

/// API key as a caller sends it: `kc_<id>_<secret>`.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey {
    text: String,
    /// Byte offset in `text` at which the identifier ends.
    id_end: usize,
}

impl CallerKey {
    /// Creates a key from an identifier and 24 random bytes, which are written in hexadecimal.
    pub fn new(id: &str, secret: [u8; SECRET_BYTES]) -> Self {
        let mut text = format!("{KEY_PREFIX}{id}_");
        let id_end = text.len() - 1;
        text.extend(secret.iter().map(|it| format!("{it:02x}")));
        Self { text, id_end }
    }

    /// Parses the token of an `Authorization: Bearer` header.
    ///
    /// The identifier may contain underscores: the secret begins after the last one. Only the form
    /// is checked; [`Snapshot::authenticate`](crate::Snapshot::authenticate) checks the secret.
    pub fn parse(text: &str) -> Result<Self, KeyParseError> {
        let rest = text.strip_prefix(KEY_PREFIX).ok_or(KeyParseError::MissingPrefix)?;
        let (id, secret) = rest.rsplit_once('_').ok_or(KeyParseError::Malformed)?;
        if id.is_empty() || secret.is_empty() {
            return Err(KeyParseError::Malformed);
        }
        Ok(Self { text: text.to_owned(), id_end: KEY_PREFIX.len() + id.len() })
    }

    /// Returns the public identifier, which is safe to log.
    pub fn id(&self) -> &str {
        &self.text[KEY_PREFIX.len()..self.id_end]
    }

    /// Returns the SHA-256 of the whole key, which is stored in place of the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash(Sha256::digest(self.text.as_bytes()).into())
    }

    /// Returns the whole key, secret included, to show once to the operator who issued it.
    pub fn reveal(&self) -> &str {
        &self.text
    }
}

impl fmt::Debug for CallerKey {
    /// Omits the secret, so that it cannot reach a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerKey({})", self.id())
    }
}

/// Error of [`CallerKey::parse`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyParseError {
    /// The text does not start with `kc_`.
    MissingPrefix,
    /// The identifier or the secret is missing or empty.
    Malformed,
}

impl fmt::Display for KeyParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingPrefix => write!(f, "key does not start with `{KEY_PREFIX}`"),
            Self::Malformed => write!(f, "key does not have the form `{KEY_PREFIX}<id>_<secret>`"),
        }
    }
}

impl std::error::Error for KeyParseError {}

/// SHA-256 of a whole key. The secret is random, so the hash needs no salt.
#[derive(Clone, Copy)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Compares two hashes in constant time, so that timing reveals nothing about the stored hash.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        self.matches(other)
    }
}

impl Eq for KeyHash {}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|it| write!(f, "{it:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let invalid = || D::Error::custom("expected 64 hexadecimal digits of a SHA-256 hash");
        if text.len() != 64 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; 32];
        for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| invalid())?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}
