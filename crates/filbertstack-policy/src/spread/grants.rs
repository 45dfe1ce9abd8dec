//! Who may bring a chunk in from outside of a region.
//!
//! Load pattern: all instances of a pool, or eleven entries on their behalf, want the same chunk
//! and none of them has it. Without a grant each would pull it from the origin, whose link carries
//! four copies in the window. The leader grants each chunk once a region: one region's grant is
//! for the origin (or the weight store before it), the others' for an instance that has it. So one
//! copy leaves the origin and one crosses into each further region, whatever the number of targets.
//!
//! A few grants are out at a time. With all of them out at once the origin would serve all chunks
//! slowly together and none could be passed on before the end.

mod region;

use std::collections::BTreeMap;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::declare::Weigh;
use filbertstack_core::names::RegionName;

use crate::spread::plan::TargetKey;

use region::Import;
use region::Region;

/// The agents that are sent to one that brought a chunk in: each passes it on in turn.
const SENT: u32 = 2;

/// The limits of the grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantConfig {
    /// What the copy is planned for.
    pub weigh: Weigh,
    /// The grants out at a time in each region.
    pub window: usize,
    /// How long a target may take to bring a chunk in.
    pub lease: Millis,
}

impl GrantConfig {
    /// The figures for a deployment.
    ///
    /// Four grants are two transfers on the origin's link, which is twice an instance's, and as
    /// many on their way. 10 s are a hundred times the time of a chunk of 4 MiB at 320 Mbit/s.
    /// Who weighs origin bytes waits three times as long before a chunk is pulled a second time.
    pub fn of(weigh: Weigh) -> Self {
        let lease = match weigh {
            Weigh::Time => Millis::secs(10),
            Weigh::Origin => Millis::secs(30),
        };
        Self {
            weigh,
            window: 4,
            lease,
        }
    }
}

/// Where a grant lets its holder get the chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImportFrom {
    /// The weight store, or the origin if the store has it not.
    Origin,
    /// An instance of another region.
    Peer(TargetKey),
}

/// The permission to bring one chunk into a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Who may.
    pub to: TargetKey,
    /// The chunk.
    pub chunk: Digest,
    /// From where.
    pub from: ImportFrom,
}

/// What an agent is told that finds a chunk nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It may bring it in itself.
    Granted(Grant),
    /// This instance has brought it in: take it as an upstream.
    Holder(TargetKey),
    /// It is on its way: ask again after this long.
    Wait {
        /// The wait.
        after: Millis,
    },
    /// No version that is declared has this chunk.
    Unknown,
}

/// The grants of one deployment's targets, as the leader keeps them.
#[derive(Debug)]
pub struct Grants {
    config: GrantConfig,
    regions: BTreeMap<RegionName, Region>,
    homes: BTreeMap<TargetKey, RegionName>,
    /// The region that each chunk reaches first.
    chunks: BTreeMap<Digest, Option<RegionName>>,
    origin: u64,
}

impl Grants {
    /// No grants yet.
    pub fn new(config: GrantConfig) -> Self {
        Self {
            config,
            regions: BTreeMap::new(),
            homes: BTreeMap::new(),
            chunks: BTreeMap::new(),
            origin: 0,
        }
    }

    /// Adds a target.
    pub fn join(&mut self, target: TargetKey, region: &RegionName) {
        self.homes.insert(target, region.clone());
        let chunks = &self.chunks;
        let fresh = || Region::new(chunks.keys().copied());
        let region = self.regions.entry(region.clone()).or_insert_with(fresh);
        region.join(target);
    }

    /// Removes a target; what it was to bring in is granted to others.
    ///
    /// Chunks that it brought in a moment ago may be lost with it. Who weighs time has them granted
    /// anew at once: else all targets would find out at the end of their copies and wait for the
    /// same few chunks together. Who weighs origin bytes waits for that.
    pub fn leave(&mut self, target: TargetKey, now: Millis) {
        let fresh = match self.config.weigh {
            Weigh::Time => self.config.lease,
            Weigh::Origin => Millis::ZERO,
        };
        let home = self.homes.remove(&target);
        if let Some(region) = home.and_then(|home| self.regions.get_mut(&home)) {
            region.leave(target, now, fresh);
        }
    }

    /// Adds the chunks of a version; those known already change nothing.
    pub fn publish(&mut self, chunks: impl IntoIterator<Item = Digest>) {
        for chunk in chunks {
            if self.chunks.contains_key(&chunk) {
                continue;
            }
            self.chunks.insert(chunk, None);
            for region in self.regions.values_mut() {
                region.publish(chunk);
            }
        }
    }

    /// Adds the chunks of a version that an earlier leader may have granted already.
    ///
    /// A new leader knows no grant. It takes each chunk as granted until a lease from now, in
    /// which the agents report what has landed; so that a change of leaders costs no second copy.
    pub fn recover(&mut self, chunks: impl IntoIterator<Item = Digest>, now: Millis) {
        let until = now + self.config.lease;
        for chunk in chunks {
            self.chunks.entry(chunk).or_insert(None);
            for region in self.regions.values_mut() {
                region.recover(chunk, until);
            }
        }
    }

    /// Removes the chunks of a version that is wanted no more.
    pub fn retire(&mut self, chunks: impl IntoIterator<Item = Digest>) {
        for chunk in chunks {
            self.chunks.remove(&chunk);
            for region in self.regions.values_mut() {
                region.retire(chunk);
            }
        }
    }

    /// The grants to send now.
    pub fn grant(&mut self, now: Millis) -> Vec<Grant> {
        let mut grants = Vec::new();
        let names: Vec<_> = self.regions.keys().cloned().collect();
        for name in names {
            self.region(&name).expire(now);
            while let Some(grant) = self.grant_one(&name, now) {
                grants.push(grant);
            }
        }
        grants
    }

    fn region(&mut self, name: &RegionName) -> &mut Region {
        let region = self.regions.get_mut(name);
        region.expect("a region stays once a target has joined it")
    }

    fn grant_one(&mut self, name: &RegionName, now: Millis) -> Option<Grant> {
        let window = self.config.window;
        if self.region(name).out() >= window {
            return None;
        }
        let waiting: Vec<_> = self.region(name).queue().collect();
        let (chunk, from) = waiting
            .into_iter()
            .find_map(|chunk| Some((chunk, self.source(name, chunk)?)))?;
        let to = self.region(name).next_target()?;
        Some(self.give(name, to, chunk, from, now))
    }

    fn give(
        &mut self,
        name: &RegionName,
        to: TargetKey,
        chunk: Digest,
        from: ImportFrom,
        now: Millis,
    ) -> Grant {
        if from == ImportFrom::Origin {
            self.origin += 1;
            self.chunks.insert(chunk, Some(name.clone()));
        }
        let until = now + self.config.lease;
        self.region(name).give(chunk, to, now, until);
        Grant { to, chunk, from }
    }

    /// Where a region may get a chunk now; `None` while another region is bringing it in.
    fn source(&self, name: &RegionName, chunk: Digest) -> Option<ImportFrom> {
        let first = self.chunks.get(&chunk)?;
        if first.as_ref().is_none_or(|first| first == name) {
            return Some(
                self.holder(chunk)
                    .map_or(ImportFrom::Origin, ImportFrom::Peer),
            );
        }
        let first = first.as_ref().and_then(|first| self.regions.get(first))?;
        if first.is_expected(chunk) {
            return None;
        }
        Some(
            self.holder(chunk)
                .map_or(ImportFrom::Origin, ImportFrom::Peer),
        )
    }

    /// A live target of any region that has brought the chunk in.
    fn holder(&self, chunk: Digest) -> Option<TargetKey> {
        let mut regions = self.regions.values();
        regions.find_map(|region| region.holder(chunk))
    }

    /// Takes note that a target has the chunk of its grant.
    pub fn completed(&mut self, chunk: Digest, by: TargetKey, now: Millis) {
        let Some(home) = self.homes.get(&by).cloned() else {
            return;
        };
        if self.chunks.contains_key(&chunk) {
            self.region(&home).completed(chunk, by, now);
        }
    }

    /// Takes note that a target could not use its grant.
    pub fn failed(&mut self, chunk: Digest, by: TargetKey) {
        if let Some(home) = self.homes.get(&by).cloned() {
            self.region(&home).failed(chunk, by);
        }
    }

    /// Answers an agent that finds a chunk nowhere.
    ///
    /// The first that ask for a chunk that has landed are sent to the instance that holds it. It
    /// is brought in again only if agents still ask a lease later, for a hundred agents that ask
    /// at once say no more than one.
    pub fn ask(&mut self, chunk: Digest, by: TargetKey, now: Millis) -> Answer {
        let home = self.homes.get(&by).cloned();
        let (Some(home), true) = (home, self.chunks.contains_key(&chunk)) else {
            return Answer::Unknown;
        };
        let lease = self.config.lease;
        match self.region(&home).ask(chunk, now) {
            Import::Queued => Answer::Wait { after: lease },
            Import::Granted { until, .. } => Answer::Wait {
                after: until.since(now).max(Millis(1)),
            },
            Import::Landed {
                by: holder, asked, ..
            } if holder != by => {
                let (first, count) = asked.unwrap_or((now, 0));
                match ((first + lease).since(now), count) {
                    (Millis::ZERO, _) => self.grant_again(&home, chunk, by, now),
                    (_, ..=SENT) => Answer::Holder(holder),
                    (after, _) => Answer::Wait { after },
                }
            }
            Import::Landed { .. } | Import::Lost => self.grant_again(&home, chunk, by, now),
        }
    }

    fn grant_again(
        &mut self,
        home: &RegionName,
        chunk: Digest,
        by: TargetKey,
        now: Millis,
    ) -> Answer {
        self.region(home).forget(chunk);
        let Some(from) = self.source(home, chunk) else {
            let after = self.config.lease;
            return Answer::Wait { after };
        };
        Answer::Granted(self.give(home, by, chunk, from, now))
    }

    /// The grants given for the origin so far.
    pub fn origin_grants(&self) -> u64 {
        self.origin
    }
}
