//! Two ends of a link over loopback, and far ends that follow a script.

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

/// How long anything may take before a test gives up; no test passes by waiting it out.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn keys(text: &str) -> Keyring {
    let key = Key::from_text(text).expect("long enough");
    Keyring {
        peer: Some(key),
        agent: None,
    }
}

pub fn good_keys() -> Keyring {
    keys("a key of the peers")
}

/// Refuses every call.
pub struct Silent;

impl Handler for Silent {
    fn handle(&self, _: &Remote, _: Ask, responder: Responder) {
        responder.refuse("nothing is served here", 0);
    }
}

/// Answers `Propose` by its own payload, thrice; passes every other call to the test.
pub struct Echo {
    pub calls: Sender<(Ask, Responder)>,
}

impl Handler for Echo {
    fn handle(&self, _: &Remote, ask: Ask, mut responder: Responder) {
        match ask {
            Ask::Propose(Payload { body }) => {
                responder
                    .send(payload(body.clone()))
                    .expect("the link stands");
                responder
                    .send(payload(body.clone()))
                    .expect("the link stands");
                responder.finish(payload(body)).expect("the link stands");
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
    Dialer::new("caller", keys, Arc::new(Silent))
}

pub fn propose(text: &str) -> Ask {
    Ask::Propose(Payload {
        body: Bytes::copy_from_slice(text.as_bytes()),
    })
}

/// A far end that completes the handshake and then answers as the test says.
pub fn scripted(script: impl FnOnce(handshake::Session) + Send + 'static) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = socket.local_addr().expect("bound");
    std::thread::spawn(move || {
        let (connection, _) = socket.accept().expect("the caller connects");
        script(handshake::accept(connection, "server", &good_keys()).expect("the same key"));
    });
    addr
}

pub fn reply(stream: u64, seq: u32, last: bool, text: &str) -> Frame {
    let told = Reply {
        tell: Some(payload(text.to_owned())),
    };
    Frame {
        stream,
        seq,
        last,
        item: Some(Item::Reply(told)),
    }
}

pub fn first_call(session: &mut handshake::Session) -> (u64, Call) {
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
