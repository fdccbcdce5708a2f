use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anvilhub_coord::border::upstream::{SubAnswer, SubRefusal, SubRequest};
use anvilhub_coord::keyspace::KeyRange;
use anvilhub_dev::process::{
    HttpClient, LoopbackBlock, ScratchFolder, ServicePlan, SheetPlan, UpstreamsProcess,
};
use eyre::Result;

/// How long a test watches a connection that must stay silent. A silent connection never answers, so a correct
/// stand-in passes with every value.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for an expected answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// The upstreams of one service with one shard. They are called `stock-1-a`, `stock-1-b` and so on.
pub struct UpstreamFixture {
    pub upstreams: UpstreamsProcess,
    /// Addresses of the replicas.
    pub replicas: Vec<SocketAddr>,
    pub block: LoopbackBlock,
    pub scratch: ScratchFolder,
}

impl UpstreamFixture {
    /// Starts the upstreams, with this number of replicas.
    pub fn start(replica_count: usize) -> Result<Self> {
        let block = LoopbackBlock::for_process();
        let scratch = ScratchFolder::create()?;
        let service = ServicePlan {
            shard_count: 1,
            replica_count,
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

    /// Sends a sub-request to the first replica and returns the status and the body.
    pub fn post_query(&self, request: &SubRequest) -> Result<(u16, Vec<u8>)> {
        HttpClient::new(self.replicas[0]).post("/query", request)
    }

    /// Sends a sub-request to the first replica and parses the answer.
    pub fn query_answer(&self, request: &SubRequest) -> Result<SubAnswer> {
        Ok(serde_json::from_slice(&self.post_query(request)?.1)?)
    }

    /// Sends a sub-request to the first replica and parses the refusal.
    pub fn query_refusal(&self, request: &SubRequest) -> Result<SubRefusal> {
        Ok(serde_json::from_slice(&self.post_query(request)?.1)?)
    }
}

/// Returns a sub-request for the whole key space whose query text is its id.
pub fn build_sub_request(id: &str, idempotent: bool) -> Result<SubRequest> {
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

/// A TCP connection that stays open between requests.
pub struct PersistentConnection {
    stream: TcpStream,
}

impl PersistentConnection {
    pub fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        Ok(Self { stream })
    }

    /// Requests the health report. Returns `false` if the connection closes without an answer.
    pub fn receives_answer(&mut self) -> Result<bool> {
        self.request_health(ANSWER_TIMEOUT)
    }

    /// Returns whether the connection accepts a request and then neither answers nor closes.
    pub fn is_silent(&mut self) -> Result<bool> {
        let sent = self.send_request();
        let mut answer = [0; 1_024];
        self.stream.set_read_timeout(Some(SILENCE_TIMEOUT))?;
        let read = self.stream.read(&mut answer);
        let is_timeout = |kind| {
            matches!(
                kind,
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            )
        };
        Ok(sent.is_ok() && read.is_err_and(|error| is_timeout(error.kind())))
    }

    fn request_health(&mut self, timeout: Duration) -> Result<bool> {
        if self.send_request().is_err() {
            return Ok(false);
        }
        let mut answer = [0; 1_024];
        self.stream.set_read_timeout(Some(timeout))?;
        Ok(self.stream.read(&mut answer).is_ok_and(|length| length > 0))
    }

    fn send_request(&mut self) -> std::io::Result<()> {
        self.stream
            .write_all(b"GET /health HTTP/1.1\r\nhost: upstream\r\n\r\n")
    }
}
