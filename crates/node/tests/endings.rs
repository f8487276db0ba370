//! What is owed at the instant at which something ends: each crossing is forced by a barrier.

use laurelroute_testkit::boxes::Act;
use laurelroute_testkit::program::{Bed, Wishes};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Ask, Class, Wire, CLASSES};
use std::path::Path;
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
