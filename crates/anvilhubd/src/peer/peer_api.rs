use anvilhub_coord::border::query::QueryAnswer;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{BatchAnswer, BatchMessage, ForwardMessage};

/// What instances ask of each other.
#[rpc(server, client, namespace = "anvilhub")]
pub(crate) trait PeerApi {
    /// Runs a ticketed request whose ticket names the called instance, or gives its recorded outcome.
    #[method(name = "forward")]
    async fn forward(&self, message: ForwardMessage) -> Result<QueryAnswer, ErrorObjectOwned>;

    /// Runs sub-requests for shards that the called instance owns.
    #[method(name = "run_batch")]
    async fn run_batch(&self, batch: BatchMessage) -> Result<BatchAnswer, ErrorObjectOwned>;
}
