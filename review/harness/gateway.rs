//! The project's own program: `goldcrestvale serve` with the settings of the deploy template.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{net, record::Record};

/// Fields that the platform fills into `deploy/node.ini`.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    pub store: SocketAddr,
}

impl Machine {
    pub fn new(name: &str, zone: &str, store: SocketAddr) -> Self {
        let [front, ready, control, metrics] = std::array::from_fn(|_| net::free_address());
        Self { name: name.to_owned(), zone: zone.to_owned(), front, ready, control, metrics, store }
    }
}

/// A running process; it ends with this value.
pub struct Gateway {
    pub machine: Machine,
    child: Child,
}

impl Gateway {
    /// Starts the program with the command of the deploy file.
    pub fn start(root: &Path, dir: &Path, machine: Machine, seeds: &[SocketAddr]) -> std::io::Result<Self> {
        let template = fs::read_to_string(root.join("deploy/node.ini"))?;
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let fields = [
            ("node", machine.name.clone()),
            ("zone", machine.zone.clone()),
            ("listen.front", machine.front.to_string()),
            ("listen.ready", machine.ready.to_string()),
            ("listen.control", machine.control.to_string()),
            ("platform.address", machine.store.to_string()),
            ("ip", machine.metrics.ip().to_string()),
            ("innerPortRange.1", machine.metrics.port().to_string()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.retryBudgetMin", "200".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.configMs", "2000".to_owned()),
            ("limits.memoryMb", "390".to_owned()),
            ("limits.maxFds", "6150".to_owned()),
            ("heartbeatMs", "1200".to_owned()),
            ("firstStart", "true".to_owned()),
            ("seeds", seeds.join(",")),
        ];
        let mut text = template;
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if text.contains("{{") {
            return Err(std::io::Error::other("a placeholder of the template is not filled in"));
        }
        let settings: PathBuf = dir.join(format!("{}.ini", machine.name));
        fs::write(&settings, text)?;
        let log = fs::File::create(dir.join(format!("{}.log", machine.name)))?;
        let child = Command::new(root.join("target/release/goldcrestvale"))
            .arg("serve")
            .current_dir(root)
            .env("GOLDCRESTVALE_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { machine, child })
    }

    pub fn is_ready(&self) -> bool {
        let head = format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\n", self.machine.ready);
        net::call(self.machine.ready, &head, b"", Duration::from_secs(1)).status == 200
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all machines are ready; false after five seconds.
pub fn wait_until_ready(gateways: &[Gateway], record: &Record) -> bool {
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        if gateways.iter().all(Gateway::is_ready) {
            record.line("all machines are ready");
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
