//! Settings files: the samples are right, and every fault of a wrong one is told at once.

use std::path::Path;

use goldcrestvale::settings::File;

#[test]
fn samples_are_right() {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/settings");
    let mut read = 0;
    for entry in std::fs::read_dir(samples).expect("the samples") {
        let path = entry.expect("a sample").path();
        File::read(&path).unwrap_or_else(|e| panic!("{e}"));
        read += 1;
    }
    assert!(read >= 2);
}

#[test]
fn faults_by_key() {
    let table = [
        ("[callers]\nadress = 127.0.0.1:1", "[callers] adress: no such key", "\"address\""),
        ("[caller]\naddress = 127.0.0.1:1", "[caller] address: no such section", "\"callers\""),
        (
            "[callers]\naddress = localhost:1",
            "[callers] address: \"localhost:1\"",
            "127.0.0.1:8080",
        ),
        ("[callers]\nstreams = 0", "[callers] streams: \"0\" is not from 1", "1000000"),
        ("[callers]\nstreams = many", "[callers] streams: \"many\"", "1000000"),
        ("[stop]\nnotice_ms = -1", "[stop] notice_ms: \"-1\"", "milliseconds"),
        ("[operators]\naddress = 192.0.2.1:1", "[operators] token: is missing", "loopback"),
        ("[operators]\ntoken =", "[operators] token: \"\" is empty", "secret"),
        ("[peer]\nsecret = abc", "[peer] secret: the value is not a secret", "64 hexadecimal"),
        ("[peer]\nseeds = one", "[peer] seeds: \"one\"", "10.0.0.1:7070"),
        ("[log]\nlevel = loud", "[log] level: \"loud\"", "trace"),
        ("[log]\nformat = xml", "[log] format: \"xml\"", "json"),
        ("[draft]\nmax_tokens = 1\nmax_tokens = 2", "[draft] max_tokens: stands more", "one value"),
        ("", "[instance] name: is missing", "bole-1"),
        ("[instance]\nname = a b", "[instance] name: \"a b\"", "letters"),
    ];
    for (text, wrong, right) in table {
        let error = File::parse("some.ini", text).expect_err(text).to_string();
        let line = error.lines().find(|line| line.contains(wrong));
        let line = line.unwrap_or_else(|| panic!("{text:?} gives {error}"));
        assert!(line.starts_with("some.ini: "), "{line}");
        assert!(line.contains(right), "{line}");
    }
}

#[test]
fn all_faults_at_once() {
    let text = "[callers]\nadress = x\nstreams = 0\n[log]\nlevel = loud\n";
    let error = File::parse("some.ini", text).expect_err("faults").to_string();
    assert_eq!(error.lines().count(), 5, "{error}");
}

#[test]
fn secrets_are_not_printed() {
    let text = "[peer]\nsecret = 0123456789abcdef-wrong\n";
    let error = File::parse("some.ini", text).expect_err("a malformed secret").to_string();
    assert!(error.contains("[peer] secret: "), "{error}");
    assert!(!error.contains("0123456789abcdef"), "{error}");
}
