//! Returns unused memory of the C library's heap to the system.
//!
//! A crate of its own, so that the other crates keep forbidding unsafe code.

/// Returns the unused pages of the heap to the system, also those below blocks that are in use.
///
/// Holds the calling thread while it walks the free blocks. Returns `false` if nothing was returned, or
/// if the C library cannot do it.
#[must_use]
pub fn release_unused() -> bool {
    #[cfg(target_env = "gnu")]
    {
        trim()
    }
    #[cfg(not(target_env = "gnu"))]
    {
        false
    }
}

#[cfg(target_env = "gnu")]
#[expect(
    unsafe_code,
    reason = "malloc_trim is a function of the C library, which has no safe interface"
)]
fn trim() -> bool {
    // SAFETY: the function takes a number, locks each arena, and changes no block that is in use.
    unsafe { libc::malloc_trim(0) != 0 }
}
