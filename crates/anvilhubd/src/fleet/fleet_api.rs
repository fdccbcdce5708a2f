use anvilhub_coord::crash::CrashNote;
use anvilhub_coord::fleet::MemberGossip;
use anvilhub_coord::limit::LimitNote;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use super::{ExchangeAnswer, FollowAnswer, FollowCall};

/// Calls between the instances that run the gateway.
#[rpc(server, client, namespace = "fleet")]
pub(crate) trait FleetApi {
    /// Records the members, the limits of upstreams and the requests that crashed upstreams that the calling instance
    /// knows, and returns those that this instance knows. An instance of an earlier version sends members only.
    #[method(name = "exchange")]
    async fn exchange(
        &self,
        members: Vec<MemberGossip>,
        limits: Option<Vec<LimitNote>>,
        crashes: Option<Vec<CrashNote>>,
    ) -> Result<ExchangeAnswer, ErrorObjectOwned>;

    /// Returns changes of the platform's values as soon as there are any, at the latest after the wait of the call.
    #[method(name = "follow")]
    async fn follow(&self, call: FollowCall) -> Result<FollowAnswer, ErrorObjectOwned>;

    /// Answers at once. Shows that an instance that gathers the answer to a relayed request still runs.
    #[method(name = "ping")]
    async fn ping(&self) -> Result<(), ErrorObjectOwned>;
}
