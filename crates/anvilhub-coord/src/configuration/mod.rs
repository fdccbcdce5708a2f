//! Configuration: how an instance accepts published sheets, adopts sheets from peers and never reverts to an older one.

mod acceptor_settings;
mod candidate_sheet;
mod exchange_message;
mod fetch_error;
mod fetch_reply;
mod fetch_request;
mod peer_identity;
mod peer_report;
mod peer_stage;
mod peer_table;
mod pending_fetch;
mod reader_election;
mod sheet_acceptor;
mod sheet_action;
mod sheet_alarm;
mod sheet_fetch;
mod sheet_input;
mod sheet_offer;

pub use acceptor_settings::AcceptorSettings;
pub use exchange_message::ExchangeMessage;
pub use fetch_error::FetchError;
pub use fetch_reply::FetchReply;
pub use fetch_request::FetchRequest;
pub use peer_identity::PeerIdentity;
pub use peer_stage::PeerStage;
pub use reader_election::ReaderElection;
pub use sheet_acceptor::SheetAcceptor;
pub use sheet_action::SheetAction;
pub use sheet_alarm::SheetAlarm;
pub use sheet_input::SheetInput;

/// Result of assembling a fetched sheet.
pub type Result<T, E = FetchError> = std::result::Result<T, E>;
