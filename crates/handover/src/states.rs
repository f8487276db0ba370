//! The state machines of the two sides of a takeover: messages and times in, effects out.

use crate::bans::BanRecord;
use crate::message::{Message, VERSION};
use crate::share;
use laurelroute_policy::interface::Nanos;
use std::collections::VecDeque;

/// How often the new process sends a heartbeat.
pub const HEARTBEAT_INTERVAL: Nanos = 20_000_000;
/// A new process that has sent nothing for this long of the old process's running time is taken to be stopped: the old
/// process accepts beside it until it receives a heartbeat again.
pub const SILENCE_TIMEOUT: Nanos = 150_000_000;
/// How long the new process may rely on its quota, counted from the sending of the last heartbeat that was answered. It
/// is shorter than [`SILENCE_TIMEOUT`] by more than a heartbeat, the interval at which the new process checks it, so
/// that the new process gives up its quota before the old one can reclaim it.
pub const QUOTA_LEASE: Nanos = SILENCE_TIMEOUT - HEARTBEAT_INTERVAL - HEARTBEAT_INTERVAL / 2;
/// Heartbeats whose answers may still come within the lease.
const MAX_PENDING_HEARTBEATS: usize = (QUOTA_LEASE / HEARTBEAT_INTERVAL) as usize + 1;
/// The most that one tick adds to the silence, so that an old process that was itself stopped first reads what has come
/// meanwhile.
const MAX_SILENCE_PER_TICK: Nanos = 2 * HEARTBEAT_INTERVAL;

/// What the caller of a state machine has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send this message to the other process.
    Send(Message),
    /// Send the listening sockets, with this quota for the new process.
    Offer(usize),
    /// Accept clients, or pause accepting; the listening sockets stay open either way.
    Accept(bool),
    /// Take back the idle connections that the new process has not received from the queue, and report their number to
    /// [`OldProcess::connections_reclaimed`].
    Reclaim,
    /// Hold no more descriptors than this.
    SetQuota(usize),
    /// Merge these ban records and acknowledge the batch of this number once they are stored.
    MergeBans(u64, Vec<BanRecord>),
    /// The other process has acknowledged the batch of ban records of this number.
    BansAcked(u64),
    /// The other process has another version or has sent a request out of order: it gets no offer.
    RejectPeer,
}

/// The effects of messages on bans, which both sides handle alike.
fn handle_bans(message: Message) -> Vec<Effect> {
    match message {
        Message::Bans { batch, records } => vec![Effect::MergeBans(batch, records)],
        Message::BansAck { batch } => vec![Effect::BansAcked(batch)],
        // A later version's message, or one out of order: ignored.
        _ => Vec::new(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// There is no new process.
    Alone,
    /// A new process has been offered the listening sockets and does not accept yet.
    Offered,
    /// The new process accepts all new clients.
    Yielded,
    /// The new process has accepted clients and is silent now: both accept.
    Fallback,
    /// The new process has accepted clients and is told to end: this one accepts, whether that one is heard or not.
    Resumed,
}

/// The process that serves and is to be replaced.
#[derive(Debug)]
pub struct OldProcess {
    total: usize,
    quota: usize,
    stage: Stage,
    /// The new process sends heartbeats and expects answers.
    peer_sends_heartbeats: bool,
    /// The new process understands server lists.
    peer_shares_lists: bool,
    /// How long it has sent none, in this process's running time.
    silence: Nanos,
    last_tick: Option<Nanos>,
    /// The number of the new process's last heartbeat.
    last_heartbeat: u64,
    /// The most descriptors that the new process holds from that heartbeat on ([`base_limit`]).
    peer_base_limit: isize,
    /// How many idle connections it had received by then.
    peer_received: usize,
    /// Idle connections that were put into the queue for it so far.
    given: usize,
}

impl OldProcess {
    /// No new process yet: this one may use all of the node's descriptors.
    pub fn new(total: usize) -> OldProcess {
        OldProcess {
            total,
            quota: total,
            stage: Stage::Alone,
            peer_sends_heartbeats: false,
            peer_shares_lists: false,
            silence: 0,
            last_tick: None,
            last_heartbeat: 0,
            peer_base_limit: 0,
            peer_received: 0,
            given: 0,
        }
    }

    /// Whether there is no new process.
    pub fn is_alone(&self) -> bool {
        self.stage == Stage::Alone
    }

    /// Whether the new process sends heartbeats and expects answers.
    pub fn peer_sends_heartbeats(&self) -> bool {
        self.peer_sends_heartbeats
    }

    /// Whether the new process understands server lists.
    pub fn peer_shares_lists(&self) -> bool {
        self.peer_shares_lists
    }

    /// Whether the new process has begun to accept clients; it may be silent now ([`OldProcess::in_fallback`]).
    pub fn has_yielded(&self) -> bool {
        matches!(self.stage, Stage::Yielded | Stage::Fallback)
    }

    /// Whether the new process is silent and this one accepts beside it.
    pub fn in_fallback(&self) -> bool {
        self.stage == Stage::Fallback
    }

    /// Handles a message of the new process while this one holds `held` descriptors.
    pub fn handle(&mut self, message: Message, held: usize) -> Vec<Effect> {
        match (message, self.stage) {
            (Message::TakeoverRequest { version, sends_heartbeats, shares_lists }, Stage::Alone)
                if version == VERSION =>
            {
                self.stage = Stage::Offered;
                (self.peer_sends_heartbeats, self.peer_shares_lists) = (sends_heartbeats, shares_lists);
                self.quota = share::old_serving(self.total, held);
                // Until the first heartbeat reports the actual number.
                self.peer_base_limit = base_limit(self.total, self.total - self.quota, 0);
                vec![Effect::SetQuota(self.quota), Effect::Offer(self.total - self.quota)]
            }
            (Message::TakeoverRequest { .. }, _) => vec![Effect::RejectPeer],
            (Message::Ready, Stage::Offered) => {
                self.stage = Stage::Yielded;
                self.silence = 0;
                vec![Effect::Accept(false)]
            }
            (Message::Ending, Stage::Offered | Stage::Yielded | Stage::Fallback) => {
                self.stage = Stage::Resumed;
                vec![Effect::Accept(true), Effect::Reclaim]
            }
            (Message::Heartbeat { number, held, received }, stage) => {
                (self.last_heartbeat, self.silence) = (number, 0);
                // An older program does not report this: it is assumed to have received all.
                self.peer_received = received.unwrap_or(self.given);
                self.peer_base_limit = base_limit(self.total, held, self.peer_received);
                // The time before this heartbeat does not count as silence either.
                self.last_tick = None;
                let mut effects = vec![self.grant_quota()];
                if stage == Stage::Fallback {
                    self.stage = Stage::Yielded;
                    effects.push(Effect::Accept(false));
                }
                effects
            }
            (message, _) => handle_bans(message),
        }
    }

    /// To be called periodically: grants descriptors that this process no longer holds to the new one, and accepts
    /// again where the new process has been silent for too long.
    pub fn tick(&mut self, now: Nanos, held: usize) -> Vec<Effect> {
        let last_tick = self.last_tick.replace(now).unwrap_or(now);
        let elapsed = now.saturating_sub(last_tick).min(MAX_SILENCE_PER_TICK);
        if self.stage == Stage::Yielded {
            self.silence += elapsed;
            if self.peer_sends_heartbeats && self.silence > SILENCE_TIMEOUT {
                self.stage = Stage::Fallback;
                return vec![Effect::Accept(true), Effect::Reclaim];
            }
            let quota = share::old_yielded(self.quota, held);
            if quota != self.quota {
                self.quota = quota;
                return vec![Effect::SetQuota(quota), self.grant_quota()];
            }
        }
        Vec::new()
    }

    /// Idle connections have been put into the queue for the new process: they no longer count against this process's
    /// quota, and the new process holds them beyond the quota that it was granted.
    pub fn connections_given(&mut self, connections: usize) -> Vec<Effect> {
        self.given += connections;
        self.quota = self.quota.saturating_sub(connections);
        vec![Effect::SetQuota(self.quota)]
    }

    /// Idle connections have been taken back from the queue ([`Effect::Reclaim`]).
    pub fn connections_reclaimed(&mut self, connections: usize) -> Vec<Effect> {
        if !matches!(self.stage, Stage::Fallback | Stage::Resumed) {
            return Vec::new();
        }
        self.given = self.given.saturating_sub(connections);
        let max_peer_held = limit_with_connections(self.peer_base_limit, self.given);
        self.quota = share::old_fallback(self.total, self.quota + connections, max_peer_held);
        vec![Effect::SetQuota(self.quota), self.grant_quota()]
    }

    fn grant_quota(&self) -> Effect {
        // The new process may receive these from the queue in addition to what it opens itself.
        let queued = self.given.saturating_sub(self.peer_received);
        Effect::Send(Message::Quota {
            quota: (self.total - self.quota).saturating_sub(queued),
            heartbeat: self.last_heartbeat,
        })
    }

    /// The new process has ended: this one goes on as if there had been none.
    pub fn peer_lost(&mut self) -> Vec<Effect> {
        *self = OldProcess::new(self.total);
        vec![Effect::SetQuota(self.total), Effect::Accept(true), Effect::Reclaim]
    }
}

/// The process that takes over.
#[derive(Debug)]
pub struct NewProcess {
    total: usize,
    /// The quota that the old process has granted.
    quota: usize,
    /// The old process expects heartbeats and answers them.
    peer_sends_heartbeats: bool,
    /// Heartbeats sent.
    heartbeats_sent: u64,
    /// Only quotas that answer this heartbeat or a later one are valid: earlier ones may have been sent before a pause.
    min_valid_heartbeat: u64,
    /// Heartbeats without an answer yet, the oldest first.
    pending: VecDeque<PendingHeartbeat>,
    /// When the latest heartbeat that was answered was sent.
    answered_sent_at: Nanos,
    /// The lowest base limit of that heartbeat and of later ones that are no longer in `pending` ([`base_limit`]).
    min_base_limit: isize,
    /// Idle connections that this process has received.
    received: usize,
    /// The quota in the last [`Effect::SetQuota`].
    effective_quota: usize,
}

/// A heartbeat that has been sent and not answered.
#[derive(Clone, Copy, Debug)]
struct PendingHeartbeat {
    number: u64,
    sent_at: Nanos,
    base_limit: isize,
}

/// The most descriptors that the new process holds after a heartbeat that reported `held` descriptors and `received`
/// idle connections, without any idle connections: the old process counts these itself as it puts them into the queue.
/// [`limit_with_connections`] adds them.
fn base_limit(total: usize, held: usize, received: usize) -> isize {
    share::max_held_after_heartbeat(total, held) as isize - received as isize
}

fn limit_with_connections(base_limit: isize, connections: usize) -> usize {
    usize::try_from(base_limit + connections as isize).unwrap_or(0)
}

impl NewProcess {
    /// Starts with the quota of the old process's offer, and whether the old process answers heartbeats.
    pub fn new(
        total: usize,
        quota: usize,
        peer_sends_heartbeats: bool,
        now: Nanos,
    ) -> (NewProcess, Vec<Effect>) {
        let quota = quota.clamp(share::MIN_DESCRIPTORS.min(total), total);
        let pending = VecDeque::with_capacity(MAX_PENDING_HEARTBEATS);
        let min_base_limit = base_limit(total, quota, 0);
        let process = NewProcess {
            total,
            quota,
            peer_sends_heartbeats,
            heartbeats_sent: 0,
            min_valid_heartbeat: 0,
            pending,
            answered_sent_at: now,
            min_base_limit,
            received: 0,
            effective_quota: quota,
        };
        (process, vec![Effect::SetQuota(quota)])
    }

    /// Handles a message of the old process while this one holds `held` descriptors.
    pub fn handle(&mut self, message: Message, now: Nanos, held: usize) -> Vec<Effect> {
        // After a pause the first message read may be an old one.
        let mut effects = self.expire_lease(now, held);
        match message {
            Message::Quota { quota, heartbeat } => {
                let valid = if self.peer_sends_heartbeats {
                    heartbeat >= self.min_valid_heartbeat
                } else {
                    quota > self.quota
                };
                if valid {
                    while let Some(answered) = self.pending.front().filter(|p| p.number <= heartbeat) {
                        (self.answered_sent_at, self.min_base_limit) =
                            (answered.sent_at, answered.base_limit);
                        self.pending.pop_front();
                    }
                    self.quota = quota.min(self.total);
                    effects.extend(self.update_effective_quota());
                }
            }
            message => effects.extend(handle_bans(message)),
        }
        effects
    }

    /// This process has received idle connections, which the old process knows of and no longer counts against its own
    /// quota: they bring their share of the quota with them.
    pub fn connections_received(&mut self, connections: usize) -> Vec<Effect> {
        self.received += connections;
        self.quota = (self.quota + connections).min(self.total);
        self.update_effective_quota().into_iter().collect()
    }

    /// Limits the quota to what the old process assumes at least. The old process may have received any of the
    /// heartbeats from the last answered one on, so the lowest of their limits counts.
    fn update_effective_quota(&mut self) -> Option<Effect> {
        let effective = match self.peer_sends_heartbeats {
            true => {
                let lowest = self.pending.iter().map(|p| p.base_limit).fold(self.min_base_limit, isize::min);
                self.quota.min(limit_with_connections(lowest, self.received))
            }
            false => self.quota,
        };
        (std::mem::replace(&mut self.effective_quota, effective) != effective)
            .then_some(Effect::SetQuota(effective))
    }

    /// To be called every [`HEARTBEAT_INTERVAL`]: sends a heartbeat.
    pub fn tick(&mut self, now: Nanos, held: usize) -> Vec<Effect> {
        let mut effects = self.expire_lease(now, held);
        if self.peer_sends_heartbeats {
            self.heartbeats_sent += 1;
            if self.pending.len() == MAX_PENDING_HEARTBEATS {
                let unanswered = self.pending.pop_front().map_or(self.min_base_limit, |p| p.base_limit);
                self.min_base_limit = self.min_base_limit.min(unanswered);
            }
            self.pending.push_back(PendingHeartbeat {
                number: self.heartbeats_sent,
                sent_at: now,
                base_limit: base_limit(self.total, held, self.received),
            });
            effects.extend(self.update_effective_quota());
            let (number, received) = (self.heartbeats_sent, Some(self.received));
            effects.push(Effect::Send(Message::Heartbeat { number, held, received }));
        }
        effects
    }

    /// Gives up the quota once its lease has expired: after a pause of this process, or of the old one's answers, the
    /// old process may have reclaimed all descriptors that this one does not hold.
    fn expire_lease(&mut self, now: Nanos, held: usize) -> Vec<Effect> {
        if !self.peer_sends_heartbeats || now.saturating_sub(self.answered_sent_at) <= QUOTA_LEASE {
            return Vec::new();
        }
        // The answer to the next heartbeat has the full lease to arrive in.
        self.answered_sent_at = now;
        self.min_valid_heartbeat = self.heartbeats_sent + 1;
        self.quota = share::new_lease_expired(self.quota, held);
        self.update_effective_quota().into_iter().collect()
    }

    /// The old process has ended: this one may use all of the node's descriptors.
    pub fn peer_lost(&mut self) -> Vec<Effect> {
        (self.quota, self.peer_sends_heartbeats, self.effective_quota) = (self.total, false, self.total);
        vec![Effect::SetQuota(self.total)]
    }
}
