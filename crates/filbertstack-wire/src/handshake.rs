//! The handshake: each end proves that it holds the role's key, without sending it.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::WireError;
use crate::frame::Opener;
use crate::frame::Sealer;
use crate::frame::same;
use crate::keys::Key;
use crate::keys::Keyring;
use crate::keys::Role;
use crate::link::Remote;
use crate::messages::Hello;

/// How long either end waits for each step of the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest handshake message, in bytes: three short fields.
const MAX_HELLO: usize = 512;

/// A connection whose two ends have proved themselves.
#[derive(Debug)]
pub struct Session {
    /// The socket.
    pub socket: TcpStream,
    /// Who is at the far end.
    pub remote: Remote,
    /// Seals what goes out.
    pub sealer: Sealer,
    /// Opens what comes in.
    pub opener: Opener,
    /// What came in behind the handshake: the first frames of the far end.
    pub input: BytesMut,
}

/// Opens a session as the end that connected.
///
/// # Errors
/// [`WireError::Handshake`] if the far end does not hold the key; I/O errors.
pub fn connect(socket: TcpStream, role: Role, name: &str, key: &Key) -> Result<Session, WireError> {
    let mut pipe = Pipe::new(socket)?;
    let own = Hello::new(role, name);
    pipe.send(&own)?;
    let far: Hello = pipe.receive()?;
    let transcript = Transcript {
        key,
        caller: &own,
        server: &far,
    };
    if !same(transcript.proof(b"server").as_bytes(), &far.proof) {
        return Err(WireError::Handshake("it does not hold this role's key"));
    }
    let proof = transcript.proof(b"caller").as_bytes().to_vec();
    pipe.send(&Hello {
        proof,
        ..Hello::default()
    })?;
    let remote = Remote {
        role,
        name: far.name.as_str().into(),
    };
    Ok(pipe.into_session(remote, &transcript, b"caller", b"server"))
}

/// Opens a session as the end that was connected to.
///
/// # Errors
/// [`WireError::Handshake`] if the far end does not hold the key it names; I/O errors.
pub fn accept(socket: TcpStream, name: &str, keys: &Keyring) -> Result<Session, WireError> {
    let mut pipe = Pipe::new(socket)?;
    let far: Hello = pipe.receive()?;
    let role = Role::try_from(far.role).map_err(|_| WireError::Handshake("an unknown role"))?;
    let key = keys
        .get(role)
        .ok_or(WireError::Handshake("a role that is not served here"))?;
    let mut own = Hello::new(role, name);
    let proof = Transcript {
        key,
        caller: &far,
        server: &own,
    }
    .proof(b"server");
    own.proof = proof.as_bytes().to_vec();
    pipe.send(&own)?;
    let answer: Hello = pipe.receive()?;
    let transcript = Transcript {
        key,
        caller: &far,
        server: &own,
    };
    if !same(transcript.proof(b"caller").as_bytes(), &answer.proof) {
        return Err(WireError::Handshake(
            "it does not hold the key of the role it names",
        ));
    }
    let remote = Remote {
        role,
        name: far.name.as_str().into(),
    };
    Ok(pipe.into_session(remote, &transcript, b"server", b"caller"))
}

/// What both ends have seen, which every proof and key is bound to.
struct Transcript<'a> {
    key: &'a Key,
    caller: &'a Hello,
    server: &'a Hello,
}

impl Transcript<'_> {
    fn parts<'s>(&'s self, label: &'s [u8]) -> [&'s [u8]; 5] {
        let (caller, server) = (self.caller, self.server);
        [
            label,
            &caller.nonce,
            caller.name.as_bytes(),
            &server.nonce,
            server.name.as_bytes(),
        ]
    }

    fn proof(&self, label: &[u8]) -> blake3::Hash {
        self.key.mac(&self.parts(label))
    }

    fn direction(&self, label: &[u8]) -> Key {
        let label = [label, b" frames"].concat();
        self.key.derive(&self.parts(&label))
    }
}

struct Pipe {
    socket: TcpStream,
    codec: LengthDelimitedCodec,
    input: BytesMut,
}

impl Pipe {
    fn new(socket: TcpStream) -> Result<Self, WireError> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(HANDSHAKE_TIMEOUT))?;
        socket.set_write_timeout(Some(HANDSHAKE_TIMEOUT))?;
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_HELLO)
            .new_codec();
        Ok(Self {
            socket,
            codec,
            input: BytesMut::new(),
        })
    }

    fn send(&mut self, hello: &Hello) -> Result<(), WireError> {
        let mut out = BytesMut::new();
        self.codec
            .encode(Bytes::from(hello.encode_to_vec()), &mut out)?;
        Ok(self.socket.write_all(&out)?)
    }

    fn receive(&mut self) -> Result<Hello, WireError> {
        let mut buffer = [0; MAX_HELLO];
        loop {
            if let Some(body) = self.codec.decode(&mut self.input)? {
                return Hello::decode(body).map_err(|_| WireError::Handshake("no greeting"));
            }
            let n = self.socket.read(&mut buffer)?;
            if n == 0 {
                return Err(WireError::Handshake(
                    "it closed the connection; it may lack the key",
                ));
            }
            self.input.extend_from_slice(&buffer[..n]);
        }
    }

    fn into_session(
        self,
        remote: Remote,
        transcript: &Transcript<'_>,
        own: &[u8],
        far: &[u8],
    ) -> Session {
        let sealer = Sealer::new(transcript.direction(own));
        let opener = Opener::new(transcript.direction(far));
        Session {
            socket: self.socket,
            remote,
            sealer,
            opener,
            input: self.input,
        }
    }
}
