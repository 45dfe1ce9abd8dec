//! Tests of the estimates of the targets' paces: replays in virtual time with targets that are slow for a while
//! and do not report it, judged by the answers that callers receive.

#[allow(dead_code, reason = "shared with the tests of the dispatcher")]
mod batch;
mod calls;
#[allow(dead_code, reason = "shared with the tests of the dispatcher")]
mod replay;

use batch::EIGHT_SLOTS;
use calls::Calls;
use calls::replay_calls;
use filbertstack_core::Millis;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Load;
use filbertstack_policy::dispatch::TargetSpec;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use replay::BASELINE;
use replay::Received;
use replay::Replay;
use replay::choose;
use replay::replay;
use replay::spec;

/// Slow engines under a load near what the others can serve.
const UNEVEN: Replay = Replay {
    engines: 40,
    entries: 12,
    requests_per_second: 400.0,
    uneven: true,
    counted_from_ms: 2_000,
    seconds: 30,
    ..BASELINE
};

/// Calls of a plain service.
const CALLS: Calls = Calls {
    entries: 12,
    targets: 40,
    per_second: 3_000.0,
    uneven: true,
    observes: false,
    link: 1,
    stalls_until: 0,
    seconds: 10,
};

/// Replays with and without the estimates, and prints the figures for the design note.
fn compare(uneven: &Replay) -> [Received; 2] {
    let received = [false, true].map(|observes| {
        replay(&Replay {
            observes,
            ..*uneven
        })
    });
    for (received, with) in received.iter().zip(["without", "with"]) {
        let Replay {
            entries,
            requests_per_second,
            ..
        } = uneven;
        println!("{entries} entries, {requests_per_second}/s, {with}: {received:?}");
    }
    received
}

/// Guards against requests to engines that turn slow without reporting it: near the capacity of the others, a
/// tenth of the first events is late without the estimates, and at most three quarters of that with them.
#[test]
fn unreported_slow_engines_get_fewer_requests() {
    for entries in [12, 44] {
        let [without, with] = compare(&Replay { entries, ..UNEVEN });
        assert!(with.late * 4 < without.late * 3, "{entries} entries");
        assert!(with.on_time > without.on_time, "{entries} entries");
    }
}

/// Guards against late first events where the engines have room, with long passes and a few requests at each.
#[test]
fn unreported_slow_engines_are_found_below_capacity() {
    for entries in [12, 44] {
        let [without, with] = compare(&Replay {
            model: &EIGHT_SLOTS,
            goal: Millis(500),
            entries,
            requests_per_second: 140.0,
            ..UNEVEN
        });
        assert!(with.late * 4 < without.late * 3, "{entries} entries");
        assert!(with.on_time > without.on_time, "{entries} entries");
    }
}

/// Guards against a loss where an entry has hardly two streams at 40 engines: it observes too little for a gain.
#[test]
fn hundreds_of_entries_that_observe_little_lose_nothing() {
    let [without, with] = compare(&Replay {
        entries: 340,
        requests_per_second: 300.0,
        seconds: 8,
        ..UNEVEN
    });
    assert!(
        with.on_time * 100 > without.on_time * 98,
        "{with:?} against {without:?}"
    );
}

/// Guards against estimates that mistake prompts which are read between two events for slow engines.
#[test]
fn engines_at_their_usual_pace_serve_as_without_the_estimates() {
    let [without, with] = compare(&Replay {
        uneven: false,
        seconds: 15,
        ..UNEVEN
    });
    assert!(
        with.on_time * 200 > without.on_time * 199,
        "{with:?} against {without:?}"
    );
}

/// Guards against an entry that refuses callers, or crowds them together, as its own link is slow: to it the
/// events of all engines are three times as far apart.
#[test]
fn an_entry_with_a_slow_link_ejects_no_engine() {
    let [without, with] = compare(&Replay {
        uneven: false,
        entries: 1,
        engines: 12,
        requests_per_second: 100.0,
        link: |_| 3,
        seconds: 15,
        ..UNEVEN
    });
    assert_eq!(with.refused, without.refused, "{with:?}");
    assert!(
        with.on_time * 200 > without.on_time * 199,
        "{with:?} against {without:?}"
    );
}

/// Guards against calls to targets of a plain service that are slow, where an entry has several calls at each
/// target within a slow spell.
#[test]
fn slow_targets_of_a_plain_service_get_fewer_calls() {
    let sizes = [(12, 1_200.0), (12, 3_000.0), (44, 3_000.0), (340, 3_000.0)];
    for (entries, per_second) in sizes {
        let calls = Calls {
            entries,
            per_second,
            ..CALLS
        };
        let without = replay_calls(&calls);
        let with = replay_calls(&Calls {
            observes: true,
            ..calls
        });
        println!("{entries} entries, {per_second}/s, without: {without:?}");
        println!("{entries} entries, {per_second}/s, with: {with:?}");
        let [late, less] = [&without, &with].map(|answers| answers.calls - answers.on_time);
        if entries == 12 {
            assert!(less * 100 < late * 95, "{with:?} against {without:?}");
        } else {
            assert!(less * 100 < late * 102, "{with:?} against {without:?}");
        }
    }
}

/// Guards against entries that refuse a plain service for good once all its targets have stalled, and against entries
/// that try the targets together again and again and so keep them slow.
#[test]
fn a_plain_service_is_served_again_after_its_targets_stalled() {
    for (entries, observes) in [(12, false), (12, true), (100, true), (340, false)] {
        let stalled = replay_calls(&Calls {
            entries,
            observes,
            uneven: false,
            stalls_until: 6_000,
            seconds: 18,
            ..CALLS
        });
        println!("{entries} entries, observes {observes}: {stalled:?}");
        assert!(
            stalled.last_refused * 20 < stalled.last_calls,
            "ten seconds after the stall: {stalled:?}"
        );
    }
}

/// Guards against an entry that takes its own slow link for slow targets of a plain service.
#[test]
fn an_entry_with_a_slow_link_ejects_no_target_of_a_plain_service() {
    let even = Calls {
        entries: 1,
        targets: 12,
        per_second: 400.0,
        uneven: false,
        observes: true,
        ..CALLS
    };
    let quick = replay_calls(&even);
    let slow = replay_calls(&Calls { link: 3, ..even });
    assert_eq!(slow.refused, 0);
    // As few as the spread of the calls' durations causes anyway.
    assert!(
        slow.turned_slow <= quick.turned_slow * 5 / 4,
        "{slow:?} against {quick:?}"
    );
}

/// Returns an entry that knows some engines at their usual pace.
fn entry(engines: usize) -> Dispatcher {
    let mut entry = Dispatcher::new(ChaCha8Rng::seed_from_u64(1));
    entry.estimate_paces();
    entry.set_targets((0..engines).map(|n| spec(n, true)).collect());
    entry
}

/// Records one event of each of the first engines, which came after the gap that is given for it.
fn observe(entry: &mut Dispatcher, now: u64, gaps: &[u64]) {
    for (n, gap) in gaps.iter().enumerate() {
        entry.observe_events(Millis(now), &format!("e{n}"), Millis(*gap), 1);
    }
}

/// Returns the factor by which the prediction for the first engine is larger than that for the second.
fn factor(entry: &Dispatcher, now: u64) -> f64 {
    let predicted = |id| entry.prediction(Millis(now), id, 100).0;
    predicted("e0") / predicted("e1")
}

/// Guards against an engine that is excluded for a single slow event, however slow. Two of them change the
/// prediction, and half a second without events ends it.
#[test]
fn a_single_slow_event_excludes_no_engine() {
    let mut entry = entry(3);
    observe(&mut entry, 100, &[45, 45, 45]);
    observe(&mut entry, 500, &[450, 45, 45]);
    assert!((factor(&entry, 500) - 1.0).abs() < 1e-9);
    observe(&mut entry, 650, &[112, 45, 45]);
    assert!((2.0..3.0).contains(&factor(&entry, 650)));
    let [turned] = &entry.take_pace_changes(Millis(650))[..] else {
        panic!("one engine turned slow");
    };
    assert!(&*turned.target == "e0" && turned.slow && turned.estimate > 2.0);
    assert!((factor(&entry, 1_150) - 1.0).abs() < 1e-9);
    let changes = entry.take_pace_changes(Millis(1_150));
    assert!(changes.len() == 1 && !changes[0].slow, "{changes:?}");
    assert_eq!(entry.take_pace_changes(Millis(1_151)), []);
}

/// Guards against an engine that gets nothing though it has recovered: two events at the usual pace suffice.
#[test]
fn an_engine_that_recovers_is_not_slow() {
    let mut entry = entry(2);
    for now in [100, 200, 300] {
        observe(&mut entry, now, &[112, 45]);
    }
    assert!(factor(&entry, 300) > 2.0);
    for now in [345, 390] {
        observe(&mut entry, now, &[45, 45]);
    }
    assert!((factor(&entry, 390) - 1.0).abs() < 1e-9);
}

/// Guards against an engine that is slow for as many events as come from one pass, or arrive in one read.
#[test]
fn a_pass_counts_once() {
    let mut entry = entry(2);
    observe(&mut entry, 100, &[45, 45]);
    for _ in 0..4 {
        observe(&mut entry, 250, &[150, 45]);
    }
    for now in [500, 900] {
        entry.observe_events(Millis(now), "e0", Millis(180), 4);
        entry.observe_events(Millis(now), "e1", Millis(45), 1);
    }
    assert!((factor(&entry, 900) - 1.0).abs() < 1e-9);
}

/// Guards against events of one start of an engine that count for the next one.
#[test]
fn each_start_of_an_engine_has_its_own_estimate() {
    let mut entry = entry(2);
    for now in [100, 200, 300] {
        observe(&mut entry, now, &[112, 45]);
    }
    let started = TargetSpec {
        id: "e0#2".into(),
        ..spec(0, true)
    };
    entry.set_targets(vec![started, spec(1, true)]);
    let predicted = |id| entry.prediction(Millis(300), id, 100).0;
    assert!((predicted("e0#2") - predicted("e1")).abs() < 1e-9);
}

/// Guards against an observed and a reported pace that add up, and against estimates where they are off.
#[test]
fn the_larger_of_the_observed_and_the_reported_pace_counts() {
    let load = |pace| Load {
        running: 1,
        waiting: 0,
        pace,
    };
    let mut observed = entry(2);
    let mut off = Dispatcher::new(ChaCha8Rng::seed_from_u64(1));
    off.set_targets((0..2).map(|n| spec(n, true)).collect());
    for entry in [&mut observed, &mut off] {
        entry.record_load(Millis(0), "e0", load(2.0));
        entry.record_load(Millis(0), "e1", load(1.0));
        for now in [100, 200, 300] {
            observe(entry, now, &[112, 45]);
        }
    }
    assert!((2.2..3.0).contains(&factor(&observed, 300)));
    assert!((factor(&off, 300) - 2.0).abs() < 1e-9);
    assert_eq!(off.take_pace_changes(Millis(300)), []);
    assert!(choose(&mut off, 300, 100).is_ok());
}
