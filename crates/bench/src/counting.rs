use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
};

thread_local! {
    /// Bytes that this thread allocated and has not freed.
    static LIVE_BYTES: Cell<i64> = const { Cell::new(0) };
}

/// Allocator that counts the live bytes of each thread, for the memory figures.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counting;

impl Counting {
    /// Returns the bytes that this thread allocated and has not freed; 0 unless it is the global allocator.
    pub fn live_bytes() -> i64 {
        LIVE_BYTES.get()
    }

    fn add(bytes: i64) {
        // A thread that ends may free after its counter is gone; those bytes do not matter.
        let _ = LIVE_BYTES.try_with(|live| live.set(live.get() + bytes));
    }
}

#[expect(unsafe_code, reason = "an allocator can only be written as an unsafe trait")]
// SAFETY: all calls go to the system allocator unchanged; counting neither allocates nor unwinds.
unsafe impl GlobalAlloc for Counting {
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
