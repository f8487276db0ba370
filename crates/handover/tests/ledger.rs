//! The file of bans: encoding, rejection of damaged files, and concurrent writers.

use laurelroute_handover::bans::{BanRecord, Bans, MAX_NAME_BYTES, MAX_RECORDS};
use laurelroute_handover::ledger::{decode, encode, LedgerError, MAX_FILE_BYTES};
use proptest::prelude::*;

fn banned(host: &str) -> BanRecord {
    BanRecord { host: host.to_owned(), banned: true, updated_at: 5, banned_at: 5 }
}

#[test]
fn the_largest_file_round_trips() {
    let records: Vec<BanRecord> = (0..MAX_RECORDS)
        .map(|k| BanRecord {
            host: format!("{k:04}{}", "\u{1}".repeat(MAX_NAME_BYTES - 4)),
            banned: k % 2 == 0,
            updated_at: u64::MAX,
            banned_at: u64::MAX,
        })
        .collect();
    let file = encode(&records);
    assert!(file.len() <= MAX_FILE_BYTES, "{}", file.len());
    assert_eq!(decode(&file).unwrap(), records);
    assert_eq!(decode(&encode([])).unwrap(), vec![]);
}

#[test]
fn unknown_formats_and_exceeded_limits_are_rejected() {
    let file = encode(&[banned("a")]);
    let text = String::from_utf8(file.clone()).unwrap();
    assert!(matches!(decode(b""), Err(LedgerError::NotBansFile)));
    assert!(matches!(decode(b"{\"words\":[]}\n"), Err(LedgerError::NotBansFile)));
    assert!(matches!(decode(b"\xff\xfe\n[]"), Err(LedgerError::NotBansFile)));
    let later_version = text.replacen(" 1 ", " 2 ", 1);
    assert!(matches!(decode(later_version.as_bytes()), Err(LedgerError::UnsupportedVersion(2))));
    assert!(matches!(decode(&vec![b'x'; MAX_FILE_BYTES + 1]), Err(LedgerError::TooLong)));
    let too_many: Vec<BanRecord> = (0..=MAX_RECORDS).map(|k| banned(&k.to_string())).collect();
    assert!(matches!(decode(&encode(&too_many)), Err(LedgerError::LimitExceeded)));
    assert!(matches!(decode(&encode(&[banned("")])), Err(LedgerError::LimitExceeded)));
    assert!(matches!(
        decode(&encode(&[banned(&"n".repeat(MAX_NAME_BYTES + 1))])),
        Err(LedgerError::LimitExceeded)
    ));
}

/// A file that is truncated anywhere, or has any one byte changed, is rejected or decodes to the same records.
#[test]
fn a_damaged_file_never_decodes_to_other_records() {
    let records: Vec<BanRecord> = (0..5).map(|k| banned(&format!("s-{k}"))).collect();
    let file = encode(&records);
    for length in 0..file.len() {
        assert!(decode(&file[..length]).is_err(), "truncated to {length}");
    }
    proptest!(|(at in 0..file.len(), flip in 1u8..=255)| {
        let mut damaged = file.clone();
        damaged[at] ^= flip;
        // A changed letter case in the checksum's digits keeps the file valid.
        if let Ok(decoded) = decode(&damaged) {
            prop_assert_eq!(&decoded, &records);
        }
    });
}

/// Two processes replace the file, each with its own records merged into those that it read. Once both know each
/// other's records the file has all of them, in whatever order they wrote.
#[test]
fn concurrent_writers_lose_no_record() {
    let step = (0u8..4, any::<bool>(), any::<bool>());
    proptest!(|(steps in prop::collection::vec(step, 1..30), stale_write in any::<bool>())| {
        let mut sides = [Bans::default(), Bans::default()];
        let mut file = encode([]);
        for (time, (host, ban, side)) in steps.into_iter().enumerate() {
            let (host, own, other) = (format!("s{host}"), usize::from(side), usize::from(!side));
            // The other process may have read the file before this one replaced it.
            let previous = file.clone();
            let write = |bans: &mut Bans, previous: &[u8]| {
                bans.merge(decode(previous).unwrap());
                encode(bans.records())
            };
            let record = if ban {
                sides[own].detach(&host, time as u64).unwrap()
            } else {
                sides[own].attach(&host, time as u64)
            };
            file = write(&mut sides[own], &previous);
            if stale_write {
                file = write(&mut sides[other], &previous);
            }
            // The other process receives the record and writes before it acknowledges: only then is the operator
            // answered.
            sides[other].merge(record);
            let current = file.clone();
            file = write(&mut sides[other], &current);
            let mut merged = Bans::default();
            merged.merge(decode(&file).unwrap());
            for host in (0..4).map(|k| format!("s{k}")) {
                prop_assert_eq!(merged.is_banned(&host), sides[own].is_banned(&host));
            }
        }
    });
}
