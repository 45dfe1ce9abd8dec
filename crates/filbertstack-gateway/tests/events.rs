//! Streams taken apart as far as resuming needs.

use bytes::Bytes;
use filbertstack_gateway::request::events::Events;
use proptest::prelude::*;

/// A target breaks off in mid event. The half must not have gone to the caller, or the rest that
/// another target sends would be joined to it.
#[test]
fn only_whole_events_go_on() {
    let mut events = Events::after(None);
    let out = events.push(Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&out[..], b"id: 1\ndata: a\n\n");
    assert_eq!((events.last(), events.is_half()), (Some(1), true));
    events.drop_half();
    let out = events.push(Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&out[..], b"id: 2\ndata: b\n\n");
    assert_eq!((events.last(), events.is_half()), (Some(2), false));
}

#[test]
fn a_resumed_stream_begins_after_what_the_caller_holds() {
    assert_eq!(Events::after(Some(12)).last(), Some(12));
}

proptest! {
    /// However the bytes are cut on their way, the same events come out in the same order.
    #[test]
    fn cuts_do_not_matter(cuts in prop::collection::vec(1_usize..40, 1..80)) {
        let texts: Vec<String> = (1..=30)
            .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
            .collect();
        let whole = texts.concat();
        let mut events = Events::after(None);
        let mut out = Vec::new();
        let mut rest = Bytes::from(whole.clone());
        for cut in cuts {
            let part = rest.split_to(cut.min(rest.len()));
            out.extend_from_slice(&events.push(part));
            prop_assert!(out.is_empty() || out.ends_with(b"\n\n"));
        }
        out.extend_from_slice(&events.push(rest));
        prop_assert_eq!(out, whole.into_bytes());
        prop_assert_eq!(events.last(), Some(30));
        prop_assert!(!events.is_half());
    }
}
