//! The gossip's messages as bytes.

use filbertstack_core::Millis;
use filbertstack_entry::gossip::EntryFacts;
use filbertstack_entry::gossip::encoding;
use filbertstack_policy::gossip::Liveness;
use filbertstack_policy::gossip::Message;
use filbertstack_policy::gossip::MessageKind;
use filbertstack_policy::gossip::Row;
use filbertstack_policy::gossip::RowKind;
use filbertstack_policy::gossip::SUMMARY_BUCKETS;
use filbertstack_policy::gossip::State;
use filbertstack_policy::gossip::Summary;
use filbertstack_wire::messages::Announce;
use filbertstack_wire::messages::Copy;
use filbertstack_wire::messages::Stage;

fn row(kind: RowKind, state: State, doubt: Liveness) -> Row {
    let facts = EntryFacts {
        http: "10.0.0.1:80".parse().expect("an address"),
        links: "10.0.0.1:81".parse().expect("an address"),
        zone: "bc-1".parse().expect("a name"),
        max_age: Millis::secs(30),
    };
    Row {
        name: "van-a".parse().expect("a name"),
        kind,
        region: "bc".parse().expect("a name"),
        incarnation: 7,
        version: 3,
        state,
        liveness: doubt,
        facts: facts.to_facts(),
    }
}

// Entries at rest have no news for each other, and hear of each other all the same.
// A message without rows that took no bytes would be taken for no message: neighbours would doubt
// each other every few seconds.
#[test]
fn a_message_without_news_is_still_a_message() {
    for kind in [MessageKind::Push, MessageKind::Answer, MessageKind::Page] {
        let message = Message {
            kind,
            rows: Vec::new(),
            summary: None,
        };
        let bytes = encoding::encode(&message);
        assert!(!bytes.is_empty(), "{kind:?}");
        assert_eq!(encoding::decode(&bytes), Some(message));
    }
    assert_eq!(encoding::decode(&[]), None);
}

#[test]
fn a_message_is_read_as_it_was_written() {
    let mut rows = Vec::new();
    for kind in [RowKind::Entry, RowKind::Target] {
        for state in [State::Up, State::Leaving, State::Left] {
            for doubt in [Liveness::Alive, Liveness::Suspect, Liveness::Dead] {
                rows.push(row(kind, state, doubt));
            }
        }
    }
    let mut summary = [0; SUMMARY_BUCKETS];
    summary[5] = 17;
    let message = Message {
        kind: MessageKind::Push,
        rows,
        summary: Some(Summary(Box::new(summary))),
    };
    let read = encoding::decode(&encoding::encode(&message));
    assert_eq!(read, Some(message));
}

// A thousand targets that fetch a version do not make news of every chunk.
#[test]
fn progress_is_told_in_a_few_dozen_steps() {
    let facts = |chunks, stage: Stage| {
        let copy = Copy {
            chunks,
            stage: stage.into(),
            ..Copy::default()
        };
        encoding::target_facts(&Announce {
            version: u64::from(chunks),
            copies: vec![copy],
            ..Announce::default()
        })
    };
    let mut told: Vec<_> = (0..100_000)
        .map(|chunks| facts(chunks, Stage::Fetching))
        .collect();
    told.dedup();
    // 0 to 7, four steps for each of the lengths from 4 to 16 bits, and three up to 100,000.
    assert_eq!(told.len(), 8 + 13 * 4 + 3);
    // What decisions rest on is told as it is.
    assert_ne!(facts(99_998, Stage::Serving), facts(99_999, Stage::Serving));
}
