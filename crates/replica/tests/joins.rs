//! Tests that copies converge in whichever order and however often they are merged, and that damaged files are
//! rejected.

use laurelroute_replica::disk::{decode, encode, FileError};
use laurelroute_replica::store::MAX_ENTRIES;
use laurelroute_replica::{BanChange, Dot, Drain, Entry, Key, Store, Writer};
use proptest::prelude::*;

/// An operation on three copies: a ban or unban at one, a drain update at one, or a merge of one into another.
#[derive(Clone, Debug)]
enum Step {
    SetBan(usize, u8, bool),
    UpdateDrain(usize, u8, u64, bool),
    Merge(usize, usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3usize, 0..2u8, any::<bool>()).prop_map(|(at, host, banned)| Step::SetBan(at, host, banned)),
        (0..3usize, 0..2u8, 0..4u64, any::<bool>())
            .prop_map(|(at, host, v, drained)| Step::UpdateDrain(at, host, v, drained)),
        (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Merge(from, to)),
    ];
    prop::collection::vec(step, 0..40)
}

fn merge_all(to: &mut Store, from: &Store) {
    for (key, entry) in from.entries() {
        to.merge(key, entry.clone(), false).expect("the store has room");
    }
}

fn run_steps(steps: &[Step]) -> Vec<Store> {
    let mut copies = vec![Store::default(); 3];
    for (number, step) in (1..).zip(steps) {
        match *step {
            Step::SetBan(at, host, banned) => {
                let writer = Writer { member: at as u16, incarnation: 7 };
                // The clocks run backwards: nothing may depend on them.
                let change = BanChange { dot: Dot { writer, number }, banned, changed_at: 1_000 - number };
                copies[at].set_ban(&format!("s{host}"), change).expect("the store has room");
            }
            Step::UpdateDrain(at, host, version, drained) => {
                let key = Key::Drain(format!("s{host}"));
                copies[at]
                    .merge(&key, Entry::Drain(Drain { version, drained }), false)
                    .expect("the store has room");
            }
            Step::Merge(from, to) => {
                let other = copies[from].clone();
                merge_all(&mut copies[to], &other);
            }
        }
    }
    copies
}

proptest! {
    #[test]
    fn copies_converge_in_any_merge_order(steps in steps()) {
        let copies = run_steps(&steps);
        let merge_in = |order: [usize; 3]| {
            let mut all = copies[order[0]].clone();
            merge_all(&mut all, &copies[order[1]]);
            merge_all(&mut all, &copies[order[2]]);
            merge_all(&mut all, &copies[order[1]]);
            all
        };
        let one = merge_in([0, 1, 2]);
        for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            let other = merge_in(order);
            prop_assert_eq!(encode(&one), encode(&other));
            prop_assert_eq!((one.root_digest(), one.bucket_digests()), (other.root_digest(), other.bucket_digests()));
        }
        // The digests reveal every difference.
        for copy in &copies {
            let theirs = copy.bucket_digests();
            let found: Vec<&Key> = one.differing_keys(&theirs).collect();
            let differs = |key: &&Key| one.get(key) != copy.get(key);
            prop_assert!(one.entries().map(|(k, _)| k).filter(differs).all(|k| found.contains(&k)));
        }
    }

    #[test]
    fn a_file_round_trips_and_a_damaged_one_is_rejected(steps in steps(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let copy = &run_steps(&steps)[0];
        let file = encode(copy);
        let mut decoded = Store::default();
        for (key, entry) in decode(&file).expect("the file is valid") {
            decoded.merge(&key, entry, false).expect("the store has room");
        }
        prop_assert_eq!(&decoded, copy);
        let mut damaged = file.clone();
        damaged[at.index(file.len())] ^= 1 << bit;
        // Flipping the case of a hexadecimal digit leaves the checksum valid.
        prop_assert!(decode(&damaged).map_or(true, |entries| file.eq_ignore_ascii_case(&damaged) && entries.len() == copy.len()));
        prop_assert!(decode(&file[..at.index(file.len())]).is_err());
    }
}

fn change(member: u16, number: u64, banned: bool) -> BanChange {
    BanChange { dot: Dot { writer: Writer { member, incarnation: 1 }, number }, banned, changed_at: 0 }
}

#[test]
fn a_change_replaces_only_those_its_writer_had_seen() {
    let (mut here, mut there) = (Store::default(), Store::default());
    here.set_ban("s", change(0, 1, true)).unwrap();
    merge_all(&mut there, &here);
    // An unban at one and a new ban at the other are concurrent.
    there.set_ban("s", change(1, 1, false)).unwrap();
    here.set_ban("s", change(0, 2, true)).unwrap();
    merge_all(&mut here, &there);
    let bans = here.bans("s").unwrap();
    assert!(
        bans.is_banned() && bans.overridden_unban().is_some_and(|c| c.dot.writer.member == 1),
        "{bans:?}"
    );
    // A writer that has seen both can unban the server.
    here.set_ban("s", change(0, 3, false)).unwrap();
    merge_all(&mut here, &there);
    assert!(!here.bans("s").unwrap().is_banned() && here.bans("s").unwrap().overridden_unban().is_none());
}

#[test]
fn a_full_store_never_evicts_a_ban() {
    let mut copy = Store::default();
    copy.set_ban("first", change(0, 1, true)).unwrap();
    copy.set_ban("back", change(0, 2, true)).unwrap();
    copy.set_ban("back", change(0, 3, false)).unwrap();
    for k in 0..MAX_ENTRIES - 2 {
        copy.set_ban(&format!("s{k}"), change(0, 4 + k as u64, true)).unwrap();
    }
    assert_eq!(copy.len(), MAX_ENTRIES);
    copy.set_ban("one more", change(0, 5_000, true)).unwrap();
    assert!(copy.bans("back").is_none() && copy.bans("first").is_some_and(|b| b.is_banned()));
    assert!(copy.set_ban("too many", change(0, 5_001, true)).is_err());
    assert!(copy.bans("too many").is_none() && copy.len() == MAX_ENTRIES);
    let drain = |version| Entry::Drain(Drain { version, drained: true });
    for k in 0..=MAX_ENTRIES as u64 {
        copy.merge(&Key::Drain(format!("d{k}")), drain(10 + k), false).unwrap();
    }
    assert!(copy.drain("d0").is_none() && copy.drain("d1").is_some());
}

#[test]
fn file_errors_name_the_cause() {
    assert!(matches!(decode(b""), Err(FileError::UnknownFormat)));
    assert!(matches!(decode(b"laurelroute-bans 1 00000000\n[]"), Err(FileError::UnknownFormat)));
    assert!(matches!(decode(b"laurelroute-replica 9 00000000\n"), Err(FileError::Version(9))));
    let error = decode(b"laurelroute-replica 1 00000000\nxx").unwrap_err().to_string();
    assert!(error.starts_with("checksum mismatch: expected 00000000, got "), "{error}");
}
