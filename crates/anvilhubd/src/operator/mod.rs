//! HTTP endpoints for operators.

mod operator_server;

pub(crate) use operator_server::OperatorServer;
