//! The plan of one version's copy.

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

/// The bits of a part's number that count within a term.
const TERM_SHIFT: u32 = 32;

/// A target's part.
#[derive(Debug)]
struct Row {
    key: TargetKey,
    addr: SocketAddr,
    incarnation: u64,
    number: u64,
    grants: BTreeMap<u32, ImportSource>,
    /// Holders of chunks that no other upstream had.
    extra: BTreeSet<TargetKey>,
}

/// The plan of one version's copy.
///
/// The leader knows how many chunks a version has, not their digests: a chunk is named by the
/// version and its place.
#[derive(Debug)]
pub struct Copying {
    root: Digest,
    ids: Vec<Digest>,
    places: BTreeMap<Digest, u32>,
    plan: Plan,
    tokens: Grants,
    /// The manifest's grants, apart from the chunks': an agent without a manifest can use no grant
    /// of a chunk, and a window full of such grants would keep the manifest out for ever.
    manifests: Grants,
    rows: BTreeMap<Arc<str>, Row>,
    names: BTreeMap<TargetKey, Arc<str>>,
    wanted: BTreeSet<Arc<str>>,
    /// The highest number of a part of a target that left: the same agent may be back, and must
    /// not take its new part for the old one.
    last: u64,
    /// The target that was counted as holding everything.
    whole: Option<TargetKey>,
}

impl Copying {
    /// The plan of a copy to no target yet.
    pub fn new(root: Digest, term: u64, chunks: u32, weigh: Weigh) -> Self {
        let named: Vec<_> = (0..chunks).map(|place| (id(root, place), place)).collect();
        Self {
            root,
            ids: named.iter().map(|(id, _)| *id).collect(),
            places: named
                .into_iter()
                .chain([(id(root, MANIFEST), MANIFEST)])
                .collect(),
            plan: Plan::new(PlanConfig::default()),
            tokens: Grants::new(GrantConfig::of(weigh)),
            manifests: Grants::new(GrantConfig::of(weigh)),
            rows: BTreeMap::new(),
            names: BTreeMap::new(),
            wanted: BTreeSet::new(),
            last: term << TERM_SHIFT,
            whole: None,
        }
    }

    /// Puts the chunks up for grants; `inherited` says since when an earlier leader's may be out.
    pub fn begin(&mut self, inherited: Option<Millis>) {
        let ids = self.ids.iter().copied();
        let manifest = [id(self.root, MANIFEST)];
        if let Some(now) = inherited {
            self.tokens.recover(ids, now);
            self.manifests.recover(manifest, now);
        } else {
            self.tokens.publish(ids);
            self.manifests.publish(manifest);
        }
    }

    /// Takes who is to hold the version and who is there.
    pub fn tend(&mut self, wanted: &[Arc<str>], live: &[Member], now: Millis) {
        self.wanted = wanted.iter().cloned().collect();
        let here: BTreeMap<&str, &Member> =
            live.iter().map(|one| (one.name.as_str(), one)).collect();
        let is_gone = |(name, row): (&Arc<str>, &Row)| {
            let member = here.get(&**name);
            let same =
                member.is_some_and(|m| (m.addr, m.incarnation) == (row.addr, row.incarnation));
            (!same || !self.wanted.contains(name)).then(|| name.clone())
        };
        let gone: Vec<_> = self.rows.iter().filter_map(is_gone).collect();
        for name in gone {
            self.dismiss(&name, now);
        }
        let root = self.root;
        for member in live.iter().filter(|member| member.holds(root)) {
            self.admit(member);
            self.count_whole(member, now);
        }
    }

    /// A target that holds everything serves all chunks: none need be brought in again.
    fn count_whole(&mut self, member: &Member, now: Millis) {
        let Some(row) = self
            .rows
            .get(member.name.as_str())
            .filter(|_| self.whole.is_none())
        else {
            return;
        };
        let key = row.key;
        self.whole = Some(key);
        for &id in &self.ids {
            self.tokens.completed(id, key, now);
        }
        self.landed(key, MANIFEST, now);
    }

    /// Whether the target is to hold the version and has no part yet.
    pub fn lacks(&self, name: &str) -> bool {
        self.wanted.contains(name) && !self.rows.contains_key(name)
    }

    /// Gives a target a part.
    pub fn admit(&mut self, member: &Member) {
        let name = member.name.as_str();
        if !self.lacks(name) {
            return;
        }
        let region = region(member);
        let Joined { key, relink } = self.plan.join(Target {
            name: member.name.clone(),
            zone: member.zone.clone(),
            region: region.clone(),
        });
        self.tokens.join(key, &region);
        self.manifests.join(key, &region);
        let name: Arc<str> = name.into();
        self.names.insert(key, name.clone());
        let row = Row {
            key,
            addr: member.addr,
            incarnation: member.incarnation,
            number: self.last + 1,
            grants: BTreeMap::new(),
            extra: BTreeSet::new(),
        };
        self.rows.insert(name, row);
        self.touch_all(&relink);
    }

    fn dismiss(&mut self, name: &str, now: Millis) {
        let Some(row) = self.rows.remove(name) else {
            return;
        };
        self.last = self.last.max(row.number);
        self.names.remove(&row.key);
        let orphans = self.plan.leave(row.key);
        self.tokens.leave(row.key, now);
        self.manifests.leave(row.key, now);
        // Another that holds everything is counted in its place.
        self.whole = self.whole.filter(|whole| *whole != row.key);
        for other in self.rows.values_mut() {
            if other.extra.remove(&row.key) {
                other.number += 1;
            }
        }
        self.touch_all(&orphans);
    }

    fn touch_all(&mut self, keys: &[TargetKey]) {
        for key in keys {
            if let Some(row) = self.row(*key) {
                row.number += 1;
            }
        }
    }

    fn row(&mut self, key: TargetKey) -> Option<&mut Row> {
        self.rows.get_mut(self.names.get(&key)?)
    }

    /// Takes what an agent says of its copy.
    pub fn report(&mut self, member: &Member, said: &SpreadCopy, now: Millis) {
        self.admit(member);
        let Some(key) = self.rows.get(member.name.as_str()).map(|row| row.key) else {
            return;
        };
        for &place in &said.landed {
            self.landed(key, place, now);
        }
        if let Ok(held) = ChunkSet::from_bytes(self.ids.len(), &said.held) {
            for place in held
                .iter()
                .chain((!said.held.is_empty()).then_some(MANIFEST))
            {
                self.landed(key, place, now);
            }
        }
        for &place in &said.failed {
            self.end_grant(key, place);
            let chunk = id(self.root, place);
            self.tokens(place).failed(chunk, key);
        }
        for &place in &said.wanted {
            self.wanted(key, place, now);
        }
    }

    fn landed(&mut self, key: TargetKey, place: u32, now: Millis) {
        self.end_grant(key, place);
        let chunk = id(self.root, place);
        self.tokens(place).completed(chunk, key, now);
    }

    fn end_grant(&mut self, key: TargetKey, place: u32) {
        if let Some(row) = self.row(key)
            && row.grants.remove(&place).is_some()
        {
            row.number += 1;
        }
    }

    fn wanted(&mut self, key: TargetKey, place: u32, now: Millis) {
        let chunk = id(self.root, place);
        match self.tokens(place).ask(chunk, key, now) {
            Answer::Granted(grant) => self.give(grant),
            Answer::Holder(holder) => {
                if let Some(row) = self.row(key)
                    && row.extra.insert(holder)
                {
                    row.number += 1;
                }
            }
            Answer::Wait { .. } | Answer::Unknown => {}
        }
    }

    /// Gives the grants that can be out now.
    pub fn grant(&mut self, now: Millis) {
        let manifests = self.manifests.grant(now);
        for grant in manifests.into_iter().chain(self.tokens.grant(now)) {
            self.give(grant);
        }
    }

    /// The grants that those of `place` are among.
    const fn tokens(&mut self, place: u32) -> &mut Grants {
        if place == MANIFEST {
            &mut self.manifests
        } else {
            &mut self.tokens
        }
    }

    fn give(&mut self, grant: Grant) {
        let Some(&place) = self.places.get(&grant.chunk) else {
            return;
        };
        // A grant that ran out is another's now.
        for row in self.rows.values_mut() {
            if row.key != grant.to && row.grants.remove(&place).is_some() {
                row.number += 1;
            }
        }
        if let Some(row) = self.row(grant.to) {
            row.grants.insert(place, grant.from);
            row.number += 1;
        }
    }

    /// The part of a target; `None` if it has none or `number` is its newest.
    pub fn part(&self, name: &str, number: u64) -> Option<SpreadPart> {
        let row = self.rows.get(name).filter(|row| row.number != number)?;
        let links = self.plan.upstreams(row.key);
        let extra = row.extra.iter().filter_map(|key| self.extra(*key));
        let upstreams = links.iter().filter_map(|link| self.upstream(link));
        let grants = row.grants.iter().map(|(&chunk, from)| SpreadGrant {
            chunk,
            peer: match from {
                ImportSource::Origin => String::new(),
                ImportSource::Peer(key) => self.addr(*key).unwrap_or_default(),
            },
        });
        Some(SpreadPart {
            digest: self.root.to_vec(),
            number: row.number,
            upstreams: upstreams.chain(extra).collect(),
            grants: grants.collect(),
        })
    }

    fn addr(&self, key: TargetKey) -> Option<String> {
        let row = self.rows.get(self.names.get(&key)?)?;
        Some(row.addr.to_string())
    }

    fn upstream(&self, link: &AssignedUpstream) -> Option<SpreadUpstream> {
        Some(SpreadUpstream {
            addr: self.addr(link.target)?,
            region: link.position.proximity == Proximity::Region,
            place: link.position.place,
            places: link.position.places,
        })
    }

    fn extra(&self, key: TargetKey) -> Option<SpreadUpstream> {
        Some(SpreadUpstream {
            addr: self.addr(key)?,
            region: true,
            place: 0,
            places: 1,
        })
    }
}

fn region(member: &Member) -> RegionName {
    let named = member.labels.get("region");
    let named = named.and_then(|region| region.parse().ok());
    // Without a label every target counts as of one region, where copies are cheap.
    named.unwrap_or_else(|| "region".parse().expect("a valid name"))
}

/// Names a chunk by its version and place.
fn id(root: Digest, place: u32) -> Digest {
    let mut bytes = root.to_vec();
    bytes.extend(place.to_le_bytes());
    Digest::of(&bytes)
}
