//! One streamed draft with the arrival time of each token.

use std::{io, net::SocketAddr, time::Instant};

use goldcrestvale_base::id::Request;
use goldcrestvale_standin::{
    caller::Caller,
    fleet::{LAYERS, MODEL},
    reference,
};
use serde_json::json;

/// One streamed draft with the time of each of its tokens.
#[derive(Debug)]
pub struct Draft {
    /// Id of the request, if the draft completed.
    pub request: Option<Request>,
    /// Arrival time of each token.
    pub times: Vec<Instant>,
    /// Whether the answer was complete and correct.
    pub correct: bool,
    /// Cause and detail of an error that ended the answer early.
    pub error: Option<String>,
}

impl Draft {
    /// Runs a draft; `on_token` gets the number of tokens after each token.
    pub(super) async fn run(
        caller: Caller,
        entry: SocketAddr,
        number: usize,
        prompt: usize,
        count: u32,
        on_token: impl Fn(u32),
    ) -> io::Result<Self> {
        // Prompts differ from the start, so that none shares a cached prefix with another.
        let prompt: String =
            format!("{number} {}", "notice ".repeat(prompt / 7 + 1)).chars().take(prompt).collect();
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": count, "stream": true });
        let mut events = caller.stream(entry, "/v1/completions", &body).await?;
        let (mut times, mut tokens) = (Vec::new(), Vec::new());
        let (mut request, mut error) = (None, None);
        while let Some(event) = events.next().await? {
            match event.name.as_str() {
                "token" => {
                    times.push(Instant::now());
                    tokens.extend(event.data["token"].as_u64().and_then(|t| u32::try_from(t).ok()));
                    on_token(u32::try_from(tokens.len()).unwrap_or(u32::MAX));
                }
                "end" => request = event.data["id"].as_str().and_then(|id| id.parse().ok()),
                _ => error = Some(format!("{}: {}", event.data["cause"], event.data["detail"])),
            }
        }
        let prompt: Vec<u32> = prompt.bytes().map(u32::from).collect();
        let expected = reference::answer(&prompt, LAYERS, count as usize);
        Ok(Self { correct: request.is_some() && tokens == expected, request, times, error })
    }
}
