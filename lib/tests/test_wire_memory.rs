//! Decoding a message allocates memory in proportion to the bytes received.
//!
//! Guards against allocating for a declared length before its bytes have arrived. Only the
//! allocator's own count can prove this, so the test has a counting allocator. It needs `unsafe`,
//! which nothing else here does.

#![allow(unsafe_code)]

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use wasabicrank_lib::protocol::MESSAGE_VERSION;
use wasabicrank_lib::protocol::decode_message;

/// Maximum bytes that decoding may allocate for each byte received.
const ALLOCATED_PER_BYTE: usize = 64;
/// Maximum bytes that decoding may allocate in addition, whatever the length.
const ALLOCATED_BASE: usize = 4096;
const MAX_BODY: usize = 1024 * 1024;

struct CountingAllocator;

static LIVE: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let live = LIVE.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(live, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static COUNTING_ALLOCATOR: CountingAllocator = CountingAllocator;

/// A hostile payload: a start, a pattern that is repeated, and an end.
struct HostilePayload {
    name: &'static str,
    start: &'static [u8],
    pattern: &'static [u8],
    repeats: usize,
    end: &'static [u8],
}

/// A length of 2^62, encoded as a varint.
const HUGE_LENGTH: [u8; 9] = [0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x40];

const HOSTILE_PAYLOADS: [HostilePayload; 7] = [
    HostilePayload {
        name: "claims that are declared but missing",
        start: &[7, 3, 1, 1, 1, 0xe0, 0xd4, 0x03],
        pattern: &[],
        repeats: 0,
        end: &[],
    },
    HostilePayload {
        name: "shard list with a huge length",
        start: &[7, 2],
        pattern: &HUGE_LENGTH,
        repeats: 1,
        end: &[],
    },
    HostilePayload {
        name: "string with a huge length",
        start: &[12],
        pattern: &HUGE_LENGTH,
        repeats: 1,
        end: &[],
    },
    HostilePayload {
        name: "engines with as many short models as fit",
        start: &[0, 0, 0, 0, 0, 0, 0, 0x80, 0x40],
        pattern: &[
            1, b'e', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 16, 1, b'm', 1, b'm', 1, b'm', 1, b'm',
            1, b'm', 1, b'm', 1, b'm', 1, b'm', 1, b'm', 1, b'm', 1, b'm', 1, b'm', 1, b'm', 1,
            b'm', 1, b'm', 1, b'm',
        ],
        repeats: 8192,
        end: &[0, 0, 0],
    },
    HostilePayload {
        name: "edits without lines",
        start: &[11, 1, 1, 1, 1, 0xe0, 0xd4, 0x03],
        pattern: &[0, 0, 0, 0],
        repeats: 60_000,
        end: &[],
    },
    HostilePayload {
        name: "claims without bodies",
        start: &[7, 3, 1, 1, 1, 0xe0, 0xd4, 0x03],
        pattern: &[1, 2, 3, 4, 5, 6, 7, 8, 9, 0, 1, 2, 3, 4, 5, 6, 1, 0],
        repeats: 60_000,
        end: &[],
    },
    HostilePayload {
        name: "one edit of empty lines",
        start: &[11, 1, 1, 1, 1, 1, 0, 0, 0xe1, 0xd4, 0x03, 0xe0, 0xd4, 0x03],
        pattern: b"\n",
        repeats: 60_000,
        end: &[],
    },
];

#[test]
fn memory_is_proportional_to_received_bytes() {
    for case in HOSTILE_PAYLOADS {
        let mut payload = vec![MESSAGE_VERSION];
        payload.extend_from_slice(case.start);
        payload.extend(case.pattern.repeat(case.repeats));
        payload.extend_from_slice(case.end);
        for end in [payload.len(), payload.len() - 1, payload.len() / 2] {
            let before = LIVE.load(Ordering::Relaxed);
            PEAK.store(before, Ordering::Relaxed);
            let result = decode_message(&payload[..end], MAX_BODY);
            let allocated = PEAK.load(Ordering::Relaxed) - before;
            let limit = ALLOCATED_PER_BYTE * end + ALLOCATED_BASE;
            println!("{}: {end} bytes, {allocated} allocated, {}", case.name, result.is_ok());
            assert!(
                allocated <= limit,
                "{}: {allocated} bytes allocated for {end} received",
                case.name
            );
        }
    }
}
