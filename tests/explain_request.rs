//! `goldcrestvale explain`: the events that led to the failure of a request.

use std::process::{Command, Output};

const LOG: &str = r#"
  12.1 front-1 {"time":"2026-08-28T06:06:20.100Z","event":"upstream is in trouble","upstream":"i-1","trouble":"Silent"}
  12.2 front-1 {"time":"2026-08-28T06:06:20.200Z","event":"upstream is in trouble","upstream":"i-9","trouble":"Silent"}
  12.3 front-1 {"time":"2026-08-28T06:06:20.300Z","event":"directory is out of reach","subject":"Upstreams"}
  12.4 front-1 {"time":"2026-08-28T06:06:21.000Z","event":"request ended","request":"a1","tried":"i-1,i-2","millis":900,"outcome":"broken off"}
  12.4 front-1 {"time":"2026-08-28T06:06:21.000Z","event":"request ended","request":"a2","tried":"i-1","millis":900,"outcome":"answered"}
  90.0 front-1 {"time":"2026-08-28T06:08:00.000Z","event":"upstream is in trouble","upstream":"i-1","trouble":"Silent"}
  90.0 front-1 not a JSON line
"#;

fn explain(id: &str) -> Output {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), LOG).expect("a log");
    Command::new(env!("CARGO_BIN_EXE_goldcrestvale"))
        .args(["explain", id])
        .arg(file.path())
        .output()
        .expect("the program")
}

#[test]
fn cause_precedes_the_end_of_the_request() {
    let output = explain("a1");
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).expect("text");
    let events: Vec<&str> = text.lines().collect();
    assert_eq!(events.len(), 3, "{text}");
    assert!(events[0].contains("\"i-1\"") && events[0].contains("Silent"));
    assert!(events[1].contains("directory is out of reach"));
    assert!(events[2].contains("\"a1\""));
}

#[test]
fn unknown_request_is_reported() {
    let output = explain("a7");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).expect("text").contains("\"a7\""));
}

// A line that is not UTF-8 ended the command with an error.
#[test]
fn line_of_other_bytes_is_skipped() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let log = [b"\xff\xfe {\x80}\n", LOG.as_bytes(), b"\xff\n"].concat();
    std::fs::write(file.path(), log).expect("a log");
    let output = Command::new(env!("CARGO_BIN_EXE_goldcrestvale"))
        .args(["explain", "a1"])
        .arg(file.path())
        .output()
        .expect("the program");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, explain("a1").stdout);
}
