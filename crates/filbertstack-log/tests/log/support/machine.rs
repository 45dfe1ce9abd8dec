//! A state machine for tests: a map with idempotent requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use filbertstack_log::StateMachine;

/// Sets `key` to `value`; a repeated request changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Put {
    pub request: u64,
    pub key: u64,
    pub value: u64,
}

impl Put {
    pub fn encode(self) -> Bytes {
        let words = [self.request, self.key, self.value];
        words.iter().flat_map(|w| w.to_le_bytes()).collect()
    }

    pub fn decode(bytes: &[u8]) -> Self {
        let word = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap());
        Self {
            request: word(0),
            key: word(8),
            value: word(16),
        }
    }
}

/// The key at which the state machine panics.
pub const PANIC_KEY: u64 = u64::MAX;

/// The state that the commands produce.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The index at which each request was first applied.
    pub done: BTreeMap<u64, u64>,
    /// The value of each key and the index that set it.
    pub keys: BTreeMap<u64, (u64, u64)>,
}

impl State {
    pub fn put(&mut self, index: u64, put: Put) -> u64 {
        if let Some(first) = self.done.get(&put.request) {
            return *first;
        }
        self.done.insert(put.request, index);
        self.keys.insert(put.key, (put.value, index));
        index
    }
}

/// The state machine; a test can read its state from outside.
#[derive(Clone, Debug, Default)]
pub struct Map(pub Arc<Mutex<State>>);

#[derive(Debug, thiserror::Error)]
#[error("a snapshot of {0} bytes is not a map")]
pub struct NotMap(usize);

impl Map {
    pub fn state(&self) -> State {
        self.0.lock().unwrap().clone()
    }
}

impl StateMachine for Map {
    type Outcome = u64;
    type RestoreError = NotMap;

    fn apply(&mut self, index: u64, command: &[u8]) -> u64 {
        assert_ne!(
            Put::decode(command).key,
            PANIC_KEY,
            "the state machine panics at this key"
        );
        self.0.lock().unwrap().put(index, Put::decode(command))
    }

    fn snapshot(&self) -> Vec<u8> {
        let state = self.0.lock().unwrap();
        let mut words = vec![state.done.len() as u64];
        words.extend(state.done.iter().flat_map(|(r, i)| [*r, *i]));
        words.extend(state.keys.iter().flat_map(|(k, (v, i))| [*k, *v, *i]));
        words.iter().flat_map(|w| w.to_le_bytes()).collect()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), NotMap> {
        let words: Vec<u64> = bytes
            .chunks_exact(8)
            .map(|c| u64::from_le_bytes(c.try_into().unwrap()))
            .collect();
        let (count, rest) = words.split_first().ok_or(NotMap(bytes.len()))?;
        let count = usize::try_from(*count).unwrap() * 2;
        let (done, keys) = rest.split_at(count);
        let mut state = self.0.lock().unwrap();
        state.done = done.chunks_exact(2).map(|p| (p[0], p[1])).collect();
        let keys = keys.chunks_exact(3).map(|k| (k[0], (k[1], k[2])));
        state.keys = keys.collect();
        Ok(())
    }
}
