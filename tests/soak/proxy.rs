//! A proxy on loopback whose connections can be harmed while it runs.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// What is done to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// Bytes of both directions wait that long.
    Delay(Duration),
    /// Connections are closed, new ones at once.
    Reset,
    /// What goes to the server is swallowed.
    CutThere,
    /// What comes from the server is swallowed.
    CutBack,
    /// Both directions are swallowed.
    Silence,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    harm: Arc<Mutex<Harm>>,
}

#[derive(Clone, Copy, PartialEq)]
enum Way {
    There,
    Back,
}

impl Proxy {
    /// Starts a proxy before `server`.
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Self {
            addr: listener.local_addr().expect("bound"),
            harm: Arc::new(Mutex::new(Harm::None)),
        };
        let kept = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = kept.clone();
                thread::spawn(move || proxy.carry(stream, server));
            }
        });
        proxy
    }

    /// Does this to all connections from now on.
    pub fn set(&self, harm: Harm) {
        *self.harm.lock().expect("not poisoned") = harm;
    }

    /// Whether connections are closed now.
    pub fn is_reset(&self) -> bool {
        self.harm() == Harm::Reset
    }

    fn harm(&self) -> Harm {
        *self.harm.lock().expect("not poisoned")
    }

    fn carry(&self, caller: TcpStream, server: SocketAddr) {
        if self.harm() == Harm::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(server) else {
            return;
        };
        let (Ok(from), Ok(to)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        let proxy = self.clone();
        thread::spawn(move || proxy.copy(server, caller, Way::Back));
        self.copy(from, to, Way::There);
    }

    /// Copies one direction until either end closes. A connection that lost bytes is of no use any
    /// more: it stays silent and is closed when the harm is over.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, way: Way) {
        // So that a reset is done while nothing comes.
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let mut bytes = [0; 16 << 10];
        let mut lost = false;
        loop {
            let read = match from.read(&mut bytes) {
                Ok(0) => break,
                Ok(read) => read,
                Err(e) if is_timeout(&e) => 0,
                Err(_) => break,
            };
            let harm = self.harm();
            let swallowed = match harm {
                Harm::Reset => break,
                Harm::Silence => true,
                Harm::CutThere => way == Way::There,
                Harm::CutBack => way == Way::Back,
                Harm::None | Harm::Delay(_) => false,
            };
            if swallowed {
                lost |= read > 0;
                continue;
            }
            if lost {
                break;
            }
            if let Harm::Delay(span) = harm {
                thread::sleep(span);
            }
            if to.write_all(&bytes[..read]).is_err() {
                break;
            }
        }
        // Either may be closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
