//! The stand-ins as processes: their first lines, their end by signal and by fault.

use std::{net::SocketAddr, process::Stdio};

use goldcrestvale_standin::client;
use http::Method;
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
};

struct Process {
    child: Child,
    address: SocketAddr,
    control: SocketAddr,
}

async fn start(role: &str) -> Process {
    let mut child = Command::new(env!("CARGO_BIN_EXE_goldcrestvale-standin"))
        .arg(role)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the binary starts");
    let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let mut line = async |prefix| {
        let line = lines.next_line().await.expect("output").expect("a line");
        line.strip_prefix(prefix).expect("the announced line").parse().expect("an address")
    };
    let (address, control) = (line("listening on ").await, line("control on ").await);
    Process { child, address, control }
}

#[tokio::test]
async fn a_signal_ends_a_stand_in_in_order() {
    for role in ["platform", "engine", "service"] {
        let mut process = start(role).await;
        assert!(client::get(process.address, "/counts").await.is_ok(), "{role}");
        let id = process.child.id().expect("a running process").to_string();
        Command::new("kill").args(["-TERM", &id]).status().await.unwrap();
        assert!(process.child.wait().await.unwrap().success(), "{role}");
    }
}

#[tokio::test]
async fn a_fault_ends_a_stand_in_like_a_crash() {
    for role in ["engine", "service"] {
        let mut process = start(role).await;
        let die = serde_json::json!({ "die": true });
        let _ = client::call(process.control, Method::PUT, "/faults", &die).await;
        assert!(!process.child.wait().await.unwrap().success(), "{role}");
    }
}
