use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::border::sheet::{ReplicaEntry, RouteEntry, ServiceEntry, ShardEntry};

use super::range_check::RangeCheck;
use super::sheet_fault::quote;
use super::{Result, SheetDocument, SheetFault};

/// Maximum version. JSON tools that store numbers as doubles would alter larger ones.
pub const MAX_SHEET_VERSION: u64 = (1 << 53) - 1;

/// Maximum default deadline in milliseconds. A longer one would keep slots busy for callers that have given up.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// Maximum number of faults that are reported for one sheet. Limits memory and log size for a garbled document.
const MAX_FAULTS: usize = 1_000;

/// Checks a document whose fields and types are right for all other faults, such as duplicate names and gaps between
/// ranges.
#[derive(Debug, Default)]
pub struct SheetCheck {
    faults: Vec<SheetFault>,
    /// Place of the first use of each upstream identifier.
    upstreams: BTreeMap<String, String>,
    /// Place of the first use of each address.
    addresses: BTreeMap<SocketAddr, String>,
}

impl SheetCheck {
    /// Checks `document`.
    ///
    /// # Errors
    ///
    /// Returns all faults, each with its place and remedy, up to a limit of 1,000.
    pub fn check_document(document: &SheetDocument) -> Result<()> {
        let mut check = Self::default();
        check.check_header(document);
        let mut names = BTreeMap::new();
        for (index, service) in document.services.iter().enumerate() {
            let place = format!("/services/{index}");
            check.check_name(&format!("{place}/name"), service.name.as_str());
            check.check_unique(&mut names, &format!("{place}/name"), service.name.as_str());
            check.check_service(&place, service);
        }
        match check.faults.is_empty() {
            true => Ok(()),
            false => Err(Self::truncate_faults(check.faults)),
        }
    }

    /// Truncates `faults` to the limit and adds a fault with the number of those left out.
    pub(crate) fn truncate_faults(mut faults: Vec<SheetFault>) -> Vec<SheetFault> {
        let total_count = faults.len();
        if total_count > MAX_FAULTS {
            faults.truncate(MAX_FAULTS);
            faults.push(SheetFault::new(
                "",
                format!("{} further faults", total_count - MAX_FAULTS),
                "a sheet without faults",
                "correct the faults above and check again",
            ));
        }
        faults
    }

    fn check_header(&mut self, document: &SheetDocument) {
        if document.version.get() == 0 || document.version.get() > MAX_SHEET_VERSION {
            self.faults.push(SheetFault::new(
                "/version",
                quote(&document.version.to_string()),
                format!("a version from 1 to {MAX_SHEET_VERSION}"),
                "publish the sheet under the version after the one in force",
            ));
        }
        if document.services.is_empty() {
            self.faults.push(SheetFault::new(
                "/services",
                "no services",
                "at least one service",
                "export the sheet again; an empty sheet would leave every caller unserved",
            ));
        }
        let mut names = BTreeMap::new();
        for (index, name) in document.confirm_removals.iter().enumerate() {
            let place = format!("/confirm_removals/{index}");
            self.check_name(&place, name.as_str());
            self.check_unique(&mut names, &place, name.as_str());
        }
    }

    fn check_service(&mut self, place: &str, service: &ServiceEntry) {
        if service.callers.is_empty() {
            self.faults.push(SheetFault::new(
                format!("{place}/callers"),
                "no callers",
                "at least one caller that the service serves",
                "name the callers, or remove the service if nobody uses it",
            ));
        }
        let mut callers = BTreeMap::new();
        for (index, caller) in service.callers.iter().enumerate() {
            let place = format!("{place}/callers/{index}");
            self.check_name(&place, caller.as_str());
            self.check_unique(&mut callers, &place, caller.as_str());
        }
        if let Some(route) = &service.route {
            self.check_route(&format!("{place}/route"), route);
        }
        let mut names = BTreeMap::new();
        for (index, shard) in service.shards.iter().enumerate() {
            let place = format!("{place}/shards/{index}");
            self.check_name(&format!("{place}/name"), shard.name.as_str());
            self.check_unique(&mut names, &format!("{place}/name"), shard.name.as_str());
            self.check_shard(&place, shard);
        }
        self.faults
            .extend(RangeCheck::new(place, &service.shards).faults());
    }

    fn check_route(&mut self, place: &str, route: &RouteEntry) {
        if let Some(percent) = route.extra_load_percent
            && !(0.0..=100.0).contains(&percent)
        {
            self.faults.push(SheetFault::new(
                format!("{place}/extra_load_percent"),
                quote(&percent.to_string()),
                "a percentage from 0 to 100",
                "state the maximum of hedges and retries per hundred sub-requests, 5 if unsure",
            ));
        }
        if let Some(percentile) = route.hedge_percentile
            && !(percentile > 0.0 && percentile < 100.0)
        {
            self.faults.push(SheetFault::new(
                format!("{place}/hedge_percentile"),
                quote(&percentile.to_string()),
                "a percentile above 0 and below 100",
                "state the latency percentile after which a hedge is sent, 95 if unsure",
            ));
        }
        if let Some(deadline) = route.default_deadline_ms
            && !(1..=MAX_DEADLINE_MS).contains(&deadline)
        {
            self.faults.push(SheetFault::new(
                format!("{place}/default_deadline_ms"),
                quote(&deadline.to_string()),
                format!("1 to {MAX_DEADLINE_MS} milliseconds"),
                "state the longest time that callers wait, in milliseconds",
            ));
        }
    }

    fn check_shard(&mut self, place: &str, shard: &ShardEntry) {
        if shard.replicas.is_empty() {
            self.faults.push(SheetFault::new(
                format!("{place}/replicas"),
                "no replicas",
                "at least one upstream that serves the range",
                "name the upstreams of the shard",
            ));
        }
        for (index, replica) in shard.replicas.iter().enumerate() {
            self.check_replica(&format!("{place}/replicas/{index}"), replica);
        }
    }

    fn check_replica(&mut self, place: &str, replica: &ReplicaEntry) {
        let id_place = format!("{place}/id");
        self.check_name(&id_place, replica.id.as_str());
        let mut upstreams = std::mem::take(&mut self.upstreams);
        self.check_unique(&mut upstreams, &id_place, replica.id.as_str());
        self.upstreams = upstreams;
        self.check_name(
            &format!("{place}/failure_domain"),
            replica.failure_domain.as_str(),
        );
        self.check_address(&format!("{place}/address"), &replica.address);
        self.check_capacity(place, replica);
    }

    fn check_address(&mut self, place: &str, text: &str) {
        let address = text
            .parse::<SocketAddr>()
            .ok()
            .filter(|address| address.port() != 0 && !address.ip().is_unspecified());
        let Some(address) = address else {
            self.faults.push(SheetFault::new(
                place,
                quote(text),
                "an IP address and a port, such as 127.0.0.1:7301",
                "replace host names by IP addresses and state the port",
            ));
            return;
        };
        if let Some(first) = self.addresses.get(&address) {
            self.faults.push(duplicate_fault(place, text, first));
            return;
        }
        self.addresses.insert(address, place.to_owned());
    }

    /// Adds a fault if the replica has no slots, or fewer connections than slots.
    fn check_capacity(&mut self, place: &str, replica: &ReplicaEntry) {
        if replica.slots == 0 {
            self.faults.push(SheetFault::new(
                format!("{place}/slots"),
                "0 slots",
                "at least 1 slot",
                "state how many sub-requests the upstream runs at once",
            ));
        }
        if replica.connections < replica.slots.max(1) {
            self.faults.push(SheetFault::new(
                format!("{place}/connections"),
                format!("{} connections", replica.connections),
                format!("at least {}, one for each slot", replica.slots.max(1)),
                "raise the connection limit or lower the slots",
            ));
        }
    }

    fn check_name(&mut self, place: &str, name: &str) {
        if crate::ids::is_text_id(name) {
            return;
        }
        self.faults.push(SheetFault::new(
            place,
            quote(name),
            "1 to 128 letters, digits, `.`, `_`, `-`, `/` or `:`",
            "use only these characters in the name, and at most 128 of them",
        ));
    }

    /// Adds a fault if `seen`, which maps each name to the place of its first use, contains `name`.
    fn check_unique(&mut self, seen: &mut BTreeMap<String, String>, place: &str, name: &str) {
        if let Some(first) = seen.get(name) {
            self.faults.push(duplicate_fault(place, name, first));
            return;
        }
        seen.insert(name.to_owned(), place.to_owned());
    }
}

fn duplicate_fault(place: &str, text: &str, first: &str) -> SheetFault {
    SheetFault::new(
        place,
        format!("{} a second time, first at {first}", quote(text)),
        "each name and address once",
        "remove the copy or give it its own name and address",
    )
}
