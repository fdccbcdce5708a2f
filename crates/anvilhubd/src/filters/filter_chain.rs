use super::{EntryRequest, Result};

/// One check of the request chain.
pub(crate) trait RequestFilter: Send + Sync {
    /// Checks or completes the request.
    ///
    /// # Errors
    ///
    /// The reason to refuse the request; nothing was sent to an upstream.
    fn apply(&self, request: &mut EntryRequest) -> Result<()>;
}

/// The filters in the order in which they run.
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
