//! What a caller is answered.

use goldcrestvale_base::id::{Digest, Model, Request};
use serde::Serialize;

use super::driver::{Relay, Whole};

/// One committed token of a streamed answer.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Piece {
    /// Place of the token in the answer, from 0.
    pub(super) position: u32,
    /// The token.
    pub(super) token: u32,
    /// The text that this token completes; empty while a character is incomplete.
    pub(super) text: String,
}

/// The last event of a streamed answer.
#[derive(Debug, Clone, Serialize)]
pub(super) struct End {
    id: Request,
    count: u32,
    digest: Digest,
}

/// A plain answer.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Answer {
    id: Request,
    model: Model,
    text: String,
    tokens: Vec<u32>,
    count: u32,
    digest: Digest,
}

impl End {
    pub(super) fn new(relay: &Relay, whole: Whole) -> Self {
        Self { id: relay.id(), count: whole.count, digest: whole.digest }
    }
}

impl Answer {
    pub(super) fn new(relay: &Relay, whole: Whole) -> Self {
        let tokens = relay.tokens();
        Self {
            id: relay.id(),
            model: relay.ask().model.clone(),
            text: String::from_utf8_lossy(&bytes(tokens)).into_owned(),
            tokens: tokens.to_vec(),
            count: whole.count,
            digest: whole.digest,
        }
    }
}

/// Turns tokens into text as they come, holding back incomplete UTF-8 characters.
#[derive(Debug, Default)]
pub(super) struct Text {
    pending: Vec<u8>,
}

impl Text {
    /// Takes one token and returns the text that it completes.
    pub(super) fn push(&mut self, token: u32) -> String {
        self.pending.extend(bytes(&[token]));
        match std::str::from_utf8(&self.pending) {
            Ok(text) => {
                let text = text.to_owned();
                self.pending.clear();
                text
            }
            // The bytes so far may begin a character.
            Err(e) if e.error_len().is_none() => String::new(),
            Err(_) => {
                let text = String::from_utf8_lossy(&self.pending).into_owned();
                self.pending.clear();
                text
            }
        }
    }
}

/// Returns the bytes that tokens stand for; ids above 255 stand for none.
fn bytes(tokens: &[u32]) -> Vec<u8> {
    tokens.iter().filter_map(|&token| u8::try_from(token).ok()).collect()
}
