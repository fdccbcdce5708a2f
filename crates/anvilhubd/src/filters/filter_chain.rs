use super::{EntryRequest, Result};

/// One step of the request chain.
pub(crate) trait RequestFilter: Send + Sync {
    /// Checks the request or fills in derived fields.
    ///
    /// # Errors
    ///
    /// Fails with the reason to refuse the request. Nothing was sent to an upstream.
    fn apply(&self, request: &mut EntryRequest) -> Result<()>;
}

/// Filters in the order in which they are applied.
pub(crate) struct FilterChain {
    filters: Vec<Box<dyn RequestFilter>>,
}

impl FilterChain {
    pub(crate) fn new(filters: Vec<Box<dyn RequestFilter>>) -> Self {
        Self { filters }
    }

    pub(crate) fn apply(&self, request: &mut EntryRequest) -> Result<()> {
        self.filters
            .iter()
            .try_for_each(|filter| filter.apply(request))
    }
}
