//! The grants to fetch chunks from outside a region.
//!
//! Load pattern: all instances of a pool, or eleven entries on their behalf, want the same chunk
//! and none of them has it. Without grants each would fetch it from the origin, whose link carries
//! four copies in the window. The leader grants each chunk once per region. The grant of one region
//! is for the origin (or the weight store in front of it), and those of the other regions are for
//! an instance that has the chunk. So one copy leaves the origin and one crosses into each further
//! region, whatever the number of targets.
//!
//! Only a few grants are outstanding at a time. If all were outstanding at once, the origin would
//! serve all chunks slowly in parallel, and no chunk could be passed on before the end.

mod region;

use std::collections::BTreeMap;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::declare::Weigh;
use filbertstack_core::names::RegionName;

use crate::spread::plan::TargetKey;

use region::Import;
use region::Region;

/// The maximum number of agents that are referred to the holder of a chunk. Each of them passes
/// the chunk on in turn.
const MAX_REFERRALS: u32 = 2;

/// The limits of the grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantConfig {
    /// The objective of the copy: a short time, or few bytes from the origin.
    pub weigh: Weigh,
    /// The maximum number of outstanding grants in each region.
    pub max_outstanding: usize,
    /// The time that a target has for fetching a granted chunk.
    pub lease: Millis,
}

impl GrantConfig {
    /// Returns the limits for a deployment with this objective.
    ///
    /// Four grants are two transfers on the origin's link, which is twice as fast as an instance's,
    /// and two more on their way. 10 s are a hundred times the transfer time of a 4 MiB chunk at
    /// 320 Mbit/s. When origin bytes weigh more, the lease is three times as long, so that a chunk
    /// is fetched a second time only after that.
    pub fn of(weigh: Weigh) -> Self {
        let lease = match weigh {
            Weigh::Time => Millis::secs(10),
            Weigh::Origin => Millis::secs(30),
        };
        Self {
            weigh,
            max_outstanding: 4,
            lease,
        }
    }
}

/// The source that a grant allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImportSource {
    /// The weight store, or the origin if the store does not have the chunk.
    Origin,
    /// An instance of another region.
    Peer(TargetKey),
}

/// The permission to fetch one chunk into a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The target that may fetch the chunk.
    pub to: TargetKey,
    /// The chunk.
    pub chunk: Digest,
    /// The source of the chunk.
    pub from: ImportSource,
}

/// The reply to an agent that finds no source for a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The agent may fetch the chunk itself.
    Granted(Grant),
    /// This instance holds the chunk, and the agent should use it as an upstream.
    Holder(TargetKey),
    /// The chunk is on its way, and the agent should ask again later.
    Wait {
        /// The time to wait before asking again.
        after: Millis,
    },
    /// No declared version has this chunk.
    Unknown,
}

/// The leader's record of the grants to the targets of one deployment.
#[derive(Debug)]
pub struct Grants {
    config: GrantConfig,
    regions: BTreeMap<RegionName, Region>,
    homes: BTreeMap<TargetKey, RegionName>,
    /// The region that gets each chunk from the origin, if one is chosen already.
    first_regions: BTreeMap<Digest, Option<RegionName>>,
    from_origin: u64,
}

impl Grants {
    /// Creates a record without targets, chunks or grants.
    pub fn new(config: GrantConfig) -> Self {
        Self {
            config,
            regions: BTreeMap::new(),
            homes: BTreeMap::new(),
            first_regions: BTreeMap::new(),
            from_origin: 0,
        }
    }

    /// Adds a target.
    pub fn join(&mut self, target: TargetKey, region: &RegionName) {
        self.homes.insert(target, region.clone());
        let known = &self.first_regions;
        let new_region = || Region::new(known.keys().copied());
        let region = self
            .regions
            .entry(region.clone())
            .or_insert_with(new_region);
        region.join(target);
    }

    /// Removes a target. Its grants pass to other targets.
    ///
    /// Chunks that it fetched a moment ago may be lost with it. If time weighs more, they are
    /// granted again at once. Otherwise all targets would notice the loss at the end of their
    /// copies and wait for the same few chunks together. If origin bytes weigh more, the chunks are
    /// granted only after an agent asks for them.
    pub fn leave(&mut self, target: TargetKey, now: Millis) {
        let recent = match self.config.weigh {
            Weigh::Time => self.config.lease,
            Weigh::Origin => Millis::ZERO,
        };
        let home = self.homes.remove(&target);
        if let Some(region) = home.and_then(|home| self.regions.get_mut(&home)) {
            region.leave(target, now, recent);
        }
    }

    /// Adds the chunks of a version. Known chunks stay as they are.
    pub fn publish(&mut self, chunks: impl IntoIterator<Item = Digest>) {
        for chunk in chunks {
            if self.first_regions.contains_key(&chunk) {
                continue;
            }
            self.first_regions.insert(chunk, None);
            for region in self.regions.values_mut() {
                region.publish(chunk);
            }
        }
    }

    /// Adds the chunks of a version that an earlier leader may have granted already.
    ///
    /// A new leader does not know the earlier grants. It treats each chunk as granted for the
    /// duration of one lease, during which the agents report the chunks that they hold. A change of
    /// leader thus causes no second copy.
    pub fn recover(&mut self, chunks: impl IntoIterator<Item = Digest>, now: Millis) {
        let until = now + self.config.lease;
        for chunk in chunks {
            self.first_regions.entry(chunk).or_insert(None);
            for region in self.regions.values_mut() {
                region.recover(chunk, until);
            }
        }
    }

    /// Removes the chunks of a version that is no longer wanted.
    pub fn retire(&mut self, chunks: impl IntoIterator<Item = Digest>) {
        for chunk in chunks {
            self.first_regions.remove(&chunk);
            for region in self.regions.values_mut() {
                region.retire(chunk);
            }
        }
    }

    /// Returns the grants to send now.
    pub fn grant(&mut self, now: Millis) -> Vec<Grant> {
        let mut grants = Vec::new();
        let names: Vec<_> = self.regions.keys().cloned().collect();
        for name in names {
            self.region(&name).expire(now);
            while let Some(grant) = self.grant_next(&name, now) {
                grants.push(grant);
            }
        }
        grants
    }

    fn region(&mut self, name: &RegionName) -> &mut Region {
        let region = self.regions.get_mut(name);
        region.expect("a region is kept after its first target joined")
    }

    fn grant_next(&mut self, name: &RegionName, now: Millis) -> Option<Grant> {
        let max_outstanding = self.config.max_outstanding;
        if self.region(name).outstanding() >= max_outstanding {
            return None;
        }
        let waiting: Vec<_> = self.region(name).queue().collect();
        let (chunk, from) = waiting
            .into_iter()
            .find_map(|chunk| Some((chunk, self.source(name, chunk)?)))?;
        let to = self.region(name).next_target()?;
        Some(self.issue(name, to, chunk, from, now))
    }

    fn issue(
        &mut self,
        name: &RegionName,
        to: TargetKey,
        chunk: Digest,
        from: ImportSource,
        now: Millis,
    ) -> Grant {
        if from == ImportSource::Origin {
            self.from_origin += 1;
            self.first_regions.insert(chunk, Some(name.clone()));
        }
        let until = now + self.config.lease;
        self.region(name).issue(chunk, to, now, until);
        Grant { to, chunk, from }
    }

    /// Returns the source from which a region may fetch a chunk now, or `None` while another region
    /// is fetching it.
    fn source(&self, name: &RegionName, chunk: Digest) -> Option<ImportSource> {
        let first = self.first_regions.get(&chunk)?;
        if first.as_ref().is_none_or(|first| first == name) {
            return Some(
                self.holder(chunk)
                    .map_or(ImportSource::Origin, ImportSource::Peer),
            );
        }
        let first = first.as_ref().and_then(|first| self.regions.get(first))?;
        if first.is_expected(chunk) {
            return None;
        }
        Some(
            self.holder(chunk)
                .map_or(ImportSource::Origin, ImportSource::Peer),
        )
    }

    /// Returns a live target of any region that has fetched the chunk.
    fn holder(&self, chunk: Digest) -> Option<TargetKey> {
        let mut regions = self.regions.values();
        regions.find_map(|region| region.holder(chunk))
    }

    /// Records that a target holds a chunk.
    pub fn completed(&mut self, chunk: Digest, by: TargetKey, now: Millis) {
        let Some(home) = self.homes.get(&by).cloned() else {
            return;
        };
        if self.first_regions.contains_key(&chunk) {
            self.region(&home).completed(chunk, by, now);
        }
    }

    /// Records that a target could not use its grant.
    pub fn failed(&mut self, chunk: Digest, by: TargetKey) {
        if let Some(home) = self.homes.get(&by).cloned() {
            self.region(&home).failed(chunk, by);
        }
    }

    /// Replies to an agent that finds no source for a chunk.
    ///
    /// If the chunk has arrived, the first agents that ask are referred to the instance that holds
    /// it. The chunk is fetched again only if agents still ask one lease later, because a hundred
    /// agents that ask at once are no stronger sign of a loss than a single one.
    pub fn ask(&mut self, chunk: Digest, by: TargetKey, now: Millis) -> Answer {
        let home = self.homes.get(&by).cloned();
        let (Some(home), true) = (home, self.first_regions.contains_key(&chunk)) else {
            return Answer::Unknown;
        };
        let lease = self.config.lease;
        match self.region(&home).ask(chunk, now) {
            Import::Queued => Answer::Wait { after: lease },
            Import::Granted { until, .. } => Answer::Wait {
                after: until.since(now).max(Millis(1)),
            },
            Import::Arrived {
                by: holder, asked, ..
            } if holder != by => {
                let (first, count) = asked.unwrap_or((now, 0));
                match ((first + lease).since(now), count) {
                    (Millis::ZERO, _) => self.grant_again(&home, chunk, by, now),
                    (_, ..=MAX_REFERRALS) => Answer::Holder(holder),
                    (after, _) => Answer::Wait { after },
                }
            }
            Import::Arrived { .. } | Import::Lost => self.grant_again(&home, chunk, by, now),
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
        Answer::Granted(self.issue(home, by, chunk, from, now))
    }

    /// Returns the number of grants issued for the origin so far.
    pub fn origin_grants(&self) -> u64 {
        self.from_origin
    }
}
