//! The chunks of one region: which are wanted, on their way, or in.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertstack_core::Digest;
use filbertstack_core::Millis;

use crate::spread::plan::TargetKey;

/// A target that takes this many times the smoothed time of all brings in no further chunks while
/// others can.
const SLOW: u64 = 3;

/// The weight of the newest time: one in eight.
const SMOOTH: u64 = 8;

/// How far a chunk has come into a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Import {
    /// It waits for a grant.
    Queued,
    /// A target is to bring it in.
    Granted {
        /// The target; `None` if an earlier leader granted it.
        to: Option<TargetKey>,
        /// When it was granted.
        since: Millis,
        /// When the grant runs out.
        until: Millis,
    },
    /// A target has brought it in.
    Landed {
        /// The target.
        by: TargetKey,
        /// When it had it.
        at: Millis,
        /// When it was first asked for since, and how often.
        asked: Option<(Millis, u32)>,
    },
    /// The target that had brought it in is gone; others may have got it from there.
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    key: TargetKey,
    /// The grants it holds.
    out: usize,
    slow: bool,
}

#[derive(Debug)]
pub(super) struct Region {
    members: Vec<Member>,
    imports: BTreeMap<Digest, Import>,
    queue: VecDeque<Digest>,
    out: usize,
    cursor: usize,
    pace: Option<u64>,
}

impl Region {
    pub(super) fn new(chunks: impl Iterator<Item = Digest>) -> Self {
        let mut region = Self {
            members: Vec::new(),
            imports: BTreeMap::new(),
            queue: VecDeque::new(),
            out: 0,
            cursor: 0,
            pace: None,
        };
        chunks.for_each(|chunk| region.publish(chunk));
        region
    }

    pub(super) fn join(&mut self, key: TargetKey) {
        let (out, slow) = (0, false);
        self.members.push(Member { key, out, slow });
    }

    /// Removes a member. Chunks that it brought in less than `fresh` ago are queued again.
    pub(super) fn leave(&mut self, key: TargetKey, now: Millis, fresh: Millis) {
        let imports = self.imports.iter();
        let touched: Vec<_> = imports
            .filter_map(|(&chunk, &import)| match import {
                Import::Granted { to, .. } if to == Some(key) => Some((chunk, true)),
                Import::Landed { by, at, .. } if by == key => Some((chunk, now.since(at) < fresh)),
                _ => None,
            })
            .collect();
        for (chunk, again) in touched {
            if again {
                self.requeue(chunk);
            } else {
                self.imports.insert(chunk, Import::Lost);
            }
        }
        self.members.retain(|member| member.key != key);
    }

    pub(super) fn publish(&mut self, chunk: Digest) {
        self.imports.insert(chunk, Import::Queued);
        self.queue.push_back(chunk);
    }

    pub(super) fn recover(&mut self, chunk: Digest, until: Millis) {
        let (to, since) = (None, Millis::ZERO);
        let granted = Import::Granted { to, since, until };
        if self.imports.insert(chunk, granted).is_none() {
            self.out += 1;
        }
    }

    pub(super) fn retire(&mut self, chunk: Digest) {
        self.end_grant(chunk);
        self.imports.remove(&chunk);
        self.queue.retain(|&queued| queued != chunk);
    }

    /// Puts back the chunks whose grants ran out.
    pub(super) fn expire(&mut self, now: Millis) {
        let late =
            |import: &Import| matches!(import, Import::Granted { until, .. } if *until <= now);
        let imports = self.imports.iter();
        let late: Vec<_> = imports
            .filter(|(_, import)| late(import))
            .map(|(&chunk, _)| chunk)
            .collect();
        for chunk in late {
            self.mark_slow(chunk);
            self.requeue(chunk);
        }
    }

    /// Whoever let a grant run out gets the next ones last: it would hold up those too.
    fn mark_slow(&mut self, chunk: Digest) {
        let Some(&Import::Granted { to, .. }) = self.imports.get(&chunk) else {
            return;
        };
        let mut members = self.members.iter_mut();
        if let Some(member) = members.find(|member| Some(member.key) == to) {
            member.slow = true;
        }
    }

    /// The chunk goes to the head: others that came later have been passed on already.
    fn requeue(&mut self, chunk: Digest) {
        self.end_grant(chunk);
        self.imports.insert(chunk, Import::Queued);
        self.queue.push_front(chunk);
    }

    fn end_grant(&mut self, chunk: Digest) {
        let Some(&Import::Granted { to, .. }) = self.imports.get(&chunk) else {
            return;
        };
        self.out -= 1;
        let mut members = self.members.iter_mut();
        if let Some(member) = members.find(|member| Some(member.key) == to) {
            member.out -= 1;
        }
    }

    pub(super) fn out(&self) -> usize {
        self.out
    }

    pub(super) fn queue(&self) -> impl Iterator<Item = Digest> {
        self.queue.iter().copied()
    }

    /// The target for the next grant: round the members, those at speed and free first.
    ///
    /// The step through the members is near the golden section of their number, so that the few
    /// grants out at a time are far apart in the ring and their chunks spread apart.
    pub(super) fn next_target(&mut self) -> Option<TargetKey> {
        let len = self.members.len();
        let step = (len * 5 / 8).max(1);
        let step = (step..=len + 1).find(|&step| gcd(step, len) == 1)?;
        let places = (1..=len).map(|turn| (self.cursor + turn * step) % len);
        let rank = |&at: &usize| (self.members[at].slow, self.members[at].out);
        let at = places.min_by_key(rank)?;
        self.cursor = at;
        Some(self.members[at].key)
    }

    pub(super) fn give(&mut self, chunk: Digest, to: TargetKey, now: Millis, until: Millis) {
        self.queue.retain(|&queued| queued != chunk);
        let granted = Import::Granted {
            to: Some(to),
            since: now,
            until,
        };
        self.imports.insert(chunk, granted);
        self.out += 1;
        if let Some(member) = self.members.iter_mut().find(|member| member.key == to) {
            member.out += 1;
        }
    }

    /// Whether a grant that is out, or still to come, will bring the chunk in.
    pub(super) fn is_expected(&self, chunk: Digest) -> bool {
        let import = self.imports.get(&chunk);
        let expected = matches!(import, Some(Import::Queued | Import::Granted { .. }));
        expected && !self.members.is_empty()
    }

    pub(super) fn holder(&self, chunk: Digest) -> Option<TargetKey> {
        match self.imports.get(&chunk) {
            Some(&Import::Landed { by, .. }) => Some(by),
            _ => None,
        }
    }

    pub(super) fn completed(&mut self, chunk: Digest, by: TargetKey, now: Millis) {
        if let Some(&Import::Granted { to, since, .. }) = self.imports.get(&chunk)
            && to == Some(by)
        {
            self.compare(by, now.since(since).0);
        }
        if matches!(self.imports.get(&chunk), Some(Import::Landed { .. })) {
            return;
        }
        self.end_grant(chunk);
        self.queue.retain(|&queued| queued != chunk);
        self.imports.insert(
            chunk,
            Import::Landed {
                by,
                at: now,
                asked: None,
            },
        );
    }

    fn compare(&mut self, by: TargetKey, took: u64) {
        let pace = self.pace.unwrap_or(took);
        let slow = took > SLOW * pace.max(1);
        if let Some(member) = self.members.iter_mut().find(|member| member.key == by) {
            member.slow = slow;
        }
        if !slow {
            self.pace = Some((pace * (SMOOTH - 1) + took) / SMOOTH);
        }
    }

    pub(super) fn failed(&mut self, chunk: Digest, by: TargetKey) {
        if let Some(&Import::Granted { to, .. }) = self.imports.get(&chunk)
            && to == Some(by)
        {
            self.requeue(chunk);
        }
    }

    /// Counts a request for the chunk; how far it has come.
    pub(super) fn ask(&mut self, chunk: Digest, now: Millis) -> Import {
        let import = self.imports.entry(chunk).or_insert(Import::Queued);
        if let Import::Landed { asked, .. } = import {
            let (first, count) = asked.unwrap_or((now, 0));
            *asked = Some((first, count + 1));
        }
        *import
    }

    /// Forgets who brought the chunk in, for it is to be brought in again.
    pub(super) fn forget(&mut self, chunk: Digest) {
        self.imports.insert(chunk, Import::Lost);
    }
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}
