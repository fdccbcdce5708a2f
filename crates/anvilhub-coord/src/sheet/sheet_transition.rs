use std::collections::BTreeSet;

use crate::ids::{ServiceName, UpstreamId};

use super::sheet_fault::quote;
use super::{CheckedSheet, Result, ServiceSpec, SheetFault};

/// The transition from the sheet in force to a candidate.
#[derive(Clone, Copy, Debug)]
pub struct SheetTransition<'a> {
    in_force: &'a CheckedSheet,
    candidate: &'a CheckedSheet,
}

impl<'a> SheetTransition<'a> {
    /// Creates the transition from `in_force` to `candidate`.
    pub fn new(in_force: &'a CheckedSheet, candidate: &'a CheckedSheet) -> Self {
        Self {
            in_force,
            candidate,
        }
    }

    /// Checks whether the candidate may succeed the sheet in force.
    ///
    /// # Errors
    ///
    /// Returns a fault if the version is not higher, and one for each service that is not named under
    /// `confirm_removals` although it disappears or loses half or more of its upstreams.
    pub fn check(&self) -> Result<()> {
        let mut faults: Vec<SheetFault> = self.version_fault().into_iter().collect();
        faults.extend(self.removal_faults());
        match faults.is_empty() {
            true => Ok(()),
            false => Err(faults),
        }
    }

    /// Returns a fault for each name under `confirm_removals` that is in neither sheet.
    ///
    /// An instance does not refuse a published sheet because of these faults: if it missed a version, it may not know a
    /// service that the next version removes. The command-line tool reports them before a sheet is published.
    pub fn unknown_removals(&self) -> Vec<SheetFault> {
        let names = self.candidate.document().confirm_removals.iter();
        names
            .enumerate()
            .filter(|(_, name)| !self.is_known(name))
            .map(|(index, name)| {
                SheetFault::new(
                    format!("/confirm_removals/{index}"),
                    format!("unknown service {}", quote(name.as_str())),
                    "a service of this sheet or of the one in force",
                    "remove the name or correct its spelling",
                )
            })
            .collect()
    }

    fn is_known(&self, name: &ServiceName) -> bool {
        self.in_force.services.contains_key(name) || self.candidate.services.contains_key(name)
    }

    fn version_fault(&self) -> Option<SheetFault> {
        if self.candidate.version > self.in_force.version {
            return None;
        }
        Some(SheetFault::new(
            "/version",
            format!("version {}", self.candidate.version),
            format!(
                "a version above {}, the one in force",
                self.in_force.version
            ),
            "publish again under a higher version",
        ))
    }

    fn removal_faults(&self) -> impl Iterator<Item = SheetFault> {
        self.in_force
            .services
            .values()
            .filter(|service| !self.candidate.confirm_removals.contains(&service.name))
            .filter_map(|service| self.removal_fault(service))
    }

    fn removal_fault(&self, service: &ServiceSpec) -> Option<SheetFault> {
        let name = quote(service.name.as_str());
        let remedy = format!("add {name} to `confirm_removals` if this is intended");
        let Some(successor) = self.candidate.services.get(&service.name) else {
            return Some(SheetFault::new(
                "/services",
                format!("the service {name} disappears"),
                "the services of the sheet in force",
                remedy,
            ));
        };
        let kept_ids: BTreeSet<&UpstreamId> =
            successor.replicas().map(|replica| &replica.id).collect();
        let total_count = service.replicas().count();
        let lost_count = service
            .replicas()
            .filter(|replica| !kept_ids.contains(&replica.id))
            .count();
        if lost_count * 2 < total_count {
            return None;
        }
        Some(SheetFault::new(
            self.service_place(&service.name),
            format!("the service {name} loses {lost_count} of its {total_count} upstreams"),
            "a service that keeps more than half of its upstreams",
            remedy,
        ))
    }

    fn service_place(&self, name: &ServiceName) -> String {
        let services = &self.candidate.document().services;
        match services.iter().position(|entry| entry.name == *name) {
            Some(index) => format!("/services/{index}"),
            None => "/services".to_owned(),
        }
    }
}
