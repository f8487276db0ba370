//! Copies of what a fleet knows, under drawn faults. Many more: `rig replica`.

use laurelroute_replica::defect::{Defect, Planted};
use laurelroute_simulation::members::copies::play;
use laurelroute_simulation::schedule::{read, spoken};

#[test]
fn copies_keep_what_is_promised_under_drawn_faults() {
    let mut words = 0;
    for seed in 0..60 {
        let verdict = play(8, seed, &spoken(seed, 8, 3), Planted::default());
        assert!(verdict.broken.is_empty(), "seed {seed}: {:#?}", verdict.broken);
        words += verdict.spread.len();
    }
    assert!(words > 100, "{words} words");
}

/// A ban in one side of a cut, a word to put the server back in the other: the ban stands, and the other is told.
#[test]
fn of_two_words_that_did_not_know_of_each_other_the_ban_wins() {
    let text = "0ms ban 0 1\n2000ms cut 0,1,2 3,4\n2000ms cut 3,4 0,1,2\n2500ms back 0 1\n3000ms ban 1 1\n\
                3200ms back 4 1\n6000ms mend\n";
    let verdict = play(5, 3, &read(text).expect("a schedule"), Planted::default());
    assert!(verdict.broken.is_empty(), "{:#?}", verdict.broken);
    assert_eq!((verdict.spread.len(), verdict.lost), (4, 1));
}

#[test]
fn planted_defects_are_found() {
    for defect in Defect::ALL {
        let found = (0..100)
            .find(|seed| !play(8, *seed, &spoken(*seed, 8, 3), Planted::some(defect)).broken.is_empty());
        println!("{defect:?}: seed {found:?}");
        assert!(found.is_some(), "{defect:?}");
    }
}
