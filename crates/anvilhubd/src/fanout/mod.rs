//! Sub-requests of one request: sending, gathering, answering.

mod fanout_runner;

pub(crate) use fanout_runner::FanoutRunner;
