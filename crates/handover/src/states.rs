//! The two sides of a takeover as states: messages in, effects out.

use crate::bans::Word;
use crate::message::{Message, VERSION};
use crate::share;
use laurelroute_policy::interface::Nanos;
use std::collections::VecDeque;

/// How often each side says that it is there.
pub const BEAT: Nanos = 20_000_000;
/// An heir that has said nothing for so long of the elder's own running time is taken to be stopped: the elder accepts
/// beside it until it is heard again.
pub const PATIENCE: Nanos = 150_000_000;
/// An heir counts on its part for so long from a beat that the elder has answered. A beat shorter than [`PATIENCE`]: the
/// heir, which looks at each beat, gives up what it was told before the elder can take it back.
pub const LEASE: Nanos = PATIENCE - BEAT - BEAT / 2;
/// Beats whose answer may still come in time.
const OPEN_BEATS: usize = (LEASE / BEAT) as usize + 1;
/// What one tick adds to the silence at most. An elder that was itself stopped hears first what came meanwhile.
const COUNTED: Nanos = 2 * BEAT;

/// What a side wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send this.
    Say(Message),
    /// Send the listening sockets, with this part for the heir.
    Offer(usize),
    /// Take clients, or take none; the listening sockets stay open either way.
    Accept(bool),
    /// Take back the clients that were put down for the heir and that it has not picked up.
    Reclaim,
    /// Hold no more descriptors than this.
    Hold(usize),
    /// These words count; once they are kept, the other side is told so by this mark.
    Merge(u64, Vec<Word>),
    /// The other side has these words.
    Noted(u64),
    /// The other side speaks another version, or asks out of turn: nothing is offered to it.
    Foreign,
}

/// What both sides do with words on servers.
fn words(message: Message) -> Vec<Effect> {
    match message {
        Message::Bans { mark, words } => vec![Effect::Merge(mark, words)],
        Message::Noted { mark } => vec![Effect::Noted(mark)],
        // Nothing that this side waits for: a later version's, or out of turn.
        _ => Vec::new(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No heir.
    Alone,
    /// An heir has been given the listening sockets and does not take clients yet.
    Offered,
    /// The heir takes all new clients.
    Yielded,
    /// The heir has taken them, and says nothing now: both accept.
    Covering,
}

/// The process that serves and is to be replaced.
#[derive(Debug)]
pub struct Elder {
    total: usize,
    part: usize,
    stage: Stage,
    /// The heir says that it is there, and expects the same.
    beats: bool,
    /// How long it has not, in time that this process has run.
    silence: Nanos,
    ticked: Option<Nanos>,
    /// The heir's last beat: its number, and the descriptors that it held.
    heard: u64,
    heir_held: usize,
}

impl Elder {
    /// Alone, with all of the node's descriptors.
    pub fn new(total: usize) -> Elder {
        Elder {
            total,
            part: total,
            stage: Stage::Alone,
            beats: false,
            silence: 0,
            ticked: None,
            heard: 0,
            heir_held: 0,
        }
    }

    /// There is no heir.
    pub fn alone(&self) -> bool {
        self.stage == Stage::Alone
    }

    /// The heir says that it is there, and expects the same.
    pub fn beats(&self) -> bool {
        self.beats
    }

    /// The heir has taken all new clients; it may be silent now ([`Elder::covering`]).
    pub fn yielded(&self) -> bool {
        matches!(self.stage, Stage::Yielded | Stage::Covering)
    }

    /// The heir is silent, and this process accepts beside it.
    pub fn covering(&self) -> bool {
        self.stage == Stage::Covering
    }

    /// Takes what the heir says, while this process holds so many descriptors.
    pub fn hear(&mut self, message: Message, held: usize) -> Vec<Effect> {
        match (message, self.stage) {
            (Message::Take { version, beats }, Stage::Alone) if version == VERSION => {
                self.stage = Stage::Offered;
                self.beats = beats;
                self.part = share::serving(self.total, held);
                // Until it says otherwise.
                self.heir_held = self.total - self.part;
                vec![Effect::Hold(self.part), Effect::Offer(self.total - self.part)]
            }
            (Message::Take { .. }, _) => vec![Effect::Foreign],
            (Message::Ready, Stage::Offered) => {
                self.stage = Stage::Yielded;
                self.silence = 0;
                vec![Effect::Accept(false)]
            }
            (Message::Beat { number, held }, stage) => {
                (self.heard, self.heir_held, self.silence) = (number, held, 0);
                // What went before does not count as silence, either.
                self.ticked = None;
                let mut effects = vec![self.part_of_heir()];
                if stage == Stage::Covering {
                    self.stage = Stage::Yielded;
                    effects.push(Effect::Accept(false));
                }
                effects
            }
            (message, _) => words(message),
        }
    }

    /// Now and then: what this process no longer holds is the heir's, unless the heir has fallen silent.
    pub fn tick(&mut self, now: Nanos, held: usize) -> Vec<Effect> {
        let ran = now.saturating_sub(self.ticked.replace(now).unwrap_or(now)).min(COUNTED);
        if self.stage == Stage::Yielded {
            self.silence += ran;
            if self.beats && self.silence > PATIENCE {
                self.stage = Stage::Covering;
                self.part = share::covering(self.total, self.part, self.heir_held);
                return vec![
                    Effect::Hold(self.part),
                    Effect::Accept(true),
                    Effect::Reclaim,
                    self.part_of_heir(),
                ];
            }
            let part = share::yielded(self.part, held);
            if part != self.part {
                self.part = part;
                return vec![Effect::Hold(part), self.part_of_heir()];
            }
        }
        Vec::new()
    }

    fn part_of_heir(&self) -> Effect {
        Effect::Say(Message::Part { part: self.total - self.part, beat: self.heard })
    }

    /// The heir has gone: this process serves on as if there had been none.
    pub fn lost(&mut self) -> Vec<Effect> {
        *self = Elder::new(self.total);
        vec![Effect::Hold(self.total), Effect::Accept(true), Effect::Reclaim]
    }
}

/// The process that takes over.
#[derive(Debug)]
pub struct Heir {
    total: usize,
    part: usize,
    /// The elder says that it is there, and expects the same.
    beats: bool,
    /// Beats sent.
    number: u64,
    /// Words on its part count from the answer to this beat on: earlier ones may be from before a pause.
    valid: u64,
    /// When those beats went out that have had no answer yet, the oldest first.
    open: VecDeque<(u64, Nanos)>,
    /// When the newest one went out that has.
    answered: Nanos,
}

impl Heir {
    /// With the part that the elder's offer names, and whether the elder beats.
    pub fn new(total: usize, part: usize, beats: bool, now: Nanos) -> (Heir, Vec<Effect>) {
        let part = part.clamp(share::LEAST.min(total), total);
        let open = VecDeque::with_capacity(OPEN_BEATS);
        (Heir { total, part, beats, number: 0, valid: 0, open, answered: now }, vec![Effect::Hold(part)])
    }

    /// Takes what the elder says, while this process holds so many descriptors.
    pub fn hear(&mut self, message: Message, now: Nanos, held: usize) -> Vec<Effect> {
        // It may be an old word that is read before anything else after a pause.
        let mut effects = self.doubt(now, held);
        match message {
            Message::Part { part, beat } => {
                let counts = if self.beats { beat >= self.valid } else { part > self.part };
                if counts {
                    while let Some((_, at)) = self.open.front().filter(|(number, _)| *number <= beat) {
                        self.answered = *at;
                        self.open.pop_front();
                    }
                    self.part = part.min(self.total);
                    effects.push(Effect::Hold(self.part));
                }
            }
            message => effects.extend(words(message)),
        }
        effects
    }

    /// To be called each [`BEAT`]: says that this process is there.
    pub fn tick(&mut self, now: Nanos, held: usize) -> Vec<Effect> {
        let mut effects = self.doubt(now, held);
        if self.beats {
            self.number += 1;
            if self.open.len() == OPEN_BEATS {
                self.open.pop_front();
            }
            self.open.push_back((self.number, now));
            effects.push(Effect::Say(Message::Beat { number: self.number, held }));
        }
        effects
    }

    /// After a pause of its own, or of the elder's words, the elder may have taken back what this process does not hold.
    fn doubt(&mut self, now: Nanos, held: usize) -> Vec<Effect> {
        if !self.beats || now.saturating_sub(self.answered) <= LEASE {
            return Vec::new();
        }
        // The answer to the next beat has as long as any.
        self.answered = now;
        self.valid = self.number + 1;
        self.part = share::doubted(self.part, held);
        vec![Effect::Hold(self.part)]
    }

    /// The elder has gone.
    pub fn lost(&mut self) -> Vec<Effect> {
        (self.part, self.beats) = (self.total, false);
        vec![Effect::Hold(self.total)]
    }
}
