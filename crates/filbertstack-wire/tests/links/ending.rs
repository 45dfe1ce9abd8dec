//! How links end: what has arrived is still read, and nothing waits for a far end that is gone.

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

use crate::support::PATIENCE;
use crate::support::dialer;
use crate::support::first_call;
use crate::support::good_keys;
use crate::support::propose;
use crate::support::reply;
use crate::support::scripted;
use crate::support::serve;

/// Holds up the reading thread of its link at each call, until the test lets go.
struct Held {
    entered: Sender<()>,
    release: Mutex<Receiver<()>>,
}

impl Handler for Held {
    fn handle(&self, _: &Remote, _: Ask, responder: Responder) {
        self.entered.send(()).expect("the script waits");
        let release = self.release.lock().expect("one reader");
        let _ = release.recv_timeout(PATIENCE);
        responder.refuse("nothing is served here", 0);
    }
}

fn send(session: &mut Session, frames: &[Frame]) {
    let mut out = BytesMut::new();
    for frame in frames {
        session.sealer.seal(frame, &mut out).expect("small");
    }
    session.socket.write_all(&out).expect("the link stands");
}

/// A call of the far end.
fn asked(stream: u64) -> Frame {
    Frame {
        stream,
        item: Some(Item::Call(call(Ask::Term(Empty {})))),
        ..Frame::default()
    }
}

fn ping() -> Frame {
    Frame {
        item: Some(Item::Ping(Empty {})),
        ..Frame::default()
    }
}

fn connect(dialer: &Dialer, addr: SocketAddr) -> Link {
    dialer.link(addr, Role::Peer).expect("connects")
}

/// A far end that reads nothing until the sender is dropped.
fn reads_nothing() -> (SocketAddr, Sender<()>) {
    let (stop, stopped) = channel();
    let addr = scripted(move |session| {
        let _session = session;
        let _ = stopped.recv_timeout(PATIENCE);
    });
    (addr, stop)
}

/// Sends more than the buffers of both sockets hold, and less than may wait on a link.
fn fill(link: &Link) {
    let body = Bytes::from(vec![7; 512 << 10]);
    for _ in 0..15 {
        let told = link.tell(Ask::Gossip(Payload { body: body.clone() }));
        told.expect("the link has room");
    }
}

/// Sends until as much waits as a link takes, with the writing thread held up by the far end.
fn fill_up(link: &Link) {
    let body = Bytes::from(vec![7; 512 << 10]);
    let gossip = || Ask::Gossip(Payload { body: body.clone() });
    let mut refused = 0;
    // The writing thread may take what waits once more between two refusals.
    while refused < 2 {
        match link.tell(gossip()) {
            Ok(()) => refused = 0,
            Err(WireError::Overflow) => refused += 1,
            Err(error) => panic!("the link takes nothing: {error}"),
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Writes to `link` until it sends no more.
fn wait_for_failed_write(link: &Link) {
    let until = Instant::now() + PATIENCE;
    while link.tell(Ask::Term(Empty {})).is_ok() {
        assert!(Instant::now() < until, "writing did not fail");
        thread::yield_now();
    }
}

// The caller gets the whole answer of a process that wrote it and ended.
// The answer waits in the socket behind something that the reader is at; this end's next heartbeat
// meets a closed connection. A write that fails says nothing of what the far end sent before it:
// with the link closed at once, the caller's stream breaks off ("cause=writing failed ... calls=1").
#[test]
fn an_answer_that_has_arrived_is_read_although_writing_fails() {
    const PIECES: u32 = 4;
    let (entered, is_held) = channel();
    let (release, released) = channel();
    let (gone, far_gone) = channel();
    let addr = scripted(move |mut session| {
        let (stream, _) = first_call(&mut session);
        send(&mut session, &[asked(1)]);
        is_held
            .recv_timeout(PATIENCE)
            .expect("the reader is held up");
        let pieces: Vec<_> = (0..PIECES)
            .map(|seq| reply(stream, seq, seq + 1 == PIECES, "a piece"))
            .collect();
        send(&mut session, &pieces);
        drop(session);
        gone.send(()).expect("the test waits");
    });
    let release_reader = Mutex::new(released);
    let held = Held {
        entered,
        release: release_reader,
    };
    let dialer = Dialer::new("caller", good_keys(), Arc::new(held));
    let link = connect(&dialer, addr);
    let mut replies = link.call(Ask::Term(Empty {})).expect("sent");
    far_gone.recv_timeout(PATIENCE).expect("the far end ends");
    wait_for_failed_write(&link);
    assert!(link.is_closed(), "a link that can't send takes new calls");
    release.send(()).expect("the reader is held up");
    let deadline = Instant::now() + PATIENCE;
    for _ in 0..PIECES {
        let piece = replies.next(deadline).expect("what has arrived");
        assert_eq!(piece, Some(payload("a piece")));
    }
    assert_eq!(replies.next(deadline).expect("the end"), None);
}

// The caller sees its call end as lost, and the link's threads end.
// The far end sends heartbeats but never reads: the write times out, and the far end shows no end of
// its stream. Without a bound the reader would go on for as long as heartbeats come.
#[test]
fn a_far_end_that_sends_but_never_reads_is_given_up() {
    let (stop, stopped) = channel::<()>();
    let addr = scripted(move |mut session| {
        let mut out = BytesMut::new();
        while stopped.recv_timeout(Duration::from_millis(100)).is_err() {
            session.sealer.seal(&ping(), &mut out).expect("small");
            if session.socket.write_all(&out.split()).is_err() {
                return;
            }
        }
    });
    let dialer = dialer(good_keys());
    let link = connect(&dialer, addr);
    let mut written = link.call(Ask::Term(Empty {})).expect("sent");
    fill(&link);
    let error = written.next(Instant::now() + PATIENCE).expect_err("lost");
    assert!(matches!(error, WireError::Lost), "{error}");
    assert!(link.is_closed());
    drop(stop);
}

// The caller's request, which no target has seen, goes to another target instead of ending as unknown.
// The far end reads nothing; a call waits behind more than the sockets hold, and another is made
// after writing has failed. Not a byte of either left this process, so both certainly did not run.
#[test]
fn a_call_of_which_nothing_was_written_certainly_did_not_run() {
    let (addr, stop) = reads_nothing();
    let dialer = dialer(good_keys());
    let link = connect(&dialer, addr);
    fill(&link);
    let mut waiting = link.call(Ask::Term(Empty {})).expect("queued");
    let error = waiting
        .next(Instant::now() + PATIENCE)
        .expect_err("never written");
    assert!(error.not_run(), "{error}");
    let late = link.call(Ask::Term(Empty {})).expect_err("closed");
    assert!(late.not_run(), "{late}");
    drop(stop);
}

/// Guards against a call that finds the link full, and is told as unknown once the link ends.
#[test]
fn a_call_that_waits_for_room_on_a_link_that_ends_certainly_did_not_run() {
    let (addr, stop) = reads_nothing();
    let dialer = dialer(good_keys());
    let link = connect(&dialer, addr);
    fill_up(&link);
    let error = link.call(Ask::Term(Empty {})).expect_err("no room");
    assert!(error.not_run(), "{error}");
    drop(stop);
}

// The caller gets the whole answer although the process that gave it ends while part of the answer
// still waits in its kernel, and the caller's end goes on sending.
// A process that ends with its sockets open answers each further byte with a reset, and a reset throws
// away what has not arrived. So the process ends its side first, and waits for the caller's end.
#[test]
fn what_was_sent_arrives_although_the_caller_sends_on() {
    const PIECES: usize = 64;
    let (listener, calls) = serve(good_keys());
    let mut session = connected(listener.addr());
    send(&mut session, &[asked(1)]);
    let (_, mut responder) = calls.recv_timeout(PATIENCE).expect("the call arrives");
    let reader = thread::spawn(move || read_slowly(&mut session));
    for _ in 1..PIECES {
        let sent = responder.send(payload(vec![7; 64 << 10]));
        sent.expect("the link stands");
    }
    responder.finish(payload("end")).expect("the link stands");
    listener.finish(PATIENCE);
    drop(listener);
    assert_eq!(reader.join().expect("reads to the end"), PIECES);
}

/// A link's connection to `addr`, without the link's threads.
fn connected(addr: SocketAddr) -> Session {
    let key = good_keys().peer.expect("a key");
    let socket = TcpStream::connect(addr).expect("connects");
    handshake::connect(socket, Role::Peer, "caller", &key).expect("the same key")
}

/// Reads replies in small pieces to the end of the stream, sending a heartbeat after each of them, and
/// counts the replies.
fn read_slowly(session: &mut Session) -> usize {
    let mut replies = 0;
    let mut buffer = [0; 4 << 10];
    loop {
        while let Some(frame) = session.opener.open(&mut session.input).expect("sealed") {
            replies += usize::from(matches!(frame.item, Some(Item::Reply(_))));
        }
        let mut out = BytesMut::new();
        session.sealer.seal(&ping(), &mut out).expect("small");
        // It fails once the far end is gone; what has arrived is read all the same.
        let _ = session.socket.write_all(&out);
        match session.socket.read(&mut buffer) {
            Ok(0) | Err(_) => return replies,
            Ok(n) => session.input.extend_from_slice(&buffer[..n]),
        }
    }
}

// An agent's stop ends although one of its callers is frozen.
// The far end neither reads on nor closes. Without a bound the process would wait for it for good.
#[test]
fn a_far_end_that_does_not_close_holds_up_no_stop() {
    let (listener, _calls) = serve(good_keys());
    let session = connected(listener.addr());
    listener.finish(Duration::ZERO);
    drop(session);
}

// The caller of a process that ends learns at once that its call did not run, and asks another.
// A call comes while the last answers are still being made. Taken, it would be cut off by the end of
// the process and its outcome be unknown.
#[test]
fn a_call_that_comes_during_the_end_is_refused() {
    let (listener, calls) = serve(good_keys());
    let dialer = dialer(good_keys());
    let link = connect(&dialer, listener.addr());
    let mut first = link.call(Ask::Term(Empty {})).expect("sent");
    let (_, responder) = calls.recv_timeout(PATIENCE).expect("the call arrives");
    let addr = listener.addr();
    let ending = thread::spawn(move || listener.finish(PATIENCE));
    let until = Instant::now() + PATIENCE;
    let late = loop {
        let error = link.ask(propose("late"), PATIENCE);
        match error {
            Ok(_) => assert!(Instant::now() < until, "still taken"),
            Err(error) => break error,
        }
    };
    assert!(late.not_run(), "{late}");
    responder.finish(payload("the last")).expect("it stands");
    let deadline = Instant::now() + PATIENCE;
    assert_eq!(
        first.next(deadline).expect("in time"),
        Some(payload("the last"))
    );
    ending.join().expect("ends");
    let again = self::dialer(good_keys()).link(addr, Role::Peer);
    assert!(again.expect_err("nobody listens").not_run());
}

fn ending(last: u64) -> Frame {
    Frame {
        item: Some(Item::Ending(Ending { last })),
        ..Frame::default()
    }
}

/// The outcome of a call to a far end that has answered one, and then ends without having taken calls
/// after `last`.
fn outcome_at_an_end(last: u64) -> WireError {
    let addr = scripted(move |mut session| {
        let (stream, _) = first_call(&mut session);
        send(&mut session, &[reply(stream, 0, true, "answer")]);
        first_call(&mut session);
        send(&mut session, &[ending(last)]);
    });
    let dialer = dialer(good_keys());
    let link = connect(&dialer, addr);
    link.ask(propose("first"), PATIENCE).expect("answered");
    link.ask(propose("second"), PATIENCE)
        .expect_err("not answered")
}

/// Guards against an unknown outcome of a call that crosses the end of the process that it is sent to.
#[test]
fn a_call_that_crosses_an_end_did_not_run() {
    let crossed = outcome_at_an_end(1);
    assert!(crossed.not_run(), "{crossed}");
    let taken = outcome_at_an_end(2);
    assert!(!taken.not_run(), "{taken}");
}

/// Guards against a process that ends without a word on which calls it took.
#[test]
fn a_process_that_ends_tells_which_calls_it_took() {
    let (listener, calls) = serve(good_keys());
    let mut session = connected(listener.addr());
    send(&mut session, &[asked(1), asked(3)]);
    for _ in 0..2 {
        let (_, responder) = calls.recv_timeout(PATIENCE).expect("the call arrives");
        responder.finish(payload("answer")).expect("it stands");
    }
    let stopping = thread::spawn(move || listener.finish(PATIENCE));
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
    assert_eq!(frames.last(), Some(&ending(3)));
}
