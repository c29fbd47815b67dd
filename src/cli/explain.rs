//! `goldcrestvale explain`.

use std::{
    collections::BTreeSet,
    fs,
    io::{self, BufRead, BufReader, Write},
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::Args;
use jiff::{SignedDuration, Timestamp};
use serde_json::Value;

use super::{Exit, client::print_error};

/// Time before a request from which the events of its upstreams are shown.
const LOOKBACK: SignedDuration = SignedDuration::from_secs(5);

/// Keys of a log line that name an upstream.
const UPSTREAM_KEYS: [&str; 3] = ["upstream", "engine", "head"];

/// Shows from logs what happened to a request, and why.
#[derive(Debug, Args)]
pub struct Explain {
    /// Identifier of the request's attempt.
    #[arg(value_name = "ID")]
    request: String,
    /// Log files in JSON format.
    #[arg(value_name = "FILE", required = true)]
    files: Vec<PathBuf>,
}

/// A parsed log line and its original text.
#[derive(Debug, Clone)]
struct LogLine {
    time: Timestamp,
    fields: Value,
    text: String,
}

impl Explain {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let mut lines = Vec::new();
        for path in &self.files {
            if let Err(e) = read(path, &mut lines) {
                print_error(&format!("cannot read {}: {e}", path.display()));
                return Exit::Usage.into();
            }
        }
        let timeline = select_lines(&self.request, &lines);
        if timeline.is_empty() {
            print_error(&format!("no log line for request {:?}", self.request));
            return Exit::Failed.into();
        }
        let mut output = io::stdout().lock();
        for line in timeline {
            if let Err(e) = writeln!(output, "{}", line.text) {
                print_error(&format!("cannot write: {e}"));
                return Exit::Failed.into();
            }
        }
        Exit::Done.into()
    }
}

fn read(path: &Path, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for line in BufReader::new(fs::File::open(path)?).split(b'\n') {
        let text = String::from_utf8_lossy(&line?).into_owned();
        // A log collector may prefix the line with its own fields.
        let Some(start) = text.find('{') else { continue };
        let Ok(fields) = serde_json::from_str::<Value>(&text[start..]) else { continue };
        let time = fields["time"].as_str().and_then(|time| time.parse().ok());
        if let Some(time) = time {
            lines.push(LogLine { time, fields, text });
        }
    }
    Ok(())
}

/// Returns the lines of a request, and those of its upstreams and dependencies around it, by time.
fn select_lines<'l>(request: &str, lines: &'l [LogLine]) -> Vec<&'l LogLine> {
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.fields["request"] == request).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|line| line.time).min(), own.iter().map(|line| line.time).max())
    else {
        return Vec::new();
    };
    let duration = own.iter().filter_map(|line| line.fields["millis"].as_i64()).max().unwrap_or(0);
    let start = first - SignedDuration::from_millis(duration) - LOOKBACK;
    let mut upstreams = BTreeSet::new();
    for line in &own {
        let tried = line.fields["tried"].as_str().unwrap_or_default();
        upstreams.extend(tried.split(',').filter(|name| !name.is_empty()));
        upstreams.extend(UPSTREAM_KEYS.iter().filter_map(|key| line.fields[*key].as_str()));
    }
    let is_relevant = |line: &&LogLine| {
        let names = UPSTREAM_KEYS.iter().filter_map(|key| line.fields[*key].as_str());
        let mut names = names.filter(|name| upstreams.contains(name));
        let is_general = line.fields.get("request").is_none()
            && UPSTREAM_KEYS.iter().all(|key| line.fields.get(*key).is_none());
        line.fields["request"] == request
            || ((start..=last).contains(&line.time) && (names.next().is_some() || is_general))
    };
    let mut timeline: Vec<&LogLine> = lines.iter().filter(is_relevant).collect();
    timeline.sort_by_key(|line| line.time);
    timeline
}
