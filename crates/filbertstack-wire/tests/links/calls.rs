//! Tests of calls: order of replies, cancellation, keys, invalid frames, limits and heartbeats.

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

use crate::support::TEST_TIMEOUT;
use crate::support::dialer;
use crate::support::peer_keys;
use crate::support::propose;
use crate::support::read_call;
use crate::support::reply;
use crate::support::serve;
use crate::support::shared_keys;
use crate::support::start_scripted;

#[test]
fn replies_arrive_in_order() {
    let (listener, _calls) = serve(shared_keys());
    let dialer = dialer(shared_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    assert_eq!(link.remote().name.as_ref(), "server");
    let mut replies = link.call(propose("hello")).expect("sent");
    let deadline = Instant::now() + TEST_TIMEOUT;
    for _ in 0..3 {
        assert_eq!(
            replies.next(deadline).expect("a reply"),
            Some(payload("hello"))
        );
    }
    assert_eq!(replies.next(deadline).expect("the end"), None);
}

#[test]
fn concurrent_calls_get_their_own_replies() {
    let (listener, _calls) = serve(shared_keys());
    let dialer = Arc::new(dialer(shared_keys()));
    let addr = listener.addr();
    let threads: Vec<_> = (0..16)
        .map(|n| {
            let dialer = dialer.clone();
            std::thread::spawn(move || {
                for i in 0..50 {
                    let text = format!("{n}/{i}");
                    let result = dialer.ask(addr, Role::Peer, propose(&text), TEST_TIMEOUT);
                    assert_eq!(result.expect("a reply"), payload(text));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("every reply was its own");
    }
}

#[test]
fn dropping_replies_cancels_the_call() {
    let (listener, calls) = serve(shared_keys());
    let dialer = dialer(shared_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    let replies = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, responder) = calls.recv_timeout(TEST_TIMEOUT).expect("the call arrives");
    assert!(!responder.is_cancelled());
    drop(replies);
    let until = Instant::now() + TEST_TIMEOUT;
    while !responder.is_cancelled() && Instant::now() < until {
        std::thread::yield_now();
    }
    assert!(responder.is_cancelled());
}

#[test]
fn dropping_a_responder_leaves_the_outcome_unknown() {
    let (listener, calls) = serve(shared_keys());
    let dialer = dialer(shared_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    drop(calls.recv_timeout(TEST_TIMEOUT).expect("the call arrives"));
    let error = replies
        .next(Instant::now() + TEST_TIMEOUT)
        .expect_err("no reply");
    assert!(!error.not_run(), "{error}");
}

#[test]
fn a_wrong_key_opens_no_link() {
    let (listener, _calls) = serve(shared_keys());
    let wrong = dialer(peer_keys("another key entirely"));
    let error = wrong
        .link(listener.addr(), Role::Peer)
        .expect_err("refused");
    assert!(matches!(error, WireError::Handshake(_)), "{error}");
    let without_key = dialer(Keyring::default());
    let error = without_key
        .link(listener.addr(), Role::Agent)
        .expect_err("no key");
    assert!(matches!(error, WireError::Handshake(_)), "{error}");
}

// Guards against an unknown outcome of a call when a process ends while a link to it is being opened.
// The connection is accepted and closed before the handshake ends. No call was sent on it, so the call
// counts as not run and the caller's request can go to another target.
#[test]
fn a_call_whose_link_does_not_open_is_not_run() {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = socket.local_addr().expect("bound");
    std::thread::spawn(move || drop(socket.accept()));
    let dialer = dialer(shared_keys());
    let result = dialer.ask(addr, Role::Peer, propose("hello"), TEST_TIMEOUT);
    let error = result.expect_err("nobody answers");
    assert!(error.not_run(), "{error}");
}

/// Starts a proxy between a caller and `to` that sends the caller's first frame after the handshake twice.
fn start_replaying_proxy(to: SocketAddr) -> SocketAddr {
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

// Guards against a replayed call being run a second time.
// An attacker on the path records an authenticated frame and sends it again on the same connection. The
// tag covers the frame's number, so the link closes.
#[test]
fn a_replayed_frame_closes_the_link_and_does_not_run() {
    let (listener, calls) = serve(shared_keys());
    let proxy = start_replaying_proxy(listener.addr());
    let dialer = dialer(shared_keys());
    let link = dialer.link(proxy, Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, responder) = calls.recv_timeout(TEST_TIMEOUT).expect("the call arrives");
    let error = replies
        .next(Instant::now() + TEST_TIMEOUT)
        .expect_err("the link closes");
    assert!(matches!(error, WireError::Lost), "{error}");
    drop(responder);
    drop(listener);
    assert!(
        calls.recv_timeout(TEST_TIMEOUT).is_err(),
        "the replay reached the handler"
    );
}

#[test]
fn forged_and_oversized_frames_are_rejected() {
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

// Guards against an answer with a duplicate or missing piece.
// The far end sends reply 0, a reply to a call that was never made, and then reply 0 again or reply 2.
// The numbers of the replies show the fault, so the call fails.
#[test]
fn repeated_and_skipped_replies_fail_the_call() {
    for wrong in [0, 2] {
        let addr = start_scripted(move |mut session| {
            let (stream, _) = read_call(&mut session);
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
        let dialer = dialer(shared_keys());
        let link = dialer.link(addr, Role::Peer).expect("connects");
        let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
        let deadline = Instant::now() + TEST_TIMEOUT;
        assert_eq!(
            replies.next(deadline).expect("the first"),
            Some(payload("one"))
        );
        let error = replies.next(deadline).expect_err("out of turn");
        assert!(matches!(error, WireError::Protocol(_)), "{error}");
    }
}

// Guards against calls that hang until their own deadline when the far end freezes.
// The TCP connection stays up without a frame or a reset. Heartbeats are missing, so the link is closed
// and every call on it ends with an unknown outcome.
#[test]
fn a_silent_far_end_closes_the_link() {
    let (release, held) = channel::<()>();
    let addr = start_scripted(move |session| {
        let _session = session;
        let _ = held.recv();
    });
    let dialer = dialer(shared_keys());
    let link: Link = dialer.link(addr, Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    let error = replies
        .next(Instant::now() + Duration::from_secs(3600))
        .expect_err("silent");
    assert!(matches!(error, WireError::Lost), "{error}");
    assert!(link.is_closed());
    drop(release);
}

// Guards against unread replies that exhaust the memory of the caller's process.
// The far end sends 30 MiB of replies that the caller does not read. The call fails with an overflow, and
// the link stays open.
#[test]
fn a_call_with_too_many_unread_bytes_fails() {
    let (written, all_written) = channel();
    let addr = start_scripted(move |mut session| {
        let (stream, _) = read_call(&mut session);
        let piece = "x".repeat(512 << 10);
        for seq in 0..60 {
            let mut out = BytesMut::new();
            let frame = reply(stream, seq, false, &piece);
            session.sealer.seal(&frame, &mut out).expect("fits");
            session.socket.write_all(&out).expect("the link stays open");
        }
        written.send(()).expect("the test waits");
        let _ = session.socket.read(&mut [0; 64]);
    });
    let dialer = dialer(shared_keys());
    let link = dialer.link(addr, Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    all_written.recv_timeout(TEST_TIMEOUT).expect("30 MiB pass");
    let deadline = Instant::now() + TEST_TIMEOUT;
    let error = loop {
        match replies.next(deadline) {
            Ok(reply) => assert!(reply.is_some(), "the call ended as if complete"),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, WireError::Overflow), "{error}");
}

// Guards against a truncated answer from a process that ends right after the last reply.
// When the handler has sent the last piece, no call is in progress and the process ends. The pieces still
// wait to be written, and the listener must write them first.
#[test]
fn queued_replies_are_written_before_shutdown() {
    const PIECES: usize = 64;
    let (listener, calls) = serve(shared_keys());
    let dialer = dialer(shared_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, mut responder) = calls.recv_timeout(TEST_TIMEOUT).expect("the call arrives");
    for _ in 1..PIECES {
        responder
            .send(payload(vec![7; 100_000]))
            .expect("the link is open");
    }
    responder.finish(payload("end")).expect("the link is open");
    listener.finish(TEST_TIMEOUT);
    drop(listener);
    let deadline = Instant::now() + TEST_TIMEOUT;
    for _ in 0..PIECES {
        assert!(replies.next(deadline).expect("a piece").is_some());
    }
    assert_eq!(replies.next(deadline).expect("the end"), None);
}

// Guards against one oversized call that ends all other calls on its link.
// The frame is over the limit, so the link can't send it. If the error closed the link, every call on it
// would be lost, and each retry would close another link. Only the oversized call fails, as not run.
#[test]
fn an_oversized_call_fails_alone() {
    let (listener, calls) = serve(shared_keys());
    let dialer = dialer(shared_keys());
    let link = dialer.link(listener.addr(), Role::Peer).expect("connects");
    let mut other = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, mut responder) = calls.recv_timeout(TEST_TIMEOUT).expect("the call arrives");
    let large = "x".repeat(MAX_BODY + (1 << 20));
    let error = link.call(propose(&large)).expect_err("too large");
    assert!(matches!(error, WireError::TooLarge { .. }), "{error}");
    assert!(error.not_run());
    let reply = responder.send(payload(large)).expect_err("too large");
    assert!(matches!(reply, WireError::TooLarge { .. }), "{reply}");
    responder
        .finish(payload("the answer"))
        .expect("the link is open");
    let deadline = Instant::now() + TEST_TIMEOUT;
    let answer = other.next(deadline).expect("the link is open");
    assert_eq!(answer, Some(payload("the answer")));
}

#[test]
fn a_body_of_the_maximum_size_is_sent() {
    let (listener, _calls) = serve(shared_keys());
    let dialer = dialer(shared_keys());
    let body = "x".repeat(MAX_BODY);
    let result = dialer.ask(listener.addr(), Role::Peer, propose(&body), TEST_TIMEOUT);
    assert_eq!(result.expect("a reply"), payload(body));
}
