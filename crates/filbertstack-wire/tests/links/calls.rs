//! Calls: replies in order, cancellation, keys, forged and oversized frames, silence.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use filbertstack_wire::Key;
use filbertstack_wire::Keyring;
use filbertstack_wire::Role;
use filbertstack_wire::WireError;
use filbertstack_wire::frame::MAX_BODY;
use filbertstack_wire::frame::Opener;
use filbertstack_wire::frame::Sealer;
use filbertstack_wire::link::Link;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Empty;
use filbertstack_wire::messages::Frame;
use filbertstack_wire::messages::Item;
use filbertstack_wire::stream::payload;

use crate::support::PATIENCE;
use crate::support::dialer;
use crate::support::first_call;
use crate::support::good_keys;
use crate::support::keys;
use crate::support::propose;
use crate::support::reply;
use crate::support::scripted;
use crate::support::serve;

#[test]
fn replies_come_in_order_and_end() {
    let (listener, _calls) = serve(good_keys());
    let dialer = dialer(good_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    assert_eq!(link.remote().name.as_ref(), "server");
    let mut replies = link.call(propose("hello")).expect("sent");
    let deadline = Instant::now() + PATIENCE;
    for _ in 0..3 {
        assert_eq!(
            replies.next(deadline).expect("a reply"),
            Some(payload("hello"))
        );
    }
    assert_eq!(replies.next(deadline).expect("the end"), None);
}

#[test]
fn calls_on_one_link_do_not_mix() {
    let (listener, _calls) = serve(good_keys());
    let dialer = Arc::new(dialer(good_keys()));
    let addr = listener.addr();
    let threads: Vec<_> = (0..16)
        .map(|n| {
            let dialer = dialer.clone();
            std::thread::spawn(move || {
                for i in 0..50 {
                    let text = format!("{n}/{i}");
                    let told = dialer.ask(addr, Role::Peer, propose(&text), PATIENCE);
                    assert_eq!(told.expect("a reply"), payload(text));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("every reply was its own");
    }
}

#[test]
fn a_dropped_call_is_cancelled_at_the_far_end() {
    let (listener, calls) = serve(good_keys());
    let dialer = dialer(good_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    let replies = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, responder) = calls.recv_timeout(PATIENCE).expect("the call arrives");
    assert!(!responder.is_cancelled());
    drop(replies);
    let until = Instant::now() + PATIENCE;
    while !responder.is_cancelled() && Instant::now() < until {
        std::thread::yield_now();
    }
    assert!(responder.is_cancelled());
}

#[test]
fn a_dropped_responder_leaves_the_outcome_unknown() {
    let (listener, calls) = serve(good_keys());
    let dialer = dialer(good_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    drop(calls.recv_timeout(PATIENCE).expect("the call arrives"));
    let error = replies
        .next(Instant::now() + PATIENCE)
        .expect_err("no reply");
    assert!(!error.not_run(), "{error}");
}

#[test]
fn a_wrong_key_opens_no_link() {
    let (listener, _calls) = serve(good_keys());
    let wrong = dialer(keys("another key entirely"));
    let error = wrong
        .link(listener.addr(), Role::Peer)
        .expect_err("refused");
    assert!(matches!(error, WireError::Handshake(_)), "{error}");
    let lacking = dialer(Keyring::default());
    let error = lacking
        .link(listener.addr(), Role::Agent)
        .expect_err("no key");
    assert!(matches!(error, WireError::Handshake(_)), "{error}");
}

// The caller's request goes to another target when a process ends while it is dialled.
// The connection is taken and closed before both ends know each other. No call was sent on it, so its
// outcome is known: it did not run.
#[test]
fn a_call_on_a_link_that_did_not_open_certainly_did_not_run() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = socket.local_addr().expect("bound");
    std::thread::spawn(move || drop(socket.accept()));
    let dialer = dialer(good_keys());
    let told = dialer.ask(addr, Role::Peer, propose("hello"), PATIENCE);
    let error = told.expect_err("nobody answers");
    assert!(error.not_run(), "{error}");
}

/// Passes bytes between a caller and `to`; the first frame behind the handshake goes twice.
fn replaying_proxy(to: SocketAddr) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = socket.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (mut caller, _) = socket.accept().expect("the caller connects");
        let mut server = TcpStream::connect(to).expect("the server listens");
        let mut back = server.try_clone().expect("cloned");
        let mut out = caller.try_clone().expect("cloned");
        std::thread::spawn(move || std::io::copy(&mut back, &mut out));
        for copies in [1, 1, 2] {
            let mut head = [0; 4];
            caller.read_exact(&mut head).expect("a frame's length");
            let mut body = vec![0; u32::from_be_bytes(head) as usize];
            caller.read_exact(&mut body).expect("a frame");
            for _ in 0..copies {
                let _ = server.write_all(&[&head[..], &body].concat());
            }
        }
        let _ = std::io::copy(&mut caller, &mut server);
    });
    addr
}

// The caller sees its order arrive once and the link close.
// Someone on the path records a sealed order and sends it again on the same connection. Without a
// number under the tag the replay would be taken as a second order.
#[test]
fn a_replayed_frame_closes_the_link_and_changes_nothing() {
    let (listener, calls) = serve(good_keys());
    let proxy = replaying_proxy(listener.addr());
    let dialer = dialer(good_keys());
    let link = dialer.link(proxy, Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, responder) = calls.recv_timeout(PATIENCE).expect("the call arrives");
    let error = replies
        .next(Instant::now() + PATIENCE)
        .expect_err("the link closes");
    assert!(matches!(error, WireError::Lost), "{error}");
    drop(responder);
    drop(listener);
    assert!(
        calls.recv_timeout(PATIENCE).is_err(),
        "the replay reached the handler"
    );
}

#[test]
fn forged_and_oversized_frames_do_not_open() {
    let key = Key::from_text("a key of one direction").expect("long enough");
    let frame = Frame {
        item: Some(Item::Ping(Empty {})),
        ..Frame::default()
    };
    let mut sealed = BytesMut::new();
    Sealer::new(key.clone())
        .seal(&frame, &mut sealed)
        .expect("small");
    assert_eq!(
        Opener::new(key.clone())
            .open(&mut sealed.clone())
            .expect("opens"),
        Some(frame)
    );

    for at in 4..sealed.len() {
        let mut forged = sealed.clone();
        forged[at] ^= 1;
        Opener::new(key.clone())
            .open(&mut forged)
            .expect_err("forged");
    }
    let mut huge = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    Opener::new(key).open(&mut huge).expect_err("oversized");
}

// The caller sees its call break off instead of an answer with a piece doubled or swapped.
// The far end sends reply 0, then 0 again (or 2); a frame for a call that nobody made comes
// between. Without the numbers the second piece would be joined to the answer.
#[test]
fn doubled_skipped_and_foreign_replies_are_no_answer() {
    for wrong in [0, 2] {
        let addr = scripted(move |mut session| {
            let (stream, _) = first_call(&mut session);
            let mut out = BytesMut::new();
            for frame in [
                reply(stream, 0, false, "one"),
                reply(stream + 7, 0, true, "foreign"),
                reply(stream, wrong, true, "two"),
            ] {
                session.sealer.seal(&frame, &mut out).expect("small");
            }
            session.socket.write_all(&out).expect("the caller reads");
            let _ = session.socket.read(&mut [0; 64]);
        });
        let dialer = dialer(good_keys());
        let link = dialer.link(addr, Role::Peer).expect("connects");
        let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
        let deadline = Instant::now() + PATIENCE;
        assert_eq!(
            replies.next(deadline).expect("the first"),
            Some(payload("one"))
        );
        let error = replies.next(deadline).expect_err("out of turn");
        assert!(matches!(error, WireError::Protocol(_)), "{error}");
    }
}

// The caller sees its call end as lost long before its own deadline.
// The far end freezes behind a working TCP connection: no frame, no reset. Heartbeats are missed,
// the link is closed, and every call on it ends as unknown.
#[test]
fn a_silent_far_end_is_found() {
    let (release, held) = channel::<()>();
    let addr = scripted(move |session| {
        let _session = session;
        let _ = held.recv();
    });
    let dialer = dialer(good_keys());
    let link: Link = dialer.link(addr, Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    let error = replies
        .next(Instant::now() + Duration::from_secs(3600))
        .expect_err("silent");
    assert!(matches!(error, WireError::Lost), "{error}");
    assert!(link.is_closed());
    drop(release);
}

// The caller that does not read sees its call end as overflowed, and the link goes on.
// The far end sends 30 MiB to a call whose replies nobody takes. Without the bound they would pile
// up in this process for as long as the far end sends.
#[test]
fn a_call_that_nobody_reads_is_given_up() {
    let (written, all_written) = channel();
    let addr = scripted(move |mut session| {
        let (stream, _) = first_call(&mut session);
        let piece = "x".repeat(512 << 10);
        for seq in 0..60 {
            let mut out = BytesMut::new();
            let frame = reply(stream, seq, false, &piece);
            session.sealer.seal(&frame, &mut out).expect("fits");
            session.socket.write_all(&out).expect("the link goes on");
        }
        written.send(()).expect("the test waits");
        let _ = session.socket.read(&mut [0; 64]);
    });
    let dialer = dialer(good_keys());
    let link = dialer.link(addr, Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    all_written.recv_timeout(PATIENCE).expect("30 MiB pass");
    let deadline = Instant::now() + PATIENCE;
    let error = loop {
        match replies.next(deadline) {
            Ok(reply) => assert!(reply.is_some(), "the call ended as if whole"),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, WireError::Overflow), "{error}");
}

// The caller gets the whole answer of a process that ends right after it.
// The handler gives the last piece, and its process ends as nothing is in progress any more. The
// pieces still wait for the socket; ended then, the caller's stream would break off.
#[test]
fn what_was_sent_is_written_before_the_end() {
    const PIECES: usize = 64;
    let (listener, calls) = serve(good_keys());
    let dialer = dialer(good_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, mut responder) = calls.recv_timeout(PATIENCE).expect("the call arrives");
    for _ in 1..PIECES {
        responder
            .send(payload(vec![7; 100_000]))
            .expect("it stands");
    }
    responder.finish(payload("end")).expect("it stands");
    listener.finish(PATIENCE);
    drop(listener);
    let deadline = Instant::now() + PATIENCE;
    for _ in 0..PIECES {
        assert!(replies.next(deadline).expect("a piece").is_some());
    }
    assert_eq!(replies.next(deadline).expect("the end"), None);
}

// Other callers' streams go on when one caller sends a body that a link can't carry; that one call alone
// fails, as not run.
// The frame is over the limit, so that the link can't send it. Ended by it, the link would break off
// every call on it, and each repeat would end another link.
#[test]
fn a_call_that_is_too_large_breaks_no_other() {
    let (listener, calls) = serve(good_keys());
    let dialer = dialer(good_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    let mut other = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, mut responder) = calls.recv_timeout(PATIENCE).expect("the call arrives");
    let large = "x".repeat(MAX_BODY + (1 << 20));
    let error = link.call(propose(&large)).expect_err("too large");
    assert!(matches!(error, WireError::TooLarge { .. }), "{error}");
    assert!(error.not_run());
    let reply = responder.send(payload(large)).expect_err("too large");
    assert!(matches!(reply, WireError::TooLarge { .. }), "{reply}");
    responder.finish(payload("the answer")).expect("it stands");
    let deadline = Instant::now() + PATIENCE;
    let answer = other.next(deadline).expect("the link stands");
    assert_eq!(answer, Some(payload("the answer")));
}

// The largest body that callers may send passes.
#[test]
fn the_largest_body_passes() {
    let (listener, _calls) = serve(good_keys());
    let dialer = dialer(good_keys());
    let body = "x".repeat(MAX_BODY);
    let told = dialer.ask(listener.addr(), Role::Peer, propose(&body), PATIENCE);
    assert_eq!(told.expect("a reply"), payload(body));
}
