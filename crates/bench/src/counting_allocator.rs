use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
};

thread_local! {
    /// Bytes allocated minus bytes freed by this thread.
    static LIVE_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// Allocator that counts the live bytes of each thread, for memory measurements.
#[derive(Debug, Clone, Copy, Default)]
pub struct CountingAllocator;

impl CountingAllocator {
    /// Returns the bytes allocated minus those freed by this thread; 0 unless this is the global allocator.
    pub fn live_bytes() -> i64 {
        LIVE_BYTES.get()
    }

    fn add(bytes: i64) {
        // A thread that exits may free memory after its counter was destroyed; those bytes do not matter.
        let _ = LIVE_BYTES.try_with(|live| live.set(live.get() + bytes));
    }
}

#[expect(unsafe_code, reason = "an allocator can only be written as an unsafe trait")]
// SAFETY: all calls go to the system allocator unchanged; counting neither allocates nor unwinds.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        Self::add(layout.size() as i64);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        Self::add(-(layout.size() as i64));
        // SAFETY: the caller keeps the contract of `dealloc`, and the pointer came from the system allocator.
        unsafe { System.dealloc(pointer, layout) }
    }
}
