//! The lease of the host that performs duties for all.
