//! The engine's decisions without its network: batching, the prefix cache, the late load report.

use std::time::Duration;

use filbertstack_standins::engine::batch::Batch;
use filbertstack_standins::engine::batch::Emit;
use filbertstack_standins::engine::batch::SeqId;
use filbertstack_standins::engine::batch::Sequence;
use filbertstack_standins::engine::cache::BLOCK_WORDS;
use filbertstack_standins::engine::cache::Change;
use filbertstack_standins::engine::cache::PrefixCache;
use filbertstack_standins::engine::cache::blocks;
use filbertstack_standins::engine::late::LateLoad;
use filbertstack_standins::engine::late::Load;

const NOW: Duration = Duration::from_secs(100);

fn sequence(priority: i64, tokens: usize) -> Sequence {
    Sequence {
        priority,
        prefill: 0,
        next: 0,
        end: tokens,
    }
}

fn tokens(emits: &[Emit]) -> Vec<(u64, usize)> {
    let token = |emit: &Emit| match emit {
        Emit::Token(SeqId(id), index) => Some((*id, *index)),
        Emit::End(_) => None,
    };
    emits.iter().filter_map(token).collect()
}

// A long answer runs while a short one comes and goes. The short one must not wait for the long
// one to end: it joins at the next step and leaves with its last token.
#[test]
fn a_short_sequence_passes_a_long_one() {
    let mut batch = Batch::new(2, 8);
    batch.push(sequence(0, 100)).unwrap();
    batch.step();
    batch.push(sequence(0, 2)).unwrap();
    assert_eq!(tokens(&batch.step()), [(1, 1), (2, 0)]);
    let emits = batch.step();
    assert_eq!(tokens(&emits), [(1, 2), (2, 1)]);
    assert!(emits.contains(&Emit::End(SeqId(2))));
    assert_eq!(tokens(&batch.step()), [(1, 3)]);
}

#[test]
fn waiting_sequences_join_by_priority_then_by_arrival() {
    let mut batch = Batch::new(1, 8);
    for priority in [5, 0, -1, 0] {
        batch.push(sequence(priority, 1)).unwrap();
    }
    let order: Vec<_> = (0..4).flat_map(|_| tokens(&batch.step())).collect();
    assert_eq!(order, [(3, 0), (2, 0), (4, 0), (1, 0)]);
}

#[test]
fn prefill_takes_steps_before_the_first_token() {
    let mut batch = Batch::new(1, 8);
    let prefill = Sequence {
        prefill: 2,
        ..sequence(0, 1)
    };
    batch.push(prefill).unwrap();
    assert_eq!(batch.step(), []);
    assert_eq!(batch.step(), []);
    assert_eq!(tokens(&batch.step()), [(1, 0)]);
}

#[test]
fn a_cancelled_sequence_leaves_its_slot_and_its_place() {
    let mut batch = Batch::new(1, 2);
    let running = batch.push(sequence(0, 100)).unwrap();
    batch.step();
    let waiting = batch.push(sequence(0, 100)).unwrap();
    batch.push(sequence(0, 1)).unwrap();
    assert_eq!(batch.push(sequence(0, 1)), None, "the queue has two places");
    batch.cancel(running);
    batch.cancel(waiting);
    assert_eq!((batch.running(), batch.waiting()), (0, 1));
    assert_eq!(tokens(&batch.step()), [(3, 0)]);
}

fn prompt(of: &str, blocks: usize) -> String {
    let words = (0..blocks * BLOCK_WORDS).map(|n| format!("{of}{n}"));
    words.collect::<Vec<_>>().join(" ")
}

#[test]
fn a_prefix_is_found_up_to_the_first_difference() {
    let mut cache = PrefixCache::new(100, 0);
    assert_eq!(cache.admit(&prompt("a", 3), NOW).hits, 0);
    assert_eq!(cache.admit(&prompt("a", 5), NOW).hits, 3);
    // The same words behind another beginning are another block.
    let other = format!("other {}", prompt("a", 5));
    assert_eq!(cache.admit(&other, NOW).hits, 0);
    assert_eq!(blocks("too short for a block"), []);
}

#[test]
fn what_was_used_longest_ago_makes_room() {
    let mut cache = PrefixCache::new(2, 0);
    cache.admit(&prompt("a", 1), NOW);
    cache.admit(&prompt("b", 1), NOW);
    cache.admit(&prompt("a", 1), NOW);
    cache.admit(&prompt("c", 1), NOW);
    assert_eq!(cache.cached(&blocks(&prompt("a", 1))), 1);
    assert_eq!(cache.cached(&blocks(&prompt("b", 1))), 0);
    assert_eq!(cache.usage(), 1000);
    let id = |of: &str| blocks(&prompt(of, 1))[0];
    let changes: Vec<Change> = cache
        .events(0, NOW)
        .events
        .iter()
        .map(|e| e.change)
        .collect();
    let expected = [
        Change::Stored(id("a")),
        Change::Stored(id("b")),
        Change::Stored(id("c")),
        Change::Removed(id("b")),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn events_come_late_and_with_gaps() {
    let mut cache = PrefixCache::new(100, 3);
    for of in ["a", "b", "c", "d"] {
        cache.admit(&prompt(of, 1), NOW);
    }
    let later = NOW + Duration::from_secs(1);
    cache.clear(later);
    let seqs = |after, until| -> Vec<u64> {
        let events = cache.events(after, until).events;
        events.iter().map(|event| event.seq).collect()
    };
    assert_eq!(seqs(0, NOW), [1, 2, 4]);
    assert_eq!(seqs(2, later), [4, 5]);
    let json = serde_json::to_value(cache.events(4, later)).unwrap();
    assert_eq!(json["events"][0]["kind"], "cleared");
}

#[test]
fn the_load_report_is_late_and_bounded() {
    let lag = Duration::from_secs(1);
    let mut late = LateLoad::new(lag);
    let load = |running| Load {
        running,
        ..Load::default()
    };
    assert_eq!(late.read(NOW), load(0));
    late.push(NOW, load(1));
    late.push(NOW + lag / 2, load(2));
    assert_eq!(late.read(NOW + lag / 2), load(0));
    assert_eq!(late.read(NOW + lag), load(1));
    assert_eq!(late.read(NOW + lag * 3 / 2), load(2));
    for n in 0..100_000 {
        late.push(NOW + Duration::from_micros(n), load(3));
    }
    assert!(format!("{late:?}").matches("running").count() < 100);
}

#[test]
fn the_load_report_has_the_names_of_common_engines() {
    let load = Load {
        running: 3,
        waiting: 1,
        usage: 250,
    };
    let text = load.render("m");
    let values: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
    let expected = [
        "vllm:num_requests_running{model_name=\"m\"} 3",
        "vllm:num_requests_waiting{model_name=\"m\"} 1",
        "vllm:kv_cache_usage_perc{model_name=\"m\"} 0.250",
    ];
    assert_eq!(values, expected);
}
