use anvilhub_coord::border::query::{QueryAnswer, TicketEntry};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{BatchAnswer, BatchMessage, ForwardMessage, IssueMessage};

/// What instances ask of each other.
#[rpc(server, client, namespace = "anvilhub")]
pub(crate) trait PeerApi {
    /// Runs a ticketed request whose ticket names the called instance, or gives its recorded outcome.
    #[method(name = "forward")]
    async fn forward(&self, message: ForwardMessage) -> Result<QueryAnswer, ErrorObjectOwned>;

    /// Issues a ticket of the called instance, for a caller of an instance that drains.
    #[method(name = "issue_ticket")]
    async fn issue_ticket(&self, message: IssueMessage) -> Result<TicketEntry, ErrorObjectOwned>;

    /// Runs sub-requests for shards that the called instance owns.
    #[method(name = "run_batch")]
    async fn run_batch(&self, batch: BatchMessage) -> Result<BatchAnswer, ErrorObjectOwned>;
}
