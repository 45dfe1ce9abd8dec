//! Tests of how links end: received data is still read, and no wait for a far end is unlimited.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use filbertstack_wire::Dialer;
use filbertstack_wire::Handler;
use filbertstack_wire::Link;
use filbertstack_wire::Remote;
use filbertstack_wire::Responder;
use filbertstack_wire::Role;
use filbertstack_wire::WireError;
use filbertstack_wire::handshake;
use filbertstack_wire::handshake::Session;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Empty;
use filbertstack_wire::messages::Ending;
use filbertstack_wire::messages::Frame;
use filbertstack_wire::messages::Item;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::stream::call;
use filbertstack_wire::stream::payload;

use crate::support::TEST_TIMEOUT;
use crate::support::dialer;
use crate::support::propose;
use crate::support::read_call;
use crate::support::reply;
use crate::support::serve;
use crate::support::shared_keys;
use crate::support::start_scripted;

/// Blocks the reading thread of its link at each call until the test releases it.
struct BlockingHandler {
    entered: Sender<()>,
    release: Mutex<Receiver<()>>,
}

impl Handler for BlockingHandler {
    fn handle(&self, _: &Remote, _: Ask, responder: Responder) {
        self.entered.send(()).expect("the script waits");
        let release = self.release.lock().expect("one reader");
        let _ = release.recv_timeout(TEST_TIMEOUT);
        responder.refuse("nothing is served here", 0);
    }
}

fn send(session: &mut Session, frames: &[Frame]) {
    let mut out = BytesMut::new();
    for frame in frames {
        session.sealer.seal(frame, &mut out).expect("small");
    }
    session.socket.write_all(&out).expect("the link is open");
}

/// Returns a frame with a call on `stream`.
fn call_frame(stream: u64) -> Frame {
    Frame {
        stream,
        item: Some(Item::Call(call(Ask::Term(Empty {})))),
        ..Frame::default()
    }
}

fn ping_frame() -> Frame {
    Frame {
        item: Some(Item::Ping(Empty {})),
        ..Frame::default()
    }
}

fn connect(dialer: &Dialer, addr: SocketAddr) -> Link {
    dialer.link(addr, Role::Peer).expect("connects")
}

/// Starts a far end that reads nothing and keeps its connection until the sender is dropped.
fn start_unresponsive() -> (SocketAddr, Sender<()>) {
    let (stop, stopped) = channel();
    let addr = start_scripted(move |session| {
        let _session = session;
        let _ = stopped.recv_timeout(TEST_TIMEOUT);
    });
    (addr, stop)
}

/// Sends more than the buffers of both sockets hold, but less than the link's queue holds.
fn fill_sockets(link: &Link) {
    let body = Bytes::from(vec![7; 512 << 10]);
    for _ in 0..15 {
        let sent = link.tell(Ask::Gossip(Payload { body: body.clone() }));
        sent.expect("the link has room");
    }
}

/// Sends until the link's queue is full, while the far end blocks the writing thread.
fn fill_queue(link: &Link) {
    let body = Bytes::from(vec![7; 512 << 10]);
    let gossip = || Ask::Gossip(Payload { body: body.clone() });
    let mut refused = 0;
    // Between two refusals, the writing thread may take frames from the queue once more.
    while refused < 2 {
        match link.tell(gossip()) {
            Ok(()) => refused = 0,
            Err(WireError::Overflow) => refused += 1,
            Err(error) => panic!("the link accepts nothing: {error}"),
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Sends one-way calls on `link` until a write has failed.
fn wait_for_failed_write(link: &Link) {
    let until = Instant::now() + TEST_TIMEOUT;
    while link.tell(Ask::Term(Empty {})).is_ok() {
        assert!(Instant::now() < until, "writing did not fail");
        thread::yield_now();
    }
}

// Guards against a lost answer of a process that wrote the answer and then ended.
// The answer is unread in the socket while the reading thread is busy, and this end's next heartbeat fails
// on the closed connection. A failed write does not show what the far end sent before it. If it closed the
// link at once, the caller's stream would break off (logged with "cause=writing failed ... calls=1").
#[test]
fn received_replies_are_read_after_a_failed_write() {
    const PIECES: u32 = 4;
    let (entered, is_blocked) = channel();
    let (release, released) = channel();
    let (gone, far_gone) = channel();
    let addr = start_scripted(move |mut session| {
        let (stream, _) = read_call(&mut session);
        send(&mut session, &[call_frame(1)]);
        is_blocked
            .recv_timeout(TEST_TIMEOUT)
            .expect("the reader is blocked");
        let pieces: Vec<_> = (0..PIECES)
            .map(|seq| reply(stream, seq, seq + 1 == PIECES, "a piece"))
            .collect();
        send(&mut session, &pieces);
        drop(session);
        gone.send(()).expect("the test waits");
    });
    let release_reader = Mutex::new(released);
    let handler = BlockingHandler {
        entered,
        release: release_reader,
    };
    let dialer = Dialer::new("caller", shared_keys(), Arc::new(handler));
    let link = connect(&dialer, addr);
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    far_gone
        .recv_timeout(TEST_TIMEOUT)
        .expect("the far end ends");
    wait_for_failed_write(&link);
    assert!(link.is_closed(), "a link that can't send accepts new calls");
    release.send(()).expect("the reader is blocked");
    let deadline = Instant::now() + TEST_TIMEOUT;
    for _ in 0..PIECES {
        let piece = replies.next(deadline).expect("what has arrived");
        assert_eq!(piece, Some(payload("a piece")));
    }
    assert_eq!(replies.next(deadline).expect("the end"), None);
}

// Guards against a reading thread that never ends, and calls that never fail.
// The far end sends heartbeats but does not read: a write times out, but the far end never closes its
// stream. Without a limit, the reading thread would go on as long as heartbeats arrive.
#[test]
fn a_far_end_that_never_reads_loses_its_link() {
    let (stop, stopped) = channel::<()>();
    let addr = start_scripted(move |mut session| {
        let mut out = BytesMut::new();
        while stopped.recv_timeout(Duration::from_millis(100)).is_err() {
            session.sealer.seal(&ping_frame(), &mut out).expect("small");
            if session.socket.write_all(&out.split()).is_err() {
                return;
            }
        }
    });
    let dialer = dialer(shared_keys());
    let link = connect(&dialer, addr);
    let mut written = link.call(Ask::Term(Empty {})).expect("sent");
    fill_sockets(&link);
    let error = written
        .next(Instant::now() + TEST_TIMEOUT)
        .expect_err("lost");
    assert!(matches!(error, WireError::Lost), "{error}");
    assert!(link.is_closed());
    drop(stop);
}

// Guards against an unknown outcome of a request that no target has received; it can go to another target.
// The far end reads nothing. One call is queued behind more data than the sockets hold, and another is
// made after writing has failed. No byte of either was written, so both certainly did not run.
#[test]
fn an_unwritten_call_is_not_run() {
    let (addr, stop) = start_unresponsive();
    let dialer = dialer(shared_keys());
    let link = connect(&dialer, addr);
    fill_sockets(&link);
    let mut waiting = link.call(Ask::Term(Empty {})).expect("queued");
    let error = waiting
        .next(Instant::now() + TEST_TIMEOUT)
        .expect_err("never written");
    assert!(error.not_run(), "{error}");
    let late = link.call(Ask::Term(Empty {})).expect_err("closed");
    assert!(late.not_run(), "{late}");
    drop(stop);
}

/// Guards against an unknown outcome of a call that waits for room in the queue until the link ends.
#[test]
fn a_call_that_waits_for_room_is_not_run() {
    let (addr, stop) = start_unresponsive();
    let dialer = dialer(shared_keys());
    let link = connect(&dialer, addr);
    fill_queue(&link);
    let error = link.call(Ask::Term(Empty {})).expect_err("no room");
    assert!(error.not_run(), "{error}");
    drop(stop);
}

// Guards against a truncated answer when the caller keeps sending to a process that ends.
// Part of the answer is still in the kernel's buffers when the process ends. If it exited with open sockets,
// each further byte would be answered with a reset, which discards the data that has not arrived. So the
// process first shuts down its sending side and waits for the caller's end to close.
#[test]
fn replies_arrive_while_the_caller_keeps_sending() {
    const PIECES: usize = 64;
    let (listener, calls) = serve(shared_keys());
    let mut session = open_session(listener.addr());
    send(&mut session, &[call_frame(1)]);
    let (_, mut responder) = calls.recv_timeout(TEST_TIMEOUT).expect("the call arrives");
    let reader = thread::spawn(move || count_replies(&mut session));
    for _ in 1..PIECES {
        let sent = responder.send(payload(vec![7; 64 << 10]));
        sent.expect("the link is open");
    }
    responder.finish(payload("end")).expect("the link is open");
    listener.finish(TEST_TIMEOUT);
    drop(listener);
    assert_eq!(reader.join().expect("reads to the end"), PIECES);
}

/// Opens a session with `addr` without the threads of a link.
fn open_session(addr: SocketAddr) -> Session {
    let key = shared_keys().peer.expect("a key");
    let socket = TcpStream::connect(addr).expect("connects");
    handshake::connect(socket, Role::Peer, "caller", &key).expect("the same key")
}

/// Reads in small pieces to the end of the stream, sends a heartbeat before each read and returns the
/// number of replies.
fn count_replies(session: &mut Session) -> usize {
    let mut replies = 0;
    let mut buffer = [0; 4 << 10];
    loop {
        while let Some(frame) = session.opener.open(&mut session.input).expect("sealed") {
            replies += usize::from(matches!(frame.item, Some(Item::Reply(_))));
        }
        let mut out = BytesMut::new();
        session.sealer.seal(&ping_frame(), &mut out).expect("small");
        // Fails once the far end has closed the connection; received data is still read.
        let _ = session.socket.write_all(&out);
        match session.socket.read(&mut buffer) {
            Ok(0) | Err(_) => return replies,
            Ok(n) => session.input.extend_from_slice(&buffer[..n]),
        }
    }
}

// Guards against a process that can't stop because one of its callers is frozen.
// The far end neither reads nor closes the connection. Without a limit, the wait for it would never end.
#[test]
fn shutdown_ends_despite_a_frozen_far_end() {
    let (listener, _calls) = serve(shared_keys());
    let session = open_session(listener.addr());
    listener.finish(Duration::ZERO);
    drop(session);
}

// Guards against an unknown outcome of a call that arrives while a process ends.
// The process still completes its last answers. If it accepted the call, its end would interrupt the call.
// It refuses the call as not run instead, and the caller can ask another process.
#[test]
fn calls_during_shutdown_are_refused() {
    let (listener, calls) = serve(shared_keys());
    let dialer = dialer(shared_keys());
    let link = connect(&dialer, listener.addr());
    let mut first = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, responder) = calls.recv_timeout(TEST_TIMEOUT).expect("the call arrives");
    let addr = listener.addr();
    let ending = thread::spawn(move || listener.finish(TEST_TIMEOUT));
    let until = Instant::now() + TEST_TIMEOUT;
    let late = loop {
        let error = link.ask(propose("late"), TEST_TIMEOUT);
        match error {
            Ok(_) => assert!(Instant::now() < until, "still accepted"),
            Err(error) => break error,
        }
    };
    assert!(late.not_run(), "{late}");
    responder
        .finish(payload("the last"))
        .expect("the link is open");
    let deadline = Instant::now() + TEST_TIMEOUT;
    assert_eq!(
        first.next(deadline).expect("in time"),
        Some(payload("the last"))
    );
    ending.join().expect("ends");
    let again = self::dialer(shared_keys()).link(addr, Role::Peer);
    assert!(again.expect_err("nobody listens").not_run());
}

fn ending_frame(last: u64) -> Frame {
    Frame {
        item: Some(Item::Ending(Ending { last })),
        ..Frame::default()
    }
}

/// Returns the error of a second call, whose far end answers the first one and then ends with the notice
/// that it accepted calls up to `last`.
fn error_after_ending(last: u64) -> WireError {
    let addr = start_scripted(move |mut session| {
        let (stream, _) = read_call(&mut session);
        send(&mut session, &[reply(stream, 0, true, "answer")]);
        read_call(&mut session);
        send(&mut session, &[ending_frame(last)]);
    });
    let dialer = dialer(shared_keys());
    let link = connect(&dialer, addr);
    link.ask(propose("first"), TEST_TIMEOUT).expect("answered");
    link.ask(propose("second"), TEST_TIMEOUT)
        .expect_err("not answered")
}

/// Guards against an unknown outcome of a call that reaches a process after its last accepted call.
#[test]
fn a_call_after_the_last_accepted_one_is_not_run() {
    let unseen = error_after_ending(1);
    assert!(unseen.not_run(), "{unseen}");
    let accepted = error_after_ending(2);
    assert!(!accepted.not_run(), "{accepted}");
}

/// Guards against a process that ends without a notice of which calls it accepted.
#[test]
fn an_ending_process_reports_its_last_accepted_call() {
    let (listener, calls) = serve(shared_keys());
    let mut session = open_session(listener.addr());
    send(&mut session, &[call_frame(1), call_frame(3)]);
    for _ in 0..2 {
        let (_, responder) = calls.recv_timeout(TEST_TIMEOUT).expect("the call arrives");
        responder
            .finish(payload("answer"))
            .expect("the link is open");
    }
    let stopping = thread::spawn(move || listener.finish(TEST_TIMEOUT));
    let mut frames = Vec::new();
    let mut buffer = [0; 4 << 10];
    loop {
        while let Some(frame) = session.opener.open(&mut session.input).expect("sealed") {
            frames.push(frame);
        }
        match session.socket.read(&mut buffer).expect("it is closed") {
            0 => break,
            n => session.input.extend_from_slice(&buffer[..n]),
        }
    }
    drop(session);
    stopping.join().expect("ends");
    assert_eq!(frames.last(), Some(&ending_frame(3)));
}
