//! Keys of callers: their text form and the hash that is stored.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Prefix of every key, so that leaked keys can be found by scanners.
const PREFIX: &str = "kc_";

/// Random bytes of a key's secret part.
const SECRET_BYTES: usize = 24;

/// A key as a caller shows it: `kc_<id>_<secret>`.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerKey {
    /// The whole text.
    text: String,
    /// End of the identifier inside the text.
    id_end: usize,
}

impl CallerKey {
    /// Makes a key from an identifier and random bytes.
    pub fn new(id: &str, secret: [u8; SECRET_BYTES]) -> Self {
        let mut text = format!("{PREFIX}{id}_");
        let id_end = text.len() - 1;
        text.extend(secret.iter().map(|it| format!("{it:02x}")));
        Self { text, id_end }
    }

    /// Reads a key from the text of an `Authorization: Bearer` header.
    pub fn parse(text: &str) -> Result<Self, KeyParseError> {
        let rest = text.strip_prefix(PREFIX).ok_or(KeyParseError::MissingPrefix)?;
        let (id, secret) = rest.rsplit_once('_').ok_or(KeyParseError::Malformed)?;
        if id.is_empty() || secret.is_empty() {
            return Err(KeyParseError::Malformed);
        }
        Ok(Self { text: text.to_owned(), id_end: PREFIX.len() + id.len() })
    }

    /// The public identifier, safe to log.
    pub fn id(&self) -> &str {
        &self.text[PREFIX.len()..self.id_end]
    }

    /// The hash that is stored for the key.
    pub fn hash(&self) -> KeyHash {
        KeyHash(Sha256::digest(self.text.as_bytes()).into())
    }

    /// The whole key, to be shown once to the operator who issued it.
    pub fn reveal(&self) -> &str {
        &self.text
    }
}

impl fmt::Debug for CallerKey {
    /// Leaves the secret out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "CallerKey({})", self.id())
    }
}

/// Why a text is not a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyParseError {
    /// The prefix `kc_` is missing.
    MissingPrefix,
    /// The identifier or the secret is missing.
    Malformed,
}

impl fmt::Display for KeyParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingPrefix => write!(f, "key does not start with `{PREFIX}`"),
            Self::Malformed => write!(f, "key does not have the form `{PREFIX}<id>_<secret>`"),
        }
    }
}

impl std::error::Error for KeyParseError {}

/// SHA-256 of a whole key; keys are random, so that no salt is needed.
#[derive(Clone, Copy)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Whether both hashes are equal, in constant time.
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
