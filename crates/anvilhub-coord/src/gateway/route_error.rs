use derive_more::{Display, Error};

use super::HostName;

/// Why a request matches no route.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum RouteError {
    /// No route of the host has a prefix that matches the path.
    #[display("no route of host {host} matches path {path}; add one to the configuration")]
    NoRoute {
        /// Host of the request.
        host: HostName,
        /// Path of the request.
        path: String,
    },
}
