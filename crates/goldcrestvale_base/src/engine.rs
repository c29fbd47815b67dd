//! Types shared by engines and the router: layers, steps, accelerators and desired states.

use crate::id::{Model, Request};

domain! {
    copy
    /// A half-open range of layers, `from..to`.
    pub struct Layers {
        /// The first layer.
        pub from: u32,
        /// One past the last layer.
        pub to: u32,
    }

    /// The identity of one step. An answer is accepted only if all four fields match the pending
    /// step.
    pub struct StepName {
        /// The caller's request.
        pub request: Request,
        /// Number of the chain that serves the request, from 1.
        pub attempt: u32,
        /// First position of the step, from 0 at the first token of the prompt.
        pub position: u32,
        /// Index of the stage in the chain, from 0.
        pub stage: u32,
    }
}

domain! {
    value
    /// A kind of accelerator.
    #[serde(rename_all = "kebab-case")]
    pub enum Accelerator {
        /// A large accelerator of the current generation.
        Large,
        /// A medium accelerator.
        Medium,
        /// A small or old accelerator.
        Small,
    }

    /// A range of layers that an engine holds.
    pub struct Held {
        /// The model.
        pub model: Model,
        /// Version of the weights.
        pub version: String,
        /// The layers.
        pub layers: Layers,
        /// Adapters loaded for the model.
        #[serde(default)]
        pub adapters: Vec<String>,
    }

    /// The input of a stage for positions `position..position + n`.
    #[serde(rename_all = "kebab-case")]
    pub enum StepInput {
        /// Tokens, for the stage that holds layer 0.
        Tokens(Vec<u32>),
        /// One activation per position, from the previous stage.
        Activations(Vec<u64>),
    }

    /// The output of a stage for positions `position..position + n`.
    #[serde(rename_all = "kebab-case")]
    pub enum StepOutput {
        /// One activation per position, for the next stage.
        Activations(Vec<u64>),
        /// The token after the last position, from the stage that holds the last layer.
        Token(u32),
    }

    /// The body of `POST /v1/steps`.
    pub struct Step {
        /// Identity of the step.
        pub name: StepName,
        /// The model.
        pub model: Model,
        /// Layers to run; the engine must hold all of them.
        pub layers: Layers,
        /// Priority; steps with a higher value run first.
        #[serde(default)]
        pub priority: u8,
        /// Input of the first of these layers.
        pub input: StepInput,
    }

    /// A desired state of an engine.
    #[serde(rename_all = "kebab-case")]
    pub enum Desired {
        /// Hold these layers, loaded from the weights store.
        Load(Held),
        /// Do not hold this model.
        Unload(Model),
        /// Accept prompts, tokens or both.
        Role(EngineRole),
    }

    /// The kind of work that an engine accepts.
    #[serde(rename_all = "kebab-case")]
    pub enum EngineRole {
        /// Prompts only.
        Prefill,
        /// Tokens only.
        Decode,
        /// Both.
        Mixed,
    }
}

impl Layers {
    /// Returns the number of layers.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::engine::Layers;
    ///
    /// assert_eq!(Layers { from: 4, to: 10 }.len(), 6);
    /// ```
    pub fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Returns whether the range is empty.
    pub fn is_empty(self) -> bool {
        self.from >= self.to
    }

    /// Returns whether every layer of another range is in this one.
    pub fn covers(self, other: Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }
}

impl StepInput {
    /// Returns the number of positions.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::engine::StepInput;
    ///
    /// assert_eq!(StepInput::Tokens(vec![4, 9]).positions(), 2);
    /// ```
    pub fn positions(&self) -> u32 {
        let positions = match self {
            Self::Tokens(tokens) => tokens.len(),
            Self::Activations(activations) => activations.len(),
        };
        u32::try_from(positions).unwrap_or(u32::MAX)
    }
}
