//! What may be sent again and what may be refused, by what became of the earlier attempts.

use laurelroute_core::dispatch::{may_refuse, may_retry, Denied, Locality, PriorAttempt, RetryPolicy};
use laurelroute_core::events::{self, Kind, Label};
use laurelroute_policy::interface::{AttemptOutcome, DedupGroup, Idempotency};

const HERE: Locality = Locality { zone: 1, cell: 2 };
const THERE: Locality = Locality { zone: 1, cell: 3 };

fn terms(effect: Idempotency, group: DedupGroup) -> RetryPolicy {
    RetryPolicy { effect, group, window: 1_000, hedging: true }
}

fn earlier(ending: Option<AttemptOutcome>) -> PriorAttempt {
    PriorAttempt { locality: Some(HERE), ending, sent_at: 100 }
}

fn again(
    terms: RetryPolicy,
    ending: Option<AttemptOutcome>,
    locality: Locality,
    now: u64,
) -> Result<(), Denied> {
    may_retry(&terms, [earlier(ending)].into_iter(), Some(locality), now)
}

#[test]
fn unsafe_requests_go_again_only_where_nothing_has_run() {
    let terms = terms(Idempotency::Unsafe, DedupGroup::All);
    for ending in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent] {
        assert_eq!(again(terms, Some(ending), HERE, 200), Ok(()));
    }
    for ending in [
        AttemptOutcome::Ok,
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        assert_eq!(again(terms, Some(ending), HERE, 200), Err(Denied::MayHaveRun));
    }
    assert_eq!(again(terms, None, HERE, 200), Err(Denied::MayHaveRun));
}

#[test]
fn keyed_requests_go_again_within_their_window_and_group() {
    let reset = Some(AttemptOutcome::Reset);
    assert_eq!(again(terms(Idempotency::Keyed, DedupGroup::All), reset, THERE, 1_099), Ok(()));
    assert_eq!(
        again(terms(Idempotency::Keyed, DedupGroup::All), reset, THERE, 1_100),
        Err(Denied::WindowOver)
    );
    assert_eq!(again(terms(Idempotency::Keyed, DedupGroup::Zone), reset, THERE, 200), Ok(()));
    assert_eq!(
        again(terms(Idempotency::Keyed, DedupGroup::Cell), reset, THERE, 200),
        Err(Denied::OtherGroup)
    );
    assert_eq!(again(terms(Idempotency::Keyed, DedupGroup::Cell), reset, HERE, 200), Ok(()));
    assert_eq!(
        again(terms(Idempotency::Keyed, DedupGroup::Cell), Some(AttemptOutcome::Rejected), THERE, 5_000),
        Ok(())
    );
}

#[test]
fn second_copies_go_out_only_where_they_are_allowed() {
    let allowed = terms(Idempotency::Safe, DedupGroup::All);
    assert_eq!(again(allowed, None, HERE, 200), Ok(()));
    let forbidden = RetryPolicy { hedging: false, ..allowed };
    assert_eq!(again(forbidden, None, HERE, 200), Err(Denied::SecondCopy));
    assert_eq!(again(forbidden, Some(AttemptOutcome::Reset), HERE, 200), Ok(()));
}

#[test]
fn a_refusal_promises_that_trying_again_is_harmless() {
    let refuse = |effect, group, ending| may_refuse(&terms(effect, group), [earlier(ending)].into_iter());
    assert_eq!(refuse(Idempotency::Safe, DedupGroup::All, Some(AttemptOutcome::Reset)), Ok(()));
    assert_eq!(refuse(Idempotency::Keyed, DedupGroup::All, Some(AttemptOutcome::Reset)), Ok(()));
    assert_eq!(
        refuse(Idempotency::Keyed, DedupGroup::Zone, Some(AttemptOutcome::Reset)),
        Err(Denied::MayHaveRun)
    );
    assert_eq!(refuse(Idempotency::Unsafe, DedupGroup::All, Some(AttemptOutcome::Rejected)), Ok(()));
    assert_eq!(refuse(Idempotency::Unsafe, DedupGroup::All, None), Err(Denied::MayHaveRun));
}

#[test]
fn events_are_counted_and_the_last_are_remembered() {
    for k in 0..400u64 {
        events::record(
            k * 1_000_000_000,
            Kind::AttemptRepeated,
            Label::of(format!("request-{k}").as_bytes()),
        );
    }
    assert_eq!(events::count_of(Kind::AttemptRepeated), 400);
    assert!(events::counts().contains("attempt_repeated 400\n"));
    let last = events::recent(400_000_000_000);
    assert_eq!(last.lines().count(), 256);
    assert!(last.ends_with("-1.000 s attempt_repeated request-399\n"), "{last}");
}
