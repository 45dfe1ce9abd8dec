//! A replay in virtual time of entries that send plain calls to targets, some of which are slow for a while.

use std::collections::VecDeque;

use filbertstack_core::Millis;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetRequest;
use filbertstack_policy::dispatch::TargetSpec;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::replay::spec;
use crate::replay::uneven::Draws;

/// The mean duration of a call. With the sum of this many steps, its spread is half of the mean.
const CALL_MS: f64 = 30.0;
const STEPS: u32 = 4;

/// The time within which an answer is on time: twice the mean.
const ON_TIME_MS: u64 = 60;

/// The number of calls that a target runs at once.
const SLOTS: usize = 4;

#[derive(Clone, Copy)]
pub struct Calls {
    pub entries: usize,
    pub targets: usize,
    pub per_second: f64,
    /// Whether some targets, drawn anew again and again, are slower.
    pub uneven: bool,
    /// Whether the entries estimate the targets' paces.
    pub observes: bool,
    /// The factor by which calls seem longer to an entry, as its own link is slow.
    pub link: u64,
    /// The time before which no target runs a call, from [`STALL_FROM`] on, in milliseconds.
    pub stalls_until: u64,
    pub seconds: u64,
}

/// When the targets begin to stall, in milliseconds.
const STALL_FROM: u64 = 1_000;

/// The end of a replay whose calls are counted on their own, in milliseconds.
const LAST: u64 = 2_000;

#[derive(Debug, Default, PartialEq)]
pub struct Answers {
    pub calls: u32,
    pub on_time: u32,
    pub refused: u32,
    /// The calls of the last two seconds, and how many of them were refused.
    pub last_calls: u32,
    pub last_refused: u32,
    /// The number of times that a target turned slow for an entry.
    pub turned_slow: u32,
}

/// A call at a target.
struct Call {
    entry: usize,
    sent: u64,
    work_ms: f64,
    ends: u64,
}

#[derive(Default)]
struct Target {
    slower: f64,
    running: Vec<Call>,
    queue: VecDeque<Call>,
}

impl Target {
    /// Ends and begins calls. Returns those that have ended.
    fn advance(&mut self, now: u64) -> Vec<Call> {
        let ended = self.running.extract_if(.., |call| call.ends <= now);
        let ended = ended.collect();
        while self.running.len() < SLOTS
            && let Some(mut call) = self.queue.pop_front()
        {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "some hundred milliseconds"
            )]
            let span = (call.work_ms * self.slower).round() as u64;
            call.ends = now + span.max(1);
            self.running.push(call);
        }
        ended
    }
}

/// Replays some seconds.
pub fn replay_calls(calls: &Calls) -> Answers {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut entries: Vec<Dispatcher> = (0..calls.entries)
        .map(|_| entry(calls, ChaCha8Rng::from_rng(&mut rng)))
        .collect();
    let mut targets: Vec<Target> = (0..calls.targets).map(|_| Target::default()).collect();
    let mut draws = Draws::of_targets(calls.uneven);
    let mut answers = Answers::default();
    let end = calls.seconds * 1_000;
    for now in 0..end {
        let stalls = (STALL_FROM..calls.stalls_until).contains(&now);
        for (n, target) in targets.iter_mut().enumerate() {
            if Draws::is_due(now) {
                target.slower = draws.pace();
            }
            let ended = if stalls {
                Vec::new()
            } else {
                target.advance(now)
            };
            for call in ended {
                answers.on_time += u32::from(now - call.sent <= ON_TIME_MS);
                let took = Millis((now - call.sent) * calls.link);
                let (id, now) = (format!("e{n}"), Millis(now));
                let entry = &mut entries[call.entry];
                entry.observe_call(now, &id, took);
                entry.count_end(now, &id, 0, AttemptEnd::Answered(took));
                let changes = entry.take_pace_changes(now);
                let slow = changes.iter().filter(|change| change.slow).count();
                answers.turned_slow += u32::try_from(slow).expect("few");
            }
        }
        let mut due = calls.per_second / 1_000.0;
        while due > 0.0 {
            if rng.random_bool(due.min(1.0)) {
                answers.calls += 1;
                let from = rng.random_range(0..calls.entries);
                let steps = (0..STEPS).map(|_| -rng.random_range(0.0_f64..1.0).max(1e-9).ln());
                let work_ms = steps.sum::<f64>() * CALL_MS / f64::from(STEPS);
                let refused = answers.refused;
                send(now, from, work_ms, &mut entries, &mut targets, &mut answers);
                if now + LAST >= end {
                    answers.last_calls += 1;
                    answers.last_refused += answers.refused - refused;
                }
            }
            due -= 1.0;
        }
    }
    answers
}

/// Returns an entry that knows the targets.
fn entry(calls: &Calls, rng: ChaCha8Rng) -> Dispatcher {
    let count = |n: usize| u32::try_from(n).expect("few");
    let sharers = Sharers {
        entries: count(calls.entries),
        targets: count(calls.targets),
        used: count(calls.targets),
        preferred_by: 0,
    };
    let plain = |n| TargetSpec {
        slots: count(SLOTS),
        sharers,
        engine: None,
        ..spec(n, true)
    };
    let mut entry = Dispatcher::new(rng);
    entry.set_targets((0..calls.targets).map(plain).collect());
    if calls.observes {
        entry.estimate_paces();
    }
    entry
}

/// Sends a call from an entry to the target that it chooses.
fn send(
    now: u64,
    from: usize,
    work_ms: f64,
    entries: &mut [Dispatcher],
    targets: &mut [Target],
    answers: &mut Answers,
) {
    let wanted = TargetRequest {
        service: "llm",
        goal: Millis(500),
        ..TargetRequest::default()
    };
    let Ok(id) = entries[from].choose(Millis(now), &wanted) else {
        answers.refused += 1;
        return;
    };
    entries[from].count_sent(Millis(now), &id, 0);
    let n: usize = id[1..].parse().expect("a number");
    targets[n].queue.push_back(Call {
        entry: from,
        sent: now,
        work_ms,
        ends: 0,
    });
}
