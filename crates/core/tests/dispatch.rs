//! Which requests may be retried and which may be refused, given their earlier attempts.

use laurelroute_core::dispatch::{may_refuse, may_retry, Denied, Locality, PriorAttempt, RetryPolicy};
use laurelroute_core::events::{self, Kind, Label};
use laurelroute_policy::interface::{AttemptOutcome, DedupGroup, Idempotency};

const CELL_2: Locality = Locality { zone: 1, cell: 2 };
const CELL_3: Locality = Locality { zone: 1, cell: 3 };

fn policy(idempotency: Idempotency, dedup_group: DedupGroup) -> RetryPolicy {
    RetryPolicy { idempotency, dedup_group, dedup_window: 1_000, hedging: true }
}

fn earlier(ending: Option<AttemptOutcome>) -> PriorAttempt {
    PriorAttempt { locality: Some(CELL_2), ending, sent_at: 100, connection_open: false }
}

fn retry(
    policy: RetryPolicy,
    ending: Option<AttemptOutcome>,
    locality: Locality,
    now: u64,
) -> Result<(), Denied> {
    may_retry(&policy, [earlier(ending)].into_iter(), Some(locality), now)
}

#[test]
fn unsafe_requests_are_retried_only_if_nothing_has_run() {
    let policy = policy(Idempotency::Unsafe, DedupGroup::All);
    for ending in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent] {
        assert_eq!(retry(policy, Some(ending), CELL_2, 200), Ok(()));
    }
    for ending in [
        AttemptOutcome::Ok,
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        assert_eq!(retry(policy, Some(ending), CELL_2, 200), Err(Denied::MayHaveRun));
    }
    assert_eq!(retry(policy, None, CELL_2, 200), Err(Denied::MayHaveRun));
}

#[test]
fn keyed_requests_are_retried_within_their_window_and_group() {
    let reset = Some(AttemptOutcome::Reset);
    assert_eq!(retry(policy(Idempotency::Keyed, DedupGroup::All), reset, CELL_3, 1_099), Ok(()));
    assert_eq!(
        retry(policy(Idempotency::Keyed, DedupGroup::All), reset, CELL_3, 1_100),
        Err(Denied::WindowOver)
    );
    assert_eq!(retry(policy(Idempotency::Keyed, DedupGroup::Zone), reset, CELL_3, 200), Ok(()));
    assert_eq!(
        retry(policy(Idempotency::Keyed, DedupGroup::Cell), reset, CELL_3, 200),
        Err(Denied::OtherGroup)
    );
    assert_eq!(retry(policy(Idempotency::Keyed, DedupGroup::Cell), reset, CELL_2, 200), Ok(()));
    assert_eq!(
        retry(policy(Idempotency::Keyed, DedupGroup::Cell), Some(AttemptOutcome::Rejected), CELL_3, 5_000),
        Ok(())
    );
}

#[test]
fn concurrent_attempts_are_made_only_if_allowed() {
    let allowed = policy(Idempotency::Safe, DedupGroup::All);
    assert_eq!(retry(allowed, None, CELL_2, 200), Ok(()));
    let forbidden = RetryPolicy { hedging: false, ..allowed };
    assert_eq!(retry(forbidden, None, CELL_2, 200), Err(Denied::SecondCopy));
    assert_eq!(retry(forbidden, Some(AttemptOutcome::Reset), CELL_2, 200), Ok(()));
}

/// An attempt that is said to have ended is under way as long as its connection is open.
#[test]
fn attempts_with_an_open_connection_are_under_way() {
    let open = PriorAttempt { connection_open: true, ..earlier(Some(AttemptOutcome::Reset)) };
    let closed = PriorAttempt { connection_open: false, ..open };
    let allowed = policy(Idempotency::Safe, DedupGroup::All);
    let forbidden = RetryPolicy { hedging: false, ..allowed };
    let retry =
        |policy, earlier: &[PriorAttempt]| may_retry(&policy, earlier.iter().copied(), Some(CELL_2), 200);
    assert_eq!(retry(forbidden, &[open]), Err(Denied::SecondCopy));
    assert_eq!(retry(forbidden, &[closed, closed]), Ok(()));
    assert_eq!(retry(allowed, &[open, closed]), Ok(()));
    assert_eq!(retry(allowed, &[open, open]), Err(Denied::SecondCopy));
    assert_eq!(retry(allowed, &[open, earlier(None)]), Err(Denied::SecondCopy));
}

#[test]
fn a_request_is_refused_only_if_a_retry_is_harmless() {
    let refuse = |effect, group, ending| may_refuse(&policy(effect, group), [earlier(ending)].into_iter());
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
fn events_are_counted_and_the_most_recent_are_kept() {
    for k in 0..400u64 {
        events::record(
            k * 1_000_000_000,
            Kind::AttemptRepeated,
            Label::of(format!("request-{k}").as_bytes()),
        );
    }
    assert_eq!(events::count_of(Kind::AttemptRepeated), 400);
    assert!(events::counts().contains("attempt_repeated 400\n"));
    let recent = events::recent(400_000_000_000);
    assert_eq!(recent.lines().count(), 256);
    assert!(recent.ends_with("-1.000 s attempt_repeated request-399\n"), "{recent}");
}
