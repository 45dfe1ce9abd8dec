//! Tests of the splitting of streams into whole events, as needed to resume a stream.

use bytes::Bytes;
use filbertstack_gateway::request::events::EventBuffer;
use filbertstack_gateway::request::events::EventTail;
use proptest::prelude::*;

/// A target breaks off in the middle of an event. The part must not have been passed on to the caller, or
/// the events that another target sends would be joined to it.
#[test]
fn only_whole_events_are_passed_on() {
    let mut events = EventBuffer::after(None);
    let out = events.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&out[..], b"id: 1\ndata: a\n\n");
    assert_eq!((events.last_id(), events.has_partial()), (Some(1), true));
    events.drop_partial();
    let out = events.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&out[..], b"id: 2\ndata: b\n\n");
    assert_eq!((events.last_id(), events.has_partial()), (Some(2), false));
}

#[test]
fn a_resumed_stream_begins_after_the_last_event_of_the_caller() {
    assert_eq!(EventBuffer::after(Some(12)).last_id(), Some(12));
}

/// Guards against a stream that ends inside an event and is taken for complete.
#[test]
fn a_stream_is_whole_after_an_event_only() {
    let is_whole = |parts: &[&str]| {
        let mut tail = EventTail::default();
        for part in parts {
            tail.note(part.as_bytes());
        }
        tail.is_whole()
    };
    assert!(!is_whole(&[]), "before its first event");
    assert!(is_whole(&["id: 1\ndata: a\n\n"]));
    assert!(
        is_whole(&["id: 1\ndata: a\n", "", "\n"]),
        "split inside the end of an event"
    );
    assert!(!is_whole(&["id: 1\ndata: a\n\n", "id: 2\n"]));
}

proptest! {
    /// The same events come out in the same order, wherever the bytes are split on their way.
    #[test]
    fn events_do_not_depend_on_how_bytes_are_split(cuts in prop::collection::vec(1_usize..40, 1..80)) {
        let texts: Vec<String> = (1..=30)
            .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
            .collect();
        let whole = texts.concat();
        let mut events = EventBuffer::after(None);
        let mut out = Vec::new();
        let mut rest = Bytes::from(whole.clone());
        for cut in cuts {
            let part = rest.split_to(cut.min(rest.len()));
            out.extend_from_slice(&events.push(part));
            prop_assert!(out.is_empty() || out.ends_with(b"\n\n"));
        }
        out.extend_from_slice(&events.push(rest));
        prop_assert_eq!(out, whole.into_bytes());
        prop_assert_eq!(events.last_id(), Some(30));
        prop_assert!(!events.has_partial());
    }
}
