//! Sets of chunks, identified by their index.

use thiserror::Error;

/// The number of bits in a word.
const WORD_BITS: usize = 64;

/// The index of a chunk in a manifest, or in an agent's catalogue of several manifests.
pub type ChunkIndex = u32;

/// An announced set does not fit the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a set of {got} bytes does not fit {len} chunks: the sender announces another version")]
pub struct SetError {
    /// The number of chunks of the version.
    pub len: usize,
    /// The number of bytes received.
    pub got: usize,
}

/// A set of chunk indices below an upper bound, stored as a bitmap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkSet {
    words: Vec<u64>,
    len: usize,
    count: usize,
}

impl ChunkSet {
    /// Creates an empty set of indices below `len`.
    pub fn new(len: usize) -> Self {
        Self {
            words: vec![0; len.div_ceil(WORD_BITS)],
            len,
            count: 0,
        }
    }

    /// Creates a set of all indices below `len`.
    pub fn full(len: usize) -> Self {
        let mut set = Self::new(len);
        for at in 0..len {
            set.insert(index(at));
        }
        set
    }

    /// Raises the upper bound to `len`. The new indices are not in the set.
    pub fn grow(&mut self, len: usize) {
        self.len = self.len.max(len);
        self.words.resize(self.len.div_ceil(WORD_BITS), 0);
    }

    /// Returns the upper bound of the indices.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of indices in the set.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns whether `chunk` is in the set.
    pub fn contains(&self, chunk: ChunkIndex) -> bool {
        let at = chunk as usize;
        let word = self.words.get(at / WORD_BITS);
        word.is_some_and(|word| word >> (at % WORD_BITS) & 1 == 1)
    }

    /// Adds `chunk`. Returns false if it was in the set already or is out of bounds.
    pub fn insert(&mut self, chunk: ChunkIndex) -> bool {
        let at = chunk as usize;
        if at >= self.len || self.contains(chunk) {
            return false;
        }
        self.words[at / WORD_BITS] |= 1 << (at % WORD_BITS);
        self.count += 1;
        true
    }

    /// Removes `chunk`. Returns false if it was not in the set.
    pub fn remove(&mut self, chunk: ChunkIndex) -> bool {
        if !self.contains(chunk) {
            return false;
        }
        let at = chunk as usize;
        self.words[at / WORD_BITS] &= !(1 << (at % WORD_BITS));
        self.count -= 1;
        true
    }

    /// Returns the indices in the set in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = ChunkIndex> {
        self.words
            .iter()
            .enumerate()
            .flat_map(|(at, &word)| SetBits {
                word,
                base: index(at * WORD_BITS),
            })
    }

    /// Returns the indices that are in this set and in `wanted`, but neither in `held` nor in
    /// `in_flight`, in ascending order.
    pub fn useful<'s>(
        &'s self,
        wanted: &'s Self,
        held: &'s Self,
        in_flight: &'s Self,
    ) -> impl Iterator<Item = ChunkIndex> + 's {
        let sets = self.words.iter().zip(&wanted.words);
        let sets = sets.zip(held.words.iter().zip(&in_flight.words));
        sets.enumerate()
            .flat_map(|(at, ((has, wants), (held, in_flight)))| SetBits {
                word: has & wants & !held & !in_flight,
                base: index(at * WORD_BITS),
            })
    }

    /// Returns whether this set contains every index of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        let rest = other.words.iter().enumerate();
        rest.map(|(at, word)| word & !self.words.get(at).copied().unwrap_or(0))
            .all(|missing| missing == 0)
    }

    /// Returns the set as a bitmap: eight indices per byte, the lowest index in the lowest bit.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = self.words.iter().flat_map(|word| word.to_le_bytes());
        bytes.take(self.len.div_ceil(8)).collect()
    }

    /// Parses a bitmap of indices below `len`.
    ///
    /// # Errors
    /// Returns [`SetError`] if there are too many or too few bytes, or if an index is out of
    /// bounds.
    pub fn from_bytes(len: usize, bytes: &[u8]) -> Result<Self, SetError> {
        let wrong = SetError {
            len,
            got: bytes.len(),
        };
        if bytes.len() != len.div_ceil(8) {
            return Err(wrong);
        }
        let mut set = Self::new(len);
        for (at, part) in bytes.chunks(WORD_BITS / 8).enumerate() {
            let mut word = [0; WORD_BITS / 8];
            word[..part.len()].copy_from_slice(part);
            set.words[at] = u64::from_le_bytes(word);
        }
        let spare = set.words.len() * WORD_BITS - len;
        let last = set.words.last().copied().unwrap_or(0);
        if spare > 0 && last >> (WORD_BITS - spare) != 0 {
            return Err(wrong);
        }
        set.count = set.iter().count();
        Ok(set)
    }
}

fn index(at: usize) -> ChunkIndex {
    ChunkIndex::try_from(at).unwrap_or(ChunkIndex::MAX)
}

/// Iterates over the set bits of one word.
struct SetBits {
    word: u64,
    base: ChunkIndex,
}

impl Iterator for SetBits {
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
