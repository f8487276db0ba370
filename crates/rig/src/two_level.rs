//! `rig two-level`: one level, two levels, and a policy that sees every queue, on the same load and troubles.

use crate::boxes::Boxes;
use crate::cost::saturated;
use crate::levels::COLD;
use crate::report::{median, table, Failure, Outcome};
use crate::{Common, AS_PROGRAM};
use laurelroute_simulation::faults::troubles;
use laurelroute_simulation::world::{Mode, Setup, World};
use laurelroute_simulation::{MS, S};
use laurelroute_testkit::discovery::Discovery;
use laurelroute_testkit::levels::{Levels, Upper};
use laurelroute_testkit::process::{memory_kb, Memory};
use laurelroute_testkit::program::{Program, Wishes};
use laurelroute_thrift::codec::Form;

const SPEEDS: [f64; 5] = [0.5, 0.8, 1.0, 1.3, 2.0];
const WORKERS: usize = 4;
/// The beginning, in which nobody knows anything, is not counted.
const WARM: u64 = 5 * S;
/// Work of the mean request, in seconds of a usual worker.
const MEAN_WORK: f64 = 0.027;
const MODES: [(&str, Mode); 3] =
    [("one level", Mode::OneLevel), ("two levels", Mode::TwoLevel), ("true state", Mode::TrueState)];

/// Nodes and boxes of the comparison over sockets.
const NODES: usize = 6;
const BOXES: usize = 60;
/// Nodes of each side that are loaded, one after another, and rounds of it.
const LOADED: usize = 2;
const ROUNDS: usize = 3;

/// Resident memory of a process, in MB.
fn resident(pid: u32) -> Result<f64, Failure> {
    let kb = memory_kb(pid, Memory::Resident).ok_or_else(|| Failure(format!("process {pid} has ended")))?;
    Ok(kb as f64 / 1e3)
}

/// Processor time and memory of a one-level node and of a forwarder, each before the same boxes, in turn.
fn sockets(common: &Common, outcome: &mut Outcome) -> Result<(), Failure> {
    println!(
        "over sockets: {NODES} one-level nodes and {NODES} forwarders with two planners, {BOXES} boxes ..."
    );
    let form = Form::named("framed-binary").ok_or_else(|| Failure("no form".into()))?;
    let boxes = Boxes::start(form, BOXES)?;
    std::env::set_var(AS_PROGRAM, "1");
    let program = std::env::current_exe()?;
    let entries = boxes.entries();
    let discovery = Discovery::start(&entries);
    let wishes = Wishes { sockets: 1024, ..Wishes::default() };
    let led = Wishes { levels: Some(Levels::Up), ..wishes.clone() };
    let upper = Upper::start(&program, Levels::Up, &discovery, &entries, &led);
    let start = |wishes: Wishes| Program::start(&program, discovery.address, form, wishes);
    let single: Vec<Program> = (0..NODES).map(|_| start(wishes.clone())).collect();
    let forwarders: Vec<Program> = (0..NODES)
        .map(|k| {
            let name = format!("f{k}");
            start(Wishes { site: upper.site(&name), name, ..led.clone() })
        })
        .collect();
    laurelroute_testkit::until("every forwarder holds the plans", || upper.all_hold(NODES));
    let mut figures = [Vec::new(), Vec::new()];
    for _ in 0..ROUNDS {
        for (side, nodes) in [&single, &forwarders].into_iter().enumerate() {
            for node in &nodes[..LOADED] {
                figures[side].push(saturated(node.pid(), node.http, common.seconds / 2.0)?);
            }
        }
    }
    let mut rows = Vec::new();
    let mut cpu = [0.0; 2];
    for (side, (name, nodes)) in
        [("one-level node", &single), ("forwarder", &forwarders)].into_iter().enumerate()
    {
        cpu[side] = median(figures[side].iter().map(|f| f.0).collect());
        let rate = median(figures[side].iter().map(|f| f.1).collect());
        let memory = nodes[..LOADED].iter().map(|n| resident(n.pid())).collect::<Result<Vec<_>, _>>()?;
        rows.push(vec![
            name.to_owned(),
            format!("{:.1}", cpu[side]),
            format!("{rate:.0}"),
            format!("{:.1}", median(memory.clone())),
        ]);
        outcome.put(format!("memory_mb_{}", ["one_level", "forwarder"][side]), median(memory));
    }
    table(&["", "CPU us a request", "a second", "memory MB"], &rows);
    outcome.put("cpu_ratio", cpu[1] / cpu[0]);
    Ok(())
}

/// What is compared.
pub struct Size {
    /// Forwarders.
    pub forwarders: usize,
    /// Boxes.
    pub boxes: usize,
    /// Connections that a forwarder would like to hold to each box.
    pub wanted: u32,
    /// Nothing goes wrong.
    pub calm: bool,
    /// Part of the sound fleet's capacity that is asked for.
    pub load: f64,
}

/// Runs all three on one seed.
pub fn run(common: &Common, size: &Size) -> Result<(), Failure> {
    let (forwarders, boxes) = (size.forwarders, size.boxes);
    let speeds: Vec<f64> = (0..boxes).map(|k| SPEEDS[k % SPEEDS.len()]).collect();
    let capacity = speeds.iter().sum::<f64>() * WORKERS as f64 / MEAN_WORK;
    let lasts = (common.seconds * 1e9) as u64 * 20;
    let (mut rows, mut outcome, mut shares) = (Vec::new(), Outcome::default(), Vec::new());
    let mut broken = Vec::new();
    for (name, mode) in MODES {
        println!(
            "{name}: {forwarders} forwarders, {boxes} boxes, {:.0} s of simulated time ...",
            lasts as f64 / 1e9
        );
        let setup = Setup {
            seed: common.seed,
            mode,
            forwarders,
            planners: 2,
            speeds: speeds.clone(),
            workers: WORKERS,
            rate: size.load * capacity,
            cap: Some(41),
            wanted: size.wanted,
            cold: COLD,
            skew: 100 * MS,
        };
        let plan = if size.calm { Vec::new() } else { troubles(common.seed, lasts, 2, &speeds) };
        let mut world = World::new(setup, plan);
        world.timed = true;
        world.run_until(WARM);
        world.count_from_now();
        world.run_until(lasts / 2 - S);
        let measure = world.measure();
        world.run_until(lasts);
        broken.extend(world.tally.broken.first().map(|b| format!("{name}: {b}")));
        let of = |k: usize| {
            let count = world.tally.classes[k];
            count.in_aim as f64 / count.asked.max(1) as f64
        };
        let all = world.tally.classes.iter().fold((0, 0), |s, c| (s.0 + c.asked, s.1 + c.in_aim));
        let share = all.1 as f64 / all.0.max(1) as f64;
        let windows = world.tally.windows.iter().skip(world.tally.from).filter(|w| w.0 > 100);
        let worst = windows.map(|w| w.1 as f64 / w.0 as f64).fold(1.0, f64::min);
        let seconds = lasts as f64 / 1e9;
        let each = |bytes: u64| bytes as f64 / seconds / forwarders as f64;
        let seen = |value: String| if mode == Mode::TrueState { "-".to_owned() } else { value };
        rows.push(vec![
            name.to_owned(),
            format!("{share:.4}"),
            format!("{:.4}", of(0)),
            format!("{:.4}", of(1)),
            format!("{:.4}", of(2)),
            format!("{worst:.4}"),
            seen(format!("{}", measure.connections)),
            seen(format!("{}", measure.known)),
            seen(format!("{:.3}", measure.agreement)),
            seen(format!("{:.3}", measure.error)),
            seen(format!("{:.2}", world.decision_ns() / 1e3)),
            seen(format!("{:.0}/{:.0}", each(world.tally.bytes[0]), each(world.tally.bytes[1]))),
        ]);
        let key = name.replace(' ', "_");
        outcome.put(format!("in_aim_{key}"), share);
        outcome.put(format!("worst_10s_{key}"), worst);
        if mode != Mode::TrueState {
            outcome.put(format!("connections_{key}"), measure.connections.into());
            outcome.put(format!("agreement_{key}"), measure.agreement);
            outcome.put(format!("ranking_error_{key}"), measure.error);
        }
        shares.push(share);
    }
    table(
        &[
            "policy",
            "in aim",
            "status",
            "gauges",
            "acknowl.",
            "worst 10 s",
            "conns/box",
            "boxes/fwd",
            "agreement",
            "rank error",
            "us/request",
            "B/s down/up",
        ],
        &rows,
    );
    let closed = (shares[1] - shares[0]) / (shares[2] - shares[0]).max(1e-9);
    println!("two levels close {:.0}% of the distance between one level and the true state", closed * 100.0);
    outcome.put("distance_closed", closed);
    sockets(common, &mut outcome)?;
    outcome.close("two-level", common)?;
    match broken.first() {
        Some(first) => Err(Failure(first.clone())),
        None => Ok(()),
    }
}
