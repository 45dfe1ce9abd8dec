//! Tests of the end of links: frames that have arrived are still read.

use std::future::poll_fn;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::task::Poll;
use std::thread;
use std::time::Duration;

use filbertstack_gateway::link::Dialer;
use filbertstack_gateway::link::messages::Answer;
use filbertstack_gateway::link::messages::Body;
use filbertstack_gateway::link::messages::Empty;
use filbertstack_gateway::link::messages::Frame;
use filbertstack_gateway::link::messages::Notification;
use filbertstack_gateway::link::messages::Question;
use filbertstack_gateway::link::messages::Reply;
use filbertstack_gateway::link::messages::Rows;
use prost::Message;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(20);

fn read_frame(socket: &mut TcpStream) -> Frame {
    let mut length = [0; 4];
    socket.read_exact(&mut length).expect("a length");
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    socket.read_exact(&mut body).expect("a frame");
    Frame::decode(&body[..]).expect("it decodes")
}

fn write_frame(socket: &mut TcpStream, frame: &Frame) {
    let body = frame.encode_to_vec();
    let length = u32::try_from(body.len()).expect("short");
    let sent = [&length.to_be_bytes()[..], &body].concat();
    socket.write_all(&sent).expect("the link stands");
}

/// Lets the tasks that are ready run. Tasks that wait for a socket do not, as the runtime does not poll for
/// input meanwhile.
async fn yield_to_tasks() {
    let mut ran = false;
    poll_fn(|cx| {
        if ran {
            return Poll::Ready(());
        }
        ran = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Starts a peer that answers one question once it is signalled to, and then closes its connection.
fn start_peer(asked: Sender<()>, answer_now: Receiver<()>, closed: Sender<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("it dials");
        let question = read_frame(&mut socket);
        asked.send(()).expect("the test waits");
        answer_now.recv_timeout(TIMEOUT).expect("the test signals");
        let reply = Some(Reply::Done(Empty {}));
        let answer = Frame {
            id: question.id,
            body: Some(Body::Answer(Answer { reply })),
        };
        write_frame(&mut socket, &answer);
        drop(socket);
        closed.send(()).expect("the test waits");
    });
    addr
}

// The asker gets the answer of a peer that answers and then closes its connection.
// The answer waits in the socket while this end writes to the connection, which is closed by then. The
// failed write says nothing about what the peer sent before. If it ended the link at once, the answer would
// be lost and the outcome of the question unknown.
#[test]
fn an_answer_that_has_arrived_is_read_although_writing_fails() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (asked, was_asked) = channel();
        let (signal_peer, answer_now) = channel();
        let (closed, was_closed) = channel();
        let dialer = Dialer::default();
        let link = dialer
            .link(start_peer(asked, answer_now, closed))
            .await
            .expect("dialled");
        let asking = link.clone();
        let question = Question::NodeStatus(Empty {});
        let answer = spawn_local(async move { asking.ask(question, TIMEOUT).await });
        while was_asked.try_recv().is_err() {
            sleep(Duration::from_millis(1)).await;
        }
        signal_peer.send(()).expect("the peer waits");
        // Blocks this thread, and with it the task that reads the link, until the peer has closed.
        was_closed.recv_timeout(TIMEOUT).expect("it closes");
        let telling = spawn_local(async move {
            while link.tell(Notification::Rows(Rows::default())) {
                yield_to_tasks().await;
            }
        });
        telling.await.expect("no panic");
        let reply = answer.await.expect("no panic").expect("an answer");
        assert_eq!(reply, Reply::Done(Empty {}));
    });
}
