//! Random and spoilt bytes against the decoder, the skip and the transcoder: no panic, nothing held beyond the cap.
//!
//! `LAURELROUTE_FUZZ=10000000` makes it a long run; `LAURELROUTE_SEED` repeats one.

use laurelroute_thrift::codec::decoder::{Accept, Decoder, Item};
use laurelroute_thrift::codec::{Limits, FORMS};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::time::{SystemTime, UNIX_EPOCH};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Splitmix64: seeds and bits are all that is asked of it.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: usize) -> usize {
        (self.next() % n as u64) as usize
    }
}

/// Bytes that mean something somewhere: types, sizes, versions, lengths at the edges.
const TELLING: [u8; 24] = [
    0, 1, 2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15, 16, 0x0f, 0x7f, 0x80, 0x82, 0x21, 0x41, 0xf9, 0xff, 0x1c,
    0x2b,
];

fn fresh(random: &mut Random) -> Vec<u8> {
    let telling = random.below(4) > 0;
    let byte = |r: &mut Random| if telling { TELLING[r.below(TELLING.len())] } else { r.next() as u8 };
    let len = random.below(120);
    (0..len).map(|_| byte(random)).collect()
}

/// A sound message in a form, spoilt in a few places, cut, or with bytes put in.
fn spoilt(random: &mut Random, sound: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = sound[random.below(sound.len())].clone();
    for _ in 0..random.below(4) {
        let at = random.below(bytes.len().max(1));
        match random.below(4) {
            0 if !bytes.is_empty() => bytes.truncate(at),
            1 => bytes.insert(at.min(bytes.len()), random.next() as u8),
            _ if at < bytes.len() => bytes[at] = TELLING[random.below(TELLING.len())],
            _ => {}
        }
    }
    bytes
}

/// One sound call in every form: a struct with every type in it.
fn sound() -> Vec<Vec<u8>> {
    let body: Vec<u8> = [
        &[2, 0, 1, 1, 3, 0, 2, 5, 4, 0, 3, 1, 2, 3, 4, 5, 6, 7, 8, 6, 0, 4, 0, 9][..],
        &[8, 0, 20, 0, 0, 0, 1, 10, 0, 21, 0, 0, 0, 0, 0, 0, 0, 1, 11, 0, 22, 0, 0, 0, 3, b'a', b'b', b'c'],
        &[12, 0, 23, 12, 0, 1, 0, 0, 13, 0, 24, 11, 8, 0, 0, 0, 1, 0, 0, 0, 1, b'k', 0, 0, 0, 2],
        &[14, 0, 25, 8, 0, 0, 0, 2, 0, 0, 0, 1, 0, 0, 0, 2, 15, 0, 26, 2, 0, 0, 0, 2, 1, 0],
        &[16, 0, 27, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 13, 0, 28, 0, 0, 0, 0, 0, 0, 0],
    ]
    .concat();
    let call = [&[0x80, 1, 0, 1, 0, 0, 0, 6][..], b"status", &[0, 0, 0, 7], &body].concat();
    let mut decoder = Decoder::new(Accept::Detect, Limits::default());
    decoder.buffer().extend_from_slice(&call);
    let Some(Item::Message(message)) = decoder.take_item() else { panic!("the seed is unsound") };
    FORMS.iter().map(|(_, form)| message.encode(*form, None).expect("sound").to_vec()).collect()
}

#[test]
fn no_bytes_panic_or_cost_more_than_the_cap() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let rounds = number("LAURELROUTE_FUZZ").unwrap_or(300_000);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_nanos() as u64);
    let seed = number("LAURELROUTE_SEED").unwrap_or(now);
    println!("seed {seed}, {rounds} rounds");
    let limits = Limits { message: 4096, ..Limits::default() };
    let sound = sound();
    let (mut taken, mut refused, mut most) = (0u64, 0u64, 0usize);
    for round in 0..rounds {
        // Each round has a generator of its own, so that one can be repeated alone.
        let mut random = Random(seed ^ round.wrapping_mul(0xd6e8_feb8_6659_fd93));
        let bytes = if random.below(3) == 0 { fresh(&mut random) } else { spoilt(&mut random, &sound) };
        let accept = match random.below(3) {
            0 => Accept::Only(FORMS[random.below(FORMS.len())].1),
            _ => Accept::Detect,
        };
        let region = Region::new(ALLOCATOR);
        let mut decoder = Decoder::new(accept, limits);
        let step = 1 + random.below(200);
        for part in bytes.chunks(step) {
            decoder.buffer().extend_from_slice(part);
            while let Some(item) = decoder.take_item() {
                match item {
                    Item::Message(message) => {
                        taken += 1;
                        let form = FORMS[random.below(FORMS.len())].1;
                        // What was walked through once can be written in any form.
                        let out = message.encode(form, None).expect("a sound message can be transcoded");
                        assert!(out.len() <= 16 * limits.message, "round {round}: {} bytes", out.len());
                    }
                    Item::Malformed(m) => {
                        refused += 1;
                        std::hint::black_box(m.fault);
                    }
                }
            }
        }
        drop(decoder);
        let held = region.change().bytes_allocated;
        most = most.max(held);
        // All that was allocated in turn, together: the buffer, its doublings, what was written.
        assert!(held <= 16 * limits.message, "seed {seed}, round {round}: {held} bytes for {bytes:?}");
    }
    println!("{taken} taken, {refused} refused, at most {most} bytes allocated in one round");
    assert!(taken > rounds / 50 && refused > rounds / 50, "the mix has lost its point");
}
