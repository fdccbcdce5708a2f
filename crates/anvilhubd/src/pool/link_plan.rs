/// Connections that this instance may hold to one upstream, and those that it opens ahead of need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkPlan {
    pub(crate) share: u32,
    pub(crate) warm: u32,
}
