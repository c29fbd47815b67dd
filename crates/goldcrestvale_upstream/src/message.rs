//! Bodies of the engines' requests and answers, as JSON.

use goldcrestvale_base::{
    domain,
    id::{Model, Offset, Request, Upstream},
};

pub use goldcrestvale_base::engine::{
    Accelerator, Desired, EngineRole, Held, Layers, Step, StepInput, StepName, StepOutput,
};

domain! {
    value
    /// The answer to a step.
    pub struct StepAnswer {
        /// Name of the step that was run.
        pub name: StepName,
        /// Output of the last of its layers.
        pub output: StepOutput,
    }

    /// The body of `POST /v1/cancel`: drops the state of one attempt, or of all attempts.
    pub struct Cancel {
        /// The caller's request.
        pub request: Request,
        /// The attempt, or `None` for all.
        pub attempt: Option<u32>,
    }

    /// The KV cache of one attempt at one stage: the answer to
    /// `GET /v1/kv/{request}/{attempt}` and the body of `POST /v1/kv`.
    pub struct Kv {
        /// The caller's request.
        pub request: Request,
        /// The attempt that the cache belongs to.
        pub attempt: u32,
        /// The model.
        pub model: Model,
        /// The layers that it covers.
        pub layers: Layers,
        /// Number of positions that it covers, from position 0.
        pub positions: u32,
        /// The cached state, which only engines interpret.
        pub state: String,
    }

    /// Why an engine refuses a request, in the body of an answer with status 4xx or 5xx.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The engine is leaving and takes no new work.
        Leaving,
        /// The engine holds too much work.
        Busy,
        /// The engine does not hold the model or the layers.
        NotHeld,
        /// The positions before this step are not in the engine's KV cache.
        Gap,
        /// The order's fencing number is older than one already seen.
        Fenced,
        /// The sender may not give orders.
        Sender,
        /// The body is malformed.
        Malformed,
    }

    /// The body of a refusal.
    pub struct RefusalBody {
        /// The cause.
        pub refusal: Refusal,
        /// A sentence for people.
        pub detail: String,
    }

    /// The answer to `GET /v1/load`; it lags.
    pub struct Load {
        /// Name of the engine.
        pub upstream: Upstream,
        /// Random bits of this life of the engine, as hexadecimal text.
        pub incarnation: String,
        /// Kind of accelerator.
        pub accelerator: Accelerator,
        /// What the engine holds.
        pub holds: Vec<Held>,
        /// Steps running.
        pub running: u32,
        /// Steps waiting.
        pub waiting: u32,
        /// Bytes of KV cache in use.
        pub kv_bytes: u64,
        /// Age of this report in milliseconds.
        pub age_ms: u64,
        /// Whether the engine is leaving.
        pub leaving: bool,
    }

    /// The answer to `GET /load` of an instance of a plain service; it lags.
    pub struct ServiceLoad {
        /// Name of the instance.
        pub upstream: Upstream,
        /// Random bits of this life of the instance, as hexadecimal text.
        pub incarnation: String,
        /// Requests running.
        pub running: u32,
        /// Requests waiting.
        pub waiting: u32,
        /// Age of this report in milliseconds.
        pub age_ms: u64,
        /// Whether the instance is leaving.
        pub leaving: bool,
    }

    /// What happened to a cached prefix.
    #[serde(rename_all = "kebab-case")]
    pub enum CacheChange {
        /// The prefix is cached.
        Stored,
        /// The prefix was evicted.
        Evicted,
    }

    /// One cache event; events come late and with gaps in their sequence.
    pub struct CacheEvent {
        /// Sequence number within the engine's life.
        pub sequence: u64,
        /// Digest of the tokens of the prefix, from the digest function of `docs/INTERFACES.md`.
        pub prefix: u64,
        /// What happened.
        pub change: CacheChange,
    }

    /// The answer to `GET /v1/events?from=N`.
    pub struct CacheEvents {
        /// Sequence number to ask from next.
        pub next: u64,
        /// The events that were not lost.
        pub events: Vec<CacheEvent>,
    }

    /// The body of `POST /v1/orders`.
    pub struct Order {
        /// Fencing number: the offset of the sender's lease record.
        pub fence: Offset,
        /// The sender's order token, checked by engines that check the sender.
        pub token: String,
        /// The desired state.
        pub desired: Desired,
    }

    /// The answer to `GET /v1/orders`, which does not lag.
    pub struct Orders {
        /// Highest fencing number of an order that took effect.
        pub fence: Option<Offset>,
        /// What the engine holds.
        pub holds: Vec<Held>,
        /// What it is loading.
        pub loading: Vec<Held>,
        /// What work it takes.
        pub role: EngineRole,
    }
}
