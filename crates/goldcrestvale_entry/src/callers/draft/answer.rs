//! The answers and events that a caller receives.

use goldcrestvale_base::id::{Digest, Model, Request};
use serde::Serialize;

use super::driver::{Driver, Summary};

/// One committed token, an event of a streamed answer.
#[derive(Debug, Clone, Serialize)]
pub(super) struct TokenEvent {
    /// Position of the token in the answer, from 0.
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

/// An answer that is not streamed.
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
    pub(super) fn new(driver: &Driver, summary: Summary) -> Self {
        Self { id: driver.id(), count: summary.count, digest: summary.digest }
    }
}

impl Answer {
    pub(super) fn new(driver: &Driver, summary: Summary) -> Self {
        let tokens = driver.tokens();
        Self {
            id: driver.id(),
            model: driver.request().model.clone(),
            text: String::from_utf8_lossy(&bytes(tokens)).into_owned(),
            tokens: tokens.to_vec(),
            count: summary.count,
            digest: summary.digest,
        }
    }
}

/// Decodes tokens to text incrementally, holding back incomplete UTF-8 characters.
#[derive(Debug, Default)]
pub(super) struct Decoder {
    pending: Vec<u8>,
}

impl Decoder {
    /// Adds one token and returns the text that it completes.
    pub(super) fn push(&mut self, token: u32) -> String {
        self.pending.extend(bytes(&[token]));
        match std::str::from_utf8(&self.pending) {
            Ok(text) => {
                let text = text.to_owned();
                self.pending.clear();
                text
            }
            // The pending bytes are the start of a character.
            Err(e) if e.error_len().is_none() => String::new(),
            Err(_) => {
                let text = String::from_utf8_lossy(&self.pending).into_owned();
                self.pending.clear();
                text
            }
        }
    }
}

/// Returns the bytes that tokens represent; ids above 255 represent none.
fn bytes(tokens: &[u32]) -> Vec<u8> {
    tokens.iter().filter_map(|&token| u8::try_from(token).ok()).collect()
}
