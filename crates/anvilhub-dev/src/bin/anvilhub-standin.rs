//! Runs a stand-in for the platform, for the upstreams of a sheet or for the network between two processes.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anvilhub_coord::border::platform::InstanceEntry;
use anvilhub_coord::sheet::CheckedSheet;
use anvilhub_dev::process::HttpClient;
use anvilhub_dev::standin::platform::{PlatformCommand, PlatformServer};
use anvilhub_dev::standin::proxy::{ProxyCommand, ProxyServer};
use anvilhub_dev::standin::upstream::{FleetCommand, UpstreamFleet};
use eyre::{Result, WrapErr, bail, ensure, eyre};
use lexopt::{Arg, Parser, ValueExt};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

const HELP: &str = "\
Stand-ins for tests of anvilhub. All but `call` run until they are killed.

anvilhub-standin platform --listen IP:PORT --sheet FILE [--instances FILE] [--command JSON]..
    Serves /config/sheet, /instances, /calls and /control.
anvilhub-standin upstreams --sheet FILE [--control IP:PORT] [--threads N] [--command JSON]..
    Starts every replica of the sheet. The control address serves /control, /effects and /requests.
anvilhub-standin relay --listen IP:PORT --to IP:PORT [--control IP:PORT] [--command JSON]..
    Forwards TCP connections to the --to address. The control address serves /control and /links.
anvilhub-standin call --to IP:PORT --path PATH [--command JSON]
    Sends GET PATH to a program, or posts the command to it. Prints the response; fails unless its status is 200.

--command JSON   gives the body of a POST /control; a stand-in applies it at the start
--help           prints this text
";

/// Default number of threads that serve the connections of all replicas.
const DEFAULT_THREADS: usize = 2;

/// The parsed command line.
#[derive(Debug, Default)]
struct StandinArguments {
    subcommand: Option<String>,
    listen: Option<SocketAddr>,
    control: Option<SocketAddr>,
    to: Option<SocketAddr>,
    path: Option<String>,
    sheet: Option<PathBuf>,
    instances: Option<PathBuf>,
    threads: Option<usize>,
    commands: Vec<String>,
    wants_help: bool,
}

/// An instance list file. It may also contain a revision, which is ignored.
#[derive(Debug, Default, Deserialize)]
struct InstanceFile {
    instances: Vec<InstanceEntry>,
}

fn main() -> Result<()> {
    let arguments = StandinArguments::parse(Parser::from_env())?;
    if arguments.wants_help {
        print!("{HELP}");
        return Ok(());
    }
    match arguments.subcommand.as_deref() {
        Some("platform") => run_platform(&arguments),
        Some("upstreams") => run_upstreams(&arguments),
        Some("relay") => run_proxy(&arguments),
        Some("call") => run_call(&arguments),
        Some(other) => bail!("unknown stand-in `{other}`; see --help"),
        None => bail!("the name of the stand-in is missing; see --help"),
    }
}

impl StandinArguments {
    fn parse(mut parser: Parser) -> Result<Self> {
        let mut arguments = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("help") => arguments.wants_help = true,
                Arg::Long("listen") => arguments.listen = Some(parser.value()?.parse()?),
                Arg::Long("control") => arguments.control = Some(parser.value()?.parse()?),
                Arg::Long("to") => arguments.to = Some(parser.value()?.parse()?),
                Arg::Long("path") => arguments.path = Some(parser.value()?.string()?),
                Arg::Long("sheet") => arguments.sheet = Some(parser.value()?.into()),
                Arg::Long("instances") => arguments.instances = Some(parser.value()?.into()),
                Arg::Long("threads") => arguments.threads = Some(parser.value()?.parse()?),
                Arg::Long("command") => arguments.commands.push(parser.value()?.string()?),
                Arg::Value(name) if arguments.subcommand.is_none() => {
                    arguments.subcommand = Some(name.string()?);
                }
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(arguments)
    }

    fn parse_commands<T: DeserializeOwned>(&self) -> Result<Vec<T>> {
        let parse_command = |text: &String| {
            serde_json::from_str(text)
                .wrap_err_with(|| format!("invalid --command {text}; see --help"))
        };
        self.commands.iter().map(parse_command).collect()
    }
}

fn run_platform(arguments: &StandinArguments) -> Result<()> {
    let listen = require_option(arguments.listen, "--listen")?;
    let sheet = read_text(&require_option(arguments.sheet.clone(), "--sheet")?)?;
    let list: InstanceFile = match &arguments.instances {
        Some(path) => serde_json::from_str(&read_text(path)?)
            .wrap_err_with(|| format!("{} is not an instance list", path.display()))?,
        None => InstanceFile::default(),
    };
    let server = PlatformServer::new(sheet, list.instances)?;
    for command in arguments.parse_commands::<PlatformCommand>()? {
        server.apply(command)?;
    }
    let listening = server.listen(listen)?;
    eprintln!("platform stand-in listens on {listen}");
    Ok(listening.join()?)
}

fn run_upstreams(arguments: &StandinArguments) -> Result<()> {
    let path = require_option(arguments.sheet.clone(), "--sheet")?;
    let sheet = CheckedSheet::from_bytes(read_text(&path)?.as_bytes()).map_err(|faults| {
        eyre!(
            "{}: the sheet has {} faults; the first is: {}",
            path.display(),
            faults.len(),
            faults[0]
        )
    })?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(arguments.threads.unwrap_or(DEFAULT_THREADS))
        .enable_all()
        .build()?;
    let fleet = UpstreamFleet::new(&sheet, runtime.handle().clone());
    for command in arguments.parse_commands::<FleetCommand>()? {
        fleet.apply(&command)?;
    }
    fleet.listen()?;
    let control = arguments
        .control
        .map(|address| fleet.listen_control(address))
        .transpose()?;
    eprintln!("upstream stand-ins of {} listen", path.display());
    match control {
        Some(listening) => Ok(listening.join()?),
        None => loop {
            std::thread::park();
        },
    }
}

fn run_proxy(arguments: &StandinArguments) -> Result<()> {
    let listen = require_option(arguments.listen, "--listen")?;
    let target = require_option(arguments.to, "--to")?;
    let proxy = ProxyServer::new(target);
    for command in arguments.parse_commands::<ProxyCommand>()? {
        proxy.apply(command);
    }
    let accepting = proxy.listen(listen)?;
    // Opened last: whoever reaches the control address may connect through the proxy.
    let _control = arguments
        .control
        .map(|address| proxy.listen_control(address))
        .transpose()?;
    eprintln!("proxy listens on {listen} and connects to {target}");
    accepting
        .join()
        .map_err(|_| eyre!("the thread that accepts connections panicked"))
}

fn run_call(arguments: &StandinArguments) -> Result<()> {
    let target = require_option(arguments.to, "--to")?;
    let path = require_option(arguments.path.clone(), "--path")?;
    let client = HttpClient::new(target);
    let (status, body) = match arguments.parse_commands::<Value>()?.as_slice() {
        [] => client.get(&path)?,
        [command] => client.post(&path, command)?,
        _ => bail!("`call` accepts at most one --command"),
    };
    println!("{}", String::from_utf8_lossy(&body));
    ensure!(
        status == 200,
        "{target}{path} was answered with status {status} instead of 200"
    );
    Ok(())
}

fn require_option<T>(value: Option<T>, name: &str) -> Result<T> {
    value.ok_or_else(|| eyre!("{name} is missing; see --help"))
}

fn read_text(path: &Path) -> Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}
