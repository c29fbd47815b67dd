//! Assembles an entry instance from parts that register themselves.

use std::{fmt, future::Future, pin::Pin, sync::Arc};

use serde_json::{Map, Value};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::node::Node;

type Task = Pin<Box<dyn Future<Output = ()> + Send>>;
type Section = Box<dyn Fn() -> Value + Send + Sync>;
type ShutdownHook = Box<dyn FnOnce() -> Task + Send>;

/// A component of an entry instance.
pub trait Part {
    /// Registers the part's tasks, dump sections and shutdown hooks.
    fn register(self, builder: &mut Builder);
}

/// Sections of the state dump, by name.
#[derive(Default)]
pub struct Dump(Vec<(&'static str, Section)>);

impl Dump {
    /// Returns the state of the whole process as JSON, one field per section.
    pub fn collect(&self) -> Value {
        let section = |(name, read): &(&'static str, Section)| ((*name).to_owned(), read());
        Value::Object(self.0.iter().map(section).collect::<Map<_, _>>())
    }
}

impl fmt::Debug for Dump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(name, _)| name)).finish()
    }
}

/// Collects the parts of an instance before it runs.
pub struct Builder {
    node: Arc<Node>,
    stop: CancellationToken,
    tasks: Vec<Task>,
    dump: Dump,
    shutdown_hooks: Vec<ShutdownHook>,
}

impl Builder {
    /// Creates a builder without parts.
    pub fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            stop: CancellationToken::new(),
            tasks: Vec::new(),
            dump: Dump::default(),
            shutdown_hooks: Vec::new(),
        }
    }

    /// Adds a part.
    pub fn with(mut self, part: impl Part) -> Self {
        part.register(&mut self);
        self
    }

    /// Returns the shared state.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the token that is cancelled once all requests in progress have ended.
    pub fn stop(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Adds a task, which ends by itself when the stop token is cancelled.
    pub fn insert_task(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.push(Box::pin(task));
    }

    /// Adds a section to the state dump.
    pub fn insert_dump(
        &mut self,
        name: &'static str,
        read: impl Fn() -> Value + Send + Sync + 'static,
    ) {
        self.dump.0.push((name, Box::new(read)));
    }

    /// Adds a hook that runs after the last request has ended and before the tasks stop.
    pub fn insert_shutdown_hook<F>(&mut self, hook: impl FnOnce() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.shutdown_hooks.push(Box::new(move || Box::pin(hook())));
    }

    /// Starts the tasks.
    pub fn start(self) -> Daemon {
        let mut tasks = JoinSet::new();
        for task in self.tasks {
            tasks.spawn(task);
        }
        Daemon {
            node: self.node,
            stop: self.stop,
            tasks,
            dump: Arc::new(self.dump),
            shutdown_hooks: self.shutdown_hooks,
        }
    }
}

/// The running tasks of an entry instance.
pub struct Daemon {
    node: Arc<Node>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    dump: Arc<Dump>,
    shutdown_hooks: Vec<ShutdownHook>,
}

impl fmt::Debug for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon").field("dump", &self.dump).finish_non_exhaustive()
    }
}

impl Daemon {
    /// Returns the shared state.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Returns the state dump.
    pub fn dump(&self) -> &Arc<Dump> {
        &self.dump
    }

    /// Runs the shutdown hooks, then stops the tasks and waits for them.
    pub async fn finish(mut self) {
        for hook in self.shutdown_hooks {
            hook().await;
        }
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}
