//! The parts of prompts that were answered with success at this entry.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertstack_core::Millis;

use super::LOSS_KNOWN_AFTER;
use super::Suspect;
use crate::dispatch::TargetId;

/// The number of parts after which a new generation begins. The parts in use fit into one.
const GENERATION_SIZE: usize = 2_048;

/// The most answers whose target may have been lost: those of a second.
const MAX_UNCONFIRMED: usize = 256;

/// An answer that looks complete, as its connection ended after a whole event. So it would if the target had
/// crashed.
#[derive(Clone, Debug)]
pub(super) struct Unconfirmed {
    pub(super) target: TargetId,
    pub(super) suspects: Vec<Suspect>,
    pub(super) ended_at: Millis,
}

/// The answers of one entry, as far as they tell that parts of prompts crash no target.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    current: BTreeMap<Suspect, Millis>,
    previous: BTreeMap<Suspect, Millis>,
    unconfirmed: VecDeque<Unconfirmed>,
}

impl Answers {
    /// Returns the time of the latest answer to a request with a part.
    pub(super) fn latest(&self, part: &Suspect) -> Option<Millis> {
        let latest = self.current.get(part);
        latest.or_else(|| self.previous.get(part)).copied()
    }

    /// Records a complete answer that ended at `at`.
    pub(super) fn record(&mut self, at: Millis, part: Suspect) {
        if self.current.len() >= GENERATION_SIZE && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        let latest = self.current.entry(part).or_insert(at);
        *latest = at.max(*latest);
    }

    /// Records an answer of `target` that looks complete.
    pub(super) fn record_unconfirmed(&mut self, at: Millis, target: &TargetId, of: &[Suspect]) {
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back(Unconfirmed {
            target: target.clone(),
            suspects: of.to_vec(),
            ended_at: at,
        });
    }

    /// Takes the answers of which it must be known by now whether their target was lost.
    pub(super) fn take_due(&mut self, now: Millis) -> Vec<Unconfirmed> {
        let answers = self.unconfirmed.iter();
        let due = answers.take_while(|answer| now.since(answer.ended_at) >= LOSS_KNOWN_AFTER);
        let due = due.count();
        self.unconfirmed.drain(..due).collect()
    }
}
