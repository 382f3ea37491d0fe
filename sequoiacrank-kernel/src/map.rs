//! Aliases for hash collections with a fast hasher.

/// Hash map with a fast hasher. It is seeded per process, so callers can't craft colliding keys.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with the hasher of [`FastMap`].
pub type FastSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
