//! Keys of links: a process that holds a role's key may open and accept links in that role.

use std::fmt;

use thiserror::Error;

/// The minimum length of a key's text, in bytes.
pub const MIN_KEY_LEN: usize = 16;

/// The role in which a process opens a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// An entry that connects to another entry.
    Peer = 0,
    /// An agent, or an entry that connects to an agent.
    Agent = 1,
}

/// A secret that the two ends of a link share.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

/// A key that is too short to be a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "a key has at least {MIN_KEY_LEN} characters: make one with 'openssl rand -hex 32' or alike"
)]
pub struct ShortKey;

impl Key {
    /// Derives a key from `text`, the content of a key file.
    ///
    /// # Errors
    /// [`ShortKey`] if the trimmed text is shorter than [`MIN_KEY_LEN`] bytes.
    pub fn from_text(text: &str) -> Result<Self, ShortKey> {
        let text = text.trim();
        if text.len() < MIN_KEY_LEN {
            return Err(ShortKey);
        }
        Ok(Self(blake3::derive_key(
            "filbertstack 2026 link key",
            text.as_bytes(),
        )))
    }

    /// Returns the keyed hash of `parts`, each preceded by its length.
    pub fn mac(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    /// Derives the key for one direction of one connection.
    pub(crate) fn derive(&self, parts: &[&[u8]]) -> Self {
        Self(*self.mac(parts).as_bytes())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The keys that a process holds, by role.
#[derive(Clone, Debug, Default)]
pub struct Keyring {
    /// The key of links between entries; an agent has none.
    pub peer: Option<Key>,
    /// The key of links with agents.
    pub agent: Option<Key>,
}

impl Keyring {
    /// Returns the key of `role`, if this process holds it.
    pub const fn get(&self, role: Role) -> Option<&Key> {
        match role {
            Role::Peer => self.peer.as_ref(),
            Role::Agent => self.agent.as_ref(),
        }
    }
}
