//! Claims of request ids: of one process, and of several that share a table.

use laurelroute_core::clock::Clock;
use laurelroute_core::request_ids::table::IdTable;
use laurelroute_core::request_ids::{ClaimError, RequestIds};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

const HOLD_TIME: u64 = 60_000_000_000;

/// A file that is removed with the test.
struct TableFile(PathBuf);

impl TableFile {
    fn new(name: &str) -> TableFile {
        TableFile(std::env::temp_dir().join(format!("laurelroute-{name}-{}", std::process::id())))
    }

    /// A process of the node: its own open file, and its own clock.
    fn process(&self) -> (Rc<RequestIds>, Clock) {
        let (ids, clock) = (Rc::<RequestIds>::default(), Clock::start());
        ids.share(IdTable::open(&self.0, clock).expect("the table can be opened"));
        (ids, clock)
    }
}

impl Drop for TableFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The result of a claim for a request that ends at once, and whether it was sent to a server.
fn claim((ids, clock): &(Rc<RequestIds>, Clock), id: u64, hold: u64, sent: bool) -> Result<(), ClaimError> {
    let until = clock.now() + hold;
    ids.claim(*clock, id, until).map(|claim| {
        if sent {
            claim.keep_until(until);
        }
    })
}

#[test]
fn an_id_is_in_use_for_all_processes_until_it_expires() {
    let file = TableFile::new("ids-shared");
    let (old, new) = (file.process(), file.process());
    assert_eq!(claim(&old, 7, 20_000_000, true), Ok(()));
    assert_eq!(claim(&old, 7, HOLD_TIME, true), Err(ClaimError::InUse));
    assert_eq!(claim(&new, 7, HOLD_TIME, true), Err(ClaimError::InUse));
    std::thread::sleep(Duration::from_millis(30));
    assert_eq!(claim(&new, 7, HOLD_TIME, true), Ok(()));
    assert_eq!(claim(&old, 7, HOLD_TIME, true), Err(ClaimError::InUse));
}

#[test]
fn the_id_of_a_request_that_was_not_sent_is_released() {
    let file = TableFile::new("ids-released");
    let (old, new) = (file.process(), file.process());
    assert_eq!(claim(&old, 0, HOLD_TIME, false), Ok(()));
    assert_eq!(claim(&new, 0, HOLD_TIME, true), Ok(()));
    assert_eq!(claim(&old, 0, HOLD_TIME, true), Err(ClaimError::InUse));
}

#[test]
fn an_id_stays_in_use_after_its_process_has_ended() {
    let file = TableFile::new("ids-ended");
    assert_eq!(claim(&file.process(), 7, HOLD_TIME, true), Ok(()));
    assert_eq!(claim(&file.process(), 7, HOLD_TIME, true), Err(ClaimError::InUse));
}

/// Ever new ids must not push out that of an open request, and must not keep others from being served.
#[test]
fn no_id_of_an_open_request_is_forgotten_when_the_table_is_full() {
    let file = TableFile::new("ids-full");
    let process = file.process();
    let until = process.1.now() + HOLD_TIME;
    let ids = |from: u64| (from..from + 500).map(|k| k.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let open: Vec<_> = ids(1).map(|id| process.0.claim(process.1, id, until).expect("a claim")).collect();
    let mut refused = 0;
    for id in (1_000..200_000u64).map(|k| k.wrapping_mul(0x9e37_79b9_7f4a_7c15)) {
        refused += usize::from(claim(&process, id, HOLD_TIME, true) != Ok(()));
    }
    assert_eq!(refused, 0);
    for id in ids(1) {
        assert_eq!(claim(&process, id, HOLD_TIME, true), Err(ClaimError::InUse), "{id}");
    }
    drop(open);
}

/// A process without a table refuses further ids once it has as many as it holds.
#[test]
fn no_id_is_forgotten_when_there_are_too_many() {
    let process = (Rc::default(), Clock::start());
    let mut claimed = Vec::new();
    for id in (1..=100_000u64).map(|k| k.wrapping_mul(0x9e37_79b9_7f4a_7c15)) {
        match claim(&process, id, HOLD_TIME, true) {
            Ok(()) => claimed.push(id),
            Err(error) => assert_eq!(error, ClaimError::Unrecorded),
        }
    }
    assert!((20_000..=40_000).contains(&claimed.len()), "{} ids", claimed.len());
    for id in claimed {
        assert_eq!(claim(&process, id, HOLD_TIME, true), Err(ClaimError::InUse), "{id}");
    }
}
