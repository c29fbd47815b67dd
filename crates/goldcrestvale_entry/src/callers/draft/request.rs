//! Parsing of draft requests.

use std::time::Duration;

use goldcrestvale_base::{
    content::Content,
    id::{Customer, Model},
    prompt::{Part, Parts},
};
use goldcrestvale_config::record;
use serde::Deserialize;

use crate::{
    callers::auth::Caller,
    node::Node,
    refusal::{Cause, Refusal, Result},
};

/// The body of `POST /v1/completions`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    model: Model,
    prompt: Prompt,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume: Vec<u32>,
}

/// Text, each UTF-8 byte of which is a token, or token ids.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Tokens(Vec<u32>),
}

/// A validated draft request.
#[derive(Debug, Clone)]
pub(super) struct DraftRequest {
    /// Identifier of the content, by which the draft is recognized when it comes again.
    pub(super) content: Content,
    pub(super) customer: Customer,
    pub(super) model: Model,
    pub(super) layers: u32,
    /// Version of the weights that is in effect.
    pub(super) version: String,
    pub(super) prompt: Vec<u32>,
    /// Tokens that the caller already received in an earlier answer to the same prompt.
    pub(super) resume: Vec<u32>,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) priority: u8,
    pub(super) timeout: Duration,
}

impl DraftRequest {
    pub(super) fn parse(body: &[u8], caller: &Caller, node: &Node) -> Result<Self> {
        let malformed = |e| Refusal::unsent(Cause::Malformed, format!("the body: {e}"));
        let body: Body = serde_json::from_slice(body).map_err(malformed)?;
        let config = node.config.load();
        let model = config
            .models
            .get(&body.model)
            .ok_or_else(|| Refusal::unsent(Cause::Unknown, format!("no model {}", body.model)))?;
        let target = record::Target::Model(body.model.clone());
        let binding = config.binding(&caller.customer, &target).ok_or_else(|| {
            let detail = format!("{} may not use {target}", caller.customer);
            Refusal::unsent(Cause::NotBound, detail)
        })?;
        let prompt = match body.prompt {
            Prompt::Text(text) => text.bytes().map(u32::from).collect(),
            Prompt::Tokens(tokens) => tokens,
        };
        let allowed = node.settings.draft.max_tokens;
        check_size(prompt.len(), body.resume.len(), body.max_tokens, allowed, &model.body)?;
        let timeout = caller.deadline_ms.map(Duration::from_millis);
        let content = Content::of(&[
            caller.customer.as_str().as_bytes(),
            body.model.as_str().as_bytes(),
            &bytes(&prompt),
            &body.max_tokens.to_le_bytes(),
        ]);
        Ok(Self {
            content,
            customer: caller.customer.clone(),
            layers: model.body.layers,
            version: model.body.version.clone(),
            model: body.model,
            prompt,
            resume: body.resume,
            max_tokens: body.max_tokens,
            stream: body.stream,
            priority: caller.priority.unwrap_or(binding.body.priority),
            timeout: timeout.unwrap_or(node.settings.draft.deadline),
        })
    }
}

/// Number of tokens in a part of a prompt, counted from its beginning.
const PART_TOKENS: usize = 64;

/// Number of prompt positions that take as long as one token of an answer.
const PROMPT_POSITIONS_PER_TOKEN: usize = 32;

impl DraftRequest {
    /// Returns the parts of the prompt. A customer's prompts with the same text at the same position
    /// share a part.
    pub(super) fn parts(&self) -> Parts {
        let part = |tokens: &[u32]| Part::of(&bytes(tokens)).of_customer(self.customer.as_str());
        self.prompt.chunks(PART_TOKENS).map(part).collect()
    }

    /// Returns the expected work, in tokens of an answer.
    pub(super) fn cost(&self) -> u32 {
        let prompt = self.prompt.len().div_ceil(PROMPT_POSITIONS_PER_TOKEN) as u32;
        let resumed = self.resume.len() as u32;
        prompt + self.max_tokens.saturating_sub(resumed)
    }
}

fn bytes(tokens: &[u32]) -> Vec<u8> {
    tokens.iter().flat_map(|token| token.to_le_bytes()).collect()
}

fn check_size(
    prompt: usize,
    resumed: usize,
    max_tokens: u32,
    allowed: u32,
    model: &record::Model,
) -> Result<()> {
    let malformed = |detail: String| Err(Refusal::unsent(Cause::Malformed, detail));
    if prompt == 0 {
        return malformed("the prompt is empty".to_owned());
    }
    if max_tokens == 0 || max_tokens > allowed {
        return malformed(format!("max_tokens is {max_tokens}, allowed are 1 to {allowed}"));
    }
    if resumed > max_tokens as usize {
        return malformed(format!("resume holds {resumed} tokens, max_tokens is {max_tokens}"));
    }
    let context = model.context_tokens;
    if prompt + max_tokens as usize > context as usize {
        let needed = prompt + max_tokens as usize;
        return malformed(format!(
            "prompt and answer take {needed} tokens, the model has {context}"
        ));
    }
    Ok(())
}
