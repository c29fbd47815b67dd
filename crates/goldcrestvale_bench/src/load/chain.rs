//! Drafts over a chain of engines without a router.

use std::net::SocketAddr;

use bytes::Bytes;
use goldcrestvale_base::id::{Model, Request};
use goldcrestvale_standin::client::{Connection, Protocol, Result};
use goldcrestvale_upstream::message::{
    Cancel, Layers, Step, StepAnswer, StepInput, StepName, StepOutput,
};
use http::Method;
use uuid::Uuid;

use super::Worker;

/// Sends each step of a draft to its engine, and the output of the last engine back to the first.
#[derive(Debug)]
pub struct Chain {
    stages: Vec<(Connection, Layers)>,
    model: Model,
    prompt: Vec<u32>,
    tokens: usize,
}

impl Chain {
    /// Opens a connection to each engine.
    ///
    /// # Errors
    ///
    /// Fails when an engine cannot be reached.
    pub async fn open(
        engines: &[(SocketAddr, Layers)],
        model: Model,
        prompt: &[u32],
        tokens: usize,
    ) -> Result<Self> {
        let mut stages = Vec::new();
        for &(address, layers) in engines {
            stages.push((Connection::open(address, Protocol::Http2).await?, layers));
        }
        Ok(Self { stages, model, prompt: prompt.to_vec(), tokens })
    }

    async fn draft(&mut self, request: Request) -> Result<bool> {
        let mut input = self.prompt.clone();
        let mut position = 0;
        for _ in 0..self.tokens {
            let width = u32::try_from(input.len()).unwrap_or(u32::MAX);
            let Some(token) = self.next_token(request, position, input).await? else {
                return Ok(false);
            };
            position += width;
            input = vec![token];
        }
        let cancel = Cancel { request, attempt: None };
        for (connection, _) in &mut self.stages {
            post(connection, "/v1/cancel", &cancel).await?;
        }
        Ok(true)
    }

    async fn next_token(
        &mut self,
        request: Request,
        position: u32,
        input: Vec<u32>,
    ) -> Result<Option<u32>> {
        let mut input = StepInput::Tokens(input);
        for ((connection, layers), stage) in self.stages.iter_mut().zip(0..) {
            let name = StepName { request, attempt: 1, position, stage };
            let step =
                Step { name, model: self.model.clone(), layers: *layers, priority: 0, input };
            let body = post(connection, "/v1/steps", &step).await?;
            input = match serde_json::from_slice::<StepAnswer>(&body).map(|answer| answer.output) {
                Ok(StepOutput::Activations(activations)) => StepInput::Activations(activations),
                Ok(StepOutput::Token(token)) => return Ok(Some(token)),
                Err(_) => return Ok(None),
            };
        }
        Ok(None)
    }
}

async fn post(
    connection: &mut Connection,
    path: &str,
    body: &impl serde::Serialize,
) -> Result<Bytes> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let request = connection.request(Method::POST, path, body.into())?;
    Ok(connection.send(request).await?.into_body())
}

impl Worker for Chain {
    async fn send(&mut self) -> bool {
        self.draft(Request(Uuid::now_v7())).await.unwrap_or(false)
    }
}
