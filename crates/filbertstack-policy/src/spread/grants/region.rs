//! The state of each chunk in one region: queued, granted, arrived or lost.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertstack_core::Digest;
use filbertstack_core::Millis;

use crate::spread::plan::TargetKey;

/// A target that takes this many times the smoothed time of all targets gets no further grants
/// while other targets can take them.
const SLOW_FACTOR: u64 = 3;

/// The divisor of the moving average: the newest time counts for one eighth.
const SMOOTHING: u64 = 8;

/// The state of a chunk's import into a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Import {
    /// The chunk waits for a grant.
    Queued,
    /// A target has a grant to fetch the chunk.
    Granted {
        /// The target, or `None` if an earlier leader issued the grant.
        to: Option<TargetKey>,
        /// The time at which the grant was issued.
        since: Millis,
        /// The time at which the grant expires.
        until: Millis,
    },
    /// A target has fetched the chunk into the region.
    Arrived {
        /// The target.
        by: TargetKey,
        /// The time at which the target had the chunk.
        at: Millis,
        /// The time of the first request for the chunk since it arrived, and the number of
        /// requests.
        asked: Option<(Millis, u32)>,
    },
    /// The target that fetched the chunk is gone. Other targets may have a copy from it.
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    key: TargetKey,
    /// The number of grants that the member holds.
    outstanding: usize,
    slow: bool,
}

#[derive(Debug)]
pub(super) struct Region {
    members: Vec<Member>,
    imports: BTreeMap<Digest, Import>,
    queue: VecDeque<Digest>,
    outstanding: usize,
    cursor: usize,
    mean_time: Option<u64>,
}

impl Region {
    pub(super) fn new(chunks: impl Iterator<Item = Digest>) -> Self {
        let mut region = Self {
            members: Vec::new(),
            imports: BTreeMap::new(),
            queue: VecDeque::new(),
            outstanding: 0,
            cursor: 0,
            mean_time: None,
        };
        chunks.for_each(|chunk| region.publish(chunk));
        region
    }

    pub(super) fn join(&mut self, key: TargetKey) {
        let (outstanding, slow) = (0, false);
        self.members.push(Member {
            key,
            outstanding,
            slow,
        });
    }

    /// Removes a member. The chunks that it fetched less than `recent` ago are queued again.
    pub(super) fn leave(&mut self, key: TargetKey, now: Millis, recent: Millis) {
        let imports = self.imports.iter();
        let touched: Vec<_> = imports
            .filter_map(|(&chunk, &import)| match import {
                Import::Granted { to, .. } if to == Some(key) => Some((chunk, true)),
                Import::Arrived { by, at, .. } if by == key => {
                    Some((chunk, now.since(at) < recent))
                }
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
            self.outstanding += 1;
        }
    }

    pub(super) fn retire(&mut self, chunk: Digest) {
        self.end_grant(chunk);
        self.imports.remove(&chunk);
        self.queue.retain(|&queued| queued != chunk);
    }

    /// Queues the chunks of expired grants again.
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

    /// Marks the holder of an expired grant as slow, so that it gets further grants last. It would
    /// delay those chunks too.
    fn mark_slow(&mut self, chunk: Digest) {
        let Some(&Import::Granted { to, .. }) = self.imports.get(&chunk) else {
            return;
        };
        let mut members = self.members.iter_mut();
        if let Some(member) = members.find(|member| Some(member.key) == to) {
            member.slow = true;
        }
    }

    /// Puts the chunk at the head of the queue, since chunks that were queued after it have been
    /// granted already.
    fn requeue(&mut self, chunk: Digest) {
        self.end_grant(chunk);
        self.imports.insert(chunk, Import::Queued);
        self.queue.push_front(chunk);
    }

    fn end_grant(&mut self, chunk: Digest) {
        let Some(&Import::Granted { to, .. }) = self.imports.get(&chunk) else {
            return;
        };
        self.outstanding -= 1;
        let mut members = self.members.iter_mut();
        if let Some(member) = members.find(|member| Some(member.key) == to) {
            member.outstanding -= 1;
        }
    }

    pub(super) fn outstanding(&self) -> usize {
        self.outstanding
    }

    pub(super) fn queue(&self) -> impl Iterator<Item = Digest> {
        self.queue.iter().copied()
    }

    /// Selects the target for the next grant. It goes round the members, and prefers fast ones and
    /// those with the fewest grants.
    ///
    /// The step is close to the golden section of the number of members. The few outstanding grants
    /// are thus far apart in the ring, and their chunks spread from distant places.
    pub(super) fn next_target(&mut self) -> Option<TargetKey> {
        let len = self.members.len();
        let step = (len * 5 / 8).max(1);
        let step = (step..=len + 1).find(|&step| gcd(step, len) == 1)?;
        let places = (1..=len).map(|turn| (self.cursor + turn * step) % len);
        let rank = |&at: &usize| (self.members[at].slow, self.members[at].outstanding);
        let at = places.min_by_key(rank)?;
        self.cursor = at;
        Some(self.members[at].key)
    }

    pub(super) fn issue(&mut self, chunk: Digest, to: TargetKey, now: Millis, until: Millis) {
        self.queue.retain(|&queued| queued != chunk);
        let granted = Import::Granted {
            to: Some(to),
            since: now,
            until,
        };
        self.imports.insert(chunk, granted);
        self.outstanding += 1;
        if let Some(member) = self.members.iter_mut().find(|member| member.key == to) {
            member.outstanding += 1;
        }
    }

    /// Returns whether an outstanding or future grant will bring the chunk into the region.
    pub(super) fn is_expected(&self, chunk: Digest) -> bool {
        let import = self.imports.get(&chunk);
        let expected = matches!(import, Some(Import::Queued | Import::Granted { .. }));
        expected && !self.members.is_empty()
    }

    pub(super) fn holder(&self, chunk: Digest) -> Option<TargetKey> {
        match self.imports.get(&chunk) {
            Some(&Import::Arrived { by, .. }) => Some(by),
            _ => None,
        }
    }

    pub(super) fn completed(&mut self, chunk: Digest, by: TargetKey, now: Millis) {
        if let Some(&Import::Granted { to, since, .. }) = self.imports.get(&chunk)
            && to == Some(by)
        {
            self.record_time(by, now.since(since).0);
        }
        if matches!(self.imports.get(&chunk), Some(Import::Arrived { .. })) {
            return;
        }
        self.end_grant(chunk);
        self.queue.retain(|&queued| queued != chunk);
        self.imports.insert(
            chunk,
            Import::Arrived {
                by,
                at: now,
                asked: None,
            },
        );
    }

    fn record_time(&mut self, by: TargetKey, took: u64) {
        let mean_time = self.mean_time.unwrap_or(took);
        let slow = took > SLOW_FACTOR * mean_time.max(1);
        if let Some(member) = self.members.iter_mut().find(|member| member.key == by) {
            member.slow = slow;
        }
        if !slow {
            self.mean_time = Some((mean_time * (SMOOTHING - 1) + took) / SMOOTHING);
        }
    }

    pub(super) fn failed(&mut self, chunk: Digest, by: TargetKey) {
        if let Some(&Import::Granted { to, .. }) = self.imports.get(&chunk)
            && to == Some(by)
        {
            self.requeue(chunk);
        }
    }

    /// Counts a request for the chunk, and returns the state of its import.
    pub(super) fn ask(&mut self, chunk: Digest, now: Millis) -> Import {
        let import = self.imports.entry(chunk).or_insert(Import::Queued);
        if let Import::Arrived { asked, .. } = import {
            let (first, count) = asked.unwrap_or((now, 0));
            *asked = Some((first, count + 1));
        }
        *import
    }

    /// Forgets which target fetched the chunk, because it is about to be fetched again.
    pub(super) fn forget(&mut self, chunk: Digest) {
        self.imports.insert(chunk, Import::Lost);
    }
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}
