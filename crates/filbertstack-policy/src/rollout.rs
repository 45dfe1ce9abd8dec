//! When engines are brought from one version of the weights to the next.
//!
//! *Load pattern*: new weights are named while the engines are full. An engine that loads takes
//! nothing new from the order until what it runs is done and the load is over: some seconds. Did
//! all engines load as soon as they can, none would be left to serve. So they load in waves, each
//! when the one before is mostly back, and the last early enough that no request begins on the old
//! version after the time that operators promise.

use std::sync::Arc;

use filbertstack_core::Millis;

/// The part of the time for a rollout after which a target must hold the new version to be used.
/// What is left covers a request's way and its wait in the engine.
const BINDING: f64 = 0.88;

/// The part after which the last wave is ordered: the order must have reached its engine, which
/// then begins nothing on the old version, before [`BINDING`].
const LAST_WAVE: f64 = 0.8;

/// The part at which the first wave may be ordered at the latest, wherever its pieces are sooner.
const FIRST_WAVE: f64 = 0.3;

/// How many waves: each takes a third of the engines out.
pub const WAVES: u64 = 3;

/// The oldest version that may still answer, given each version and how long ago it was named.
/// 0 if any may.
pub fn floor(named: impl Iterator<Item = (u64, Millis)>, bound: Millis) -> u64 {
    let binding = named.filter(|(_, since)| *since >= part(bound, BINDING));
    binding.map(|(version, _)| version).max().unwrap_or(0)
}

/// How long after a version was named the engine of `own` is ordered to load it. `agents` are
/// those of all engines of the model, in one order everywhere; which wave one is in goes by its
/// place there, so that waves are of one size.
pub fn order_after(own: &str, agents: &[Arc<str>], bound: Millis) -> Millis {
    let place = agents.iter().position(|agent| &**agent == own).unwrap_or(0);
    let wave = u64::try_from(place).unwrap_or(0) % WAVES;
    let (first, last) = (part(bound, FIRST_WAVE), part(bound, LAST_WAVE));
    Millis(first.0 + (last.0 - first.0) * wave / (WAVES - 1))
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
