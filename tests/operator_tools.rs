//! The command line against a running instance, and the state dump on a signal.

use std::{io, path::Path};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Builder, Fleet, Programs, TOKEN},
    process::{Process, Signal},
};
use http::StatusCode;

const ROUTER: &str = env!("CARGO_BIN_EXE_goldcrestvale");

async fn fleet() -> io::Result<Fleet> {
    Builder::new(Programs::beside(ROUTER))
        .engine("large-1", 0, 12, &[])
        .service("booking-1")
        .entry("entry-1", "")
        .start_without_defaults()
        .await
}

/// Runs a command to its end and returns its exit code and output.
async fn run(arguments: &str) -> io::Result<(Option<i32>, String)> {
    let arguments: Vec<String> = arguments.split_whitespace().map(str::to_owned).collect();
    run_arguments(&arguments).await
}

async fn run_arguments(arguments: &[String]) -> io::Result<(Option<i32>, String)> {
    let mut process = Process::spawn(Path::new(ROUTER), arguments)?;
    let code = process.wait().await?;
    Ok((code, process.output().await))
}

#[tokio::test(flavor = "multi_thread")]
async fn commands() -> io::Result<()> {
    let fleet = fleet().await?;
    let at = fleet.entries[0].operators;
    let options = format!("--at {at} --token {TOKEN}");
    let table = [
        (format!("customer {options} put family --credential c"), 0, "accepted"),
        (format!("service {options} put booking --pool booking --idempotent get:/"), 0, "accepted"),
        (format!("customer {options} bind family --service booking"), 0, "accepted"),
        (format!("customer {options} bind family --model none"), 4, "rejected"),
        (format!("service {options} delete booking"), 4, "rejected"),
        (format!("config {options} get customer family"), 0, "\"max_in_flight\": 100"),
        (format!("config {options} get customer nobody"), 2, "no customer nobody"),
        (format!("config {options} list service"), 0, "booking"),
        (format!("config {options} status"), 0, "\"version\": "),
        (format!("config {options} put customer family --base 7"), 4, "conflict"),
        (format!("dump {at} --token {TOKEN}"), 0, "\"upstreams\""),
        (format!("dump {at} --token wrong"), 2, "credential"),
        (format!("drain {at} booking-1 --token {TOKEN}"), 0, "booking-1"),
        (format!("drain {at} nobody --token {TOKEN}"), 2, "no upstream nobody"),
        ("dump 127.0.0.1:1".to_owned(), 1, "cannot reach"),
        ("check --settings none.ini".to_owned(), 2, "cannot read none.ini"),
        ("serve --settings none.ini".to_owned(), 2, "cannot read none.ini"),
        ("fly".to_owned(), 2, "unrecognized subcommand"),
    ];
    for (arguments, code, text) in table {
        let (ended, output) = run(&arguments).await?;
        assert_eq!(ended, Some(code), "{arguments}: {output}");
        assert!(output.contains(text), "{arguments}: {output}");
    }
    Ok(())
}

// `drain ADDRESS booking-1#x` drained booking-1.
#[tokio::test(flavor = "multi_thread")]
async fn odd_name_is_that_of_no_other() -> io::Result<()> {
    let fleet = fleet().await?;
    let at = fleet.entries[0].operators;
    let options = format!("--at {at} --token {TOKEN}");
    let (code, output) = run(&format!("customer {options} put family --credential c")).await?;
    assert_eq!(code, Some(0), "{output}");
    for end in ["#x", "?x", "/../booking-1", " ", "&x", "%20", "%", "\u{e9}", "\t", "\n", "\"", "/"]
    {
        let get = ["config", "--at", &at.to_string(), "--token", TOKEN, "get", "customer"];
        let drain = ["drain", &at.to_string(), "--token", TOKEN];
        for (command, name) in
            [(&get[..], format!("family{end}")), (&drain, format!("booking-1{end}"))]
        {
            let mut arguments: Vec<String> = command.iter().map(|&text| text.to_owned()).collect();
            arguments.push(name);
            let (code, output) = run_arguments(&arguments).await?;
            assert_eq!(code, Some(2), "{arguments:?}: {output}");
            assert!(output.contains("no customer") || output.contains("no upstream"), "{output}");
        }
    }
    let (_, dump) = run(&format!("dump {at} --token {TOKEN}")).await?;
    assert!(dump.contains("\"leaving\": false") && !dump.contains("\"leaving\": true"), "{dump}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn dump_signal() -> io::Result<()> {
    let mut fleet = fleet().await?;
    let process = &mut fleet.entries[0].process;
    process.signal(Signal::SIGUSR1)?;
    let line = process.wait_line("state dump").await?;
    assert!(line.contains("entry-1") && line.contains("large-1"), "{line}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn probes() -> io::Result<()> {
    let mut fleet = fleet().await?;
    let at = fleet.entries[0].operators;
    let operator = Caller::new(&[("authorization", &format!("Bearer {TOKEN}"))]);
    let unauthenticated = Caller::default();
    assert_eq!(unauthenticated.get(at, "/live").await?.status, StatusCode::OK);
    assert_eq!(unauthenticated.get(at, "/ready").await?.status, StatusCode::OK);
    assert_eq!(unauthenticated.get(at, "/metrics").await?.status, StatusCode::UNAUTHORIZED);
    let metrics = operator.get(at, "/metrics").await?;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    for name in ["goldcrestvale_config_version", "goldcrestvale_upstream_load"] {
        assert!(text.contains(name), "no {name} in {text}");
    }
    let drained = operator.send(at, http::Method::POST, "/drain", "").await?;
    assert_eq!(drained.status, StatusCode::ACCEPTED);
    assert_eq!(unauthenticated.get(at, "/ready").await?.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fleet.entries[0].process.wait().await?, Some(0));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_output() -> io::Result<()> {
    let fleet = fleet().await?;
    let at = fleet.entries[0].operators.to_string();
    let mut child = std::process::Command::new(ROUTER)
        .args(["dump", &at, "--token", TOKEN])
        .stdout(std::process::Stdio::piped())
        .spawn()?;
    drop(child.stdout.take());
    assert_eq!(child.wait()?.code(), Some(0));
    Ok(())
}
