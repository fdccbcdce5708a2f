use anvilhub_coord::fleet::MemberGossip;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{ExchangeAnswer, FollowAnswer, FollowCall};

/// What instances of a gateway ask of each other.
#[rpc(server, client, namespace = "fleet")]
pub(crate) trait FleetApi {
    /// Takes what the caller knows of other instances and returns the own knowledge.
    #[method(name = "exchange")]
    async fn exchange(&self, notes: Vec<MemberGossip>) -> Result<ExchangeAnswer, ErrorObjectOwned>;

    /// Returns news of the platform, as soon as there are any.
    #[method(name = "follow")]
    async fn follow(&self, call: FollowCall) -> Result<FollowAnswer, ErrorObjectOwned>;

    /// Answers at once: an instance that works on a passed-on request shows by this that it is alive.
    #[method(name = "ping")]
    async fn ping(&self) -> Result<(), ErrorObjectOwned>;
}
