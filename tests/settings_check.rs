//! Settings files: the samples are valid, and all errors of an invalid file are reported at once.

use std::path::Path;

use goldcrestvale::settings::File;
use goldcrestvale_gateway::settings::Mode;

#[test]
fn samples_are_valid() {
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
fn errors_by_key() {
    let table = [
        ("[callers]\nadress = 127.0.0.1:1", "[callers] adress: no such key", "\"address\""),
        ("[caller]\naddress = 127.0.0.1:1", "[caller] address: no such section", "\"callers\""),
        (
            "[callers]\naddress = localhost:1",
            "[callers] address: \"localhost:1\"",
            "127.0.0.1:8080",
        ),
        ("[callers]\nstreams = 0", "[callers] streams: \"0\" is not from 1", "1000000"),
        (
            "[callers]\nhttp2_connections = 0",
            "[callers] http2_connections: \"0\" is not from 1",
            "1000000",
        ),
        ("[callers]\nstreams = many", "[callers] streams: \"many\"", "1000000"),
        ("[machine]\nmemory_mb = 1", "[machine] memory_mb: \"1\"", "64 to 1000000"),
        ("[machine]\ndescriptors = few", "[machine] descriptors: \"few\"", "512 to 10000000"),
        ("[stop]\nnotice_ms = -1", "[stop] notice_ms: \"-1\"", "milliseconds"),
        ("[operators]\naddress = 192.0.2.1:1", "[operators] token: is missing", "loopback"),
        ("[operators]\ntoken =", "[operators] token: \"\" is empty", "secret"),
        ("[peer]\nsecret = abc", "[peer] secret: the value is not a secret", "64 hexadecimal"),
        ("[peer]\nseeds = one", "[peer] seeds: \"one\"", "10.0.0.1:7070"),
        ("[log]\nlevel = loud", "[log] level: \"loud\"", "trace"),
        ("[log]\nformat = xml", "[log] format: \"xml\"", "json"),
        (
            "[draft]\nmax_tokens = 1\nmax_tokens = 2",
            "[draft] max_tokens: appears more",
            "one value",
        ),
        ("[gateway]\nstore = 127.0.0.1:1", "[gateway] ready: is missing", "127.0.0.1:8080"),
        ("[gateway]\nretry_ratio = lots", "[gateway] retry_ratio: \"lots\"", "0 to 1000"),
        ("[gateway]\ncontention = on", "[gateway] contention: \"on\"", "auto or off"),
        ("[gateway]\ngrace_s = 0", "[gateway] grace_s: \"0\"", "0.001 to 86400"),
        ("[log]\noutput = file", "[log] output: \"file\"", "stdout or stderr"),
        ("", "[instance] name: is missing", "bole-1"),
        ("[instance]\nname = a b", "[instance] name: \"a b\"", "letters"),
    ];
    for (text, problem, expected) in table {
        let error = File::parse("some.ini", text).expect_err(text).to_string();
        let line = error.lines().find(|line| line.contains(problem));
        let line = line.unwrap_or_else(|| panic!("{text:?} gives {error}"));
        assert!(line.starts_with("some.ini: "), "{line}");
        assert!(line.contains(expected), "{line}");
    }
}

#[test]
fn all_errors_at_once() {
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

/// The template that the platform fills in, with realistic values.
#[test]
fn template_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/node.ini");
    let mut text = std::fs::read_to_string(path).expect("the template");
    for (name, value) in [
        ("node", "front-bole-1"),
        ("zone", "bole"),
        ("ip", "10.1.0.40"),
        ("listen.front", "10.1.0.40:8227"),
        ("listen.ready", "10.1.0.40:8220"),
        ("listen.control", "10.1.0.40:8229"),
        ("innerPortRange.1", "7355"),
        ("seeds", "10.1.0.40:8229,10.2.0.29:8229,10.3.0.19:8229"),
        ("heartbeatMs", "1200"),
        ("platform.address", "10.200.1.7:8223"),
        ("bounds.retryBudgetRatio", "0.2"),
        // As large as with hundreds of instances.
        ("bounds.retryBudgetMin", "2200"),
        ("bounds.budgetWindowS", "10"),
        ("bounds.configMs", "2000"),
        ("firstStart", "true"),
        ("bounds.graceS", "8"),
        ("limits.memoryMb", "160"),
        ("limits.maxFds", "4100"),
    ] {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "{text}");
    let file = File::parse("node.ini", &text).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(file.gateway.metrics.map(|metrics| metrics.port()), Some(7355));
    assert_eq!(file.entry.peer.seeds.len(), 3);
    assert_eq!(file.entry.machine.memory_bytes, 160_000_000);
    assert_eq!(file.entry.machine.descriptors, 4_100);
    assert!(file.gateway.first_start);
    assert_eq!(file.gateway.configuration_bound.as_millis(), 2_000);
    assert!((file.gateway.retry.floor - 2_200.0).abs() < f64::EPSILON);
}

/// Guards against a setting that is not applied, and against a wrong value that counts as one.
#[test]
fn cost_routing_is_read() {
    let parse = |value: &str| {
        let text = include_str!("../examples/settings/gateway-1.ini");
        let line = format!("cost_routing = {value}");
        File::parse("gateway-1.ini", &text.replace("cost_routing = off", &line))
    };
    assert_eq!(parse("auto").unwrap().gateway.cost_routing, Mode::Auto);
    assert_eq!(parse("off").unwrap().gateway.cost_routing, Mode::Off);
    assert!(parse("on").is_err());
}

/// Guards against retries that are lent without a setting that asks for it.
#[test]
fn retry_loans_are_off_by_default() {
    let text = include_str!("../examples/settings/gateway-1.ini");
    let parse = |line: &str| File::parse("gateway-1.ini", &text.replace("retry_loans = off", line));
    assert_eq!(parse("").unwrap().gateway.retry_loans, Mode::Off);
    assert_eq!(parse("retry_loans = auto").unwrap().gateway.retry_loans, Mode::Auto);
    assert!(parse("retry_loans = on").is_err());
}

/// Guards against limits of chains that are shared without a setting that asks for it.
#[test]
fn chain_limits_are_off_by_default() {
    let text = include_str!("../examples/settings/gateway-1.ini");
    let parse =
        |line: &str| File::parse("gateway-1.ini", &text.replace("chain_limits = off", line));
    assert_eq!(parse("").unwrap().gateway.chain_limits, Mode::Off);
    assert_eq!(parse("chain_limits = auto").unwrap().gateway.chain_limits, Mode::Auto);
    assert!(parse("chain_limits = on").is_err());
}
