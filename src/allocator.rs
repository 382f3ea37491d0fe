//! Settings of the C library's allocator.

/// Size in bytes from which allocations are mapped separately. They go back to the system as soon as
/// they are freed. Buffers of connections reach this size; on the heap, one small allocation behind
/// them keeps the memory of a whole crowd of connections.
#[cfg(target_env = "gnu")]
const MMAP_THRESHOLD: i32 = 32 << 10;

/// Sets the threshold. By default the allocator raises it to the size of each large buffer that is
/// freed, up to 32 MiB.
#[cfg(target_env = "gnu")]
#[allow(unsafe_code, reason = "the setting has no safe interface")]
pub fn configure() {
    // SAFETY: the call has no preconditions on its arguments, and no other thread runs yet.
    let accepted = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MMAP_THRESHOLD) };
    if accepted == 0 {
        eprintln!("sequoiacrank: the allocator refuses an mmap threshold of {MMAP_THRESHOLD}");
    }
}

/// Other C libraries map large allocations separately by themselves.
#[cfg(not(target_env = "gnu"))]
pub fn configure() {}
