//! The state machine of one member: takes datagrams and time, returns datagrams and events.

use crate::bootstrap::Bootstrap;
use crate::council::{Council, Message};
use crate::defect::{Defect, Planted};
use crate::failure_detector::{FailureDetector, HEARTBEAT_INTERVAL};
use crate::lease::Lease;
use crate::view::{quorum, Cut, MemberId, Roster, View};
use crate::wire::{Body, Datagram, Head, CHUNK_MEMBERS, MAX_SUSPECTS, VERSION};
use crate::{Incarnation, Nanos, MS, TICK_INTERVAL};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of members that are asked to probe a silent one, and that receive the first heartbeats of a new view.
const PROBE_HELPERS: usize = 3;
/// Interval at which a member outside the council requests the renewal of its lease.
const LEASE_INTERVAL: Nanos = 300 * MS;
/// Interval at which each council member asks all others to confirm the view.
const COUNCIL_LEASE_INTERVAL: Nanos = 600 * MS;
/// Minimum interval at which a member that is behind is notified, and one that is ahead is asked for its view.
const NOTIFY_INTERVAL: Nanos = 150 * MS;
/// Minimum interval at which a join request is forwarded to the council.
const JOIN_FORWARD_INTERVAL: Nanos = 200 * MS;
/// Lifetime of a join cookie; it is accepted for as long again after it has been replaced.
const COOKIE_LIFETIME: Nanos = 30_000 * MS;
/// How long a member of a view is used as the contact for joining it after its last datagram.
const SPONSOR_TIMEOUT: Nanos = 3_000 * MS;
/// Number of recent cuts that are kept for members that are behind.
const MAX_CUTS: usize = 8;
/// Interval at which a member without a lease sends heartbeats to some members outside its view, which may have
/// formed another one.
const OUTREACH_INTERVAL: Nanos = 1_000 * MS;
/// Interval at which unchanged suspicions are sent again.
const SUSPECT_INTERVAL: Nanos = 300 * MS;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// It has another version of the protocol.
    Version(u8),
    /// It belongs to another site.
    OtherSite,
    /// The sender has another roster.
    OtherRoster,
    /// It claims an ID that the roster has at another address, or is addressed to another member.
    AddressMismatch,
    /// The sender is an older incarnation of a current member.
    Incarnation,
}

impl std::fmt::Display for RejectReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RejectReason::Version(v) => {
                write!(f, "it uses protocol version {v}, this program {VERSION}")
            }
            RejectReason::OtherSite => f.write_str("it belongs to another site"),
            RejectReason::OtherRoster => f.write_str("its list of members differs"),
            RejectReason::AddressMismatch => f.write_str("its sender or receiver does not match the address"),
            RejectReason::Incarnation => f.write_str("it is from an older incarnation of the member"),
        }
    }
}

/// An action or event that the caller has to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram.
    Send(MemberId, Vec<u8>),
    /// A new view was installed.
    ViewChanged(View),
    /// This member is no longer in a view.
    Removed,
    /// A datagram of this sender was rejected.
    Rejected(MemberId, RejectReason),
}

/// A view that is being received in chunks.
#[derive(Debug)]
struct PartialView {
    view: (u64, u16),
    is_primary: bool,
    total: usize,
    members: BTreeMap<MemberId, Incarnation>,
}

/// The state machine of one member.
#[derive(Debug)]
pub struct Machine {
    site: u16,
    roster: Roster,
    tag: u16,
    me: MemberId,
    incarnation: Incarnation,
    random: Pcg64Mcg,
    planted: Planted,
    view: Option<View>,
    observers: Vec<MemberId>,
    council_members: Vec<MemberId>,
    council: Option<Council>,
    bootstrap: Bootstrap,
    detector: FailureDetector,
    lease: Lease,
    cuts: VecDeque<(u64, Cut)>,
    partial_view: Option<PartialView>,
    /// A member of a view that this one is not in, as the contact for joining, and when it was last heard from.
    sponsor: Option<(MemberId, Nanos)>,
    /// Council members whose ID a new incarnation uses, while the view has the old one.
    replaced: BTreeSet<MemberId>,
    cookies: (Nanos, [u64; 2]),
    /// The latest cookie received from each member.
    received_cookies: BTreeMap<MemberId, u64>,
    notified_at: BTreeMap<MemberId, Nanos>,
    requested_at: BTreeMap<MemberId, Nanos>,
    forwarded_at: BTreeMap<MemberId, Nanos>,
    /// When a datagram was last sent to each member. Any datagram serves as a heartbeat.
    sent_at: BTreeMap<MemberId, Nanos>,
    lease_requested_at: Option<Nanos>,
    suspects: (Nanos, Vec<MemberId>),
    outreach_at: Nanos,
    outputs: Vec<Output>,
}

impl Machine {
    /// Creates the member `me` of a site. All randomness derives from the seed, which has to differ at each start.
    pub fn new(site: &str, roster: Roster, me: MemberId, seed: [u8; 16], now: Nanos) -> Machine {
        let mut random = Pcg64Mcg::from_seed(seed);
        let (incarnation, cookies) = (random.next_u32(), [random.next_u64(), random.next_u64()]);
        let start = random.next_u32() as usize % roster.len();
        Machine {
            site: crate::view::stable_text_hash(site) as u16,
            tag: roster.tag(),
            roster,
            me,
            incarnation,
            random,
            planted: Planted::default(),
            view: None,
            observers: Vec::new(),
            council_members: Vec::new(),
            council: None,
            bootstrap: Bootstrap::new(now, start),
            detector: FailureDetector::default(),
            lease: Lease::default(),
            cuts: VecDeque::new(),
            partial_view: None,
            sponsor: None,
            replaced: BTreeSet::new(),
            cookies: (now, cookies),
            received_cookies: BTreeMap::new(),
            notified_at: BTreeMap::new(),
            requested_at: BTreeMap::new(),
            forwarded_at: BTreeMap::new(),
            sent_at: BTreeMap::new(),
            lease_requested_at: None,
            suspects: (0, Vec::new()),
            outreach_at: now,
            outputs: Vec::new(),
        }
    }

    /// Injects a defect, for tests.
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
        self.detector.plant(planted);
        if planted.is(Defect::LifeComesBack) {
            self.incarnation = Incarnation::from(self.me) + 1;
        }
    }

    /// This member's ID.
    pub fn id(&self) -> MemberId {
        self.me
    }

    /// This member's current incarnation. It changes when the member is removed from a view.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The current view, if any.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Whether the view is primary and this member holds a valid lease on it.
    pub fn holds_lease(&self, now: Nanos) -> bool {
        self.view.as_ref().is_some_and(|v| v.is_primary) && self.lease.age(now).is_some()
    }

    /// The share, from 0 to 1, of a common limit that this member may use now.
    pub fn share(&self, now: Nanos) -> f64 {
        let (is_primary, members) =
            self.view.as_ref().map_or((false, 1), |v| (v.is_primary, v.members.len()));
        if self.planted.is(Defect::SmallerCount) && self.view.is_some() {
            return 1.0 / members as f64;
        }
        self.lease.share(now, is_primary, members, self.roster.len())
    }

    /// For diagnostics: the members that this one observes, and how long each has been silent.
    pub fn silent_times(&self) -> impl Iterator<Item = (MemberId, Nanos)> + '_ {
        self.detector.silent_times()
    }

    /// For diagnostics: the observers that suspect a member. Empty unless this member is on the council.
    pub fn suspected_by(&self, now: Nanos, member: MemberId) -> BTreeSet<MemberId> {
        self.council.as_ref().map_or_else(BTreeSet::new, |c| c.suspected_by(now, member))
    }

    /// The members that this one suspects.
    pub fn suspects(&self) -> &[MemberId] {
        &self.suspects.1
    }

    /// Number of times that this process was paused.
    pub fn pause_count(&self) -> u64 {
        self.detector.pause_count()
    }

    fn send(&mut self, now: Nanos, to: MemberId, body: Body) {
        let (view, lineage, is_primary) =
            self.view.as_ref().map_or((0, 0, false), |v| (v.number, v.lineage, v.is_primary));
        let head = Head {
            version: VERSION,
            site: self.site.to_le_bytes(),
            roster: self.tag.to_le_bytes(),
            from: self.me,
            to,
            incarnation: self.incarnation.to_le_bytes(),
            view,
            lineage: lineage.to_le_bytes(),
            is_primary,
        };
        if let Some(bytes) = (Datagram { head, body }).encode() {
            self.sent_at.insert(to, now);
            self.outputs.push(Output::Send(to, bytes));
        }
    }

    fn dispatch(&mut self, now: Nanos, messages: Vec<Message>) {
        let mut messages: VecDeque<Message> = messages.into();
        while let Some(message) = messages.pop_front() {
            match message {
                Message::Unicast(member, body) if member == self.me => {
                    let detector = &self.detector;
                    if let Some(council) = &mut self.council {
                        messages.extend(
                            council.receive(now, member, body, |s| detector.objects_to_removal(now, s)),
                        );
                    }
                }
                Message::Unicast(member, body) => self.send(now, member, body),
                Message::Council(body) => self.send_to_council(now, &body),
                Message::Decided(cut) => return self.announce_decision(now, cut),
            }
        }
    }

    /// Sends the decision to the council. The member that decided may be removed by the cut itself, and then no other
    /// member would know of it.
    fn announce_decision(&mut self, now: Nanos, cut: Cut) {
        let Some(view) = self.view.clone() else { return };
        let number = view.number;
        self.view = Some(view.next(&cut, self.roster.len()));
        self.send_to_council(now, &Body::ViewChange(number, cut.clone()));
        self.view = Some(view);
        self.apply_cut(now, &cut);
    }

    fn send_to_council(&mut self, now: Nanos, body: &Body) {
        for member in self.council_members.clone() {
            if member != self.me {
                self.send(now, member, body.clone());
            }
        }
    }

    /// Installs the view that follows from a cut of the current one.
    fn apply_cut(&mut self, now: Nanos, cut: &Cut) {
        let Some(view) = &self.view else { return };
        let next = view.next(cut, self.roster.len());
        self.cuts.push_back((view.number, cut.clone()));
        if self.cuts.len() > MAX_CUTS {
            self.cuts.pop_front();
        }
        self.install_view(now, next);
    }

    fn install_view(&mut self, now: Nanos, view: View) {
        if !view.contains(self.me, self.incarnation) {
            self.leave(now);
            return;
        }
        let changed: Vec<MemberId> = match &self.view {
            Some(old) => {
                view.members.iter().filter(|(s, l)| old.members.get(s) != Some(l)).map(|(s, _)| *s).collect()
            }
            None => view.members.keys().copied().collect(),
        };
        changed.iter().for_each(|s| self.detector.forget(*s));
        let first = self.view.is_none() && view.number == 1;
        let before = self.view.is_some().then(|| self.share(now));
        // In a first view that this member helped to found, no shares of earlier views can be in use.
        self.lease = if first { Lease::default() } else { Lease::for_new_view(now, before) };
        let observers = view.observers();
        self.observers = observers.get(&self.me).into_iter().flatten().copied().collect();
        let observed = observers.iter().filter(|(_, by)| by.contains(&self.me)).map(|(s, _)| *s).collect();
        self.detector.observe(observed, |s| view.members.contains_key(&s));
        self.council_members = view.council();
        let ids = self.council_members.clone();
        self.council = ids.contains(&self.me).then(|| Council::new(self.me, &view, ids, observers));
        (self.partial_view, self.sponsor, self.lease_requested_at) = (None, None, None);
        self.replaced.clear();
        self.suspects = (0, Vec::new());
        self.view = Some(view.clone());
        self.outputs.push(Output::ViewChanged(view));
        // A few members learn of the view at once; heartbeats spread it further.
        let others: Vec<MemberId> = self.random_members(PROBE_HELPERS, self.me);
        others.into_iter().for_each(|s| self.send(now, s, Body::Heartbeat));
    }

    /// Leaves the view. This member rejoins as a new incarnation.
    fn leave(&mut self, now: Nanos) {
        self.incarnation = self.random.next_u32();
        self.view = None;
        self.council = None;
        self.council_members.clear();
        self.observers.clear();
        self.detector.observe(BTreeSet::new(), |_| false);
        self.lease = Lease::default();
        self.cuts.clear();
        // A member without a view suspects nobody.
        self.suspects = (now, Vec::new());
        self.partial_view = None;
        self.bootstrap = Bootstrap::new(now, usize::from(self.me));
        self.outputs.push(Output::Removed);
    }

    fn random_members(&mut self, count: usize, except: MemberId) -> Vec<MemberId> {
        let Some(view) = &self.view else { return Vec::new() };
        let mut ids: Vec<MemberId> =
            view.members.keys().copied().filter(|s| *s != self.me && *s != except).collect();
        for k in 0..count.min(ids.len()) {
            let other = k + self.random.next_u32() as usize % (ids.len() - k);
            ids.swap(k, other);
        }
        ids.truncate(count);
        ids
    }

    /// Whether the interval since the last message to a member has passed; if so, records a message as sent now.
    fn due(times: &mut BTreeMap<MemberId, Nanos>, now: Nanos, member: MemberId, interval: Nanos) -> bool {
        let due = times.get(&member).is_none_or(|at| now.saturating_sub(*at) >= interval);
        if due {
            times.insert(member, now);
        }
        due
    }

    /// Advances the time. Has to be called every [`TICK_INTERVAL`]; returns the outputs to handle.
    pub fn tick(&mut self, now: Nanos) -> Vec<Output> {
        if now.saturating_sub(self.cookies.0) >= COOKIE_LIFETIME {
            self.cookies = (now, [self.random.next_u64(), self.cookies.1[0]]);
        }
        let probe = self.detector.tick(now);
        if self.view.is_none() {
            self.find_view(now);
            return std::mem::take(&mut self.outputs);
        }
        for subject in probe {
            let helpers = self.random_members(PROBE_HELPERS, subject);
            helpers.into_iter().for_each(|h| self.send(now, h, Body::ProbeRequest(subject)));
        }
        self.send_suspicions(now);
        self.renew_lease(now);
        self.send_heartbeats(now);
        self.reach_out(now);
        let detector = &self.detector;
        if let Some(council) = &mut self.council {
            let messages = council.tick(now, |s| detector.heard_recently(now, s));
            self.dispatch(now, messages);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Sends a heartbeat to each observer that was sent nothing within [`HEARTBEAT_INTERVAL`].
    fn send_heartbeats(&mut self, now: Nanos) {
        for member in self.observers.clone() {
            if self
                .sent_at
                .get(&member)
                .is_none_or(|at| now.saturating_sub(*at) + TICK_INTERVAL / 2 >= HEARTBEAT_INTERVAL)
            {
                self.send(now, member, Body::Heartbeat);
            }
        }
    }

    fn reach_out(&mut self, now: Nanos) {
        if now.saturating_sub(self.outreach_at) < OUTREACH_INTERVAL || self.holds_lease(now) {
            return;
        }
        self.outreach_at = now;
        let Some(view) = &self.view else { return };
        let mut outside: Vec<MemberId> =
            self.roster.ids().filter(|s| !view.members.contains_key(s)).collect();
        for _ in 0..PROBE_HELPERS.min(outside.len()) {
            let member = outside.swap_remove(self.random.next_u32() as usize % outside.len());
            self.send(now, member, Body::Heartbeat);
        }
    }

    fn send_suspicions(&mut self, now: Nanos) {
        let mut suspects = self.detector.suspects(now);
        suspects.truncate(MAX_SUSPECTS);
        let again = now.saturating_sub(self.suspects.0) >= SUSPECT_INTERVAL;
        if suspects == self.suspects.1 && (suspects.is_empty() || !again) {
            return;
        }
        self.suspects = (now, suspects.clone());
        if let Some(council) = &mut self.council {
            council.record_suspicions(now, self.me, suspects.clone());
        }
        self.send_to_council(now, &Body::Suspect(suspects));
    }

    fn renew_lease(&mut self, now: Nanos) {
        if let Some(council) = self.council.as_ref().filter(|c| c.in_force()) {
            self.lease.renew(now, self.me, council.council());
        }
        let interval = if self.council.is_some() { COUNCIL_LEASE_INTERVAL } else { LEASE_INTERVAL };
        if self.lease_requested_at.is_some_and(|at| now.saturating_sub(at) + TICK_INTERVAL / 2 < interval) {
            return;
        }
        self.lease_requested_at = Some(now);
        let others: Vec<MemberId> = self.council_members.iter().copied().filter(|s| *s != self.me).collect();
        if self.council.is_some() {
            others.into_iter().for_each(|s| self.send(now, s, Body::LeaseRequest(now)));
        } else if !others.is_empty() {
            let one = others[self.random.next_u32() as usize % others.len()];
            self.send(now, one, Body::LeaseRequest(now));
        }
    }

    fn find_view(&mut self, now: Nanos) {
        let me = (self.me, self.incarnation);
        let roster = self.roster.len();
        if roster == 1 {
            return self.install_view(now, View::bootstrap(BTreeMap::from([me]), 1));
        }
        let sponsor =
            self.sponsor.filter(|(_, at)| now.saturating_sub(*at) < SPONSOR_TIMEOUT).map(|(s, _)| s);
        let mut calls = self.bootstrap.calls(now, self.me, roster);
        if !calls.is_empty() {
            calls.extend(sponsor.filter(|s| !calls.contains(s)));
        }
        for member in calls {
            let cookie = self.received_cookies.get(&member).copied().unwrap_or(0);
            self.send(now, member, Body::Join(cookie));
        }
        if sponsor.is_none() {
            if let Some((ids, digest)) = self.bootstrap.proposal(now, me, roster) {
                for member in ids {
                    if Self::due(&mut self.requested_at, now, member, NOTIFY_INTERVAL) {
                        self.send(now, member, Body::BootstrapProposal(digest));
                    }
                }
            }
        }
    }

    /// Handles a datagram received from the address of the member `at`; returns the outputs to handle.
    pub fn receive(&mut self, now: Nanos, at: MemberId, bytes: &[u8]) -> Vec<Output> {
        // The first byte of every version is the version number.
        match (Datagram::decode(bytes), bytes.first()) {
            (_, Some(version)) if *version != VERSION => {
                self.outputs.push(Output::Rejected(at, RejectReason::Version(*version)));
            }
            (Some(datagram), _) => self.handle(now, at, datagram),
            _ => {}
        }
        std::mem::take(&mut self.outputs)
    }

    fn handle(&mut self, now: Nanos, at: MemberId, Datagram { head, body }: Datagram) {
        let checks = [
            (head.site != self.site.to_le_bytes(), RejectReason::OtherSite),
            (head.roster != self.tag.to_le_bytes(), RejectReason::OtherRoster),
            (head.from != at || head.to != self.me, RejectReason::AddressMismatch),
        ];
        if let Some((_, reason)) = checks.into_iter().find(|(is, _)| *is) {
            return self.outputs.push(Output::Rejected(at, reason));
        }
        if at == self.me {
            return;
        }
        let incarnation = Incarnation::from_le_bytes(head.incarnation);
        match self.view.as_ref().map(|v| (v.number, v.lineage, v.is_primary, v.contains(at, incarnation))) {
            None => self.handle_without_view(now, at, &head, body),
            Some((number, lineage, is_primary, is_member)) => {
                if head.view != 0 && head.lineage() != lineage {
                    // The views come from different bootstraps. A member that holds a lease never gives up its view.
                    if !self.holds_lease(now) && (head.is_primary || !is_primary && head.lineage() > lineage)
                    {
                        self.leave(now);
                        self.sponsor = Some((at, now));
                    } else if Self::due(&mut self.notified_at, now, at, NOTIFY_INTERVAL) {
                        self.send(now, at, Body::Heartbeat);
                    }
                    return;
                }
                self.handle_in_view(now, at, incarnation, &head, body, (number, is_member));
            }
        }
    }

    fn handle_without_view(&mut self, now: Nanos, at: MemberId, head: &Head, body: Body) {
        let incarnation = Incarnation::from_le_bytes(head.incarnation);
        let me = (self.me, self.incarnation);
        let roster = self.roster.len();
        if head.view == 0 {
            self.bootstrap.record_unattached(now, at, incarnation);
            self.sponsor = self.sponsor.filter(|(s, _)| *s != at);
        } else {
            self.bootstrap.record_attached(at);
            self.sponsor = Some((at, now));
        }
        match body {
            Body::Challenge(cookie) => {
                self.received_cookies.insert(at, cookie);
                self.send(now, at, Body::Join(cookie));
            }
            Body::BootstrapProposal(digest)
                if head.view == 0 && self.bootstrap.accepts(now, me, roster, at, digest) =>
            {
                self.send(now, at, Body::BootstrapAccept(digest));
            }
            Body::BootstrapAccept(digest) if head.view == 0 => {
                if let Some(founders) = self.bootstrap.handle_accept(now, me, roster, at, digest) {
                    self.install_view(now, View::bootstrap(founders, roster));
                }
            }
            Body::ViewChunk(..) => self.receive_chunk(now, at, head, body),
            _ if head.view != 0 && Self::due(&mut self.requested_at, now, at, NOTIFY_INTERVAL) => {
                let from = self.received_members((head.view, head.lineage()));
                self.send(now, at, Body::ViewRequest(from));
            }
            _ => {}
        }
    }

    /// Number of members that have been received of a view.
    fn received_members(&mut self, view: (u64, u16)) -> u16 {
        self.partial_view.as_ref().filter(|f| f.view == view).map_or(0, |f| f.members.len() as u16)
    }

    fn handle_in_view(
        &mut self,
        now: Nanos,
        at: MemberId,
        incarnation: Incarnation,
        head: &Head,
        body: Body,
        (number, is_member): (u64, bool),
    ) {
        if is_member {
            self.detector.record_datagram(now, at);
        }
        if head.view > number {
            if matches!(body, Body::ViewChange(..) | Body::ViewChunk(..)) {
                return self.catch_up(now, at, head, body);
            }
            if Self::due(&mut self.requested_at, now, at, NOTIFY_INTERVAL) {
                let from = self.received_members((head.view, head.lineage()));
                self.send(now, at, Body::ViewRequest(from));
            }
            return;
        }
        if head.view == 0 && !is_member && self.view_is_stuck(at) {
            return self.leave(now);
        }
        match body {
            Body::ViewRequest(from) => return self.send_view(now, at, head.view, from),
            Body::Join(cookie) if !is_member => return self.handle_join(now, at, incarnation, cookie),
            _ => {}
        }
        if head.view < number {
            if !is_member && head.view == 0 {
                return;
            }
            if !is_member {
                self.outputs.push(Output::Rejected(at, RejectReason::Incarnation));
            }
            if Self::due(&mut self.notified_at, now, at, NOTIFY_INTERVAL) {
                self.send(now, at, Body::Heartbeat);
            }
            // A member's reports on others count only in its own view.
            if !matches!(body, Body::Probe(_) | Body::ProbeAck(_)) {
                return;
            }
        }
        if is_member {
            self.handle_from_member(now, at, incarnation, body);
        }
    }

    /// Records that a new incarnation uses the ID of a member; returns whether so many council members have been
    /// replaced that the view can never be changed again.
    fn view_is_stuck(&mut self, at: MemberId) -> bool {
        if self.council_members.contains(&at) {
            self.replaced.insert(at);
        }
        !quorum(&self.council_members, |s| !self.replaced.contains(&s))
    }

    fn handle_from_member(&mut self, now: Nanos, at: MemberId, incarnation: Incarnation, body: Body) {
        match body {
            Body::ProbeRequest(subject) => self.send(now, subject, Body::Probe(at)),
            Body::Probe(requester) => self.send(now, at, Body::ProbeAck(requester)),
            Body::ProbeAck(requester) => {
                self.send(now, requester, Body::ProbeResult(at, incarnation.to_le_bytes()))
            }
            Body::ProbeResult(member, incarnation) => {
                if self
                    .view
                    .as_ref()
                    .is_some_and(|v| v.contains(member, Incarnation::from_le_bytes(incarnation)))
                {
                    self.detector.record_alive(member);
                }
            }
            Body::Suspect(suspects) => {
                if let Some(council) = &mut self.council {
                    council.record_suspicions(now, at, suspects);
                }
            }
            Body::ForwardedJoin(member, incarnation) => {
                if let Some(council) = &mut self.council {
                    council.request_join(now, member, Incarnation::from_le_bytes(incarnation));
                }
            }
            Body::LeaseRequest(requested_at) => self.answer_lease_request(now, at, requested_at),
            Body::LeaseReply(requested_at, age) => {
                // A timestamp in the future is from before a restart of this process.
                if requested_at <= now {
                    self.lease.record_confirmation(at, requested_at);
                    if age != u32::MAX && self.council.is_none() {
                        self.lease.record_reply(requested_at, Nanos::from(age) * MS);
                    }
                }
            }
            body => {
                let detector = &self.detector;
                let Some(council) = &mut self.council else { return };
                let messages = council.receive(now, at, body, |s| detector.objects_to_removal(now, s));
                self.dispatch(now, messages);
            }
        }
    }

    /// Confirms the view if it is in force. A council member without a lease of its own still confirms it to another
    /// one.
    fn answer_lease_request(&mut self, now: Nanos, at: MemberId, requested_at: Nanos) {
        let Some(council) = &self.council else { return };
        if !council.in_force() {
            return;
        }
        let age = self.lease.age(now).and_then(|age| u32::try_from(age.div_ceil(MS)).ok());
        let to_council = council.council().contains(&at);
        match age {
            Some(age) => self.send(now, at, Body::LeaseReply(requested_at, age)),
            None if to_council => self.send(now, at, Body::LeaseReply(requested_at, u32::MAX)),
            None => {}
        }
    }

    fn handle_join(&mut self, now: Nanos, at: MemberId, incarnation: Incarnation, cookie: u64) {
        if !self.cookies.1.contains(&cookie) {
            let cookie = self.cookies.1[0];
            return self.send(now, at, Body::Challenge(cookie));
        }
        if !Self::due(&mut self.forwarded_at, now, at, JOIN_FORWARD_INTERVAL) {
            return;
        }
        if let Some(council) = &mut self.council {
            council.request_join(now, at, incarnation);
        }
        self.send_to_council(now, &Body::ForwardedJoin(at, incarnation.to_le_bytes()));
    }

    /// Sends the cut that follows view `theirs`, or a chunk of the current view.
    fn send_view(&mut self, now: Nanos, at: MemberId, their_number: u64, from: u16) {
        if let Some((_, cut)) = self.cuts.iter().find(|(number, _)| *number == their_number && from == 0) {
            let cut = cut.clone();
            return self.send(now, at, Body::ViewChange(their_number, cut));
        }
        let Some(view) = &self.view else { return };
        let members = view.members.iter().skip(usize::from(from)).take(CHUNK_MEMBERS);
        let chunk = members.map(|(member, incarnation)| (*member, incarnation.to_le_bytes())).collect();
        let total = view.members.len() as u16;
        self.send(now, at, Body::ViewChunk(from, total, chunk));
    }

    fn catch_up(&mut self, now: Nanos, at: MemberId, head: &Head, body: Body) {
        match body {
            Body::ViewChange(base, cut) => {
                if self.view.as_ref().is_none_or(|v| v.number != base) {
                    return;
                }
                self.apply_cut(now, &cut);
                if self.view.as_ref().is_some_and(|v| v.number < head.view) {
                    self.send(now, at, Body::ViewRequest(0));
                }
            }
            body => self.receive_chunk(now, at, head, body),
        }
    }

    fn receive_chunk(&mut self, now: Nanos, at: MemberId, head: &Head, body: Body) {
        let Body::ViewChunk(from, total, members) = body else { return };
        let view = (head.view, head.lineage());
        if head.view == 0 || usize::from(total) > self.roster.len() {
            return;
        }
        if self.partial_view.as_ref().is_none_or(|f| f.view != view) {
            let newer = self.partial_view.as_ref().is_none_or(|f| f.view.0 < view.0 || f.view.1 != view.1);
            if !newer || from != 0 {
                return;
            }
            let (is_primary, total) = (head.is_primary, usize::from(total));
            self.partial_view = Some(PartialView { view, is_primary, total, members: BTreeMap::new() });
        }
        let Some(partial_view) = &mut self.partial_view else { return };
        if usize::from(from) != partial_view.members.len() {
            return;
        }
        partial_view.members.extend(members.iter().map(|(s, l)| (*s, Incarnation::from_le_bytes(*l))));
        if partial_view.members.len() < partial_view.total {
            let next = partial_view.members.len() as u16;
            return self.send(now, at, Body::ViewRequest(next));
        }
        let Some(PartialView { view: (number, lineage), is_primary, members, .. }) = self.partial_view.take()
        else {
            return;
        };
        let view = View { number, lineage, is_primary, members };
        if view.contains(self.me, self.incarnation) || self.view.is_some() {
            self.install_view(now, view);
        }
    }
}
