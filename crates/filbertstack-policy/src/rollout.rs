//! This module schedules when engines change from one version of the weights to the next.
//!
//! *Load pattern*: a new version is named while the engines are full. An engine that loads takes no new
//! work from the order until its running requests are done and the load is over, which takes some
//! seconds. If all engines loaded as soon as they could, none would be left to serve. The engines
//! therefore load one after the other over the whole time that is available, the last one early enough
//! that no request begins on the old version after the time that operators promise.
//!
//! An engine that finishes all running requests is out of service for as long as its longest answer
//! takes, and a third of the engines are out at the same time during a rollout. Only the entry that passes
//! an answer on knows whether another engine may continue it, so an engine is never ordered to break one
//! off: the entries [move](crate::takeover) the answers that have not ended after a while.

use std::sync::Arc;

use filbertstack_core::Millis;

/// The part of a rollout's time after which a target must hold the new version to be used. The rest
/// covers a request's transfer and its wait in an engine that shares the load with few others. That
/// took up to 1.6 s, 0.7 s of it on the narrow link over which the engine's new weights arrived late.
const CUTOVER_PART: f64 = 0.8;

/// The part after which the last engine is ordered to load. The order must reach the engine before
/// [`CUTOVER_PART`], so that it begins nothing more on the old version.
const LAST_ORDER_PART: f64 = 0.76;

/// The part after which the first engine is ordered to load, if its pieces are there by then.
const FIRST_ORDER_PART: f64 = 0.28;

/// The part after which the first engine is ordered to load a version that is already superseded.
const LATEST_FIRST_ORDER_PART: f64 = 0.63;

/// The time after which a call that an engine left unanswered is no longer carried out. Orders were
/// begun up to 12 s after they were sent.
pub const MAX_CALL_DELAY: Millis = Millis(15_000);

/// The time at which a version should be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadTiming {
    /// The engines load spread evenly over the available time.
    Even,
    /// The engines load as late as allowed: a newer version is on its way, and an engine that waits for
    /// it loads once.
    Latest,
}

/// The time for which entries may still send to an engine after its agent announced that it takes no
/// new work, as a row takes that long to reach all of them. The engine refuses later requests as not
/// run.
const PROPAGATION: Millis = Millis(80);

/// Returns whether an engine may be ordered to load, `elapsed` after entries were told that it takes no new
/// work. It finishes what it runs before it loads, unless the entries [move](crate::takeover) it elsewhere.
pub fn may_order(elapsed: Millis) -> bool {
    elapsed >= PROPAGATION
}

/// A version of weights and the time when it was named, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// The time when the version was named.
    pub at: Millis,
}

/// The maximum number of versions of a model that are kept: one for each eighth of a second in eight
/// seconds.
const MAX_VERSIONS: usize = 64;

/// Adds a version that is named now to those of its model, which are in their order. It drops the
/// oldest versions that no longer affect a decision: all but the latest `min_kept` whose successor was
/// named at least `bound` ago.
///
/// *Load pattern*: a script names versions in a loop. If only the latest few were kept, none of them
/// would ever be old enough to bind, and engines would begin requests on a version that was replaced
/// long ago. If too many versions follow each other, two of them count as one that was named at the
/// time of the earlier: it binds too early rather than too late.
pub fn record_version(
    named: &mut Vec<NamedVersion>,
    newest: NamedVersion,
    min_kept: usize,
    now: Millis,
    bound: Millis,
) {
    named.push(newest);
    while named.len() > min_kept && now.since(named[1].at) >= bound {
        named.remove(0);
    }
    while named.len() > MAX_VERSIONS {
        let oldest = named.remove(0);
        named[0].at = oldest.at;
    }
}

/// Returns the oldest version that may still answer, given each version and how long ago it was named.
/// Returns 0 if any version may.
pub fn oldest_allowed(named: impl Iterator<Item = (u64, Millis)>, bound: Millis) -> u64 {
    let binding_versions = named.filter(|(_, since)| *since >= fraction(bound, CUTOVER_PART));
    binding_versions
        .map(|(version, _)| version)
        .max()
        .unwrap_or(0)
}

/// Returns the version that a request must name to a target which is taken to hold `version`, given the versions that were
/// named; `None` if any version may answer.
///
/// *Load pattern*: a target starts again with older weights, or its agent is cut off before it can tell of other ones. The
/// target would get all the time that the newer version has, and begin on the older one after its bound. It turns the
/// request away if a version is named that it does not hold. A version below all that were named has no other bound.
pub fn version_to_expect(mut named: impl Iterator<Item = u64>, version: u64) -> Option<u64> {
    named.any(|named| named <= version).then_some(version)
}

/// The margin between the time by which a request must have begun at an engine and the time after which an older version
/// must not begin to answer. It covers the transfer to the engine over a link with a queue, as an engine counts its time
/// limit from the arrival, and the time until each node knows of a version that was acknowledged.
const TRANSIT_MARGIN: Millis = Millis(400);

/// Returns how long ago the first version after `version` was named, given each version and how long ago it was named.
/// Returns `None` while there is no newer version.
pub fn replaced_since(named: impl Iterator<Item = (u64, Millis)>, version: u64) -> Option<Millis> {
    let newer = named.filter(|(newer, _)| *newer > version);
    newer.map(|(_, since)| since).max()
}

/// Returns how much longer an engine that serves `version` may begin requests, given each version and how long ago it
/// was named. Returns `None` while there is no newer version.
pub fn begin_within(
    named: impl Iterator<Item = (u64, Millis)>,
    version: u64,
    bound: Millis,
) -> Option<Millis> {
    let since = replaced_since(named, version)?;
    Some(time_to_begin(since, bound))
}

/// Returns how much longer requests may begin on a version that was replaced `since` ago.
pub fn time_to_begin(since: Millis, bound: Millis) -> Millis {
    bound.since(since + TRANSIT_MARGIN)
}

/// Returns how long ago `version` was allowed to begin for the last time, given each version and how long ago it was
/// named. Returns `None` if it still is.
pub fn overdue(
    named: impl Iterator<Item = (u64, Millis)>,
    version: u64,
    bound: Millis,
) -> Option<Millis> {
    let newer = named.filter(|(newer, since)| *newer > version && *since > bound);
    newer.map(|(_, since)| since.since(bound)).max()
}

/// Returns how long after a version was named the engine of the agent `own` is ordered to load it.
/// `agents` are those of all engines of the model, in the same order on every node.
pub fn order_delay(own: &str, agents: &[Arc<str>], bound: Millis, timing: LoadTiming) -> Millis {
    let position = agents.iter().position(|agent| &**agent == own).unwrap_or(0);
    let steps = u64::try_from(agents.len().saturating_sub(1))
        .unwrap_or(1)
        .max(1);
    let position = u64::try_from(position).unwrap_or(0);
    let first = match timing {
        LoadTiming::Even => FIRST_ORDER_PART,
        LoadTiming::Latest => LATEST_FIRST_ORDER_PART,
    };
    let (first, last) = (fraction(bound, first), fraction(bound, LAST_ORDER_PART));
    Millis(first.0 + (last.0 - first.0) * position / steps)
}

/// The first delay before an unanswered order is sent again: an engine whose answer was lost answers
/// the next order at once. The delay doubles each time.
const FIRST_RESEND: Millis = Millis(200);

/// The longest delay: an engine that is 12 s behind with its orders, as was observed, gets seven of
/// them.
const MAX_RESEND: Millis = Millis(3_200);

/// Returns how long to wait for the outcome of an order that was sent `sent` times before it is sent
/// again.
pub fn resend_delay(sent: u32) -> Millis {
    let doubled = FIRST_RESEND.0 << sent.saturating_sub(1).min(8);
    Millis(doubled).min(MAX_RESEND)
}

/// The version that is staged at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Staged {
    /// The version that is being staged, or was staged last.
    pub version: u64,
    /// Whether all of the version's pieces are staged.
    pub complete: bool,
}

/// Returns which of the versions `wanted`, in their order, is staged at an engine that keeps the pieces
/// of only one version. `ordered` is a version that the engine may still load because of an open order.
/// `is_held` returns whether the entries hold all of a version.
///
/// *Load pattern*: a second version is named while the first is being transferred, and the origin fails
/// right after. If the agents began with the second version at once, its first pieces would overwrite
/// the first version, and no version would be complete in time. The agents therefore continue with the
/// version that they have begun until all of a newer one is available without the origin. A complete
/// version is never replaced by an older one: an entry that restarts has lost its share, so that for a
/// moment no version is fully held.
///
/// A version that the engine may still load is not replaced at all: an unanswered order was begun 2 to
/// 12 s later, and an engine loads whatever is staged at that time. Callers received tokens from half
/// of one version and half of the next.
pub fn version_to_stage(
    wanted: &[u64],
    staged: Option<Staged>,
    ordered: Option<u64>,
    is_held: impl Fn(u64) -> bool,
) -> Option<u64> {
    if ordered.is_some() {
        return ordered;
    }
    let begun = staged.filter(|staged| wanted.contains(&staged.version));
    let min_version = begun.filter(|staged| staged.complete);
    let min_version = min_version.map_or(0, |staged| staged.version);
    let newer = wanted.iter().rev().copied();
    let newest_held = newer
        .filter(|version| *version >= min_version)
        .find(|v| is_held(*v));
    let begun = begun.map(|staged| staged.version);
    newest_held.or(begun).or(wanted.last().copied())
}

fn fraction(span: Millis, share: f64) -> Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "bounds are seconds: milliseconds are exact in a double, and shares are positive"
    )]
    let fraction = (span.0 as f64 * share) as u64;
    Millis(fraction)
}
