//! Sets of chunks by their index.

use thiserror::Error;

/// The bits of a word.
const BITS: usize = 64;

/// The index of a chunk in a manifest, or in an agent's catalogue of several.
pub type ChunkIndex = u32;

/// An announced set that does not fit the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a set of {got} bytes does not fit {len} chunks: the sender announces another version")]
pub struct SetError {
    /// The chunks of the version.
    pub len: usize,
    /// The bytes that came.
    pub got: usize,
}

/// A set of chunk indices below a fixed length.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkSet {
    words: Vec<u64>,
    len: usize,
    count: usize,
}

impl ChunkSet {
    /// The empty set of indices below `len`.
    pub fn new(len: usize) -> Self {
        Self {
            words: vec![0; len.div_ceil(BITS)],
            len,
            count: 0,
        }
    }

    /// The set of all indices below `len`.
    pub fn full(len: usize) -> Self {
        let mut set = Self::new(len);
        for at in 0..len {
            set.insert(index(at));
        }
        set
    }

    /// Raises the length to `len`; the new indices are not in the set.
    pub fn grow(&mut self, len: usize) {
        self.len = self.len.max(len);
        self.words.resize(self.len.div_ceil(BITS), 0);
    }

    /// The bound of the indices.
    pub fn len(&self) -> usize {
        self.len
    }

    /// The number of indices in the set.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Whether no index is in the set.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether `chunk` is in the set.
    pub fn contains(&self, chunk: ChunkIndex) -> bool {
        let at = chunk as usize;
        let word = self.words.get(at / BITS);
        word.is_some_and(|word| word >> (at % BITS) & 1 == 1)
    }

    /// Adds `chunk`; false if it was in the set or is out of bounds.
    pub fn insert(&mut self, chunk: ChunkIndex) -> bool {
        let at = chunk as usize;
        if at >= self.len || self.contains(chunk) {
            return false;
        }
        self.words[at / BITS] |= 1 << (at % BITS);
        self.count += 1;
        true
    }

    /// Takes `chunk` out; false if it was not in the set.
    pub fn remove(&mut self, chunk: ChunkIndex) -> bool {
        if !self.contains(chunk) {
            return false;
        }
        let at = chunk as usize;
        self.words[at / BITS] &= !(1 << (at % BITS));
        self.count -= 1;
        true
    }

    /// The indices in the set, rising.
    pub fn iter(&self) -> impl Iterator<Item = ChunkIndex> {
        self.words.iter().enumerate().flat_map(|(at, &word)| Ones {
            word,
            base: index(at * BITS),
        })
    }

    /// The indices in this set, in `wanted` and in neither of the others, rising.
    pub fn useful<'s>(
        &'s self,
        wanted: &'s Self,
        held: &'s Self,
        coming: &'s Self,
    ) -> impl Iterator<Item = ChunkIndex> + 's {
        let sets = self.words.iter().zip(&wanted.words);
        let sets = sets.zip(held.words.iter().zip(&coming.words));
        sets.enumerate()
            .flat_map(|(at, ((has, wants), (held, coming)))| Ones {
                word: has & wants & !held & !coming,
                base: index(at * BITS),
            })
    }

    /// Whether every index of `other` is in this set.
    pub fn covers(&self, other: &Self) -> bool {
        let rest = other.words.iter().enumerate();
        rest.map(|(at, word)| word & !self.words.get(at).copied().unwrap_or(0))
            .all(|missing| missing == 0)
    }

    /// The set as bytes, eight indices in each, the lowest in the lowest bit.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = self.words.iter().flat_map(|word| word.to_le_bytes());
        bytes.take(self.len.div_ceil(8)).collect()
    }

    /// Reads a set of indices below `len`.
    ///
    /// # Errors
    /// [`SetError`] if the bytes are too many or too few, or name an index out of bounds.
    pub fn from_bytes(len: usize, bytes: &[u8]) -> Result<Self, SetError> {
        let wrong = SetError {
            len,
            got: bytes.len(),
        };
        if bytes.len() != len.div_ceil(8) {
            return Err(wrong);
        }
        let mut set = Self::new(len);
        for (at, part) in bytes.chunks(BITS / 8).enumerate() {
            let mut word = [0; BITS / 8];
            word[..part.len()].copy_from_slice(part);
            set.words[at] = u64::from_le_bytes(word);
        }
        let spare = set.words.len() * BITS - len;
        let last = set.words.last().copied().unwrap_or(0);
        if spare > 0 && last >> (BITS - spare) != 0 {
            return Err(wrong);
        }
        set.count = set.iter().count();
        Ok(set)
    }
}

fn index(at: usize) -> ChunkIndex {
    ChunkIndex::try_from(at).unwrap_or(ChunkIndex::MAX)
}

/// The set bits of one word.
struct Ones {
    word: u64,
    base: ChunkIndex,
}

impl Iterator for Ones {
    type Item = ChunkIndex;

    fn next(&mut self) -> Option<ChunkIndex> {
        if self.word == 0 {
            return None;
        }
        let bit = self.word.trailing_zeros();
        self.word &= self.word - 1;
        Some(self.base + bit)
    }
}
