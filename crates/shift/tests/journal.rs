//! A shift resumes from its journal, also from a damaged one.

mod common;

use common::*;
use laurelroute_shift::journal::{self, JournalError};
use laurelroute_shift::rollout::{Change, HoldReason, Rollout, State, Verb};

/// A shift on its third step and its journal.
fn journaled_shift() -> (Fixture, Vec<u8>) {
    let mut fixture = Fixture::started(1);
    while fixture.rollout.step() < 2 {
        fixture.run_healthy(1);
    }
    let changes: Vec<Change> = fixture.rollout.changes().cloned().collect();
    let mut text = journal::header(&fixture.rollout);
    text.extend(changes.iter().map(journal::change_line));
    text += &journal::evidence_line(&fixture.rollout);
    (fixture, text.into_bytes())
}

fn read(bytes: &[u8]) -> (Result<journal::ReplaySummary, JournalError>, Rollout) {
    let mut rollout = Rollout::new(settings()).unwrap();
    (journal::replay(bytes, &mut rollout), rollout)
}

#[test]
fn replay_restores_the_last_state() {
    let (fixture, bytes) = journaled_shift();
    let (read, rollout) = read(&bytes);
    assert!(read.unwrap().complete);
    assert_eq!((rollout.step(), rollout.state()), (2, &State::Step { step: 2 }));
    assert_eq!(rollout.changes().count(), fixture.rollout.changes().count());
    let signal = laurelroute_shift::analysis::Signal::Failed;
    let (was, is) = (fixture.rollout.analysis.comparison(0, signal), rollout.analysis.comparison(0, signal));
    assert_eq!((was.old, was.new, was.evidence()), (is.old, is.new, is.evidence()));
    assert_eq!(is.new_in_step.of, 0, "the step's evidence is gathered anew");
}

#[test]
fn a_truncated_journal_resumes_or_holds_and_never_advances() {
    let (_, bytes) = journaled_shift();
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
fn a_flipped_bit_is_detected_and_its_line_reported() {
    let (_, bytes) = journaled_shift();
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
fn journals_of_other_shifts_are_rejected() {
    let (_, bytes) = journaled_shift();
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
fn an_undone_shift_stays_undone_and_cools_down_after_a_restart() {
    let (mut fixture, mut bytes) = journaled_shift();
    let change = fixture.rollout.apply_command(fixture.now, &command(Verb::Undo)).unwrap();
    bytes.extend(journal::change_line(&change).into_bytes());
    let (_, mut rollout) = read(&bytes);
    assert_eq!((rollout.state(), rollout.shares()), (&State::Undone, &[0.0, 0.0][..]));
    assert!(rollout.apply_command(fixture.now + S, &command(Verb::Start)).is_err());
    let compacted = journal::compacted(&rollout);
    let (_, again) = read(compacted.as_bytes());
    assert_eq!(again.state(), &State::Undone);
}
