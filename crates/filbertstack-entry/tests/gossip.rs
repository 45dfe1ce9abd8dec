//! Tests of the encoding of the gossip's messages.

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

// Idle entries send each other messages without rows. If such a message encoded to no bytes, the receiver
// would ignore it, and neighbours would suspect each other every few seconds.
#[test]
fn message_without_rows_has_bytes() {
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
fn message_decodes_to_itself() {
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
    let decoded = encoding::decode(&encoding::encode(&message));
    assert_eq!(decoded, Some(message));
}

// If a row changed with every fetched chunk, a thousand targets that fetch a version would flood the gossip.
#[test]
fn chunk_progress_is_coarse_while_fetching() {
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
    let mut distinct: Vec<_> = (0..100_000)
        .map(|chunks| facts(chunks, Stage::Fetching))
        .collect();
    distinct.dedup();
    // 0 to 7, four steps for each of the lengths from 4 to 16 bits, and three up to 100,000.
    assert_eq!(distinct.len(), 8 + 13 * 4 + 3);
    // In other stages, which decisions depend on, the count stays exact.
    assert_ne!(facts(99_998, Stage::Serving), facts(99_999, Stage::Serving));
}
