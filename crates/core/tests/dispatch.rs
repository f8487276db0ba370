//! What may be sent again and what may be refused, by what became of the earlier attempts.

use laurelroute_core::dispatch::{may_refuse, may_repeat, Denied, Earlier, Place, Terms};
use laurelroute_core::events::{self, Kind, Label};
use laurelroute_policy::interface::{Effect, Ending, Group};

const HERE: Place = Place { zone: 1, cell: 2 };
const THERE: Place = Place { zone: 1, cell: 3 };

fn terms(effect: Effect, group: Group) -> Terms {
    Terms { effect, group, window: 1_000, second_copies: true }
}

fn earlier(ending: Option<Ending>) -> Earlier {
    Earlier { place: Some(HERE), ending, sent_at: 100 }
}

fn again(terms: Terms, ending: Option<Ending>, place: Place, now: u64) -> Result<(), Denied> {
    may_repeat(&terms, [earlier(ending)].into_iter(), Some(place), now)
}

#[test]
fn unsafe_requests_go_again_only_where_nothing_has_run() {
    let terms = terms(Effect::Unsafe, Group::All);
    for ending in [Ending::Full, Ending::ConnectFailed, Ending::NotSent] {
        assert_eq!(again(terms, Some(ending), HERE, 200), Ok(()));
    }
    for ending in [Ending::Ok, Ending::Error, Ending::TimedOut, Ending::Reset, Ending::Cancelled] {
        assert_eq!(again(terms, Some(ending), HERE, 200), Err(Denied::MayHaveRun));
    }
    assert_eq!(again(terms, None, HERE, 200), Err(Denied::MayHaveRun));
}

#[test]
fn keyed_requests_go_again_within_their_window_and_group() {
    let reset = Some(Ending::Reset);
    assert_eq!(again(terms(Effect::Keyed, Group::All), reset, THERE, 1_099), Ok(()));
    assert_eq!(again(terms(Effect::Keyed, Group::All), reset, THERE, 1_100), Err(Denied::WindowOver));
    assert_eq!(again(terms(Effect::Keyed, Group::Zone), reset, THERE, 200), Ok(()));
    assert_eq!(again(terms(Effect::Keyed, Group::Cell), reset, THERE, 200), Err(Denied::OtherGroup));
    assert_eq!(again(terms(Effect::Keyed, Group::Cell), reset, HERE, 200), Ok(()));
    assert_eq!(again(terms(Effect::Keyed, Group::Cell), Some(Ending::Full), THERE, 5_000), Ok(()));
}

#[test]
fn second_copies_go_out_only_where_they_are_allowed() {
    let allowed = terms(Effect::Safe, Group::All);
    assert_eq!(again(allowed, None, HERE, 200), Ok(()));
    let forbidden = Terms { second_copies: false, ..allowed };
    assert_eq!(again(forbidden, None, HERE, 200), Err(Denied::SecondCopy));
    assert_eq!(again(forbidden, Some(Ending::Reset), HERE, 200), Ok(()));
}

#[test]
fn a_refusal_promises_that_trying_again_is_harmless() {
    let refuse = |effect, group, ending| may_refuse(&terms(effect, group), [earlier(ending)].into_iter());
    assert_eq!(refuse(Effect::Safe, Group::All, Some(Ending::Reset)), Ok(()));
    assert_eq!(refuse(Effect::Keyed, Group::All, Some(Ending::Reset)), Ok(()));
    assert_eq!(refuse(Effect::Keyed, Group::Zone, Some(Ending::Reset)), Err(Denied::MayHaveRun));
    assert_eq!(refuse(Effect::Unsafe, Group::All, Some(Ending::Full)), Ok(()));
    assert_eq!(refuse(Effect::Unsafe, Group::All, None), Err(Denied::MayHaveRun));
}

#[test]
fn events_are_counted_and_the_last_are_remembered() {
    for k in 0..400u64 {
        events::note(k * 1_000_000_000, Kind::AttemptRepeated, Label::of(format!("request-{k}").as_bytes()));
    }
    assert_eq!(events::counted(Kind::AttemptRepeated), 400);
    assert!(events::counts().contains("attempt_repeated 400\n"));
    let last = events::last(400_000_000_000);
    assert_eq!(last.lines().count(), 256);
    assert!(last.ends_with("-1.000 s attempt_repeated request-399\n"), "{last}");
}
