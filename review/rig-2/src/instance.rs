//! An instance of `anvilhub-platform`, started with the command of the deploy file and the fields of its template.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// What a case may choose of an instance's settings.
#[derive(Clone)]
pub struct Options {
    pub name: String,
    pub zone: String,
    pub cpu_share: f64,
    pub memory_mb: u64,
    pub max_open_files: u64,
    pub config_apply_ms: u64,
    pub drain_ms: u64,
    pub seeds: Vec<SocketAddr>,
}

pub struct Instance {
    command: (PathBuf, PathBuf),
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub log: PathBuf,
}

impl Instance {
    /// Starts the program in the folder of the repository. The settings and the log lie in `folder`.
    pub fn start(root: &Path, folder: &Path, store: SocketAddr, options: &Options) -> Self {
        let ports = free_ports(5);
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (front, ready, control) = (address(ports[0]), address(ports[1]), address(ports[2]));
        let mut seeds = options.seeds.clone();
        seeds.push(control);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "{{\"instance\":\"{}\",\"failure_domain\":\"{zone}\",\"address\":\"127.0.0.1\",\"caller_address\":\"{front}\",\
             \"ready_address\":\"{ready}\",\"metrics_port\":{},\"peer_address\":\"{control}\",\"relay_port\":{},\
             \"seeds\":[{}],\"core_share\":{},\"worker_threads\":1,\"descriptor_limit\":{},\"memory_mb\":{},\
             \"platform_address\":\"{store}\",\"config_apply_ms\":{},\"upstream_drain_ms\":{},\"stop_grace_s\":6,\
             \"extra_load\":0.2,\"extra_window_s\":10,\"regions\":{{\"{zone}\":\"region-1\"}}}}",
            options.name,
            ports[3],
            ports[4],
            seeds.join(","),
            options.cpu_share,
            options.max_open_files,
            options.memory_mb,
            options.config_apply_ms,
            options.drain_ms,
            zone = options.zone,
        );
        let path = folder.join(format!("{}.json", options.name));
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = folder.join(format!("{}.log", options.name));
        let command = (root.to_owned(), path);
        let child = spawn(&command, &log);
        Self { command, child, front, ready, control, log }
    }

    /// Starts the program again with the same settings, once the process has ended.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.command, &self.log);
    }

    /// Replaces a text in the settings file, as the platform does when the settings change.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.command.1).expect("the settings can be read");
        assert!(text.contains(from), "{from}");
        std::fs::write(&self.command.1, text.replace(from, to)).expect("the settings can be written");
    }

    /// Memory of the process, in kB; 0 if it has ended.
    pub fn memory_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }

    /// Waits until the instance says that it is ready; returns whether it does so in time.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if ready_status(self.ready) == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Peak of the memory of the process, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program with the command of the deploy file.
fn spawn((root, settings): &(PathBuf, PathBuf), log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("the log can be written");
    Command::new(root.join("target/release/anvilhub-platform"))
        .current_dir(root)
        .env("ANVILHUB_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a file can be cloned"))
        .stderr(output)
        .spawn()
        .expect("the program starts; build it as the deploy file says")
}

fn ready_status(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(b"GET /anvilhub/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.split(' ').nth(1)?.parse().ok()
}

/// Returns ports that are free now.
fn free_ports(count: usize) -> Vec<u16> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    let port = |listener: &TcpListener| listener.local_addr().expect("the listener is bound").port();
    listeners.iter().map(port).collect()
}

/// Arguments of a case: the folder of the repository, the folder of the case, and a temporary folder.
pub fn arguments() -> (PathBuf, PathBuf, PathBuf) {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let mut next = || arguments.next().expect("arguments: ROOT CASE TEMPORARY");
    (next(), next(), next())
}

/// Whether the disruption is on: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
