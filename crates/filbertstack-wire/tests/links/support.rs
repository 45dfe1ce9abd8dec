//! Listeners and dialers over loopback, and far ends that a test controls frame by frame.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_wire::Dialer;
use filbertstack_wire::Handler;
use filbertstack_wire::Key;
use filbertstack_wire::Keyring;
use filbertstack_wire::Listener;
use filbertstack_wire::Remote;
use filbertstack_wire::Responder;
use filbertstack_wire::handshake;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Call;
use filbertstack_wire::messages::Frame;
use filbertstack_wire::messages::Item;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Reply;
use filbertstack_wire::stream::payload;

/// The limit of each wait, after which a test fails. No test needs the full time to pass.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn peer_keys(text: &str) -> Keyring {
    let key = Key::from_text(text).expect("long enough");
    Keyring {
        peer: Some(key),
        agent: None,
    }
}

/// Returns the keys that the listener and the far ends of the tests use.
pub fn shared_keys() -> Keyring {
    peer_keys("a key of the peers")
}

/// Refuses every call.
pub struct RefuseAll;

impl Handler for RefuseAll {
    fn handle(&self, _: &Remote, _: Ask, responder: Responder) {
        responder.refuse("nothing is served here", 0);
    }
}

/// Answers `Propose` with three copies of its payload; passes every other call to the test.
pub struct Echo {
    pub calls: Sender<(Ask, Responder)>,
}

impl Handler for Echo {
    fn handle(&self, _: &Remote, ask: Ask, mut responder: Responder) {
        match ask {
            Ask::Propose(Payload { body }) => {
                responder
                    .send(payload(body.clone()))
                    .expect("the link is open");
                responder
                    .send(payload(body.clone()))
                    .expect("the link is open");
                responder.finish(payload(body)).expect("the link is open");
            }
            ask => self.calls.send((ask, responder)).expect("the test waits"),
        }
    }
}

pub fn serve(keys: Keyring) -> (Listener, Receiver<(Ask, Responder)>) {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (calls, received) = channel();
    let listener = Listener::start(socket, "server", keys, Arc::new(Echo { calls }));
    (listener.expect("starts"), received)
}

pub fn dialer(keys: Keyring) -> Dialer {
    Dialer::new("caller", keys, Arc::new(RefuseAll))
}

pub fn propose(text: &str) -> Ask {
    Ask::Propose(Payload {
        body: Bytes::copy_from_slice(text.as_bytes()),
    })
}

/// Starts a far end that completes one handshake and then runs `script`.
pub fn start_scripted(script: impl FnOnce(handshake::Session) + Send + 'static) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = socket.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (connection, _) = socket.accept().expect("the caller connects");
        script(handshake::accept(connection, "server", &shared_keys()).expect("the same key"));
    });
    addr
}

pub fn reply(stream: u64, seq: u32, last: bool, text: &str) -> Frame {
    let message = Reply {
        tell: Some(payload(text.to_owned())),
    };
    Frame {
        stream,
        seq,
        last,
        item: Some(Item::Reply(message)),
    }
}

/// Reads frames up to the next call; returns the call and its stream.
pub fn read_call(session: &mut handshake::Session) -> (u64, Call) {
    let mut buffer = [0; 4096];
    loop {
        let frame = session.opener.open(&mut session.input).expect("sealed");
        let frame = frame.unwrap_or_default();
        if let Some(Item::Call(call)) = frame.item {
            return (frame.stream, call);
        }
        let n = session.socket.read(&mut buffer).expect("the caller writes");
        session.input.extend_from_slice(&buffer[..n]);
    }
}
