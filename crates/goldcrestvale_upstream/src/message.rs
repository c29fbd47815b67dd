//! JSON bodies of the requests to engines and of their answers.

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
        /// Identity of the step that was run.
        pub name: StepName,
        /// Output of its last layer.
        pub output: StepOutput,
    }

    /// The body of `POST /v1/cancel`, which drops the state of one attempt or of all attempts.
    pub struct Cancel {
        /// The caller's request.
        pub request: Request,
        /// The attempt, or `None` for all attempts.
        pub attempt: Option<u32>,
    }

    /// The KV cache of one attempt at one stage: the answer to `GET /v1/kv/{request}/{attempt}`
    /// and the body of `POST /v1/kv`.
    pub struct Kv {
        /// The caller's request.
        pub request: Request,
        /// The attempt that the cache belongs to.
        pub attempt: u32,
        /// The model.
        pub model: Model,
        /// The layers that the cache covers.
        pub layers: Layers,
        /// Number of positions that the cache covers, from position 0.
        pub positions: u32,
        /// The cached state, opaque to the router.
        pub state: String,
    }

    /// The reason for a refusal, in the body of an answer with status 4xx or 5xx.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The engine is leaving and accepts no new work.
        Leaving,
        /// The engine is overloaded.
        Busy,
        /// The engine does not hold the model or the layers.
        NotHeld,
        /// The positions before this step are missing from the engine's KV cache.
        Gap,
        /// The fencing token of the order is older than one already seen.
        Fenced,
        /// The sender is not authorized to send orders.
        Sender,
        /// The body is malformed.
        Malformed,
    }

    /// The body of a refusal.
    pub struct RefusalBody {
        /// The reason.
        pub refusal: Refusal,
        /// A message for people.
        pub detail: String,
    }

    /// The answer to `GET /v1/load`, which may be stale.
    pub struct Load {
        /// Name of the engine.
        pub upstream: Upstream,
        /// Random identifier of this run of the engine, as hexadecimal text.
        pub incarnation: String,
        /// Kind of accelerator.
        pub accelerator: Accelerator,
        /// The layers that the engine holds.
        pub holds: Vec<Held>,
        /// Number of running steps.
        pub running: u32,
        /// Number of queued steps.
        pub waiting: u32,
        /// Size of the KV cache in use, in bytes.
        pub kv_bytes: u64,
        /// Age of this report in milliseconds.
        pub age_ms: u64,
        /// Whether the engine is leaving.
        pub leaving: bool,
    }

    /// The answer to `GET /load` of an instance of a plain service, which may be stale.
    pub struct ServiceLoad {
        /// Name of the instance.
        pub upstream: Upstream,
        /// Random identifier of this run of the instance, as hexadecimal text.
        pub incarnation: String,
        /// Number of running requests.
        pub running: u32,
        /// Number of queued requests.
        pub waiting: u32,
        /// Age of this report in milliseconds.
        pub age_ms: u64,
        /// Whether the instance is leaving.
        pub leaving: bool,
    }

    /// A change of a cached prefix.
    #[serde(rename_all = "kebab-case")]
    pub enum CacheChange {
        /// The prefix is cached.
        Stored,
        /// The prefix was evicted.
        Evicted,
    }

    /// A cache event. Events may be late, and their sequence may have gaps.
    pub struct CacheEvent {
        /// Sequence number within this run of the engine.
        pub sequence: u64,
        /// Digest of the tokens of the prefix, as specified in `docs/INTERFACES.md`.
        pub prefix: u64,
        /// The change.
        pub change: CacheChange,
    }

    /// The answer to `GET /v1/events?from=N`.
    pub struct CacheEvents {
        /// Sequence number from which to request the next events.
        pub next: u64,
        /// The events that were not lost.
        pub events: Vec<CacheEvent>,
    }

    /// The body of `POST /v1/orders`.
    pub struct Order {
        /// Fencing token: the offset of the sender's lease record.
        pub fence: Offset,
        /// The sender's order token, verified by engines that authenticate the sender.
        pub token: String,
        /// The desired state.
        pub desired: Desired,
    }

    /// The answer to `GET /v1/orders`, which is always current.
    pub struct Orders {
        /// Highest fencing token of an order that took effect.
        pub fence: Option<Offset>,
        /// The layers that the engine holds.
        pub holds: Vec<Held>,
        /// The layers that the engine is loading.
        pub loading: Vec<Held>,
        /// The kind of work that the engine accepts.
        pub role: EngineRole,
    }
}
