//! Tests upload slots: the order of requests and the release of slots.

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_policy::spread::serve::UploadRequest;
use filbertstack_weights::copy::UploadSlots;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn request(held: u32) -> UploadRequest {
    UploadRequest {
        chunk: 0,
        import: false,
        held,
        last_served: Millis::ZERO,
        copies: 1,
    }
}

#[test]
fn acquire_fails_without_a_free_slot_and_a_dropped_slot_is_reused() {
    let uploads = UploadSlots::new(1);
    let slot = uploads.acquire(request(0), Duration::ZERO).unwrap();
    assert!(uploads.acquire(request(0), Duration::ZERO).is_none());
    drop(slot);
    assert!(uploads.acquire(request(0), Duration::ZERO).is_some());
}

// Two requesters wait for one slot. The one with fewer chunks gets it, although the other came first.
#[test]
fn the_requester_with_the_fewest_chunks_is_served_first() {
    let uploads = UploadSlots::new(1);
    let slot = uploads.acquire(request(0), Duration::ZERO).unwrap();
    let (sender, served) = channel();
    let mut threads = Vec::new();
    for (before, held) in [200, 3].into_iter().enumerate() {
        let (own, sender) = (uploads.clone(), sender.clone());
        threads.push(thread::spawn(move || {
            let slot = own.acquire(request(held), TEST_TIMEOUT).unwrap();
            sender.send(held).unwrap();
            drop(slot);
        }));
        while uploads.waiting() == before {
            thread::yield_now();
        }
    }
    drop(slot);
    assert_eq!(served.recv_timeout(TEST_TIMEOUT).unwrap(), 3);
    assert_eq!(served.recv_timeout(TEST_TIMEOUT).unwrap(), 200);
    for thread in threads {
        thread.join().unwrap();
    }
}
