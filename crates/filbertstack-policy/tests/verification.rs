//! Tests which staged pieces are read before an order, and how many at once.

use filbertstack_core::Millis;
use filbertstack_policy::verification::Check;
use filbertstack_policy::verification::MAX_AGE;

/// The bytes of a piece.
const BYTES: u32 = 49_152;

/// An engine as its agent reads it, in virtual time.
struct Engine {
    /// The time of a read at `now`.
    read_time: fn(Millis) -> u64,
    /// Whether it answers one call at a time.
    one_by_one: bool,
    /// The agent stands still from the first time to the second.
    pause: Option<(u64, u64)>,
}

/// What became of a check.
#[derive(Debug, PartialEq)]
struct Outcome {
    reads: u32,
    took: Millis,
    age: Millis,
}

impl Engine {
    fn steady(read_time: fn(Millis) -> u64) -> Self {
        Self {
            read_time,
            one_by_one: false,
            pause: None,
        }
    }

    /// Runs a check of `pieces` pieces, all of which match.
    fn check(&self, mut check: Check) -> Outcome {
        let began = Millis(1_000);
        let mut now = began;
        let mut reads = 0;
        // The reads under way: their end, number and start.
        let mut under_way: Vec<(Millis, u32, Millis)> = Vec::new();
        loop {
            while let Some(number) = check.take_next(now) {
                reads += 1;
                let busy_until = under_way.iter().map(|(end, ..)| *end).max();
                let begins = busy_until.filter(|_| self.one_by_one).unwrap_or(now);
                under_way.push((begins + Millis((self.read_time)(begins)), number, now));
            }
            under_way.sort();
            if under_way.is_empty() {
                break;
            }
            let (end, number, sent) = under_way.remove(0);
            now = self.wake(now.max(end));
            check.record(number, true, sent, now);
        }
        Outcome {
            reads,
            took: now.since(began),
            age: check.age(now),
        }
    }

    /// Returns when the agent sees what has happened at `at`.
    fn wake(&self, at: Millis) -> Millis {
        match self.pause {
            Some((from, until)) if (from..until).contains(&at.0) => Millis(until),
            _ => at,
        }
    }
}

/// Guards against pieces that were read too long before the order because the engine is slow, has many pieces, turns
/// slow during the check, or because its agent was paused.
#[test]
fn all_pieces_are_recent_where_the_engine_can_be_read_in_time() {
    let turns_slow = |now: Millis| if now.0 < 1_300 { 20 } else { 100 };
    let mut paused = Engine::steady(|_| 20);
    paused.pause = Some((1_500, 6_000));
    let engines = [
        (48, Engine::steady(|_| 1)),
        (48, Engine::steady(|_| 100)),
        (400, Engine::steady(|_| 20)),
        (400, Engine::steady(|_| 100)),
        (48, Engine::steady(turns_slow)),
        (48, paused),
    ];
    for (at, (pieces, engine)) in engines.iter().enumerate() {
        let outcome = engine.check(Check::before_order(*pieces, BYTES));
        assert!(outcome.age <= MAX_AGE, "case {at}: {outcome:?}");
    }
}

/// Guards against a check that is repeated without an end, so that the engine never gets the version.
#[test]
fn a_check_ends_where_the_engine_cannot_be_read_in_time() {
    for pieces in [48, 400, 4_000] {
        let mut engine = Engine::steady(|_| 100);
        engine.one_by_one = true;
        let outcome = engine.check(Check::before_order(pieces, BYTES));
        assert!(outcome.reads <= 2 * pieces, "{pieces}: {outcome:?}");
        assert!(outcome.age > MAX_AGE, "{pieces}: {outcome:?}");
    }
}

/// Guards against connections and reads that gain nothing: the check of an engine that answers at once, or one call
/// at a time.
#[test]
fn pieces_are_read_one_after_the_other_unless_that_takes_too_long() {
    let mut check = Check::before_order(48, BYTES);
    assert_eq!(check.take_next(Millis(0)), Some(0));
    assert_eq!(check.take_next(Millis(0)), None);
    check.record(0, true, Millis(0), Millis(1));
    assert!(check.reads_alone());
    let mut slow = Check::before_order(48, BYTES);
    slow.take_next(Millis(0));
    slow.record(0, true, Millis(0), Millis(100));
    assert!(!slow.reads_alone());
    // Two reads take twice as long as one.
    slow.take_next(Millis(100));
    slow.take_next(Millis(100));
    slow.record(1, true, Millis(100), Millis(300));
    assert!(slow.reads_alone());
}

/// Guards against an agent that outgrows its memory: pieces are as large as a call allows.
#[test]
fn large_pieces_are_read_a_few_at_a_time() {
    let mut check = Check::before_order(400, 4 << 20);
    let mut under_way = 0;
    for round in 0..20 {
        let now = Millis(round * 100);
        let taken: Vec<u32> = std::iter::from_fn(|| check.take_next(now)).collect();
        under_way = under_way.max(taken.len());
        for number in taken {
            check.record(number, true, now, now + Millis(100));
        }
    }
    assert_eq!(under_way, 2);
}

/// Guards against an order after a bad or missing piece was found, and against a piece that counts as read although
/// its read got no answer.
#[test]
fn bad_pieces_and_those_without_an_answer_are_known() {
    let mut check = Check::once(2, BYTES);
    assert_eq!(check.take_next(Millis(0)), Some(0));
    check.record_failure(0, Millis(0), Millis(500));
    assert_eq!(check.take_next(Millis(500)), Some(0));
    check.record(0, false, Millis(500), Millis(501));
    assert_eq!(check.take_next(Millis(501)), Some(1));
    check.record(1, true, Millis(501), Millis(502));
    assert_eq!(check.take_next(Millis(60_000)), None);
    assert_eq!(check.bad(), [0]);
}
