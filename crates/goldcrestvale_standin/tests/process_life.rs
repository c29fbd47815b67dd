//! The stand-ins as processes: their first lines of output and their end by a signal or a fault.

use std::{io, path::Path};

use goldcrestvale_standin::{fleet::Standin, process::Signal};
use serde_json::json;

async fn start(kind: &str) -> io::Result<Standin> {
    let program = Path::new(env!("CARGO_BIN_EXE_goldcrestvale-standin"));
    Standin::start(program, kind, "", &[]).await
}

#[tokio::test]
async fn a_signal_stops_a_stand_in_gracefully() -> io::Result<()> {
    for kind in ["platform", "engine", "service"] {
        let mut standin = start(kind).await?;
        assert!(standin.counts().await?.is_object(), "{kind}");
        standin.process.signal(Signal::SIGTERM)?;
        assert_eq!(standin.process.wait().await?, Some(0), "{kind}");
    }
    Ok(())
}

#[tokio::test]
async fn a_fault_ends_a_stand_in_with_an_error() -> io::Result<()> {
    for kind in ["engine", "service"] {
        let mut standin = start(kind).await?;
        // The stand-in may end before it answers.
        let _ = standin.fault(&json!({ "die": true })).await;
        assert_eq!(standin.process.wait().await?, Some(1), "{kind}");
    }
    Ok(())
}
