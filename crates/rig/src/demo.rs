//! `rig demo`: a newcomer's first command.

use crate::report::{table, Failure, Outcome};
use crate::site::again;
use crate::Common;
use laurelroute_testkit::boxes::{Act, Plan, StandIn};
use laurelroute_testkit::discovery::{Discovery, Entry};
use laurelroute_testkit::load::Load;
use laurelroute_testkit::program::{Program, Wishes};
use laurelroute_testkit::wire::{Ask, Class, Say, Wire};
use laurelroute_thrift::codec::Form;
use std::sync::Arc;
use std::time::Duration;

/// Runs the demo: every lane in turn, with failures of boxes in it, and a drain in the middle of each.
pub fn run(common: &Common) -> Result<(), Failure> {
    let form = Form::named("framed-binary").ok_or_else(|| Failure("no form".into()))?;
    let plan = Arc::<Plan>::default();
    let boxes: Vec<StandIn> =
        (0..4).map(|k| StandIn::start(&format!("box-{k}"), form, plan.clone())).collect();
    boxes.iter().for_each(|b| b.usually(Act::After(Duration::from_millis(1))));
    let entries: Vec<Entry> = boxes.iter().map(Entry::of).collect();
    let discovery = Discovery::start(&entries);
    let wishes = Wishes { launch: again("node", false)?, ..Wishes::default() };
    let node = Program::start(&std::env::current_exe()?, discovery.address, form, wishes);
    println!("4 boxes; a node on HTTP at {} and on Thrift at {}", node.http, node.thrift);
    laurelroute_testkit::until("the node serves", || {
        node.ask(Wire::Http, &Ask::new(Class::Read)).is_some_and(|a| a.served())
    });
    let mut rows = Vec::new();
    let mut broken = Vec::new();
    let mut outcome = Outcome::default();
    let part = Duration::from_secs_f64(common.seconds / 2.0);
    for (name, wire, class) in [
        ("HTTP, status (safe)", Wire::Http, Class::Read),
        ("HTTP, acknowledge (unsafe)", Wire::Http, Class::Write),
        ("Thrift framed binary, unsafe", Wire::thrift("framed-binary"), Class::Write),
        ("Thrift THeader compact, unsafe", Wire::mixed("header-compact", "framed-binary"), Class::Write),
    ] {
        println!("{name} ...");
        let load = Load::start(wire, node.address(wire), 4, class, 100);
        std::thread::sleep(part);
        // One box drains, and a few requests meet a box that fails.
        let mut drained = entries.clone();
        drained[0] = drained[0].clone().leaving();
        discovery.told(discovery.tell(&drained));
        plan.next(&[Act::Say(Say::Error), Act::ResetAfter, Act::Say(Say::TurnedAway)]);
        std::thread::sleep(part);
        let mut tally = load.finish();
        discovery.told(discovery.tell(&entries));
        let runs = |id: &String| boxes.iter().map(|b| b.runs(id)).sum::<usize>();
        let twice = tally.served.iter().filter(|id| class == Class::Write && runs(id) != 1).count();
        if !tally.lost.is_empty() || !tally.mixed.is_empty() || twice > 0 {
            broken.push(format!("{name}: {} lost, {twice} ran twice", tally.lost.len()));
        }
        if tally.served.is_empty() {
            broken.push(format!("{name}: nothing was served"));
        }
        let ms = |part| tally.clone().quantile(part).as_secs_f64() * 1000.0;
        let (p50, p99) = (ms(0.5), ms(0.99));
        rows.push(vec![
            name.to_owned(),
            tally.served.len().to_string(),
            tally.refused.to_string(),
            tally.failed.to_string(),
            tally.lost.len().to_string(),
            twice.to_string(),
            format!("{p50:.2}"),
            format!("{p99:.2}"),
        ]);
        tally.took.clear();
        outcome.put(format!("served_{}", rows.len()), tally.served.len() as f64);
    }
    table(&["lane", "served", "refused", "failed", "lost", "ran twice", "p50 ms", "p99 ms"], &rows);
    outcome.put("broken", broken.len() as f64);
    outcome.close("demo", common)?;
    match broken.first() {
        Some(first) => Err(Failure(first.clone())),
        None => Ok(()),
    }
}
