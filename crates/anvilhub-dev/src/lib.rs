//! Development tools of anvilhub.
