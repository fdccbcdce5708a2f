use anvilhub_coord::border::query::{QueryAnswer, TicketEntry};
use anvilhub_coord::configuration::{ExchangeMessage, FetchReply, FetchRequest};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{BatchAnswer, BatchMessage, ForwardMessage, IssueMessage};

/// Methods that instances call on each other.
#[rpc(server, client, namespace = "anvilhub")]
pub(crate) trait PeerApi {
    /// Records the state of the calling instance and returns the state of the called one.
    #[method(name = "exchange")]
    async fn exchange(&self, message: ExchangeMessage)
    -> Result<ExchangeMessage, ErrorObjectOwned>;

    /// Returns the requested sheet, or the sheet in force if the called instance does not have the requested one.
    #[method(name = "fetch_sheet")]
    async fn fetch_sheet(
        &self,
        request: FetchRequest,
    ) -> Result<Option<FetchReply>, ErrorObjectOwned>;

    /// Runs a request whose ticket names the called instance, or returns its recorded outcome.
    #[method(name = "forward")]
    async fn forward(&self, message: ForwardMessage) -> Result<QueryAnswer, ErrorObjectOwned>;

    /// Issues a ticket of the called instance for a caller of a draining instance.
    #[method(name = "issue_ticket")]
    async fn issue_ticket(&self, message: IssueMessage) -> Result<TicketEntry, ErrorObjectOwned>;

    /// Runs sub-requests for shards that the called instance owns.
    #[method(name = "run_batch")]
    async fn run_batch(&self, batch: BatchMessage) -> Result<BatchAnswer, ErrorObjectOwned>;

    /// Answers at once. This shows that an owner is alive while a batch takes long.
    #[method(name = "ping")]
    async fn ping(&self) -> Result<(), ErrorObjectOwned>;
}
