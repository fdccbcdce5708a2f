use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anvilhub_coord::border::upstream::{SubAnswer, SubRefusal, SubRequest};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_dev::process::{
    HttpClient, LoopbackBlock, ScratchFolder, ServicePlan, SheetPlan, UpstreamsProcess,
};
use eyre::Result;

/// How long a test looks at a connection that must stay silent. A silent one never answers, so the length
/// decides nothing for correct code.
const SILENCE_LOOK: Duration = Duration::from_millis(200);
/// Longest wait for an answer that must come.
const ANSWER_WAIT: Duration = Duration::from_secs(30);

/// The upstreams of one service with one shard, `stock-1-a` and so on.
pub struct UpstreamRig {
    pub upstreams: UpstreamsProcess,
    pub replicas: Vec<SocketAddr>,
    pub block: LoopbackBlock,
    pub scratch: ScratchFolder,
}

impl UpstreamRig {
    pub fn start(replicas: usize) -> Result<Self> {
        let block = LoopbackBlock::for_process();
        let scratch = ScratchFolder::create()?;
        let service = ServicePlan {
            shards: 1,
            replicas,
            ..ServicePlan::stock()
        };
        let plan = SheetPlan {
            services: vec![service],
            ..SheetPlan::default()
        };
        let sheet = plan.document(&block)?;
        let file = scratch.write("upstreams.json", &serde_json::to_string(&sheet)?)?;
        let upstreams = UpstreamsProcess::start(&scratch, &block, &file)?;
        let replicas = sheet.services[0].shards[0].replicas.iter();
        Ok(Self {
            upstreams,
            replicas: replicas
                .map(|replica| replica.address.parse())
                .collect::<Result<_, _>>()?,
            block,
            scratch,
        })
    }

    /// Sends a sub-request to the first replica.
    pub fn query(&self, request: &SubRequest) -> Result<(u16, Vec<u8>)> {
        HttpClient::new(self.replicas[0]).post("/query", request)
    }

    pub fn answer(&self, request: &SubRequest) -> Result<SubAnswer> {
        Ok(serde_json::from_slice(&self.query(request)?.1)?)
    }

    pub fn refusal(&self, request: &SubRequest) -> Result<SubRefusal> {
        Ok(serde_json::from_slice(&self.query(request)?.1)?)
    }
}

/// A sub-request for the whole key space, with its id as its query text.
pub fn sub_request(id: &str, idempotent: bool) -> Result<SubRequest> {
    Ok(SubRequest {
        request_id: id.parse()?,
        service: "stock".parse()?,
        start: KeyRange::WHOLE.start,
        end: KeyRange::WHOLE.end,
        snapshot: None,
        deadline_ms: 60_000,
        idempotent,
        key: None,
        query: id.to_owned(),
    })
}

/// A connection that stays open between requests.
pub struct KeptConnection {
    stream: TcpStream,
}

impl KeptConnection {
    pub fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        Ok(Self { stream })
    }

    /// Asks for the health report, and says whether any byte of an answer came.
    pub fn answers(&mut self) -> Result<bool> {
        self.ask(ANSWER_WAIT)
    }

    /// Says whether the connection takes a request and then neither answers nor closes.
    pub fn is_silent(&mut self) -> Result<bool> {
        let sent = self.send();
        let mut answer = [0; 1_024];
        self.stream.set_read_timeout(Some(SILENCE_LOOK))?;
        let read = self.stream.read(&mut answer);
        let is_waiting = |kind| {
            matches!(
                kind,
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            )
        };
        Ok(sent.is_ok() && read.is_err_and(|error| is_waiting(error.kind())))
    }

    fn ask(&mut self, wait: Duration) -> Result<bool> {
        if self.send().is_err() {
            return Ok(false);
        }
        let mut answer = [0; 1_024];
        self.stream.set_read_timeout(Some(wait))?;
        Ok(self.stream.read(&mut answer).is_ok_and(|length| length > 0))
    }

    fn send(&mut self) -> std::io::Result<()> {
        self.stream
            .write_all(b"GET /health HTTP/1.1\r\nhost: upstream\r\n\r\n")
    }
}
