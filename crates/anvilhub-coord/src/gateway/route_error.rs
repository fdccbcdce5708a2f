use derive_more::{Display, Error};

use super::HostName;

/// Why a request has no route.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum RouteError {
    /// No route of the host has a prefix that begins the path.
    #[display("no route of host {host} begins path {path}; add one to the configuration")]
    NoRoute {
        /// Host of the request.
        host: HostName,
        /// Path of the request.
        path: String,
    },
}
