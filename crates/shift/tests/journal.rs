//! A shift goes on where its journal ends, however that was written.

mod common;

use common::*;
use laurelroute_shift::course::{Change, Course, Hold, State, Verb};
use laurelroute_shift::journal::{self, JournalError};

/// A shift on its third rung, and its journal.
fn written() -> (Bed, Vec<u8>) {
    let mut bed = Bed::started(1);
    while bed.course.rung() < 2 {
        bed.sound(1);
    }
    let changes: Vec<Change> = bed.course.changes().cloned().collect();
    let mut text = journal::begin(&bed.course);
    text.extend(changes.iter().map(journal::change));
    text += &journal::evidence(&bed.course);
    (bed, text.into_bytes())
}

fn read(bytes: &[u8]) -> (Result<journal::Read, JournalError>, Course) {
    let mut course = Course::new(settings()).unwrap();
    (journal::replay(bytes, &mut course), course)
}

#[test]
fn it_goes_on_where_it_was() {
    let (bed, bytes) = written();
    let (read, course) = read(&bytes);
    assert!(read.unwrap().whole);
    assert_eq!((course.rung(), course.state()), (2, &State::Step { rung: 2 }));
    assert_eq!(course.changes().count(), bed.course.changes().count());
    let signal = laurelroute_shift::judge::Signal::Failed;
    let (was, is) = (bed.course.judge.duel(0, signal), course.judge.duel(0, signal));
    assert_eq!((was.old, was.new, was.evidence()), (is.old, is.new, is.evidence()));
    assert_eq!(is.step.of, 0, "the step's evidence is gathered anew");
}

#[test]
fn cut_anywhere_it_is_held_or_goes_on_and_never_climbs() {
    let (_, bytes) = written();
    let head = bytes.iter().position(|b| *b == b'\n').unwrap();
    for at in (0..bytes.len()).step_by(7) {
        let (read, course) = read(&bytes[..at]);
        let read = read.unwrap_or_else(|e| panic!("cut at {at}: {e}"));
        assert!(read.sound <= at);
        assert!(course.rung() <= 2);
        let moving = matches!(course.state(), State::Step { .. } | State::Waiting);
        assert!(read.whole || !moving, "cut at {at}: half a record, and it is {:?}", course.state());
        if at > head && !read.whole && read.lines > 1 {
            assert!(matches!(course.state(), State::Held { why: Hold::HalfWritten, .. }), "cut at {at}");
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
            Ok(read) => assert!(!read.whole && line == lines, "a bit at {at} in line {line} went unseen"),
            Err(other) => panic!("{other}"),
        }
    }
}

#[test]
fn others_journals_are_refused() {
    let (_, bytes) = written();
    let mut other = settings();
    other.name = "release-43".into();
    let mut course = Course::new(other).unwrap();
    assert_eq!(journal::replay(&bytes, &mut course), Err(JournalError::Other("release-42".into())));
    let mut other = settings();
    other.zones.push("c".into());
    let mut course = Course::new(other).unwrap();
    assert_eq!(journal::replay(&bytes, &mut course), Err(JournalError::Changed));
    let rest = bytes.iter().position(|b| *b == b'\n').unwrap() + 1;
    assert_eq!(read(&bytes[rest..]).0, Err(JournalError::Foreign));
}

#[test]
fn a_restart_after_an_undo_stays_undone_and_rests() {
    let (mut bed, mut bytes) = written();
    let change = bed.course.say(bed.now, &word(Verb::Undo)).unwrap();
    bytes.extend(journal::change(&change).into_bytes());
    let (_, mut course) = read(&bytes);
    assert_eq!((course.state(), course.shares()), (&State::Undone, &[0.0, 0.0][..]));
    assert!(course.say(bed.now + S, &word(Verb::Start)).is_err());
    let compacted = journal::compacted(&course);
    let (_, again) = read(compacted.as_bytes());
    assert_eq!(again.state(), &State::Undone);
}
