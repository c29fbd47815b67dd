//! Engines that ended, and the requests that may have caused it.

use crate::{content::Content, id::Upstream, prompt::Parts};

domain! {
    copy
    /// How far the answer to a request had come at an engine.
    pub enum Progress {
        /// It was sent; nothing of an answer arrived.
        Waiting,
        /// The answer had begun and had no output yet.
        Begun,
    }
}

domain! {
    value
    /// A request that was at its start on an engine when the engine ended.
    pub struct Suspect {
        /// The content of the request.
        pub request: Content,
        /// Parts of its prompt that may be the cause.
        pub parts: Parts,
        /// How far its answer had come.
        pub progress: Progress,
    }

    /// The end of an engine, as one instance saw it.
    pub struct Crash {
        /// The engine.
        pub upstream: Upstream,
        /// When this incarnation of it started, in milliseconds since the Unix epoch.
        pub born_ms: Option<u64>,
        /// The requests of the instance that were at their start there.
        pub suspects: Vec<Suspect>,
    }
}
