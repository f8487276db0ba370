//! The soak's oracle, tested with injected defects: a sound history breaks nothing, and each defect is named by its rule.

use laurelroute_testkit::soak::check::{check, timeline, Rule};
use laurelroute_testkit::soak::history::{
    Asked, Ban, Birth, Came, End, Half, Happened, Health, History, Life, Made, Moment, Ramp, Recorder, Told,
    Try,
};
use laurelroute_testkit::soak::plan::{Plan, Size, KINDS};
use laurelroute_testkit::wire::Class;
use laurelroute_testkit::Random;
use std::time::Duration;

const SECOND: u64 = 1_000_000;

fn empty() -> History {
    let ramp = Ramp { capacity: 10.0, from: 0.3, time_ms: 5_000, multiple: 3.0, window_ms: 2_000 };
    Recorder::new(ramp, 2_000, 2).history()
}

fn sending(sent: u64, ended: u64, end: End) -> Try {
    Try {
        fresh: true,
        begun: Moment(sent),
        sent: Moment(sent),
        deadline_ms: 1_000,
        ended: Moment(ended),
        end,
    }
}

fn asked(class: Class, tries: Vec<Try>) -> Asked {
    Asked { id: "a".to_owned(), class, node: 0, tries }
}

fn came(first: u64, wait_ms: u64) -> Came {
    let (first, last) = (Moment(first), Moment(first + 100));
    let id = "a".to_owned();
    Came { id, node: 0, server: 0, first, last, wait_ms, made: Made::Ran, beside: 0, over: None }
}

/// One request, asked at 1 s, at its server 10 ms later and answered 50 ms after it was sent.
fn sound(class: Class) -> History {
    let mut history = empty();
    history.asked.push(asked(class, vec![sending(SECOND, SECOND + 50_000, End::Answered(200))]));
    history.came.push(came(SECOND + 10_000, 990));
    history
}

fn rules(history: &History) -> Vec<Rule> {
    check(history).into_iter().map(|v| v.rule).collect()
}

#[test]
fn a_sound_history_breaks_nothing() {
    for class in [Class::Read, Class::Write, Class::Keyed] {
        assert_eq!(rules(&sound(class)), []);
    }
}

#[test]
fn answers_that_do_not_come_are_lost() {
    for (ended, end) in [(2_600_000, End::Answered(200)), (1_100_000, End::Closed), (3_500_000, End::Silent)]
    {
        let mut history = sound(Class::Read);
        history.asked[0].tries[0] = sending(SECOND, ended, end);
        assert_eq!(rules(&history), [Rule::Lost], "{end:?}");
        // A process that was killed meanwhile owes nothing.
        history.lives.push(Life { node: 0, at: Moment(SECOND + 20_000), what: Happened::Killed });
        assert_eq!(rules(&history), [], "{end:?}");
    }
}

#[test]
fn a_request_that_crossed_a_close_is_lost_once_it_was_read() {
    let mut crossed = sending(SECOND, SECOND + 5_000, End::Closed);
    crossed.fresh = false;
    let again = |end| sending(SECOND + 20_000, SECOND + 60_000, end);
    let mut history = empty();
    history.asked.push(asked(Class::Read, vec![crossed.clone(), again(End::Answered(200))]));
    history.came.push(came(SECOND + 30_000, 900));
    assert_eq!(rules(&history), []);
    history.came[0].first = Moment(SECOND + 1_000);
    assert_eq!(rules(&history), [Rule::Lost]);
    history.came.clear();
    history.asked[0].tries[1] = again(End::Answered(409));
    assert_eq!(rules(&history), [Rule::Lost]);
}

#[test]
fn what_runs_again_is_told_by_its_class() {
    for (class, after, wrong) in [
        (Class::Read, 3 * SECOND, false),
        (Class::Write, 20_000, true),
        (Class::Keyed, SECOND, false),
        (Class::Keyed, 2_500_000, true),
    ] {
        let mut history = sound(class);
        history.asked[0].tries[0].ended = Moment(SECOND + 900_000);
        history.came.push(came(SECOND + 10_000 + after, 0));
        assert_eq!(rules(&history).contains(&Rule::Duplicate), wrong, "{class:?} after {after}");
        history.came[0].made = Made::TurnedAway;
        assert!(!rules(&history).contains(&Rule::Duplicate), "{class:?}: the first never ran");
    }
}

#[test]
fn attempts_at_once_beyond_what_is_allowed_are_seen() {
    for (allowed, beside, wrong) in [(1, 0, false), (1, 1, true), (2, 1, false), (2, 2, true)] {
        let mut history = sound(Class::Read);
        history.attempts_at_once = allowed;
        history.came.push(Came { beside, ..came(SECOND + 20_000, 900) });
        assert_eq!(rules(&history).contains(&Rule::SecondCopy), wrong, "{beside} beside, {allowed} allowed");
    }
}

#[test]
fn what_goes_to_a_draining_server_is_seen() {
    let told = |made, health| Told { node: 0, server: 0, health, counts: Moment(made), made: Moment(made) };
    let mut history = sound(Class::Read);
    history.told.push(told(SECOND - 200_000, Health::Leaving));
    assert_eq!(rules(&history), [], "within the grace");
    history.told[0] = told(SECOND - 400_000, Health::Leaving);
    assert_eq!(rules(&history), [Rule::Drain]);
    history.told.push(told(SECOND - 100_000, Health::Active));
    assert_eq!(rules(&history), [], "it is back");
}

#[test]
fn deadlines_and_clients_that_left_are_seen() {
    let mut history = sound(Class::Read);
    history.came[0].wait_ms = 1_200;
    assert_eq!(rules(&history), [Rule::Deadline]);
    let mut history = sound(Class::Read);
    history.asked[0].tries[0] = sending(SECOND, SECOND + 50_000, End::Left);
    assert_eq!(rules(&history), []);
    history.came.push(came(SECOND + 180_000, 800));
    assert_eq!(rules(&history), [Rule::Gone]);
}

#[test]
fn halves_bans_processes_and_cold_servers_are_seen() {
    let mut history = empty();
    history.halves.push(Half { node: 0, stopped: Moment(SECOND), ended: Some(Moment(3_900_000)) });
    assert_eq!(rules(&history), []);
    history.halves[0].ended = None;
    assert_eq!(rules(&history), [Rule::Half]);

    let mut history = sound(Class::Read);
    history.bans.push(Ban { node: 0, server: 0, at: Moment(SECOND / 2), well: Moment(SECOND / 2) });
    assert_eq!(rules(&history), [Rule::Ban]);
    // Killed before the disk was well for a while, it could not keep the word.
    history.lives.push(Life { node: 0, at: Moment(SECOND * 6 / 10), what: Happened::Killed });
    assert_eq!(rules(&history), []);

    let mut history = empty();
    history.lives.push(Life { node: 0, at: Moment(SECOND), what: Happened::Started });
    assert_eq!(rules(&history), [Rule::Process], "never ready");
    history.lives.push(Life { node: 0, at: Moment(2 * SECOND), what: Happened::Up });
    assert_eq!(rules(&history), []);
    history.lives.push(Life { node: 0, at: Moment(3 * SECOND), what: Happened::Crashed });
    assert_eq!(rules(&history), [Rule::Process]);

    let mut history = empty();
    history.counters.insert("violation".to_owned(), 1);
    assert_eq!(rules(&history), [Rule::Invariant]);

    let mut history = empty();
    history.births.push(Birth { server: 0, at: Moment(SECOND) });
    // 18 and its slack of 3 roots and 3 may come in the first window.
    history.came = (0..30).map(|k| came(SECOND + 10_000 + k * 10_000, 900)).collect();
    assert_eq!(rules(&history), []);
    history.came = (0..60).map(|k| came(SECOND + 10_000 + k * 10_000, 900)).collect();
    assert_eq!(rules(&history), [Rule::Overload]);
}

#[test]
fn refusals_with_idle_servers_are_seen() {
    let mut history = empty();
    for k in 0..60u64 {
        let refused = sending(SECOND + k * 1_000, SECOND + k * 1_000 + 500, End::Answered(503));
        history.asked.push(Asked { id: format!("r{k}"), ..asked(Class::Read, vec![refused]) });
    }
    history.came.push(Came { id: "other".to_owned(), ..came(SECOND, 900) });
    assert_eq!(rules(&history), [Rule::Idle]);
    // Nobody could serve them in time: a server has 10 a second.
    let short = |a: &mut Asked, deadline_ms| a.tries[0].deadline_ms = deadline_ms;
    history.asked.iter_mut().for_each(|a| short(a, 199));
    assert_eq!(rules(&history), []);
    history.asked.iter_mut().for_each(|a| short(a, 200));
    assert_eq!(rules(&history), [Rule::Idle]);
    // Servers that have more than half of their work excuse it.
    history.came = (0..8).map(|k| Came { id: format!("o{k}"), ..came(SECOND + k, 900) }).collect();
    assert_eq!(rules(&history), []);
}

#[test]
fn answers_with_no_length_that_are_thrown_away_are_seen() {
    let mut history = empty();
    for k in 0..20u64 {
        let end = if k < 12 { End::Answered(502) } else { End::Answered(200) };
        let tries = vec![sending(SECOND + k * 90_000, SECOND + k * 90_000 + 500, end)];
        history.asked.push(Asked { id: format!("n{k}"), ..asked(Class::Write, tries) });
        history.no_length.push(format!("n{k}"));
    }
    assert_eq!(rules(&history), [Rule::NoLength]);
    history.asked[0].tries[0].end = End::Answered(200);
    history.asked[1].tries[0].end = End::Answered(200);
    assert_eq!(rules(&history), []);
}

#[test]
fn a_timeline_tells_all_sides_in_order() {
    let lines = timeline(&sound(Class::Write), "a");
    assert_eq!(lines.len(), 4);
    assert!(lines[0].contains("client sends Write") && lines[1].contains("first byte from node 0"));
}

#[test]
fn plans_are_drawn_from_their_seed_and_overlap() {
    let size = Size { nodes: 10, servers: 8, span: Duration::from_secs(10) };
    let drawn = |seed| Plan::draw(&mut Random::new(seed), size, &KINDS).faults;
    assert_eq!(format!("{:?}", drawn(7)), format!("{:?}", drawn(7)));
    let overlaps = |seed: u64| {
        let faults = drawn(seed);
        faults
            .iter()
            .enumerate()
            .any(|(k, a)| faults[k + 1..].iter().any(|b| a.at < b.end() && b.at < a.end()))
    };
    let overlapping = (0..100).filter(|seed| overlaps(*seed)).count();
    assert!(overlapping > 90, "{overlapping} of 100 plans have faults that overlap");
}
