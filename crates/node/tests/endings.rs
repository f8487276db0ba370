//! What is owed at the instant at which something ends: each crossing is forced by a barrier.

use laurelroute_testkit::boxes::Act;
use laurelroute_testkit::discovery::{Entry, Spoilt};
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Ask, Class, Wire, CLASSES};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

fn bed(wire: Wire, boxes: usize, wishes: Wishes) -> Bed {
    Bed::wishing(Path::new(env!("CARGO_BIN_EXE_laurelroute")), wire, boxes, wishes)
}

/// SIGTERM while boxes hold requests whose clients would wait for longer than the process may live: SIGKILL comes 3.7 s
/// after it at the earliest, however long a deadline is, and each has its final answer by then.
fn told_to_end(wire: Wire) {
    let mut bed = bed(wire, 2, Wishes { give_up_ms: 9_000, ..Wishes::default() });
    // Classes whose answers are not known to be quick would be turned away for the line.
    for class in CLASSES {
        until("the class is served", || bed.one(class).is_some_and(|a| a.served()));
    }
    let classes = CLASSES.repeat(3);
    bed.plan.next(&vec![Act::Stall; classes.len()]);
    let mut waiting: Vec<_> = classes
        .iter()
        .map(|class| {
            let (mut client, ask) = (bed.node.connect(wire), Ask::new(*class).within(9_000));
            client.send(&ask);
            (client, ask)
        })
        .collect();
    until("the boxes have them", || waiting.iter().all(|(_, ask)| bed.arrivals(&ask.id) >= 1));
    bed.node.signal("TERM");
    let told = Instant::now();
    for (client, ask) in &mut waiting {
        let answer = client.answer();
        assert!(answer.is_some(), "{:?} was lost {:?} after the signal", ask.class, told.elapsed());
        assert!(told.elapsed() < Duration::from_millis(3_700), "{answer:?} after {:?}", told.elapsed());
        assert!(ask.class != Class::Write || bed.arrivals(&ask.id) == 1, "sent again");
    }
    until("the process has ended", || !bed.node.running());
}

#[test]
fn told_to_end_http() {
    told_to_end(Wire::Http);
}

#[test]
fn told_to_end_thrift() {
    told_to_end(Wire::thrift("framed-binary"));
}

/// What a watch misses that has fallen silent counts as told after this.
const TOLD: Duration = Duration::from_secs(6);
/// How long a server may be sent something new after it was told that it drains.
const GRACE: Duration = Duration::from_millis(250);

/// A watch brings nothing more, and servers begin to drain while it does not: a new one brings that in time.
fn watch_spoilt(asked: bool, how: Spoilt) {
    // Long deadlines: what is asked for again after some of them comes too late.
    let bed = bed(Wire::Http, 2, Wishes { asked, give_up_ms: 9_000, ..Wishes::default() });
    bed.discovery.spoil(how);
    let spoilt = Instant::now();
    let entries = bed.entries();
    let seq = bed.discovery.tell(&[entries[0].clone().leaving(), entries[1].clone()]);
    let told = bed.discovery.told(seq);
    assert!(told < spoilt + TOLD, "asked again only {:?} after the watch fell silent", told - spoilt);
    thread::sleep(GRACE);
    let after = Instant::now();
    for _ in 0..20 {
        assert!(bed.one(Class::Read).is_some_and(|a| a.served()));
    }
    assert_eq!(bed.boxes[0].since(after), 0, "sent to a server that drains");
}

#[test]
fn an_asked_for_watch_falls_silent() {
    watch_spoilt(true, Spoilt::Silent);
}

#[test]
fn an_asked_for_watch_brings_a_line_without_end() {
    watch_spoilt(true, Spoilt::Endless);
}

#[test]
fn a_pushed_watch_falls_silent() {
    watch_spoilt(false, Spoilt::Silent);
}

#[test]
fn a_pushed_watch_brings_a_line_without_end() {
    watch_spoilt(false, Spoilt::Endless);
}

/// What a pushed list has when discovery comes back counts at once: a watch is open again within the grace.
#[test]
fn discovery_comes_back_with_a_drain() {
    let bed = bed(Wire::Http, 2, Wishes::default());
    let entries = bed.entries();
    for round in 0..4 {
        bed.discovery.down(true);
        // Until pauses have grown as long as they do.
        thread::sleep(Duration::from_millis(2_500));
        let list: Vec<Entry> = (0..2)
            .map(|k| if k == round % 2 { entries[k].clone().leaving() } else { entries[k].clone() })
            .collect();
        let seq = bed.discovery.tell(&list);
        bed.discovery.down(false);
        let back = Instant::now();
        let told = bed.discovery.told(seq);
        assert!(told < back + GRACE, "told only {:?} after it was back", told - back);
    }
}

/// Lists that come indented count like others.
#[test]
fn indented_lists_count() {
    let bed = bed(Wire::Http, 2, Wishes::default());
    bed.discovery.indent();
    let entries = bed.entries();
    let seq = bed.discovery.tell(&[entries[0].clone().leaving(), entries[1].clone()]);
    let told = bed.discovery.told(seq);
    let watches = bed.discovery.watches.load(Ordering::SeqCst);
    thread::sleep((told + GRACE).saturating_duration_since(Instant::now()));
    let after = Instant::now();
    for _ in 0..20 {
        assert!(bed.one(Class::Read).is_some_and(|a| a.served()));
    }
    assert_eq!(bed.boxes[0].since(after), 0, "sent to a server that drains");
    assert_eq!(bed.discovery.watches.load(Ordering::SeqCst), watches, "the watch was given up");
}
