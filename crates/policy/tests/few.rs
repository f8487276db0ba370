//! A node of many: some tens of requests a second, so that what counts answers learns for a day.

mod common;

use common::*;
use laurelroute_policy::interface::*;

/// Fifteen requests a second over two classes of like work, the second worth an eighth of the first. For the first
/// `sound` seconds answers take 100 ms, then a jam makes them 340 ms, which is more than is worth waiting for. How many
/// of either class are refused in `counted` seconds from the start of the jam on, and of how many.
fn refused_in_a_jam(sound: u64, counted: u64) -> [(u32, u32); 2] {
    let mut settings = settings(Effect::Safe);
    let class = settings.classes[0].clone();
    settings.classes.push(Class { worth: class.worth / 8.0, ..class });
    settings.second_copies = false;
    let mut bed = Bed::new(settings, servers(12), 7);
    let jam = bed.now + sound * 1_000 * MS;
    let mut out: Vec<(Nanos, Nanos, RequestId, Endpoint)> = Vec::new();
    let mut seen = [(0, 0); 2];
    for id in 1..=(15 * (sound + counted) as RequestId) {
        bed.now += 67 * MS;
        while out.first().is_some_and(|o| o.0 <= bed.now) {
            let (at, sent_at, id, server) = out.remove(0);
            bed.outcome(id, server, 0, at - sent_at, Ending::Ok);
        }
        let class = u8::from(id % 2 == 0);
        let actions = bed.feed(Event::Request(Request { class, ..Request::new(id, bed.now + 800 * MS) }));
        let took = if bed.now < jam { 100 * MS } else { 340 * MS };
        let count = &mut seen[usize::from(class)];
        count.1 += u32::from(bed.now >= jam);
        match sent(&actions, id) {
            Some(server) => out.push((bed.now + took, bed.now, id, server)),
            None => count.0 += u32::from(bed.now >= jam),
        }
        out.sort_unstable_by_key(|o| o.0);
    }
    seen
}

/// Large fleet, join and zone: no class was ever known in a day of 25 s, so worth never counted, and the class with the
/// shortest aim, which was worth five times another, was refused most.
#[test]
fn the_lesser_class_makes_room_within_seconds() {
    let [worthy, lesser] = refused_in_a_jam(6, 10);
    let part = |(refused, of): (u32, u32)| f64::from(refused) / f64::from(of);
    assert!(part(lesser) > 1.5 * part(worthy), "of the worthy {worthy:?}, of the lesser {lesser:?} refused");
}

/// Answers that come in no time make no advice to come back in no time, where all servers are full.
#[test]
fn advice_is_worth_heeding_where_answers_are_quick() {
    let mut bed = Bed::new(
        Settings { retry_after: true, max_retry_after: 2_000 * MS, ..settings(Effect::Safe) },
        servers(1),
        3,
    );
    for _ in 0..40 {
        bed.served(MS / 2);
    }
    let (id, actions) = bed.request();
    let server = sent(&actions, id).expect("an idle fleet takes it");
    let actions = bed.outcome(id, server, 0, MS / 2, Ending::Full);
    let advice = actions.iter().find_map(|a| match a {
        Action::Refuse { retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(advice.is_some_and(|after| after >= 20 * MS), "{advice:?} ns");
}
