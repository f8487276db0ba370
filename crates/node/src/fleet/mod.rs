//! This process as a member of its fleet: datagrams to and from the others, what follows from the views, and what operators
//! are told.
//!
//! What a member decides stands in `laurelroute-membership`.

pub(crate) mod cli;
pub(crate) mod replica;
mod history;
mod learned_state;
pub mod table;

use replica::LocalReplica;
use history::History;
use laurelroute_core::gateway::Gateway;
use laurelroute_core::retry_io::retried;
use laurelroute_membership::{Machine, Nanos, Output, Reason, Seat, View, MS, TICK};
use ring::hmac;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use table::FleetConfig;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// Bytes of a datagram at most (the platform's protocol page).
const DATAGRAM: usize = 256;
/// Bytes of its mark: HMAC-SHA256 cut to half, the least that RFC 2104, section 5, has.
const MARK: usize = 16;
/// Datagrams that are read at a time before others have their turn.
const BURST: usize = 64;
/// A port that the process before still holds is tried again after this.
const BIND_AGAIN: Duration = Duration::from_millis(250);
/// Who is refused is named this often at most.
const REFUSED_EVERY: Nanos = 10_000 * MS;

/// Why a node does not start as a member.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The platform does not have it.
    #[error("`[fleet]`: the settings do not allow talk between nodes (`caps.peers`)")]
    Forbidden,
    /// The system gives no randomness.
    #[error("`[fleet]`: no randomness from the system")]
    Random,
    /// Its history cannot be written.
    #[error("`fleet.history`: {0}")]
    History(std::io::Error),
}

/// A member.
pub(crate) struct FleetMember {
    site: FleetConfig,
    machine: RefCell<Machine>,
    copy: Rc<LocalReplica>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// The process that this one takes over from has its port still.
    waits: Cell<bool>,
    history: RefCell<Option<History>>,
    refused: RefCell<BTreeMap<(Seat, Reason), Nanos>>,
    /// The last view, and when it came, for operators.
    since: RefCell<(Option<View>, Nanos)>,
    share: RefCell<f64>,
    accused: RefCell<Vec<Seat>>,
}

/// Joins the fleet that the operator's file names.
pub(crate) fn start(
    gateway: &Rc<Gateway>,
    site: &FleetConfig,
    allowed: bool,
    listen: SocketAddr,
) -> Result<Rc<FleetMember>, FleetError> {
    if !allowed {
        return Err(FleetError::Forbidden);
    }
    let mut seed = [0; 16];
    ring::rand::SecureRandom::fill(&ring::rand::SystemRandom::new(), &mut seed)
        .map_err(|_| FleetError::Random)?;
    let history = site.history.as_deref().map(History::open).transpose().map_err(FleetError::History)?;
    let machine = Machine::new(&site.site, site.roster.clone(), site.me, seed, gateway.clock.now());
    let replica = laurelroute_replica::Machine::new(&site.site, &site.roster, site.me, machine.life());
    #[cfg(feature = "planted")]
    let (machine, replica) = planted(machine, replica);
    let copy = LocalReplica::new(replica, crate::upgrade::link::runtime_path(listen, "replica"), gateway.clock.now());
    let member = Rc::new(FleetMember {
        site: site.clone(),
        machine: RefCell::new(machine),
        copy: Rc::new(copy),
        socket: RefCell::default(),
        waits: Cell::default(),
        history: RefCell::new(history),
        refused: RefCell::default(),
        since: RefCell::default(),
        share: RefCell::new(-1.0),
        accused: RefCell::default(),
    });
    member.note("start", "");
    spawn_local(member.clone().run(gateway.clone()));
    Ok(member)
}

/// For tests: the defect that the environment names.
#[cfg(feature = "planted")]
fn planted(
    mut machine: Machine,
    mut replica: laurelroute_replica::Machine,
) -> (Machine, laurelroute_replica::Machine) {
    use laurelroute_membership::defect::{Defect, Planted};
    use laurelroute_replica::defect as copies;
    let named = std::env::var("LAURELROUTE_PLANTED").unwrap_or_default();
    if let Some(defect) = Defect::ALL.into_iter().find(|d| format!("{d:?}") == named) {
        machine.plant(Planted::some(defect));
    }
    if let Some(defect) = copies::Defect::ALL.into_iter().find(|d| format!("{d:?}") == named) {
        replica.plant(copies::Planted::some(defect));
    }
    (machine, replica)
}

impl FleetMember {
    async fn run(self: Rc<Self>, gateway: Rc<Gateway>) {
        let socket = loop {
            match UdpSocket::bind(self.site.listen).await {
                Ok(socket) => break Rc::new(socket),
                // The process that this one takes over from may have it still.
                Err(error) => tracing::debug!("fleet: {}: {error}", self.site.listen),
            }
            self.waits.set(true);
            tokio::time::sleep(BIND_AGAIN).await;
        };
        if !self.waits.replace(false) {
            // Nobody has handed over what this node had learnt.
            self.copy.machine.borrow_mut().learn();
        }
        self.socket.replace(Some(socket.clone()));
        // The process before has ended, and writes its file no longer.
        self.remember(&gateway);
        let seats: BTreeMap<SocketAddr, Seat> =
            self.site.addresses.iter().enumerate().map(|(seat, address)| (*address, seat as Seat)).collect();
        let mut tick = tokio::time::interval(Duration::from_nanos(TICK));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut bytes = [0; DATAGRAM + 1];
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    let now = gateway.clock.now();
                    let outputs = self.machine.borrow_mut().tick(now);
                    self.carry_out(&gateway, outputs);
                    let outputs = self.copy.machine.borrow_mut().tick(now);
                    self.carry_out_copy(&gateway, outputs);
                    self.forget_heard(&gateway, now);
                    self.follow_share(&gateway, now);
                    self.note_accused();
                    self.note_copy();
                }
                ready = socket.readable() => {
                    if ready.is_err() {
                        continue;
                    }
                    for _ in 0..BURST {
                        let Ok((length, from)) = retried(|| socket.try_recv_from(&mut bytes)) else { break };
                        let Some(seat) = seats.get(&from) else { continue };
                        let Some(body) = self.opened(&bytes[..length]) else { continue };
                        self.receive(&gateway, *seat, body);
                    }
                }
            }
        }
    }

    fn receive(&self, gateway: &Rc<Gateway>, seat: Seat, body: &[u8]) {
        let now = gateway.clock.now();
        if body.first().is_some_and(|version| version & 0x80 != 0) {
            let outputs = self.copy.machine.borrow_mut().receive(now, seat, body);
            return self.carry_out_copy(gateway, outputs);
        }
        let outputs = self.machine.borrow_mut().receive(now, seat, body);
        self.carry_out(gateway, outputs);
    }

    /// One that finds no room, or nobody, is lost: no more is promised of a datagram.
    fn post(&self, to: Seat, bytes: Vec<u8>) {
        if let Some(socket) = &*self.socket.borrow() {
            let (sealed, address) = (self.sealed(bytes), self.site.addresses[usize::from(to)]);
            let _ = retried(|| socket.try_send_to(&sealed, address));
        }
    }

    /// A datagram without its mark; `None` where it is not one of ours.
    fn opened<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        if bytes.len() > DATAGRAM {
            return None;
        }
        let Some(key) = &self.site.key else { return Some(bytes) };
        let (body, mark) = bytes.split_at(bytes.len().checked_sub(MARK)?);
        let whole = hmac::sign(key, body);
        let same = whole.as_ref()[..MARK].iter().zip(mark).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0;
        same.then_some(body)
    }

    fn sealed(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(key) = &self.site.key {
            let mark = hmac::sign(key, &bytes);
            bytes.extend_from_slice(&mark.as_ref()[..MARK]);
        }
        bytes
    }

    fn carry_out(&self, gateway: &Rc<Gateway>, outputs: Vec<Output>) {
        let now = gateway.clock.now();
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.post(to, bytes),
                Output::View(view) => {
                    let life = self.machine.borrow().life();
                    let outputs = self.copy.machine.borrow_mut().view(now, &view, life);
                    self.entered(now, view);
                    self.carry_out_copy(gateway, outputs);
                }
                Output::Out => {
                    tracing::warn!("fleet: this member was put out, and asks to come back");
                    self.note("out", "");
                    self.copy.machine.borrow_mut().leave();
                    *self.since.borrow_mut() = (None, now);
                }
                Output::Refused(seat, reason) => self.refuse(now, seat, reason),
            }
        }
    }

    fn entered(&self, now: Nanos, view: View) {
        let name = |seat: &Seat| self.site.roster.name(*seat).to_owned();
        let (before, _) = self.since.replace((Some(view.clone()), now));
        let old = before.map(|v| v.members).unwrap_or_default();
        let changed = |a: &BTreeMap<Seat, u32>, b: &BTreeMap<Seat, u32>| -> Vec<String> {
            a.iter().filter(|(seat, life)| b.get(seat) != Some(life)).map(|(seat, _)| name(seat)).collect()
        };
        let (new, gone) = (changed(&view.members, &old), changed(&old, &view.members));
        tracing::info!(
            "fleet: view {} of {} members; in: {}; out: {}",
            view.number,
            view.members.len(),
            list(&new),
            list(&gone)
        );
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.view(&self.machine.borrow(), &view);
        }
    }

    fn refuse(&self, now: Nanos, seat: Seat, reason: Reason) {
        let mut refused = self.refused.borrow_mut();
        if refused.get(&(seat, reason)).is_some_and(|at| now.saturating_sub(*at) < REFUSED_EVERY) {
            return;
        }
        // Of each seat as many as there are reasons; versions come from outside.
        if refused.len() >= 8 * self.site.addresses.len() {
            refused.clear();
        }
        refused.insert((seat, reason), now);
        tracing::warn!("fleet: {} is refused: {reason}", self.site.roster.name(seat));
    }

    /// What this member may use of what all share follows its lease.
    fn follow_share(&self, gateway: &Rc<Gateway>, now: Nanos) {
        let share = self.machine.borrow().share(now);
        if share != self.share.replace(share) {
            gateway.take_share(share);
            self.note("share", &format!("{share:.9}"));
        }
    }

    fn note_accused(&self) {
        let accused = self.machine.borrow().accuses().to_vec();
        if *self.accused.borrow() != accused {
            let seats: Vec<String> = accused.iter().map(Seat::to_string).collect();
            self.note("accuse", &seats.join(","));
            self.accused.replace(accused);
        }
    }

    fn note(&self, what: &str, value: &str) {
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.note(&self.machine.borrow(), what, value);
        }
    }

    /// For operators, as JSON: the view, its members, and what this one hears of them.
    pub(crate) fn members_json(&self, now: Nanos) -> serde_json::Value {
        let machine = self.machine.borrow();
        let roster = &self.site.roster;
        let (view, since) = &*self.since.borrow();
        let silent: BTreeMap<Seat, Nanos> = machine.silences().collect();
        let rows: Vec<_> = roster
            .seats()
            .map(|seat| {
                let life = view.as_ref().and_then(|v| v.members.get(&seat));
                let accusers: BTreeSet<String> =
                    machine.accusers_of(now, seat).iter().map(|s| roster.name(*s).to_owned()).collect();
                serde_json::json!({
                    "name": roster.name(seat),
                    "address": self.site.addresses[usize::from(seat)],
                    "member": life.is_some(),
                    "life": life,
                    "watched_here": silent.contains_key(&seat),
                    "silent_ms": silent.get(&seat).map(|s| s / MS),
                    "accused_by": accusers,
                })
            })
            .collect();
        serde_json::json!({
            "me": roster.name(machine.seat()),
            "view": view.as_ref().map(|v| v.number),
            "rooted": view.as_ref().map(|v| v.rooted),
            "since_ms": now.saturating_sub(*since) / MS,
            "lease": machine.attached(now),
            "share": machine.share(now),
            "pauses": machine.pauses(),
            "learnt": self.copy.learnt.borrow().as_ref().map(|(from, servers)| serde_json::json!({"from": from, "servers": servers})),
            "members": rows,
        })
    }
}

/// Names for a line of the log, not too many.
fn list(names: &[String]) -> String {
    const MOST: usize = 12;
    match names.len() {
        0 => "none".to_owned(),
        n if n > MOST => format!("{} and {} more", names[..MOST].join(" "), n - MOST),
        _ => names.join(" "),
    }
}
