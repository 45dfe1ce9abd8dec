//! Keys of links: who holds one may speak in that role.

use std::fmt;

use thiserror::Error;

/// The least length of a key's text, in bytes.
pub const MIN_KEY: usize = 16;

/// In which role a process opens a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// An entry speaking to an entry.
    Peer = 0,
    /// An agent, or an entry speaking to an agent.
    Agent = 1,
}

/// A shared secret of links.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

/// A key that is too short to be a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a key has at least {MIN_KEY} characters: make one with 'openssl rand -hex 32' or alike")]
pub struct ShortKey;

impl Key {
    /// The key made of `text`, as read from a key file.
    ///
    /// # Errors
    /// [`ShortKey`] under [`MIN_KEY`] bytes.
    pub fn of(text: &str) -> Result<Self, ShortKey> {
        let text = text.trim();
        if text.len() < MIN_KEY {
            return Err(ShortKey);
        }
        Ok(Self(blake3::derive_key(
            "filbertstack 2026 link key",
            text.as_bytes(),
        )))
    }

    /// The keyed hash of `parts`, each preceded by its length.
    pub fn mac(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    /// The key for one direction of one connection.
    pub(crate) fn derive(&self, parts: &[&[u8]]) -> Self {
        Self(*self.mac(parts).as_bytes())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The keys that a process accepts, by role.
#[derive(Clone, Debug, Default)]
pub struct Keyring {
    /// The key between entries; an agent has none.
    pub peer: Option<Key>,
    /// The key on links with agents.
    pub agent: Option<Key>,
}

impl Keyring {
    /// The key of `role`, if this process holds it.
    pub const fn get(&self, role: Role) -> Option<&Key> {
        match role {
            Role::Peer => self.peer.as_ref(),
            Role::Agent => self.agent.as_ref(),
        }
    }
}
