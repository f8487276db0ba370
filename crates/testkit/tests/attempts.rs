//! Two attempts of one request at once are found by the stand-in servers, and only those.

use laurelroute_testkit::boxes::{too_many_attempts, Act, Plan, StandIn};
use laurelroute_testkit::until;
use laurelroute_testkit::wire::{Ask, Class, Conn, Say, Wire};
use laurelroute_thrift::codec::FORMS;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

const WIRES: [&str; 2] = ["http", "framed-binary"];

fn wire(name: &str) -> Wire {
    if name == "http" {
        Wire::Http
    } else {
        Wire::thrift(name)
    }
}

fn servers(plan: &Arc<Plan>, act: Act) -> [StandIn; 3] {
    let form = FORMS.iter().find(|(name, _)| *name == WIRES[1]).expect("a form").1;
    [0, 1, 2].map(|k| {
        let server = StandIn::start(&format!("box-{k}"), form, plan.clone());
        server.usually(act);
        server
    })
}

/// Sends an attempt of this request to a server and waits until it has come.
fn attempt(wire: Wire, server: &StandIn, ask: &Ask) -> Conn {
    let form = match wire {
        Wire::Http => None,
        Wire::Thrift { boxes, .. } => Some(boxes),
    };
    let before = server.arrivals(&ask.id);
    let mut connection = Conn::new(TcpStream::connect(server.address(wire)).expect("a connection"), form);
    assert!(connection.write(&ask.bytes(wire, 1)));
    until("the attempt has come", || server.arrivals(&ask.id) > before);
    connection
}

/// Attempts that are out at once are counted, whatever the servers do with them.
#[test]
fn attempts_at_once_are_found() {
    for wire in WIRES.map(wire) {
        let after = Act::After(Duration::from_millis(300));
        for act in [Act::Stall, Act::Half, Act::Say(Say::Misfit), Act::Say(Say::Noise), after] {
            let plan = Arc::<Plan>::default();
            let servers = servers(&plan, act);
            let ask = Ask::new(Class::Read);
            let _attempts: Vec<Conn> = servers.iter().map(|server| attempt(wire, server, &ask)).collect();
            until("all are counted", || too_many_attempts(&servers, 1) == 2);
            assert_eq!(too_many_attempts(&servers, 2), 1, "{wire:?}, {act:?}");
        }
    }
}

/// One that was answered whole or whose connection was closed is over, and other requests are none of its business.
#[test]
fn attempts_one_after_the_other_are_sound() {
    for wire in WIRES.map(wire) {
        for act in [Act::Say(Say::Served), Act::Say(Say::Error), Act::Say(Say::TurnedAway), Act::ResetAfter] {
            let plan = Arc::<Plan>::default();
            let servers = servers(&plan, act);
            let ask = Ask::new(Class::Read);
            for server in &servers {
                let mut connection = attempt(wire, server, &ask);
                let answered = connection.answer().is_some();
                assert_eq!(answered, act != Act::ResetAfter, "{wire:?}, {act:?}");
            }
            assert_eq!(too_many_attempts(&servers, 1), 0, "{wire:?}, {act:?}");
        }
        let plan = Arc::<Plan>::default();
        let servers = servers(&plan, Act::Stall);
        let ask = Ask::new(Class::Read);
        for server in &servers {
            drop(attempt(wire, server, &ask));
            attempt(wire, server, &Ask::new(Class::Read));
        }
        assert_eq!(too_many_attempts(&servers, 1), 0, "{wire:?}: given up before the next one");
    }
}
