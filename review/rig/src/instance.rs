//! Instances of the project's program, each a process started with the command of deploy/system.toml.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;

/// One machine of the tier and the process on it.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// The figures of a site that the settings hold.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u64,
    pub config_apply_ms: u64,
}

impl Instance {
    /// Chooses addresses for `count` instances in `zones` and writes their settings; `core_share` returns the size
    /// of an instance, and `store` the address of the store for it.
    pub fn plan(
        folder: &Path,
        count: usize,
        zones: &[&str],
        bounds: Bounds,
        core_share: impl Fn(usize) -> f64,
        mut store: impl FnMut(usize) -> SocketAddr,
    ) -> Vec<Self> {
        let ports: Vec<[SocketAddr; 5]> = free_addresses(count);
        let seeds: Vec<String> = ports
            .iter()
            .take(3)
            .map(|ports| format!("\"{}\"", ports[2]))
            .collect();
        ports
            .iter()
            .enumerate()
            .map(|(index, [front, ready, control, metrics, relay])| {
                let zone = zones[index % zones.len()];
                let name = format!("front-{zone}-{index}");
                let text = format!(
                    "{{\"instance\":\"{name}\",\"failure_domain\":\"{zone}\",\"address\":\"127.0.0.1\",\
                     \"caller_address\":\"{front}\",\"ready_address\":\"{ready}\",\"metrics_port\":{},\
                     \"peer_address\":\"{control}\",\"relay_port\":{},\"seeds\":[{}],\"core_share\":{},\
                     \"worker_threads\":1,\"descriptor_limit\":4100,\"platform_address\":\"{}\",\
                     \"config_apply_ms\":{},\"upstream_drain_ms\":{},\"extra_load\":0.2,\"extra_window_s\":10}}",
                    metrics.port(),
                    relay.port(),
                    seeds.join(","),
                    core_share(index),
                    store(index),
                    bounds.config_apply_ms,
                    bounds.drain_ms
                );
                let settings = folder.join(format!("{name}.json"));
                fs::write(&settings, text).expect("the temporary folder is writable");
                Self {
                    log: folder.join(format!("{name}.log")),
                    name,
                    front: *front,
                    ready: *ready,
                    settings,
                    child: None,
                }
            })
            .collect()
    }

    /// Starts the process as the platform does: from the root of the repository, with the path of its settings in
    /// `ANVILHUB_CONFIG`.
    pub fn start(&mut self, root: &Path) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the temporary folder is writable");
        let child = Command::new(root.join("target/release/anvilhub-platform"))
            .current_dir(root)
            .env("ANVILHUB_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file can be cloned"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("the program cannot be started: {error}");
                std::process::exit(2);
            });
        self.child = Some(child);
    }

    /// Returns whether the instance answers its readiness check with 200.
    pub fn is_ready(&self) -> bool {
        client::get(self.ready, "/anvilhub/ready", Duration::from_millis(500)) == Some(200)
    }

    /// Waits until the instance is ready; returns whether it became so in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the memory that the process uses, in megabytes.
    pub fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns free addresses for `count` instances. Their ports lie below those that the system gives to outgoing connections,
/// which would otherwise take them between two starts of a process.
fn free_addresses(count: usize) -> Vec<[SocketAddr; 5]> {
    const FIRST_PORT: u32 = 12_000;
    const PORT_COUNT: u32 = 20_000;
    let mut offset = std::process::id().wrapping_mul(131) % PORT_COUNT;
    let mut next_address = || {
        loop {
            offset = (offset + 1) % PORT_COUNT;
            let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    };
    (0..count)
        .map(|_| std::array::from_fn(|_| next_address()))
        .collect()
}
