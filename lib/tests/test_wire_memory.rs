//! Decoding a message takes memory in proportion to the bytes that really arrived.
//!
//! The allocator that counts needs `unsafe`, which nothing else here does; a figure from the
//! allocator is the only proof that no length is believed before its bytes are there.

#![allow(unsafe_code)]

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use wasabicrank_lib::protocol::MESSAGE_VERSION;
use wasabicrank_lib::protocol::decode_message;

/// The most bytes that decoding may hold for each byte received, and beside that.
const HELD_PER_BYTE: usize = 64;
const HELD_BESIDE: usize = 4096;
const MAX_BODY: usize = 1024 * 1024;

struct Counting;

static LIVE: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
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
static COUNTING: Counting = Counting;

/// A payload of one kind that goes on with a repeated pattern.
struct Hostile {
    name: &'static str,
    start: &'static [u8],
    pattern: &'static [u8],
    repeats: usize,
    end: &'static [u8],
}

/// A length of 2^62 as the codec writes it.
const HUGE: [u8; 9] = [0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x40];

const HOSTILE: [Hostile; 7] = [
    Hostile {
        name: "claims that are announced and not there",
        start: &[7, 3, 1, 1, 1, 0xe0, 0xd4, 0x03],
        pattern: &[],
        repeats: 0,
        end: &[],
    },
    Hostile {
        name: "shards of a huge length",
        start: &[7, 2],
        pattern: &HUGE,
        repeats: 1,
        end: &[],
    },
    Hostile { name: "a text of a huge length", start: &[12], pattern: &HUGE, repeats: 1, end: &[] },
    Hostile {
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
    Hostile {
        name: "edits without lines",
        start: &[11, 1, 1, 1, 1, 0xe0, 0xd4, 0x03],
        pattern: &[0, 0, 0, 0],
        repeats: 60_000,
        end: &[],
    },
    Hostile {
        name: "claims without bodies",
        start: &[7, 3, 1, 1, 1, 0xe0, 0xd4, 0x03],
        pattern: &[1, 2, 3, 4, 5, 6, 7, 8, 9, 0, 1, 2, 3, 4, 5, 6, 1, 0],
        repeats: 60_000,
        end: &[],
    },
    Hostile {
        name: "one edit of empty lines",
        start: &[11, 1, 1, 1, 1, 1, 0, 0, 0xe1, 0xd4, 0x03, 0xe0, 0xd4, 0x03],
        pattern: b"\n",
        repeats: 60_000,
        end: &[],
    },
];

#[test]
fn memory_follows_the_bytes_received() {
    for case in HOSTILE {
        let mut payload = vec![MESSAGE_VERSION];
        payload.extend_from_slice(case.start);
        payload.extend(case.pattern.repeat(case.repeats));
        payload.extend_from_slice(case.end);
        for end in [payload.len(), payload.len() - 1, payload.len() / 2] {
            let before = LIVE.load(Ordering::Relaxed);
            PEAK.store(before, Ordering::Relaxed);
            let result = decode_message(&payload[..end], MAX_BODY);
            let held = PEAK.load(Ordering::Relaxed) - before;
            let limit = HELD_PER_BYTE * end + HELD_BESIDE;
            println!("{}: {end} bytes, {held} held, {}", case.name, result.is_ok());
            assert!(held <= limit, "{}: {held} bytes held for {end} received", case.name);
        }
    }
}
