//! The plan of the copy of one version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::declare::Weigh;
use filbertstack_core::names::RegionName;
use filbertstack_policy::spread::ChunkSet;
use filbertstack_policy::spread::grants::Answer;
use filbertstack_policy::spread::grants::Grant;
use filbertstack_policy::spread::grants::GrantConfig;
use filbertstack_policy::spread::grants::Grants;
use filbertstack_policy::spread::grants::ImportSource;
use filbertstack_policy::spread::plan::AssignedUpstream;
use filbertstack_policy::spread::plan::Joined;
use filbertstack_policy::spread::plan::Plan;
use filbertstack_policy::spread::plan::PlanConfig;
use filbertstack_policy::spread::plan::Target;
use filbertstack_policy::spread::plan::TargetKey;
use filbertstack_policy::spread::pull::Proximity;
use filbertstack_wire::messages::MANIFEST;
use filbertstack_wire::messages::SpreadCopy;
use filbertstack_wire::messages::SpreadGrant;
use filbertstack_wire::messages::SpreadPart;
use filbertstack_wire::messages::SpreadUpstream;

use crate::members::Member;

/// The number of low bits of a part's number that count the changes within a term; the bits above are
/// the term.
const TERM_SHIFT: u32 = 32;

/// The part of a target in the plan.
#[derive(Debug)]
struct Part {
    key: TargetKey,
    addr: SocketAddr,
    incarnation: u64,
    number: u64,
    grants: BTreeMap<u32, ImportSource>,
    /// The holders of chunks that none of the upstreams in the plan had.
    extra_holders: BTreeSet<TargetKey>,
}

/// The plan of the copy of one version.
///
/// The leader knows the number of chunks of a version, but not their digests. It identifies a chunk by
/// the version and the index of the chunk.
#[derive(Debug)]
pub struct CopyPlan {
    root: Digest,
    chunk_ids: Vec<Digest>,
    chunk_indices: BTreeMap<Digest, u32>,
    plan: Plan,
    chunk_tokens: Grants,
    /// The grants of the manifest, separate from those of the chunks. An agent without the manifest cannot
    /// use a grant of a chunk, and a window full of such grants would block the manifest for ever.
    manifest_tokens: Grants,
    parts: BTreeMap<Arc<str>, Part>,
    names: BTreeMap<TargetKey, Arc<str>>,
    wanted: BTreeSet<Arc<str>>,
    /// The highest number of a removed part. New parts get higher numbers: the same agent may come back,
    /// and must not mistake its new part for the old one.
    last_number: u64,
    /// The target that was recorded as the holder of all chunks.
    full_holder: Option<TargetKey>,
}

impl CopyPlan {
    /// Creates the plan of a copy that has no targets yet.
    pub fn new(root: Digest, term: u64, chunks: u32, weigh: Weigh) -> Self {
        let indexed_ids: Vec<_> = (0..chunks)
            .map(|index| (chunk_id(root, index), index))
            .collect();
        Self {
            root,
            chunk_ids: indexed_ids.iter().map(|(id, _)| *id).collect(),
            chunk_indices: indexed_ids
                .into_iter()
                .chain([(chunk_id(root, MANIFEST), MANIFEST)])
                .collect(),
            plan: Plan::new(PlanConfig::default()),
            chunk_tokens: Grants::new(GrantConfig::of(weigh)),
            manifest_tokens: Grants::new(GrantConfig::of(weigh)),
            parts: BTreeMap::new(),
            names: BTreeMap::new(),
            wanted: BTreeSet::new(),
            last_number: term << TERM_SHIFT,
            full_holder: None,
        }
    }

    /// Makes the chunks available for grants. `granted_since` is the time from which grants of an earlier
    /// leader are assumed; `None` if there are none.
    pub fn publish(&mut self, granted_since: Option<Millis>) {
        let ids = self.chunk_ids.iter().copied();
        let manifest = [chunk_id(self.root, MANIFEST)];
        if let Some(now) = granted_since {
            self.chunk_tokens.recover(ids, now);
            self.manifest_tokens.recover(manifest, now);
        } else {
            self.chunk_tokens.publish(ids);
            self.manifest_tokens.publish(manifest);
        }
    }

    /// Updates the plan to the targets that are to hold the version and those that are live.
    pub fn update(&mut self, wanted: &[Arc<str>], live: &[Member], now: Millis) {
        self.wanted = wanted.iter().cloned().collect();
        let live_by_name: BTreeMap<&str, &Member> = live
            .iter()
            .map(|member| (member.name.as_str(), member))
            .collect();
        let outdated_name = |(name, part): (&Arc<str>, &Part)| {
            let member = live_by_name.get(&**name);
            let same =
                member.is_some_and(|m| (m.addr, m.incarnation) == (part.addr, part.incarnation));
            (!same || !self.wanted.contains(name)).then(|| name.clone())
        };
        let outdated: Vec<_> = self.parts.iter().filter_map(outdated_name).collect();
        for name in outdated {
            self.remove(&name, now);
        }
        let root = self.root;
        for member in live.iter().filter(|member| member.holds(root)) {
            self.add(member);
            self.count_full_holder(member, now);
        }
    }

    /// Records a target that holds all chunks. It can serve all of them, so none has to be imported again.
    fn count_full_holder(&mut self, member: &Member, now: Millis) {
        let Some(part) = self
            .parts
            .get(member.name.as_str())
            .filter(|_| self.full_holder.is_none())
        else {
            return;
        };
        let key = part.key;
        self.full_holder = Some(key);
        for &id in &self.chunk_ids {
            self.chunk_tokens.completed(id, key, now);
        }
        self.record_arrival(key, MANIFEST, now);
    }

    /// Returns whether the target is to hold the version and has no part yet.
    pub fn lacks_part(&self, name: &str) -> bool {
        self.wanted.contains(name) && !self.parts.contains_key(name)
    }

    /// Adds a part for a target that lacks one.
    pub fn add(&mut self, member: &Member) {
        let name = member.name.as_str();
        if !self.lacks_part(name) {
            return;
        }
        let region = region_of(member);
        let Joined { key, relink } = self.plan.join(Target {
            name: member.name.clone(),
            zone: member.zone.clone(),
            region: region.clone(),
        });
        self.chunk_tokens.join(key, &region);
        self.manifest_tokens.join(key, &region);
        let name: Arc<str> = name.into();
        self.names.insert(key, name.clone());
        let part = Part {
            key,
            addr: member.addr,
            incarnation: member.incarnation,
            number: self.last_number + 1,
            grants: BTreeMap::new(),
            extra_holders: BTreeSet::new(),
        };
        self.parts.insert(name, part);
        self.bump_numbers(&relink);
    }

    fn remove(&mut self, name: &str, now: Millis) {
        let Some(part) = self.parts.remove(name) else {
            return;
        };
        self.last_number = self.last_number.max(part.number);
        self.names.remove(&part.key);
        let orphans = self.plan.leave(part.key);
        self.chunk_tokens.leave(part.key, now);
        self.manifest_tokens.leave(part.key, now);
        // `update` can then record another target as the holder of all chunks.
        self.full_holder = self.full_holder.filter(|holder| *holder != part.key);
        for other in self.parts.values_mut() {
            if other.extra_holders.remove(&part.key) {
                other.number += 1;
            }
        }
        self.bump_numbers(&orphans);
    }

    fn bump_numbers(&mut self, keys: &[TargetKey]) {
        for key in keys {
            if let Some(part) = self.part_mut(*key) {
                part.number += 1;
            }
        }
    }

    fn part_mut(&mut self, key: TargetKey) -> Option<&mut Part> {
        self.parts.get_mut(self.names.get(&key)?)
    }

    /// Applies an agent's report of its copy.
    pub fn apply_report(&mut self, member: &Member, report: &SpreadCopy, now: Millis) {
        self.add(member);
        let Some(key) = self.parts.get(member.name.as_str()).map(|part| part.key) else {
            return;
        };
        for &index in &report.landed {
            self.record_arrival(key, index, now);
        }
        if let Ok(held) = ChunkSet::from_bytes(self.chunk_ids.len(), &report.held) {
            for index in held
                .iter()
                .chain((!report.held.is_empty()).then_some(MANIFEST))
            {
                self.record_arrival(key, index, now);
            }
        }
        for &index in &report.failed {
            self.remove_grant(key, index);
            let chunk = chunk_id(self.root, index);
            self.tokens_of(index).failed(chunk, key);
        }
        for &index in &report.wanted {
            self.request_chunk(key, index, now);
        }
    }

    fn record_arrival(&mut self, key: TargetKey, index: u32, now: Millis) {
        self.remove_grant(key, index);
        let chunk = chunk_id(self.root, index);
        self.tokens_of(index).completed(chunk, key, now);
    }

    fn remove_grant(&mut self, key: TargetKey, index: u32) {
        if let Some(part) = self.part_mut(key)
            && part.grants.remove(&index).is_some()
        {
            part.number += 1;
        }
    }

    fn request_chunk(&mut self, key: TargetKey, index: u32, now: Millis) {
        let chunk = chunk_id(self.root, index);
        match self.tokens_of(index).ask(chunk, key, now) {
            Answer::Granted(grant) => self.record_grant(grant),
            Answer::Holder(holder) => {
                if let Some(part) = self.part_mut(key)
                    && part.extra_holders.insert(holder)
                {
                    part.number += 1;
                }
            }
            Answer::Wait { .. } | Answer::Unknown => {}
        }
    }

    /// Issues the grants that are possible now.
    pub fn issue_grants(&mut self, now: Millis) {
        let manifest_grants = self.manifest_tokens.grant(now);
        for grant in manifest_grants
            .into_iter()
            .chain(self.chunk_tokens.grant(now))
        {
            self.record_grant(grant);
        }
    }

    /// Returns the grants that include those of the chunk or manifest at `index`.
    const fn tokens_of(&mut self, index: u32) -> &mut Grants {
        if index == MANIFEST {
            &mut self.manifest_tokens
        } else {
            &mut self.chunk_tokens
        }
    }

    fn record_grant(&mut self, grant: Grant) {
        let Some(&index) = self.chunk_indices.get(&grant.chunk) else {
            return;
        };
        // The grant may have expired for another target; it belongs to the new one now.
        for part in self.parts.values_mut() {
            if part.key != grant.to && part.grants.remove(&index).is_some() {
                part.number += 1;
            }
        }
        if let Some(part) = self.part_mut(grant.to) {
            part.grants.insert(index, grant.from);
            part.number += 1;
        }
    }

    /// Returns the part of a target; `None` if it has none or `number` is the number of its newest part.
    pub fn newer_part(&self, name: &str, number: u64) -> Option<SpreadPart> {
        let part = self.parts.get(name).filter(|part| part.number != number)?;
        let links = self.plan.upstreams(part.key);
        let extra = part
            .extra_holders
            .iter()
            .filter_map(|key| self.extra_upstream(*key));
        let upstreams = links.iter().filter_map(|link| self.upstream(link));
        let grants = part.grants.iter().map(|(&chunk, from)| SpreadGrant {
            chunk,
            peer: match from {
                ImportSource::Origin => String::new(),
                ImportSource::Peer(key) => self.addr(*key).unwrap_or_default(),
            },
        });
        Some(SpreadPart {
            digest: self.root.to_vec(),
            number: part.number,
            upstreams: upstreams.chain(extra).collect(),
            grants: grants.collect(),
        })
    }

    fn addr(&self, key: TargetKey) -> Option<String> {
        let part = self.parts.get(self.names.get(&key)?)?;
        Some(part.addr.to_string())
    }

    fn upstream(&self, link: &AssignedUpstream) -> Option<SpreadUpstream> {
        Some(SpreadUpstream {
            addr: self.addr(link.target)?,
            region: link.position.proximity == Proximity::Region,
            place: link.position.place,
            places: link.position.places,
        })
    }

    fn extra_upstream(&self, key: TargetKey) -> Option<SpreadUpstream> {
        Some(SpreadUpstream {
            addr: self.addr(key)?,
            region: true,
            place: 0,
            places: 1,
        })
    }
}

fn region_of(member: &Member) -> RegionName {
    let label = member.labels.get("region");
    let label = label.and_then(|region| region.parse().ok());
    // Targets without the label count as one region, within which copies are cheap.
    label.unwrap_or_else(|| "region".parse().expect("a valid name"))
}

/// Returns the identifier of a chunk, derived from its version and index.
fn chunk_id(root: Digest, index: u32) -> Digest {
    let mut bytes = root.to_vec();
    bytes.extend(index.to_le_bytes());
    Digest::of(&bytes)
}
