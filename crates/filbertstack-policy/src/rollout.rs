//! When engines are brought from one version of the weights to the next.
//!
//! *Load pattern*: new weights are named while the engines are full. An engine that loads takes
//! nothing new from the order until what it runs is done and the load is over: some seconds. Did
//! all engines load as soon as they can, none would be left to serve. So they load one after the
//! other over the whole time that there is, the last early enough that no request begins on the
//! old version after the time that operators promise.
//!
//! An engine that finishes all that it runs is out for as long as its longest answer takes, and a
//! third of the engines at once over a rollout. Where answers can go on at another engine, those
//! that have not ended after a while are broken off and resumed there.

use std::sync::Arc;

use filbertstack_core::Millis;

/// The part of the time for a rollout after which a target must hold the new version to be used.
/// What is left covers a request's way and its wait in an engine that few share the load with:
/// 1.6 s were seen, 0.7 s of it on the narrow link over which the engine's new weights came late.
const BINDING: f64 = 0.8;

/// The part after which the last engine is ordered: the order must have reached it, so that it
/// begins nothing on the old version, before [`BINDING`].
const LAST: f64 = 0.76;

/// The part at which the first engine is ordered, if its pieces are there by then.
const FIRST: f64 = 0.28;

/// The part at which the first engine is ordered to load a version that another has followed.
const LAST_CALL: f64 = 0.63;

/// How long after it was sent a call that an engine left without an answer may be carried out. The
/// latest order seen to be begun so was 12 s old.
pub const MAX_CALL_DELAY: Millis = Millis(15_000);

/// When a version should be loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadTiming {
    /// As evenly as there is time.
    Usual,
    /// As late as it may: a newer one is on its way, and an engine that waits for it loads once.
    Latest,
}

/// How long entries may go on sending to an engine after its agent said that it takes nothing: the
/// way of a row to all of them. What is sent later is refused by the engine as not run.
const TOLD: Millis = Millis(80);

/// How long an engine that takes nothing new may finish what it runs before the rest is broken off.
/// Three of four answers end within it. Sum of worth of twelve days of mixed trouble: 7.98 where all
/// is finished, 8.10 with 0.4 or 0.8 s, 8.04 with 1.2 s; with 0.8 s the fewest answers break off.
const FINISHING: Millis = Millis(880);

/// What the agent of an engine that takes nothing new does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Waits: answers end.
    Await,
    /// Orders the engine to load when it has finished what it runs.
    Finish,
    /// Orders the engine to break off what it runs and load.
    BreakOff,
}

/// What to do `spent` after entries were told that an engine takes nothing new, while it has `work`
/// requests. `may_break` tells whether all of them can go on at another engine.
pub fn drain_step(spent: Millis, work: u32, may_break: bool) -> DrainStep {
    if spent < TOLD {
        DrainStep::Await
    } else if work == 0 || !may_break {
        DrainStep::Finish
    } else if spent < FINISHING {
        DrainStep::Await
    } else {
        DrainStep::BreakOff
    }
}

/// A version of weights and when it was named, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// When it was named.
    pub at: Millis,
}

/// The most versions of a model that are remembered: one each eighth of a second for eight seconds.
const REMEMBERED: usize = 64;

/// Adds a version named now to those of its model, which are in their order, and forgets the oldest that
/// decide nothing any more: all but the latest `least` whose follower has been named for as long as
/// `bound`.
///
/// *Load pattern*: a script names versions in a loop. Were the latest few remembered alone, none of
/// them would ever be old enough to bind, and engines would begin requests on a version that was
/// replaced long ago. Where too many follow each other, two count as one that was named with the
/// earlier: it binds too early rather than too late.
pub fn record_version(
    named: &mut Vec<NamedVersion>,
    newest: NamedVersion,
    least: usize,
    now: Millis,
    bound: Millis,
) {
    named.push(newest);
    while named.len() > least && now.since(named[1].at) >= bound {
        named.remove(0);
    }
    while named.len() > REMEMBERED {
        let oldest = named.remove(0);
        named[0].at = oldest.at;
    }
}

/// The oldest version that may still answer, given each version and how long ago it was named.
/// 0 if any may.
pub fn floor(named: impl Iterator<Item = (u64, Millis)>, bound: Millis) -> u64 {
    let binding = named.filter(|(_, since)| *since >= part(bound, BINDING));
    binding.map(|(version, _)| version).max().unwrap_or(0)
}

/// How long before an older version may no longer begin to answer the patience of requests for it
/// ends: the way to the engine, over a link with a queue. More would break off streams that began in
/// time, as an engine ends its work with the patience.
const CLOSING: Millis = Millis(400);

/// How long a request may wait at an engine that serves `version`, given each version and how long
/// ago it was named; `None` while there is no newer.
///
/// *Load pattern*: new weights come late over a narrow link, and the requests to the engine behind it
/// wait in the link's queue and then in its own, though its load looks low. They were sent while the
/// older version might answer, and began on it seconds later, when it must not. An engine refuses a
/// request that has waited for longer than it is told as not run, and another serves it.
pub fn max_wait(
    named: impl Iterator<Item = (u64, Millis)>,
    version: u64,
    bound: Millis,
) -> Option<Millis> {
    let newer = named.filter(|(newer, _)| *newer > version);
    let left = newer.map(|(_, since)| bound.since(since + CLOSING));
    left.min()
}

/// How long after a version was named the engine of `own` is ordered to load it. `agents` are
/// those of all engines of the model, in one order everywhere.
pub fn order_delay(own: &str, agents: &[Arc<str>], bound: Millis, haste: LoadTiming) -> Millis {
    let place = agents.iter().position(|agent| &**agent == own).unwrap_or(0);
    let steps = u64::try_from(agents.len().saturating_sub(1))
        .unwrap_or(1)
        .max(1);
    let place = u64::try_from(place).unwrap_or(0);
    let first = match haste {
        LoadTiming::Usual => FIRST,
        LoadTiming::Latest => LAST_CALL,
    };
    let (first, last) = (part(bound, first), part(bound, LAST));
    Millis(first.0 + (last.0 - first.0) * place / steps)
}

/// The first pause before an order that got no answer is sent again: an engine that lost one answer
/// gives the next at once. It doubles each time.
const REPEAT: Millis = Millis(200);

/// The longest pause: an engine that is 12 s behind with its orders, as was seen, gets seven of them.
const LONGEST_REPEAT: Millis = Millis(3_200);

/// How long to wait for the outcome of an order that was sent `sent` times before it is sent again.
pub fn resend_delay(sent: u32) -> Millis {
    let doubled = REPEAT.0 << sent.saturating_sub(1).min(8);
    Millis(doubled).min(LONGEST_REPEAT)
}

/// What lies staged at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Staged {
    /// The version that is being staged, or was last.
    pub version: u64,
    /// Whether all of it lies there.
    pub whole: bool,
}

/// Which of the versions wanted, in their order, is staged at an engine that keeps the pieces of one
/// only. `ordered` is one that the engine may yet be told to load by an order under way; `here` tells
/// whether the entries hold all of a version.
///
/// *Load pattern*: a second version is named while the first is on its way, and the origin fails
/// right after. Did the agents begin on the second at once, its first pieces would overwrite the
/// first, and no version would be whole in time. So they go on with what they have begun until all
/// of a newer one can be had without the origin. What is whole never gives way to an older one: an
/// entry that starts again has lost its share, so that nothing is all here for a moment.
///
/// What an engine may yet be loading gives way to nothing: an order that got no answer was seen to be
/// begun 2 to 12 s later, and loads whatever lies there then. Callers got tokens from half of one
/// version and half of the next.
pub fn version_to_stage(
    wanted: &[u64],
    staged: Option<Staged>,
    ordered: Option<u64>,
    here: impl Fn(u64) -> bool,
) -> Option<u64> {
    if ordered.is_some() {
        return ordered;
    }
    let begun = staged.filter(|staged| wanted.contains(&staged.version));
    let least = begun.filter(|staged| staged.whole);
    let least = least.map_or(0, |staged| staged.version);
    let newer = wanted.iter().rev().copied();
    let newest_here = newer.filter(|version| *version >= least).find(|v| here(*v));
    let begun = begun.map(|staged| staged.version);
    newest_here.or(begun).or(wanted.last().copied())
}

fn part(span: Millis, share: f64) -> Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "bounds are seconds: milliseconds are exact in a double, and shares are positive"
    )]
    let part = (span.0 as f64 * share) as u64;
    Millis(part)
}
