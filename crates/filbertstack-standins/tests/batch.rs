//! The engine's parts without its network: batching, the prefix cache and the delayed load report.

use std::time::Duration;

use filbertstack_standins::engine::batch::Batch;
use filbertstack_standins::engine::batch::Sequence;
use filbertstack_standins::engine::batch::SequenceId;
use filbertstack_standins::engine::batch::StepEvent;
use filbertstack_standins::engine::cache::BLOCK_WORDS;
use filbertstack_standins::engine::cache::Change;
use filbertstack_standins::engine::cache::PrefixCache;
use filbertstack_standins::engine::cache::blocks;
use filbertstack_standins::engine::load_report::LoadReport;
use filbertstack_standins::engine::load_report::LoadSample;

const NOW: Duration = Duration::from_secs(100);

fn sequence(priority: i64, tokens: usize) -> Sequence {
    Sequence {
        priority,
        prefill_steps: 0,
        next: 0,
        end: tokens,
    }
}

fn tokens(events: &[StepEvent]) -> Vec<(u64, usize)> {
    let token = |event: &StepEvent| match event {
        StepEvent::Token(SequenceId(id), index) => Some((*id, *index)),
        StepEvent::End(_) => None,
    };
    events.iter().filter_map(token).collect()
}

// A short answer is queued while a long one runs. The short one must not wait for the long one to end: it
// joins the batch at the next step and leaves it with its last token.
#[test]
fn a_short_sequence_ends_before_a_long_one() {
    let mut batch = Batch::new(2, 8);
    batch.push(sequence(0, 100)).unwrap();
    batch.step();
    batch.push(sequence(0, 2)).unwrap();
    assert_eq!(tokens(&batch.step()), [(1, 1), (2, 0)]);
    let events = batch.step();
    assert_eq!(tokens(&events), [(1, 2), (2, 1)]);
    assert!(events.contains(&StepEvent::End(SequenceId(2))));
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
        prefill_steps: 2,
        ..sequence(0, 1)
    };
    batch.push(prefill).unwrap();
    assert_eq!(batch.step(), []);
    assert_eq!(batch.step(), []);
    assert_eq!(tokens(&batch.step()), [(1, 0)]);
}

#[test]
fn a_cancelled_sequence_frees_its_slot_or_queue_place() {
    let mut batch = Batch::new(1, 2);
    let running = batch.push(sequence(0, 100)).unwrap();
    batch.step();
    let queued = batch.push(sequence(0, 100)).unwrap();
    batch.push(sequence(0, 1)).unwrap();
    assert_eq!(batch.push(sequence(0, 1)), None, "the queue has two places");
    batch.cancel(running);
    batch.cancel(queued);
    assert_eq!((batch.running(), batch.waiting()), (0, 1));
    assert_eq!(tokens(&batch.step()), [(3, 0)]);
}

fn prompt(name: &str, blocks: usize) -> String {
    let words = (0..blocks * BLOCK_WORDS).map(|n| format!("{name}{n}"));
    words.collect::<Vec<_>>().join(" ")
}

#[test]
fn a_prefix_matches_up_to_the_first_different_block() {
    let mut cache = PrefixCache::new(100, 0);
    assert_eq!(cache.admit(&prompt("a", 3), NOW).hits, 0);
    assert_eq!(cache.admit(&prompt("a", 5), NOW).hits, 3);
    // The same words after another beginning are other blocks.
    let other = format!("other {}", prompt("a", 5));
    assert_eq!(cache.admit(&other, NOW).hits, 0);
    assert_eq!(blocks("too short for a block"), []);
}

#[test]
fn the_least_recently_used_block_is_evicted() {
    let mut cache = PrefixCache::new(2, 0);
    cache.admit(&prompt("a", 1), NOW);
    cache.admit(&prompt("b", 1), NOW);
    cache.admit(&prompt("a", 1), NOW);
    cache.admit(&prompt("c", 1), NOW);
    assert_eq!(cache.cached(&blocks(&prompt("a", 1))), 1);
    assert_eq!(cache.cached(&blocks(&prompt("b", 1))), 0);
    assert_eq!(cache.usage(), 1000);
    let block_id = |name: &str| blocks(&prompt(name, 1))[0];
    let changes: Vec<Change> = cache
        .events(0, NOW)
        .events
        .iter()
        .map(|e| e.change)
        .collect();
    let expected = [
        Change::Stored(block_id("a")),
        Change::Stored(block_id("b")),
        Change::Stored(block_id("c")),
        Change::Removed(block_id("b")),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn cache_events_are_delayed_and_some_are_dropped() {
    let mut cache = PrefixCache::new(100, 3);
    for name in ["a", "b", "c", "d"] {
        cache.admit(&prompt(name, 1), NOW);
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
fn the_load_report_is_delayed_and_bounded() {
    let lag = Duration::from_secs(1);
    let mut report = LoadReport::new(lag);
    let load = |running| LoadSample {
        running,
        ..LoadSample::default()
    };
    assert_eq!(report.read(NOW), load(0));
    report.push(NOW, load(1));
    report.push(NOW + lag / 2, load(2));
    assert_eq!(report.read(NOW + lag / 2), load(0));
    assert_eq!(report.read(NOW + lag), load(1));
    assert_eq!(report.read(NOW + lag * 3 / 2), load(2));
    for n in 0..100_000 {
        report.push(NOW + Duration::from_micros(n), load(3));
    }
    assert!(format!("{report:?}").matches("running").count() < 100);
}

#[test]
fn the_load_report_uses_metric_names_of_common_engines() {
    let load = LoadSample {
        running: 3,
        waiting: 1,
        usage: 250,
    };
    let metrics = load.render("m");
    let values: Vec<&str> = metrics
        .lines()
        .filter(|line| !line.starts_with('#'))
        .collect();
    let expected = [
        "vllm:num_requests_running{model_name=\"m\"} 3",
        "vllm:num_requests_waiting{model_name=\"m\"} 1",
        "vllm:kv_cache_usage_perc{model_name=\"m\"} 0.250",
    ];
    assert_eq!(values, expected);
}
