//! A stand-in of a replica: it runs what names it, refuses with 421 what names another one, and records what it runs.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::http::{Message, read_message};

/// How a replica answers a request that it runs.
pub type Work = dyn Fn(&Message) -> Vec<u8> + Send + Sync;

pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
}

impl Replica {
    /// Starts a replica; `work` runs a request and returns the body of the answer.
    pub fn start(id: &str, service: &str, work: Arc<Work>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let own_id = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, work) = (own_id.clone(), Arc::clone(&work));
                thread::spawn(move || serve(stream, &id, &*work));
            }
        });
        Self { id: id.to_owned(), service: service.to_owned(), address }
    }

    /// The entry of the replica in the store.
    pub fn entry(&self, zone: &str, capacity: u32, state: &str) -> String {
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"capacity\":{capacity},\
             \"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":4,\"born\":1790000000000}}",
            self.service, self.address
        )
    }
}

fn serve(stream: TcpStream, id: &str, work: &Work) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let request_id = request.header("anvilhub-request-id").unwrap_or("").to_owned();
        let answer = match request.header("anvilhub-expected-instance") {
            Some(expected) if expected != id => format!(
                "HTTP/1.1 421 Misdirected Request\r\nAnvilhub-Request-Id: {request_id}\r\nAnvilhub-Instance-Id: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            )
            .into_bytes(),
            _ => {
                let body = work(&request);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAnvilhub-Request-Id: {request_id}\r\nAnvilhub-Response-Signature: {id}.{request_id}\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                [head.into_bytes(), body].concat()
            }
        };
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}
