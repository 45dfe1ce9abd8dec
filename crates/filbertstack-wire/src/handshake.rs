//! The handshake, in which each end proves that it holds the role's key without sending the key.

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
use crate::frame::constant_time_eq;
use crate::keys::Key;
use crate::keys::Keyring;
use crate::keys::Role;
use crate::link::Remote;
use crate::messages::Hello;

/// The longest time that either end waits for each step of the handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest handshake message, in bytes: three short fields.
const MAX_HELLO: usize = 512;

/// A connection whose two ends have authenticated each other.
#[derive(Debug)]
pub struct Session {
    /// The socket.
    pub socket: TcpStream,
    /// The identity of the far end.
    pub remote: Remote,
    /// Encodes and authenticates outgoing frames.
    pub sealer: Sealer,
    /// Verifies and decodes incoming frames.
    pub opener: Opener,
    /// The bytes received after the handshake: the start of the far end's frames.
    pub input: BytesMut,
}

/// Runs the handshake as the end that connected.
///
/// # Errors
/// [`WireError::Handshake`] if the far end does not hold the key; I/O errors.
pub fn connect(socket: TcpStream, role: Role, name: &str, key: &Key) -> Result<Session, WireError> {
    let mut exchange = HelloExchange::new(socket)?;
    let own_hello = Hello::new(role, name);
    exchange.send(&own_hello)?;
    let remote_hello: Hello = exchange.receive()?;
    let transcript = Transcript {
        key,
        caller: &own_hello,
        server: &remote_hello,
    };
    if !constant_time_eq(transcript.proof(b"server").as_bytes(), &remote_hello.proof) {
        return Err(WireError::Handshake("it does not hold this role's key"));
    }
    let proof = transcript.proof(b"caller").as_bytes().to_vec();
    exchange.send(&Hello {
        proof,
        ..Hello::default()
    })?;
    let remote = Remote {
        role,
        name: remote_hello.name.as_str().into(),
    };
    Ok(exchange.into_session(remote, &transcript, b"caller", b"server"))
}

/// Runs the handshake as the end that accepted the connection.
///
/// # Errors
/// [`WireError::Handshake`] if the far end does not hold the key of the role it names; I/O errors.
pub fn accept(socket: TcpStream, name: &str, keys: &Keyring) -> Result<Session, WireError> {
    let mut exchange = HelloExchange::new(socket)?;
    let remote_hello: Hello = exchange.receive()?;
    let role =
        Role::try_from(remote_hello.role).map_err(|_| WireError::Handshake("an unknown role"))?;
    let key = keys
        .get(role)
        .ok_or(WireError::Handshake("a role that is not served here"))?;
    let mut own_hello = Hello::new(role, name);
    let proof = Transcript {
        key,
        caller: &remote_hello,
        server: &own_hello,
    }
    .proof(b"server");
    own_hello.proof = proof.as_bytes().to_vec();
    exchange.send(&own_hello)?;
    let answer: Hello = exchange.receive()?;
    let transcript = Transcript {
        key,
        caller: &remote_hello,
        server: &own_hello,
    };
    if !constant_time_eq(transcript.proof(b"caller").as_bytes(), &answer.proof) {
        return Err(WireError::Handshake(
            "it does not hold the key of the role it names",
        ));
    }
    let remote = Remote {
        role,
        name: remote_hello.name.as_str().into(),
    };
    Ok(exchange.into_session(remote, &transcript, b"server", b"caller"))
}

/// The values that both ends have exchanged; every proof and derived key depends on them.
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

    /// Returns the proof that the end named by `label` holds the key.
    fn proof(&self, label: &[u8]) -> blake3::Hash {
        self.key.mac(&self.parts(label))
    }

    /// Returns the key for the frames that the end named by `label` sends.
    fn frame_key(&self, label: &[u8]) -> Key {
        let label = [label, b" frames"].concat();
        self.key.derive(&self.parts(&label))
    }
}

/// Sends and receives the messages of the handshake.
struct HelloExchange {
    socket: TcpStream,
    codec: LengthDelimitedCodec,
    input: BytesMut,
}

impl HelloExchange {
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
        own_label: &[u8],
        remote_label: &[u8],
    ) -> Session {
        let sealer = Sealer::new(transcript.frame_key(own_label));
        let opener = Opener::new(transcript.frame_key(remote_label));
        Session {
            socket: self.socket,
            remote,
            sealer,
            opener,
            input: self.input,
        }
    }
}
