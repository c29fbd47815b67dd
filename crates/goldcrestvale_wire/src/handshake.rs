//! The handshake: the first frame of each side, from which both derive the session keys.

use bytes::{BufMut, Bytes, BytesMut};
use snafu::{OptionExt, Snafu, ensure};

use crate::{
    codec::{Opener, Sealer},
    frame::Frame,
    key::{Keyring, Secret},
};

/// The result of a handshake.
pub type Result<T> = std::result::Result<T, Error>;

/// Length of a nonce, in bytes.
pub const NONCE_BYTES: usize = 16;

/// Maximum length of the first frame, in bytes without the length prefix.
pub const MAX_PREAMBLE_BYTES: usize = 256;

const PREAMBLE_KIND: u16 = 0;
const PREAMBLE_CONTEXT: &str = "goldcrestvale inner protocol, preamble key, version 1";
const SESSION_CONTEXT: &str = "goldcrestvale inner protocol, session key, version 1";

/// The reason why a handshake failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The first frame is longer than a preamble can be.
    #[snafu(display("the first frame has {length} bytes, more than {MAX_PREAMBLE_BYTES}"))]
    Oversized {
        /// Length of the frame.
        length: usize,
    },
    /// The tag matches no accepted secret.
    #[snafu(display("the first frame is not signed with an accepted secret"))]
    Tag,
    /// The first frame is not a preamble.
    #[snafu(display("the first frame is not a preamble"))]
    Layout,
    /// The other side claims the same role, as happens when a frame is reflected.
    #[snafu(display("the first frame claims the role of this side"))]
    Reflected,
}

/// The role of one side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The side that opened the connection.
    Dialer,
    /// The side that accepted the connection.
    Listener,
}

impl Role {
    fn byte(self) -> u8 {
        match self {
            Self::Dialer => 1,
            Self::Listener => 2,
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Listener,
            Self::Listener => Self::Dialer,
        }
    }
}

/// One side of a handshake.
///
/// # Examples
///
/// ```
/// use goldcrestvale_wire::prelude::*;
///
/// let keys = Keyring::new(Secret::new([7; 32]));
/// let dialer = Handshake::new(Role::Dialer, [1; 16], &keys);
/// let listener = Handshake::new(Role::Listener, [2; 16], &keys);
/// let (hello, answer) = (dialer.preamble(), listener.preamble());
/// dialer.accept(&answer[4..], 1024)?;
/// listener.accept(&hello[4..], 1024)?;
/// # Ok::<(), goldcrestvale_wire::handshake::Error>(())
/// ```
#[derive(Debug)]
pub struct Handshake<'a> {
    role: Role,
    nonce: [u8; NONCE_BYTES],
    keys: &'a Keyring,
}

/// The two halves of an authenticated connection.
#[derive(Debug)]
pub struct Session {
    /// Encodes the messages of this side.
    pub sealer: Sealer,
    /// Decodes the messages of the other side.
    pub opener: Opener,
}

impl<'a> Handshake<'a> {
    /// Creates a handshake. The nonce must be random and used only once.
    pub fn new(role: Role, nonce: [u8; NONCE_BYTES], keys: &'a Keyring) -> Self {
        Self { role, nonce, keys }
    }

    /// Returns the bytes to send first, with their length prefix.
    pub fn preamble(&self) -> Bytes {
        let mut body = BytesMut::with_capacity(1 + NONCE_BYTES);
        body.put_u8(self.role.byte());
        body.put_slice(&self.nonce);
        let mut sealed = BytesMut::new();
        let key = self.keys.primary.derive(PREAMBLE_CONTEXT);
        Frame::new(PREAMBLE_KIND, body.freeze()).seal(&key, 0, &mut sealed);
        let mut out = BytesMut::with_capacity(4 + sealed.len());
        out.put_u32(u32::try_from(sealed.len()).expect("a preamble has a few dozen bytes"));
        out.put_slice(&sealed);
        out.freeze()
    }

    /// Verifies the first frame of the other side, given without its length prefix.
    ///
    /// A preamble of a newer version is accepted if it starts with the fields of this version.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too long, not signed with an accepted secret, or not a preamble of
    /// the other role.
    pub fn accept(self, preamble: &[u8], max_frame_bytes: usize) -> Result<Session> {
        let length = preamble.len();
        ensure!(length <= MAX_PREAMBLE_BYTES, OversizedSnafu { length });
        let (secret, frame) = self.authenticate(preamble).context(TagSnafu)?;
        ensure!(frame.kind == PREAMBLE_KIND, LayoutSnafu);
        let (&role, rest) = frame.body.split_first().context(LayoutSnafu)?;
        let other_nonce = rest.first_chunk::<NONCE_BYTES>().context(LayoutSnafu)?;
        ensure!(role != self.role.byte(), ReflectedSnafu);
        ensure!(role == self.role.other().byte(), LayoutSnafu);
        let key = |secret: &Secret, sender: Role| session_key(secret, sender, &self, other_nonce);
        let sealer = Sealer::new(key(&self.keys.primary, self.role), max_frame_bytes);
        let opener = Opener::new(key(secret, self.role.other()), max_frame_bytes);
        Ok(Session { sealer, opener })
    }

    fn authenticate(&self, preamble: &[u8]) -> Option<(&'a Secret, Frame)> {
        let sealed = Bytes::copy_from_slice(preamble);
        self.keys.secrets().find_map(|secret| {
            let key = secret.derive(PREAMBLE_CONTEXT);
            Some((secret, Frame::open(&key, 0, sealed.clone())?))
        })
    }
}

/// Derives the key of one direction from both nonces, so that a recorded session cannot be
/// replayed to either side.
fn session_key(
    secret: &Secret,
    sender: Role,
    own: &Handshake<'_>,
    other_nonce: &[u8; NONCE_BYTES],
) -> [u8; 32] {
    let (dialer, listener) = match own.role {
        Role::Dialer => (&own.nonce, other_nonce),
        Role::Listener => (other_nonce, &own.nonce),
    };
    let mut hasher = blake3::Hasher::new_keyed(&secret.derive(SESSION_CONTEXT));
    hasher.update(&[sender.byte()]);
    hasher.update(dialer);
    hasher.update(listener);
    *hasher.finalize().as_bytes()
}
