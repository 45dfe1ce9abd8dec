//! This module keeps requests within the regions that their routes and organisations allow.
//!
//! *Load pattern*: some requests may be served in one region only, while callers of all regions connect and the
//! engines of one region are busier than the others. Without the rule, whatever finds no room in its region
//! overflows to another one, at exactly the time when nobody looks at single requests. Three decisions follow:
//!
//! - A request is sent only to a target that its [`Residency`] allows. [`dispatch`](crate::dispatch) asks when it
//!   chooses, and [`permit`](crate::permit) once more before a send.
//! - An entry uses only some of a large service's targets. If these were drawn without regard to regions, an
//!   entry elsewhere would now and then know no target of an allowed region, and would refuse requests that the
//!   region has room for. [`reserve`] therefore keeps places for each region that is named.
//! - Callers are told entries near to them, and else entries where their requests may be served, so that few
//!   prompts pass through a region that does not serve them ([`find_scope`]).
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::serving::Residency;

use crate::subset;
use crate::subset::Candidate;

/// The number of places for targets of named regions among those that an entry uses: half of the places for
/// other zones, so that the other half still serves the overflow of unrestricted requests.
const RESERVED_PLACES: usize = (subset::SIZE - subset::LOCAL_SIZE) / 2;

/// The least number of places for each named region. With three targets to choose from, a request finds another
/// one while the first restarts and the second is full.
const MIN_REGION_PLACES: usize = 3;

/// The least number of entries that a caller is told. With two, the loss of one leaves another.
const MIN_ENTRIES: usize = 2;

/// Returns the targets that `entry` uses whatever their zones, so that it knows some in each of the `named`
/// regions. `region_of` returns the region of a zone.
pub fn reserve<'r, K: Copy>(
    entry: &str,
    candidates: &[Candidate<'_, K>],
    named: &[impl AsRef<str>],
    region_of: impl Fn(&str) -> Option<&'r str>,
) -> Vec<K> {
    if named.is_empty() || candidates.len() <= subset::SIZE {
        return Vec::new();
    }
    let places = (RESERVED_PLACES / named.len()).max(MIN_REGION_PLACES);
    let mut reserved = Vec::new();
    for region in named {
        let within = candidates
            .iter()
            .filter(|candidate| region_of(candidate.zone) == Some(region.as_ref()));
        let mut ranked: Vec<_> = within.collect();
        ranked.sort_by_key(|candidate| {
            std::cmp::Reverse((subset::rank(entry, candidate.name), candidate.name))
        });
        reserved.extend(ranked.iter().take(places).map(|candidate| candidate.key));
    }
    reserved.truncate(subset::SIZE);
    reserved
}

/// Where a caller or an entry is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place<'a> {
    /// The availability zone.
    pub zone: &'a str,
    /// The region; `None` if it is not known.
    pub region: Option<&'a str>,
}

/// The entries that a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those of its zone.
    Zone,
    /// Those of its region.
    Region,
    /// Those of the regions where all routes of the host may be served.
    Allowed,
    /// All.
    All,
}

impl Scope {
    /// Returns whether a caller at `caller` is told the entry at `entry`. `host` is where all routes of the
    /// requested host may be served.
    pub fn includes(self, entry: Place<'_>, caller: Place<'_>, host: &Residency) -> bool {
        match self {
            Self::Zone => entry.zone == caller.zone,
            Self::Region => entry.region.is_some() && entry.region == caller.region,
            Self::Allowed => host.allows(entry.region),
            Self::All => true,
        }
    }
}

/// Returns the narrowest scope that has enough of the `entries`.
pub fn find_scope(entries: &[Place<'_>], caller: Place<'_>, host: &Residency) -> Scope {
    let scopes = [Scope::Zone, Scope::Region, Scope::Allowed];
    let enough = scopes.into_iter().find(|scope| {
        let within = entries.iter();
        let within = within.filter(|entry| scope.includes(**entry, caller, host));
        within.count() >= MIN_ENTRIES
    });
    enough.unwrap_or(Scope::All)
}
