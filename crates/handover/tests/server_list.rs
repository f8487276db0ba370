//! The server list that the processes of a node share: versions, lists of many packets, and processes that come late.

use laurelroute_handover::message::{Message, MAX_PACKET_BYTES};
use laurelroute_handover::server_list::{
    ListAssembler, ListError, ListFragment, ListOutbox, ListVersion, Received, ServerListUpdate,
    SharedServerList,
};
use proptest::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;

type List = SharedServerList<String>;
type Update = ServerListUpdate<String>;

fn source() -> Option<SocketAddr> {
    Some(([127, 0, 0, 1], 8500).into())
}

fn entry(name: &str, state: &str) -> (String, Option<String>) {
    (name.to_owned(), Some(state.to_owned()))
}

fn version(generation: u64, number: u64) -> ListVersion {
    ListVersion { generation, number }
}

fn servers(list: &List) -> Vec<(String, String)> {
    let snapshot = list.snapshot().map(|update| update.servers).unwrap_or_default();
    snapshot.into_iter().filter_map(|(name, state)| Some((name, state?))).collect()
}

#[test]
fn a_new_process_is_sent_the_whole_list_and_then_what_changes() {
    let (mut old, mut new) = (List::default(), List::default());
    old.update(7, source(), true, [entry("a", "ready"), entry("b", "ready")]);
    let mut outbox = ListOutbox::default();
    let whole = outbox.next(&old).expect("the whole list");
    assert_eq!((whole.base, whole.servers.len()), (None, 2));
    assert!(matches!(new.receive(whole), Received::Applied(changed) if changed.len() == 2));
    assert_eq!(outbox.next(&old), None);
    old.update(9, source(), false, [entry("a", "draining"), ("b".into(), None)]);
    outbox.add_changes(["a".to_owned(), "b".to_owned()]);
    let changes = outbox.next(&old).expect("changes");
    assert_eq!(changes.base, Some(version(0, 7)));
    assert!(matches!(new.receive(changes), Received::Applied(changed) if changed["b"].after.is_none()));
    assert_eq!((servers(&new), new.version()), (servers(&old), Some(version(0, 9))));
}

// Guards against a configured list that overrides what the old process was told, whatever their numbers.
#[test]
fn a_configured_list_yields_to_any_other_and_is_not_passed_on() {
    let (mut old, mut new) = (List::default(), List::default());
    new.configure(1_000, [("a".to_owned(), "ready".to_owned())]);
    assert_eq!(ListOutbox::default().next(&new), None);
    old.update(3, source(), true, [entry("a", "draining")]);
    let whole = ListOutbox::default().next(&old).expect("the whole list");
    assert!(matches!(new.receive(whole), Received::Applied(_)));
    assert_eq!(servers(&new), servers(&old));
    // Changes that follow on the configured list make it one that discovery has confirmed.
    let mut third = List::default();
    third.configure(5, [("a".to_owned(), "ready".to_owned())]);
    third.update(6, source(), false, [entry("b", "ready")]);
    assert_eq!(servers(&third).len(), 2);
}

#[test]
fn numbers_that_go_back_begin_a_new_generation_that_is_later() {
    let (mut old, mut new) = (List::default(), List::default());
    old.update(100, source(), true, [entry("a", "ready")]);
    let mut outbox = ListOutbox::default();
    new.receive(outbox.next(&old).unwrap());
    old.update(2, source(), true, [entry("b", "ready")]);
    outbox.send_whole();
    assert!(matches!(new.receive(outbox.next(&old).unwrap()), Received::Applied(_)));
    assert_eq!((servers(&new), new.version()), (servers(&old), Some(version(1, 2))));
}

#[test]
fn an_earlier_version_and_a_gap_are_answered_so_that_the_latest_list_comes() {
    let (mut a, mut b) = (List::default(), List::default());
    a.update(5, source(), true, [entry("a", "draining")]);
    b.update(4, source(), true, [entry("a", "ready")]);
    assert_eq!(a.receive(b.snapshot().unwrap()), Received::Outdated);
    // The announcement of an earlier version does the same.
    let mut outbox = ListOutbox::default();
    outbox.announce_version();
    let announcement = outbox.next(&b).unwrap();
    assert!(announcement.servers.is_empty());
    assert_eq!(a.receive(announcement), Received::Outdated);
    // Changes that follow on a version which this process has not are not applied.
    let gap = a.changes_since(version(0, 5), []);
    let gap = Update { version: version(0, 6), ..gap };
    assert_eq!(b.receive(gap), Received::Gap);
    assert!(matches!(b.receive(a.snapshot().unwrap()), Received::Applied(_)));
    assert_eq!(servers(&b), servers(&a));
    // A process without a list announces that too.
    let (none, mut outbox) = (List::default(), ListOutbox::default());
    outbox.announce_version();
    assert_eq!(a.receive(outbox.next(&none).unwrap()), Received::Outdated);
}

#[test]
fn a_list_of_many_packets_is_put_together_and_its_fragments_fit_into_packets() {
    let mut list = List::default();
    // Quotes, backslashes and characters of several bytes take the most room.
    let state = "\\\"\u{1}\u{10348}".repeat(20);
    list.update(1, source(), true, (0..10_000).map(|k| entry(&format!("server-{k}"), &state)));
    let whole = list.snapshot().unwrap();
    let fragments = ListFragment::split(&whole);
    assert!(fragments.len() > 100);
    let mut assembler = ListAssembler::default();
    let mut received = None;
    for fragment in fragments {
        assert!(received.is_none());
        let packet = Message::ServerList(fragment).encode();
        assert!(packet.len() <= MAX_PACKET_BYTES, "{}", packet.len());
        let Ok(Message::ServerList(fragment)) = Message::decode(&packet) else { panic!("a fragment") };
        received = assembler.receive(fragment).unwrap();
    }
    assert_eq!(received, Some(whole));
}

#[test]
fn a_list_that_is_too_long_or_malformed_is_dropped_and_the_next_one_is_read() {
    let mut assembler = ListAssembler::default();
    let fragment = |text: &str, last| ListFragment { text: text.to_owned(), last };
    let part = "x".repeat(1 << 20);
    for _ in 0..40 {
        assert!(assembler.receive::<String>(fragment(&part, false)).unwrap().is_none());
    }
    assert!(matches!(assembler.receive::<String>(fragment("x", true)), Err(ListError::TooLong)));
    assert!(matches!(assembler.receive::<String>(fragment("{", true)), Err(ListError::Malformed(_))));
    let mut list = List::default();
    list.update(1, source(), true, [entry("a", "ready")]);
    for fragment in ListFragment::split(&list.snapshot().unwrap()) {
        assert!(assembler.receive::<String>(fragment).unwrap().is_some());
    }
}

/// One step of a drawn run of processes in a row.
#[derive(Clone, Debug)]
enum Step {
    /// Discovery tells a process what it has.
    Tell(usize),
    /// Discovery's list changes.
    Change(u8, bool),
    /// Discovery begins to count anew.
    Restart,
    /// A process reads one update of a neighbour: the one before it, or the one behind it.
    Read(usize, bool),
    /// A process sends what is pending to a neighbour.
    Send(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3usize).prop_map(Step::Tell),
        3 => (0..6u8, any::<bool>()).prop_map(|(k, ready)| Step::Change(k, ready)),
        1 => Just(Step::Restart),
        6 => (0..3usize, any::<bool>()).prop_map(|(p, behind)| Step::Read(p, behind)),
        6 => (0..3usize, any::<bool>()).prop_map(|(p, behind)| Step::Send(p, behind)),
    ]
}

/// Processes in a row, each with a link to the next one.
struct Row {
    lists: Vec<List>,
    /// By process and direction (towards the one before it, towards the one behind it).
    outboxes: Vec<[ListOutbox; 2]>,
    queues: Vec<[VecDeque<Update>; 2]>,
}

impl Row {
    fn new() -> Row {
        Row {
            lists: vec![List::default(); 3],
            outboxes: vec![Default::default(); 3],
            queues: vec![Default::default(); 3],
        }
    }

    fn neighbour(process: usize, behind: bool) -> Option<usize> {
        if behind { Some(process + 1) } else { process.checked_sub(1) }.filter(|n| *n < 3)
    }

    fn pass_on(&mut self, process: usize, names: Vec<String>, except: Option<bool>) {
        for behind in [false, true].into_iter().filter(|b| Some(*b) != except) {
            self.outboxes[process][usize::from(behind)].add_changes(names.iter().cloned());
        }
    }

    fn send(&mut self, process: usize, behind: bool) -> bool {
        let Some(to) = Row::neighbour(process, behind) else { return false };
        let next = self.outboxes[process][usize::from(behind)].next(&self.lists[process]);
        let sends = next.is_some();
        self.queues[to][usize::from(!behind)].extend(next);
        sends
    }

    fn read(&mut self, process: usize, behind: bool) -> bool {
        let Some(update) = self.queues[process][usize::from(behind)].pop_front() else { return false };
        let sent = update.version;
        let received = self.lists[process].receive(update);
        let outbox = &mut self.outboxes[process][usize::from(behind)];
        match received {
            Received::Applied(changed) => {
                outbox.peer_has(sent);
                self.pass_on(process, changed.into_keys().collect(), Some(behind));
            }
            Received::Known => outbox.peer_has(sent),
            Received::Outdated => outbox.send_whole(),
            Received::Gap => outbox.announce_version(),
        }
        true
    }

    fn settle(&mut self) {
        for _ in 0..100 {
            let mut idle = true;
            for (process, behind) in (0..3).flat_map(|p| [(p, false), (p, true)]) {
                idle &= !self.send(process, behind);
                while self.read(process, behind) {
                    idle = false;
                }
            }
            if idle {
                return;
            }
        }
        panic!("the processes send without end");
    }
}

proptest! {
    // Guards against processes of a row of upgrades that end with different lists, whatever is sent and read when.
    #[test]
    fn processes_in_a_row_come_to_the_latest_list_that_any_was_told(steps in prop::collection::vec(step(), 0..60)) {
        let mut row = Row::new();
        let (mut number, mut truth) = (1, std::collections::BTreeMap::new());
        for step in steps {
            match step {
                Step::Tell(process) => {
                    let before = servers(&row.lists[process]);
                    let all: Vec<_> = truth.iter().map(|(n, s): (&String, &String)| entry(n, s)).collect();
                    row.lists[process].update(number, source(), true, all);
                    let after = servers(&row.lists[process]);
                    let names = before.iter().chain(&after).map(|(name, _)| name.clone()).collect();
                    row.pass_on(process, names, None);
                }
                Step::Change(k, ready) => {
                    number += 1;
                    truth.insert(format!("s{k}"), if ready { "ready" } else { "draining" }.to_owned());
                }
                // All processes are told at once: one that still follows the former numbers could not be told from one
                // that follows the new ones.
                Step::Restart => {
                    number = 1;
                    row.settle();
                    for process in 0..3 {
                        let all: Vec<_> = truth.iter().map(|(n, s)| entry(n, s)).collect();
                        row.lists[process].update(number, source(), true, all);
                        row.pass_on(process, truth.keys().cloned().collect(), None);
                        row.settle();
                    }
                }
                Step::Send(process, behind) => drop(row.send(process, behind)),
                Step::Read(process, behind) => drop(row.read(process, behind)),
            }
        }
        row.settle();
        let latest = row.lists.iter().filter_map(List::version).max();
        for list in &row.lists {
            prop_assert_eq!(list.version(), latest);
            prop_assert_eq!(servers(list), servers(&row.lists[0]));
        }
    }
}
