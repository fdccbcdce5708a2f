use anvilhub_coord::fleet::MemberGossip;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{ExchangeAnswer, FollowAnswer, FollowCall};

/// Calls between instances of a gateway.
#[rpc(server, client, namespace = "fleet")]
pub(crate) trait FleetApi {
    /// Exchanges the members that the caller knows for those that this instance knows.
    #[method(name = "exchange")]
    async fn exchange(
        &self,
        members: Vec<MemberGossip>,
    ) -> Result<ExchangeAnswer, ErrorObjectOwned>;

    /// Returns updates of the platform's values, as soon as there are any.
    #[method(name = "follow")]
    async fn follow(&self, call: FollowCall) -> Result<FollowAnswer, ErrorObjectOwned>;

    /// Answers at once, to show that an instance that works on a relayed request is alive.
    #[method(name = "ping")]
    async fn ping(&self) -> Result<(), ErrorObjectOwned>;
}
