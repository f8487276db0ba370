//! Runs this process as a member of its fleet: exchanges datagrams with the other members, applies membership views and
//! reports the fleet's state to operators.
//!
//! The membership protocol itself is in `laurelroute-membership`.

pub(crate) mod cli;
mod history;
mod learned_state;
pub(crate) mod replica;
pub mod table;

use history::History;
use laurelroute_core::gateway::Gateway;
use laurelroute_core::retry_io::retry_interrupted;
use laurelroute_handover::bans::BanRecord;
use laurelroute_membership::{Machine, MemberId, Nanos, Output, RejectReason, View, MS, TICK_INTERVAL};
use replica::LocalReplica;
use ring::hmac;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use table::FleetConfig;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// Maximum size of a datagram, authentication tag included, as the platform's protocol page sets it.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Length of the authentication tag: HMAC-SHA256 truncated to half, the shortest that RFC 2104, section 5, recommends.
const TAG_BYTES: usize = 16;
/// Datagrams read in one batch before other tasks get to run.
const RECEIVE_BATCH: usize = 64;
/// Delay before binding is retried while the old process still holds the port.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between log lines about a seat refused for the same reason.
const REFUSAL_LOG_INTERVAL: Nanos = 10_000 * MS;

/// Why a node cannot start as a fleet member.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The platform's settings do not allow traffic between nodes.
    #[error("`[fleet]`: the settings do not allow traffic between nodes (`caps.peers`)")]
    Forbidden,
    /// The operating system provides no random bytes.
    #[error("`[fleet]`: the operating system provides no random bytes")]
    Random,
    /// The history file cannot be opened.
    #[error("`fleet.history`: {0}")]
    History(std::io::Error),
}

/// This process's fleet membership.
pub(crate) struct FleetMember {
    config: FleetConfig,
    machine: RefCell<Machine>,
    replica: Rc<LocalReplica>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// The old process still holds the port during a takeover.
    waiting_for_port: Cell<bool>,
    history: RefCell<Option<History>>,
    /// When the refusal of a seat for a reason was last logged.
    refused: RefCell<BTreeMap<(MemberId, RejectReason), Nanos>>,
    /// The current view and when it was installed, for operators.
    current_view: RefCell<(Option<View>, Nanos)>,
    /// The last share of the fleet-wide limits passed to the gateway.
    share: RefCell<f64>,
    /// The last accusations recorded in the history.
    accused: RefCell<Vec<MemberId>>,
    /// Passes the fleet's bans on to the other process of a takeover, which does not have the port.
    on_ban: RefCell<Option<OnBan>>,
}

/// Called with each ban, and each lifted one, that the fleet has decided on.
type OnBan = Box<dyn Fn(BanRecord)>;

/// Joins the fleet configured in the operator's file.
pub(crate) fn start(
    gateway: &Rc<Gateway>,
    config: &FleetConfig,
    allowed: bool,
    listen: SocketAddr,
) -> Result<Rc<FleetMember>, FleetError> {
    if !allowed {
        return Err(FleetError::Forbidden);
    }
    let mut seed = [0; 16];
    ring::rand::SecureRandom::fill(&ring::rand::SystemRandom::new(), &mut seed)
        .map_err(|_| FleetError::Random)?;
    let history = config.history.as_deref().map(History::open).transpose().map_err(FleetError::History)?;
    let machine =
        Machine::new(&config.site, config.roster.clone(), config.own_seat, seed, gateway.clock.now());
    let replica_machine = laurelroute_replica::Machine::new(
        &config.site,
        &config.roster,
        config.own_seat,
        machine.incarnation(),
    );
    #[cfg(feature = "planted")]
    let (machine, replica_machine) = planted(machine, replica_machine);
    let replica = LocalReplica::new(
        replica_machine,
        crate::upgrade::link::runtime_path(listen, "replica"),
        gateway.clock.now(),
    );
    let member = Rc::new(FleetMember {
        config: config.clone(),
        machine: RefCell::new(machine),
        replica: Rc::new(replica),
        socket: RefCell::default(),
        waiting_for_port: Cell::default(),
        history: RefCell::new(history),
        refused: RefCell::default(),
        current_view: RefCell::default(),
        share: RefCell::new(-1.0),
        accused: RefCell::default(),
        on_ban: RefCell::default(),
    });
    member.record("start", "");
    spawn_local(member.clone().run(gateway.clone()));
    Ok(member)
}

/// For tests: plants the defect named in the environment.
#[cfg(feature = "planted")]
fn planted(
    mut machine: Machine,
    mut replica: laurelroute_replica::Machine,
) -> (Machine, laurelroute_replica::Machine) {
    use laurelroute_membership::defect::{Defect, Planted};
    use laurelroute_replica::defect as replica_defect;
    let defect_name = std::env::var("LAURELROUTE_PLANTED").unwrap_or_default();
    if let Some(defect) = Defect::ALL.into_iter().find(|d| format!("{d:?}") == defect_name) {
        machine.plant(Planted::some(defect));
    }
    if let Some(defect) = replica_defect::Defect::ALL.into_iter().find(|d| format!("{d:?}") == defect_name) {
        replica.plant(replica_defect::Planted::some(defect));
    }
    (machine, replica)
}

impl FleetMember {
    /// Sets what is called with each ban that the fleet has decided on.
    pub(crate) fn on_ban(&self, on_ban: impl Fn(BanRecord) + 'static) {
        self.on_ban.replace(Some(Box::new(on_ban)));
    }

    /// Binds the socket, then drives the membership and replica state machines for good.
    async fn run(self: Rc<Self>, gateway: Rc<Gateway>) {
        let socket = loop {
            match UdpSocket::bind(self.config.listen).await {
                Ok(socket) => break Rc::new(socket),
                // During a takeover the old process may still hold the port.
                Err(error) => tracing::debug!("fleet: {}: {error}", self.config.listen),
            }
            self.waiting_for_port.set(true);
            tokio::time::sleep(BIND_RETRY_INTERVAL).await;
        };
        if !self.waiting_for_port.replace(false) {
            // No old process has handed over what this node had learned.
            self.replica.machine.borrow_mut().request_snapshot();
        }
        self.socket.replace(Some(socket.clone()));
        // The old process has ended and no longer writes the replica's file.
        self.restore_replica(&gateway);
        let seats: BTreeMap<SocketAddr, MemberId> = self
            .config
            .addresses
            .iter()
            .enumerate()
            .map(|(seat, address)| (*address, seat as MemberId))
            .collect();
        let mut tick = tokio::time::interval(Duration::from_nanos(TICK_INTERVAL));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    let now = gateway.clock.now();
                    let outputs = self.machine.borrow_mut().tick(now);
                    self.apply_outputs(&gateway, outputs);
                    let outputs = self.replica.machine.borrow_mut().tick(now);
                    self.apply_replica_outputs(&gateway, outputs);
                    self.expire_reported_drains(&gateway, now);
                    self.update_share(&gateway, now);
                    self.record_accusations();
                    self.record_replica_digest();
                }
                ready = socket.readable() => {
                    if ready.is_err() {
                        continue;
                    }
                    for _ in 0..RECEIVE_BATCH {
                        let Ok((length, from)) = retry_interrupted(|| socket.try_recv_from(&mut bytes)) else { break };
                        let Some(seat) = seats.get(&from) else { continue };
                        let Some(body) = self.authenticate(&bytes[..length]) else { continue };
                        self.receive(&gateway, *seat, body);
                    }
                }
            }
        }
    }

    /// Passes a datagram to the state machine that it is for: a replica datagram has the high bit of its first byte
    /// set.
    fn receive(&self, gateway: &Rc<Gateway>, seat: MemberId, body: &[u8]) {
        let now = gateway.clock.now();
        if body.first().is_some_and(|version| version & 0x80 != 0) {
            let outputs = self.replica.machine.borrow_mut().receive(now, seat, body);
            return self.apply_replica_outputs(gateway, outputs);
        }
        let outputs = self.machine.borrow_mut().receive(now, seat, body);
        self.apply_outputs(gateway, outputs);
    }

    /// Sends a datagram, best effort: it is dropped where the socket has no room or the peer cannot be reached.
    fn send(&self, to: MemberId, bytes: Vec<u8>) {
        if let Some(socket) = &*self.socket.borrow() {
            let (sealed, address) = (self.seal(bytes), self.config.addresses[usize::from(to)]);
            let _ = retry_interrupted(|| socket.try_send_to(&sealed, address));
        }
    }

    /// Verifies a datagram's tag and returns its body; `None` where the tag is wrong or the datagram too long.
    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let Some(key) = &self.config.key else { return Some(bytes) };
        let (body, tag) = bytes.split_at(bytes.len().checked_sub(TAG_BYTES)?);
        let expected = hmac::sign(key, body);
        let equal = expected.as_ref()[..TAG_BYTES].iter().zip(tag).fold(0, |sum, (a, b)| sum | (a ^ b)) == 0;
        equal.then_some(body)
    }

    /// Appends the tag to an outgoing datagram.
    fn seal(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if let Some(key) = &self.config.key {
            let tag = hmac::sign(key, &bytes);
            bytes.extend_from_slice(&tag.as_ref()[..TAG_BYTES]);
        }
        bytes
    }

    /// Carries out what the membership state machine requests.
    fn apply_outputs(&self, gateway: &Rc<Gateway>, outputs: Vec<Output>) {
        let now = gateway.clock.now();
        for output in outputs {
            match output {
                Output::Send(to, bytes) => self.send(to, bytes),
                Output::ViewChanged(view) => {
                    let life = self.machine.borrow().incarnation();
                    let outputs = self.replica.machine.borrow_mut().apply_view(now, &view, life);
                    self.install_view(now, view);
                    self.apply_replica_outputs(gateway, outputs);
                }
                Output::Removed => {
                    tracing::warn!("fleet: this member was removed from the view and asks to rejoin");
                    self.record("out", "");
                    self.replica.machine.borrow_mut().leave();
                    *self.current_view.borrow_mut() = (None, now);
                }
                Output::Rejected(seat, reason) => self.log_refusal(now, seat, reason),
            }
        }
    }

    /// Records a new view and logs who joined and who was removed.
    fn install_view(&self, now: Nanos, view: View) {
        let name = |seat: &MemberId| self.config.roster.name(*seat).to_owned();
        let (previous, _) = self.current_view.replace((Some(view.clone()), now));
        let old = previous.map(|v| v.members).unwrap_or_default();
        let missing_from =
            |members: &BTreeMap<MemberId, u32>, other: &BTreeMap<MemberId, u32>| -> Vec<String> {
                members
                    .iter()
                    .filter(|(seat, life)| other.get(seat) != Some(life))
                    .map(|(seat, _)| name(seat))
                    .collect()
            };
        let (joined, removed) = (missing_from(&view.members, &old), missing_from(&old, &view.members));
        tracing::info!(
            "fleet: view {} with {} members; joined: {}; removed: {}",
            view.number,
            view.members.len(),
            name_list(&joined),
            name_list(&removed)
        );
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.view(&self.machine.borrow(), &view);
        }
    }

    /// Logs a refused datagram, at most once per [`REFUSAL_LOG_INTERVAL`] for the same seat and reason.
    fn log_refusal(&self, now: Nanos, seat: MemberId, reason: RejectReason) {
        let mut refused = self.refused.borrow_mut();
        if refused.get(&(seat, reason)).is_some_and(|at| now.saturating_sub(*at) < REFUSAL_LOG_INTERVAL) {
            return;
        }
        // One entry per seat and reason. Reasons contain versions received from the network, so the map has to be
        // bounded.
        if refused.len() >= 8 * self.config.addresses.len() {
            refused.clear();
        }
        refused.insert((seat, reason), now);
        tracing::warn!("fleet: refusing {}: {reason}", self.config.roster.name(seat));
    }

    /// Passes this member's share of the fleet-wide limits, which depends on its lease, to the gateway.
    fn update_share(&self, gateway: &Rc<Gateway>, now: Nanos) {
        let share = self.machine.borrow().share(now);
        if share != self.share.replace(share) {
            gateway.set_quota_share(share);
            self.record("share", &format!("{share:.9}"));
        }
    }

    /// Records this member's accusations in the history whenever they change.
    fn record_accusations(&self) {
        let accused = self.machine.borrow().suspects().to_vec();
        if *self.accused.borrow() != accused {
            let seats: Vec<String> = accused.iter().map(MemberId::to_string).collect();
            self.record("accuse", &seats.join(","));
            self.accused.replace(accused);
        }
    }

    /// Appends an event to the history, if there is one.
    fn record(&self, what: &str, value: &str) {
        if let Some(history) = &mut *self.history.borrow_mut() {
            history.record(&self.machine.borrow(), what, value);
        }
    }

    /// Reports the view, its members and their observed health, as JSON for operators.
    pub(crate) fn members_json(&self, now: Nanos) -> serde_json::Value {
        let machine = self.machine.borrow();
        let roster = &self.config.roster;
        let (view, installed_at) = &*self.current_view.borrow();
        let silent: BTreeMap<MemberId, Nanos> = machine.silent_times().collect();
        let members: Vec<_> = roster
            .ids()
            .map(|seat| {
                let life = view.as_ref().and_then(|v| v.members.get(&seat));
                let accusers: BTreeSet<String> =
                    machine.suspected_by(now, seat).iter().map(|s| roster.name(*s).to_owned()).collect();
                serde_json::json!({
                    "name": roster.name(seat),
                    "address": self.config.addresses[usize::from(seat)],
                    "member": life.is_some(),
                    "life": life,
                    "watched_here": silent.contains_key(&seat),
                    "silent_ms": silent.get(&seat).map(|s| s / MS),
                    "accused_by": accusers,
                })
            })
            .collect();
        serde_json::json!({
            "me": roster.name(machine.id()),
            "view": view.as_ref().map(|v| v.number),
            "rooted": view.as_ref().map(|v| v.is_primary),
            "since_ms": now.saturating_sub(*installed_at) / MS,
            "lease": machine.holds_lease(now),
            "share": machine.share(now),
            "pauses": machine.pause_count(),
            "learnt": self.replica.learned_from.borrow().as_ref().map(|(from, servers)| serde_json::json!({"from": from, "servers": servers})),
            "members": members,
        })
    }
}

/// Joins names for a log line, with a bound on their number.
fn name_list(names: &[String]) -> String {
    const MAX_NAMES: usize = 12;
    match names.len() {
        0 => "none".to_owned(),
        n if n > MAX_NAMES => format!("{} and {} more", names[..MAX_NAMES].join(" "), n - MAX_NAMES),
        _ => names.join(" "),
    }
}
