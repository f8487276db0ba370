//! A shift goes on where its journal ends, however that was written.

mod common;

use common::*;
use laurelroute_shift::journal::{self, JournalError};
use laurelroute_shift::rollout::{Change, HoldReason, Rollout, State, Verb};

/// A shift on its third step, and its journal.
fn written() -> (Bed, Vec<u8>) {
    let mut bed = Bed::started(1);
    while bed.rollout.step() < 2 {
        bed.sound(1);
    }
    let changes: Vec<Change> = bed.rollout.changes().cloned().collect();
    let mut text = journal::header(&bed.rollout);
    text.extend(changes.iter().map(journal::change_line));
    text += &journal::evidence_line(&bed.rollout);
    (bed, text.into_bytes())
}

fn read(bytes: &[u8]) -> (Result<journal::ReplaySummary, JournalError>, Rollout) {
    let mut rollout = Rollout::new(settings()).unwrap();
    (journal::replay(bytes, &mut rollout), rollout)
}

#[test]
fn it_goes_on_where_it_was() {
    let (bed, bytes) = written();
    let (read, rollout) = read(&bytes);
    assert!(read.unwrap().complete);
    assert_eq!((rollout.step(), rollout.state()), (2, &State::Step { step: 2 }));
    assert_eq!(rollout.changes().count(), bed.rollout.changes().count());
    let signal = laurelroute_shift::analysis::Signal::Failed;
    let (was, is) = (bed.rollout.analysis.comparison(0, signal), rollout.analysis.comparison(0, signal));
    assert_eq!((was.old, was.new, was.evidence()), (is.old, is.new, is.evidence()));
    assert_eq!(is.new_in_step.of, 0, "the step's evidence is gathered anew");
}

#[test]
fn cut_anywhere_it_is_held_or_goes_on_and_never_climbs() {
    let (_, bytes) = written();
    let head = bytes.iter().position(|b| *b == b'\n').unwrap();
    for at in (0..bytes.len()).step_by(7) {
        let (read, rollout) = read(&bytes[..at]);
        let read = read.unwrap_or_else(|e| panic!("cut at {at}: {e}"));
        assert!(read.valid_bytes <= at);
        assert!(rollout.step() <= 2);
        let moving = matches!(rollout.state(), State::Step { .. } | State::Waiting);
        assert!(read.complete || !moving, "cut at {at}: half a record, and it is {:?}", rollout.state());
        if at > head && !read.complete && read.lines > 1 {
            assert!(
                matches!(rollout.state(), State::Held { why: HoldReason::JournalTruncated, .. }),
                "cut at {at}"
            );
        }
    }
}

#[test]
fn a_flipped_bit_is_found_and_named() {
    let (_, bytes) = written();
    let lines = bytes.iter().filter(|b| **b == b'\n').count();
    for at in (0..bytes.len()).step_by(97) {
        let mut bad = bytes.clone();
        bad[at] ^= 4;
        let line = 1 + bytes[..at].iter().filter(|b| **b == b'\n').count();
        match read(&bad).0 {
            Err(JournalError::Damaged(n)) => assert!(n == line || n == line + 1, "{n} for {line}"),
            Ok(read) => assert!(!read.complete && line == lines, "a bit at {at} in line {line} went unseen"),
            Err(other) => panic!("{other}"),
        }
    }
}

#[test]
fn others_journals_are_refused() {
    let (_, bytes) = written();
    let mut other = settings();
    other.name = "release-43".into();
    let mut rollout = Rollout::new(other).unwrap();
    assert_eq!(journal::replay(&bytes, &mut rollout), Err(JournalError::OtherShift("release-42".into())));
    let mut other = settings();
    other.zones.push("c".into());
    let mut rollout = Rollout::new(other).unwrap();
    assert_eq!(journal::replay(&bytes, &mut rollout), Err(JournalError::LayoutChanged));
    let rest = bytes.iter().position(|b| *b == b'\n').unwrap() + 1;
    assert_eq!(read(&bytes[rest..]).0, Err(JournalError::InvalidHeader));
}

#[test]
fn a_restart_after_an_undo_stays_undone_and_rests() {
    let (mut bed, mut bytes) = written();
    let change = bed.rollout.apply_command(bed.now, &word(Verb::Undo)).unwrap();
    bytes.extend(journal::change_line(&change).into_bytes());
    let (_, mut rollout) = read(&bytes);
    assert_eq!((rollout.state(), rollout.shares()), (&State::Undone, &[0.0, 0.0][..]));
    assert!(rollout.apply_command(bed.now + S, &word(Verb::Start)).is_err());
    let compacted = journal::compacted(&rollout);
    let (_, again) = read(compacted.as_bytes());
    assert_eq!(again.state(), &State::Undone);
}
