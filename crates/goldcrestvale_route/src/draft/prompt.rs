//! A draft that has not started.

use std::time::Duration;

use goldcrestvale_base::{
    engine::StepName,
    exchange::Exchange,
    id::{Model, Request},
    time::Instant,
};
use snafu::{ResultExt, ensure};

use super::{
    Actions, Draft, Failure, Settings,
    action::{ChainSnafu, Error, LateSnafu, PromptSnafu},
};
use crate::chain::{Chain, Plan};

/// The result of starting a draft.
pub type Result<T> = std::result::Result<T, Failure>;

/// A caller's request for a draft; starting consumes it, so it can start only once.
#[derive(Debug, Clone)]
pub struct Prompt {
    pub(super) request: Request,
    pub(super) model: Model,
    /// The prompt, followed by the tokens that are already committed.
    pub(super) tokens: Vec<u32>,
    /// Length of the prompt without committed tokens.
    pub(super) length: usize,
    pub(super) max_tokens: u32,
    pub(super) stop: Option<u32>,
    pub(super) deadline: Option<Instant>,
    pub(super) priority: u8,
    pub(super) settings: Settings,
}

impl Prompt {
    /// Creates a prompt for an answer of at most `max_tokens` tokens.
    pub fn new(request: Request, model: Model, tokens: Vec<u32>, max_tokens: u32) -> Self {
        Self {
            request,
            model,
            length: tokens.len(),
            tokens,
            max_tokens,
            stop: None,
            deadline: None,
            priority: 0,
            settings: Settings::default(),
        }
    }

    /// Resumes an answer after tokens that the caller already has; call it at most once.
    pub fn resume(mut self, committed: &[u32]) -> Self {
        self.tokens.extend_from_slice(committed);
        self
    }

    /// Sets the token that ends the answer before `max_tokens` is reached.
    pub fn stop(mut self, token: u32) -> Self {
        self.stop = Some(token);
        self
    }

    /// Sets the time by which the answer must be complete.
    pub fn deadline(mut self, at: Instant) -> Self {
        self.deadline = Some(at);
        self
    }

    /// Sets the priority; higher values run first.
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the settings of the draft.
    pub fn settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Plans a chain and starts the draft.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_route::{chain::Planner, draft::Prompt};
    ///
    /// let request = "018f3c5e-0000-7000-8000-000000000001".parse()?;
    /// let prompt = Prompt::new(request, "amharic-notices".parse()?, vec![1, 2, 3], 16);
    /// let failure = prompt.start(Instant(0), &Planner::new(4, 1)).unwrap_err();
    /// assert!(failure.verdict.is_not_run());
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails for an empty prompt, a prompt for which no chain covers the model, and one whose
    /// first token is expected after the deadline. No step was sent then, and the verdict of the
    /// failure says so.
    pub fn start(self, now: Instant, planner: &dyn Plan) -> Result<(Draft, Actions)> {
        let exchange = Exchange::new();
        let retry_after = self.settings.retry_after;
        match self.chain(now, planner) {
            Ok(chain) => Ok(Draft::new(self, chain, exchange.send(), now, planner)),
            Err(error) => {
                let is_retryable = !matches!(error, Error::Prompt);
                let retry_after = is_retryable.then_some(retry_after);
                Err(Failure { error, verdict: exchange.refuse(), retry_after })
            }
        }
    }

    fn chain(&self, now: Instant, planner: &dyn Plan) -> std::result::Result<Chain, Error> {
        ensure!(self.length > 0, PromptSnafu);
        let chain = planner.plan(planner.span(), &[]).context(ChainSnafu)?;
        let positions = self.tokens.len() as u32;
        let needed = chain.time(positions, self.settings.chunk);
        self.check_time(now, needed)?;
        Ok(chain)
    }

    /// Checks that a token expected in `needed` arrives before the deadline.
    pub(super) fn check_time(
        &self,
        now: Instant,
        needed: Duration,
    ) -> std::result::Result<(), Error> {
        let Some(deadline) = self.deadline else { return Ok(()) };
        ensure!(now + needed <= deadline, LateSnafu { needed, left: deadline.since(now) });
        Ok(())
    }

    pub(super) fn step_name(&self, attempt: u32, position: u32, stage: u32) -> StepName {
        StepName { request: self.request, attempt, position, stage }
    }
}
