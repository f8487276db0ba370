//! Copies that differ: whichever way they meet, and however often, they come to the same; and files that are not sound.

use laurelroute_replica::disk::{decode, encode, FileError};
use laurelroute_replica::store::MAX_ENTRIES;
use laurelroute_replica::{BanChange, Dot, Drain, Entry, Key, Store, Writer};
use proptest::prelude::*;

/// What happens to three copies: a word said at one, a list heard at one, or one that takes in all that another has.
#[derive(Clone, Debug)]
enum Step {
    Say(usize, u8, bool),
    Hear(usize, u8, u64, bool),
    Meet(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3usize, 0..2u8, any::<bool>()).prop_map(|(at, host, out)| Step::Say(at, host, out)),
        (0..3usize, 0..2u8, 0..4u64, any::<bool>())
            .prop_map(|(at, host, v, out)| Step::Hear(at, host, v, out)),
        (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Meet(from, to)),
    ];
    prop::collection::vec(step, 0..40)
}

fn take_all(to: &mut Store, from: &Store) {
    for (key, entry) in from.entries() {
        to.merge(key, entry.clone(), false).expect("there is room");
    }
}

fn played(steps: &[Step]) -> Vec<Store> {
    let mut copies = vec![Store::default(); 3];
    for (number, step) in (1..).zip(steps) {
        match *step {
            Step::Say(at, host, out) => {
                let writer = Writer { member: at as u16, incarnation: 7 };
                // Clocks go as they like.
                let word = BanChange { dot: Dot { writer, number }, banned: out, changed_at: 1_000 - number };
                copies[at].set_ban(&format!("s{host}"), word).expect("there is room");
            }
            Step::Hear(at, host, version, out) => {
                let key = Key::Drain(format!("s{host}"));
                copies[at]
                    .merge(&key, Entry::Drain(Drain { version, drained: out }), false)
                    .expect("there is room");
            }
            Step::Meet(from, to) => {
                let other = copies[from].clone();
                take_all(&mut copies[to], &other);
            }
        }
    }
    copies
}

proptest! {
    #[test]
    fn whichever_way_copies_meet_they_come_to_the_same(steps in steps()) {
        let copies = played(&steps);
        let met = |order: [usize; 3]| {
            let mut all = copies[order[0]].clone();
            take_all(&mut all, &copies[order[1]]);
            take_all(&mut all, &copies[order[2]]);
            take_all(&mut all, &copies[order[1]]);
            all
        };
        let one = met([0, 1, 2]);
        for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            let other = met(order);
            prop_assert_eq!(encode(&one), encode(&other));
            prop_assert_eq!((one.root_digest(), one.bucket_digests()), (other.root_digest(), other.bucket_digests()));
        }
        // All that differs can be found by the digests.
        for copy in &copies {
            let theirs = copy.bucket_digests();
            let found: Vec<&Key> = one.differing_keys(&theirs).collect();
            let differs = |key: &&Key| one.get(key) != copy.get(key);
            prop_assert!(one.entries().map(|(k, _)| k).filter(differs).all(|k| found.contains(&k)));
        }
    }

    #[test]
    fn a_file_comes_back_and_a_spoilt_one_is_not_believed(steps in steps(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let copy = &played(&steps)[0];
        let file = encode(copy);
        let mut back = Store::default();
        for (key, entry) in decode(&file).expect("it is sound") {
            back.merge(&key, entry, false).expect("there is room");
        }
        prop_assert_eq!(&back, copy);
        let mut spoilt = file.clone();
        spoilt[at.index(file.len())] ^= 1 << bit;
        // A checksum that is written in capitals is the same.
        prop_assert!(decode(&spoilt).map_or(true, |entries| file.eq_ignore_ascii_case(&spoilt) && entries.len() == copy.len()));
        prop_assert!(decode(&file[..at.index(file.len())]).is_err());
    }
}

fn word(member: u16, number: u64, out: bool) -> BanChange {
    BanChange { dot: Dot { writer: Writer { member, incarnation: 1 }, number }, banned: out, changed_at: 0 }
}

#[test]
fn a_word_answers_what_its_speaker_knew_of_and_nothing_else() {
    let (mut here, mut there) = (Store::default(), Store::default());
    here.set_ban("s", word(0, 1, true)).unwrap();
    take_all(&mut there, &here);
    // Put back there, and taken out here again: neither knows of the other.
    there.set_ban("s", word(1, 1, false)).unwrap();
    here.set_ban("s", word(0, 2, true)).unwrap();
    take_all(&mut here, &there);
    let bans = here.bans("s").unwrap();
    assert!(
        bans.is_banned() && bans.overridden_unban().is_some_and(|w| w.dot.writer.member == 1),
        "{bans:?}"
    );
    // Who knows of both can put it back.
    here.set_ban("s", word(0, 3, false)).unwrap();
    take_all(&mut here, &there);
    assert!(!here.bans("s").unwrap().is_banned() && here.bans("s").unwrap().overridden_unban().is_none());
}

#[test]
fn where_there_is_no_room_a_ban_is_never_what_goes() {
    let mut copy = Store::default();
    copy.set_ban("first", word(0, 1, true)).unwrap();
    copy.set_ban("back", word(0, 2, true)).unwrap();
    copy.set_ban("back", word(0, 3, false)).unwrap();
    for k in 0..MAX_ENTRIES - 2 {
        copy.set_ban(&format!("s{k}"), word(0, 4 + k as u64, true)).unwrap();
    }
    assert_eq!(copy.len(), MAX_ENTRIES);
    copy.set_ban("one more", word(0, 5_000, true)).unwrap();
    assert!(copy.bans("back").is_none() && copy.bans("first").is_some_and(|b| b.is_banned()));
    assert!(copy.set_ban("too many", word(0, 5_001, true)).is_err());
    assert!(copy.bans("too many").is_none() && copy.len() == MAX_ENTRIES);
    let drain = |version| Entry::Drain(Drain { version, drained: true });
    for k in 0..=MAX_ENTRIES as u64 {
        copy.merge(&Key::Drain(format!("d{k}")), drain(10 + k), false).unwrap();
    }
    assert!(copy.drain("d0").is_none() && copy.drain("d1").is_some());
}

#[test]
fn what_a_file_is_not_is_said() {
    assert!(matches!(decode(b""), Err(FileError::UnknownFormat)));
    assert!(matches!(decode(b"laurelroute-bans 1 00000000\n[]"), Err(FileError::UnknownFormat)));
    assert!(matches!(decode(b"laurelroute-replica 9 00000000\n"), Err(FileError::Version(9))));
    let error = decode(b"laurelroute-replica 1 00000000\nxx").unwrap_err().to_string();
    assert!(error.starts_with("checksum mismatch: expected 00000000, got "), "{error}");
}
