//! Runs programs as separate processes, for tests and measurement.

use std::{
    collections::VecDeque,
    io,
    path::Path,
    process::Stdio,
    sync::{Arc, Mutex, PoisonError},
};

use nix::{sys::signal, unistd::Pid};
pub use signal::Signal;
use tokio::{
    io::{AsyncBufReadExt, AsyncRead, BufReader},
    process::{Child, Command},
    sync::Notify,
};
use tokio_util::task::TaskTracker;

/// A running program whose last lines of output are kept; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    id: Pid,
    output: Arc<Output>,
    readers: TaskTracker,
}

/// Maximum number of lines that are kept; older ones are dropped.
const MAX_LINES: usize = 10_000;

/// The last lines of standard output and standard error.
#[derive(Debug, Default)]
struct Output {
    lines: Mutex<VecDeque<String>>,
    changed: Notify,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn spawn(program: &Path, arguments: &[String]) -> io::Result<Self> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", program.display())))?;
        let id = child.id().ok_or_else(|| io::Error::other("the process has ended"))?;
        let output = Arc::new(Output::default());
        let readers = TaskTracker::new();
        if let Some(stdout) = child.stdout.take() {
            readers.spawn(collect(stdout, output.clone()));
        }
        if let Some(stderr) = child.stderr.take() {
            readers.spawn(collect(stderr, output.clone()));
        }
        readers.close();
        Ok(Self { child, id: Pid::from_raw(id as i32), output, readers })
    }

    /// Waits for a line that contains a text and returns it.
    ///
    /// # Errors
    ///
    /// Fails when the process ends without such a line.
    pub async fn wait_line(&mut self, text: &str) -> io::Result<String> {
        loop {
            let changed = self.output.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(line) = self.find_line(text) {
                return Ok(line);
            }
            tokio::select! {
                () = changed => {}
                status = self.child.wait() => {
                    let lines = self.lines().join("\n");
                    let status = status?;
                    return Err(io::Error::other(format!("ended with {status}:\n{lines}")));
                }
            }
        }
    }

    /// Returns the first kept line that contains a text.
    pub fn find_line(&self, text: &str) -> Option<String> {
        self.lines().into_iter().find(|line| line.contains(text))
    }

    /// Returns the lines that are kept.
    pub fn lines(&self) -> Vec<String> {
        let lines = self.output.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }

    /// Waits until the process has closed its output and returns the lines that are kept.
    pub async fn output(&self) -> String {
        self.readers.wait().await;
        self.lines().join("\n")
    }

    /// Returns the id of the process.
    pub fn id(&self) -> i32 {
        self.id.as_raw()
    }

    /// Sends a signal, for example `SIGTERM`, `SIGKILL`, `SIGSTOP` or `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        signal::kill(self.id, signal).map_err(io::Error::from)
    }

    /// Waits for the process to end and returns its exit code, or `None` if a signal ended it.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn wait(&mut self) -> io::Result<Option<i32>> {
        Ok(self.child.wait().await?.code())
    }
}

async fn collect(stream: impl AsyncRead + Unpin, output: Arc<Output>) {
    let mut lines = BufReader::new(stream).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let mut kept = output.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() == MAX_LINES {
            kept.pop_front();
        }
        kept.push_back(line);
        drop(kept);
        output.changed.notify_waiters();
    }
}

/// Returns the value of a `key=value` pair in a log line.
///
/// # Examples
///
/// ```
/// use goldcrestvale_standin::process::value_of;
///
/// assert_eq!(value_of("event=listening callers=127.0.0.1:80", "callers"), Some("127.0.0.1:80"));
/// ```
pub fn value_of<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let pair = |word: &'a str| word.strip_prefix(key)?.strip_prefix('=');
    line.split(' ').find_map(pair)
}
