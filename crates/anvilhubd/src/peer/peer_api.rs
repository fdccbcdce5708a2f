use anvilhub_coord::border::query::{QueryAnswer, TicketEntry};
use anvilhub_coord::configuration::{ExchangeMessage, FetchReply, FetchRequest};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{BatchAnswer, BatchMessage, ForwardMessage, IssueMessage};

/// What instances ask of each other.
#[rpc(server, client, namespace = "anvilhub")]
pub(crate) trait PeerApi {
    /// Takes the caller's state and returns the own one.
    #[method(name = "exchange")]
    async fn exchange(&self, message: ExchangeMessage)
    -> Result<ExchangeMessage, ErrorObjectOwned>;

    /// Supplies the wanted sheet, or the one in force if the wanted one is not held.
    #[method(name = "fetch_sheet")]
    async fn fetch_sheet(
        &self,
        request: FetchRequest,
    ) -> Result<Option<FetchReply>, ErrorObjectOwned>;

    /// Runs a ticketed request whose ticket names the called instance, or gives its recorded outcome.
    #[method(name = "forward")]
    async fn forward(&self, message: ForwardMessage) -> Result<QueryAnswer, ErrorObjectOwned>;

    /// Issues a ticket of the called instance, for a caller of an instance that drains.
    #[method(name = "issue_ticket")]
    async fn issue_ticket(&self, message: IssueMessage) -> Result<TicketEntry, ErrorObjectOwned>;

    /// Runs sub-requests for shards that the called instance owns.
    #[method(name = "run_batch")]
    async fn run_batch(&self, batch: BatchMessage) -> Result<BatchAnswer, ErrorObjectOwned>;

    /// Answers at once: an owner whose batch takes long shows by this that it is alive.
    #[method(name = "ping")]
    async fn ping(&self) -> Result<(), ErrorObjectOwned>;
}
