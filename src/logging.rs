//! Structured logging: one line per event, as key=value or JSON.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
};

use log::{
    LevelFilter, Record,
    kv::{Key, Source, Value, VisitSource},
};
use serde_json::{Map, json};

/// The format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// `time=… level=… event="…" key=value`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Settings of logging, section `log`.
#[derive(Debug, Clone, Copy)]
pub struct Logging {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// Format of a line.
    pub format: Format,
    /// Destination of the lines.
    pub output: Output,
}

/// The destination of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Output {
    /// Standard error, written synchronously.
    #[default]
    Stderr,
    /// Standard output, through a bounded queue: while the reader is too slow, lines are dropped
    /// and counted, and the program is never blocked.
    Stdout,
}

/// Maximum number of lines queued for standard output.
const MAX_QUEUED_LINES: usize = 4_096;

impl Default for Logging {
    fn default() -> Self {
        Self { level: LevelFilter::Info, format: Format::Text, output: Output::Stderr }
    }
}

/// Starts logging.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn init(logging: &Logging) -> Result<(), log::SetLoggerError> {
    let format = logging.format;
    let dispatch = fern::Dispatch::new()
        .level(logging.level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("h2", LevelFilter::Warn)
        .format(move |out, _, record| match format {
            Format::Text => out.finish(format_args!("{}", text_line(record))),
            Format::Json => out.finish(format_args!("{}", json_line(record))),
        });
    match logging.output {
        Output::Stderr => dispatch.chain(io::stderr()).apply(),
        Output::Stdout => dispatch.chain(queued_stdout()).apply(),
    }
}

/// Returns a sink that passes lines to a writer thread, and drops them while the queue is full.
fn queued_stdout() -> fern::Output {
    let (sender, receiver) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let unreported = dropped.clone();
    thread::spawn(move || {
        let mut output = io::stdout();
        for line in receiver {
            let count = unreported.swap(0, Ordering::Relaxed);
            if count > 0 {
                // An error means that standard output is closed: no reader is left to report it to.
                let _ =
                    writeln!(output, "{}", json!({ "event": "log lines dropped", "lines": count }));
            }
            let _ = output.write_all(line.as_bytes());
        }
    });
    fern::Output::call(move |record| {
        let line = format!("{}\n", record.args());
        if sender.try_send(line).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    })
}

/// Collects the key-value pairs of a record.
#[derive(Default)]
struct KeyValues(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value)
            .unwrap_or_else(|_| serde_json::Value::String(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn key_values(record: &Record<'_>) -> Map<String, serde_json::Value> {
    let mut pairs = KeyValues::default();
    // Collecting into a map does not fail.
    let _ = Source::visit(record.key_values(), &mut pairs);
    pairs.0
}

fn time() -> String {
    jiff::Timestamp::now().strftime("%Y-%m-%dT%H:%M:%S%.3fZ").to_string()
}

fn json_line(record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("time".to_owned(), time().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("event".to_owned(), record.args().to_string().into());
    line.extend(key_values(record));
    serde_json::Value::Object(line).to_string()
}

fn text_line(record: &Record<'_>) -> String {
    let mut line = format!(
        "time={} level={} event={}",
        time(),
        record.level(),
        serde_json::Value::from(record.args().to_string())
    );
    for (key, value) in key_values(record) {
        line.push_str(&format!(" {key}={}", text_value(&value)));
    }
    line
}

/// Returns simple words as they are, and all other text in quotes.
fn text_value(value: &serde_json::Value) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
    match value {
        serde_json::Value::String(text) if !text.is_empty() && text.chars().all(plain) => {
            text.clone()
        }
        value => value.to_string(),
    }
}
