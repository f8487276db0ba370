//! Decodes the simulator's binary frames into batches of event records and encodes the replies as batches of action
//! records. Integers and floats are big-endian. Records have a fixed size; data of variable length follows them in
//! the frame's tail and is referenced by offset and length.

use laurelroute_policy::interface::{
    Action, AttemptOutcome, Endpoint, ListKind, LoadReport, Phase, Request, Server,
};
use laurelroute_policy::settings::LoadReportField;
use std::fmt;

/// Size of a frame header: clock (8 bytes), frame length (4) and number of records (4).
pub const HEADER_BYTES: usize = 16;
/// Size of an event record.
pub const EVENT_BYTES: usize = 48;
/// Size of an action record.
const ACTION_BYTES: usize = 24;
/// Size of a server entry in the tail of a list event.
const LIST_ENTRY_BYTES: usize = 24;

/// A malformed frame or record; `record` is the record's index in its frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    #[error("input ends inside a {part}: {received} of {expected} bytes")]
    Truncated { part: &'static str, received: usize, expected: usize },
    #[error("frame length {length} is too small for its header and {records} records")]
    Length { length: usize, records: usize },
    #[error("record {record}: unknown event code {code}")]
    UnknownEvent { record: usize, code: u8 },
    #[error("record {record}: unknown {field} {value}")]
    UnknownValue { record: usize, field: &'static str, value: u64 },
    #[error("record {record}: tail reference {offset}+{length} exceeds the tail of {tail} bytes")]
    Tail { record: usize, offset: usize, length: usize, tail: usize },
    #[error("record {record}: settings: {message}")]
    Settings { record: usize, message: String },
}

/// Up to four load values of a report in wire order, not yet assigned to fields; the first `count` are valid.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RawLoadReport {
    pub count: u8,
    pub values: [f32; 4],
}

/// A decoded event record; settings and messages borrow from the frame.
#[derive(Debug, PartialEq)]
pub enum EventRecord<'a> {
    Start {
        seed: u64,
        settings: &'a [u8],
    },
    Stop,
    List {
        kind: ListKind,
        servers: Vec<Server>,
    },
    Request(Request),
    Message {
        from: u32,
        bytes: &'a [u8],
    },
    ClientDisconnected {
        request: u32,
    },
    Probed {
        server: Endpoint,
        outcome: AttemptOutcome,
        took: u64,
        report: RawLoadReport,
    },
    AttemptEnded {
        request: u32,
        server: Endpoint,
        attempt: u8,
        finished: bool,
        took: u64,
        outcome: AttemptOutcome,
        report: RawLoadReport,
    },
    StreamStarted {
        request: u32,
        attempt: u8,
        server: Endpoint,
        took: u64,
    },
    Timer {
        token: u32,
    },
}

fn bytes_at<const N: usize>(bytes: &[u8], offset: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[offset..offset + N]);
    out
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes(bytes_at(bytes, offset))
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes(bytes_at(bytes, offset))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_be_bytes(bytes_at(bytes, offset))
}

fn f32_at(bytes: &[u8], offset: usize) -> f32 {
    f32::from_be_bytes(bytes_at(bytes, offset))
}

fn endpoint_at(bytes: &[u8], offset: usize) -> Endpoint {
    Endpoint { address: bytes_at(bytes, offset), port: u16_at(bytes, offset + 4) }
}

/// A complete frame: the simulator's clock in nanoseconds, the event records and their tail.
pub struct Frame<'a> {
    pub clock: u64,
    bytes: &'a [u8],
    records: usize,
}

impl<'a> Frame<'a> {
    /// Returns the frame length that a header declares, header included. Fails if that length is too small for the
    /// declared number of records.
    pub fn declared_length(header: &[u8; HEADER_BYTES]) -> Result<usize, WireError> {
        let (length, records) = (u32_at(header, 8) as usize, u32_at(header, 12) as usize);
        match records.checked_mul(EVENT_BYTES).and_then(|bytes| bytes.checked_add(HEADER_BYTES)) {
            Some(min_length) if min_length <= length => Ok(length),
            _ => Err(WireError::Length { length, records }),
        }
    }

    /// Checks the length of one frame, header included. Records are decoded by [`Frame::record`].
    pub fn new(bytes: &'a [u8]) -> Result<Self, WireError> {
        if bytes.len() < HEADER_BYTES {
            return Err(WireError::Truncated {
                part: "frame header",
                received: bytes.len(),
                expected: HEADER_BYTES,
            });
        }
        let length = Self::declared_length(&bytes_at(bytes, 0))?;
        if bytes.len() != length {
            return Err(WireError::Truncated { part: "frame", received: bytes.len(), expected: length });
        }
        Ok(Frame { clock: u64_at(bytes, 0), bytes, records: u32_at(bytes, 12) as usize })
    }

    /// Returns the number of event records.
    pub fn len(&self) -> usize {
        self.records
    }

    /// Resolves the tail reference at `position` in a record: an offset in bytes, then a number of items of
    /// `item_bytes` each.
    fn tail(&self, record: usize, position: usize, item_bytes: usize) -> Result<&'a [u8], WireError> {
        let bytes = &self.bytes[HEADER_BYTES + record * EVENT_BYTES..];
        let (offset, length) = (u32_at(bytes, position) as usize, u32_at(bytes, position + 4) as usize);
        let tail = &self.bytes[HEADER_BYTES + self.records * EVENT_BYTES..];
        length
            .checked_mul(item_bytes)
            .and_then(|bytes| bytes.checked_add(offset))
            .and_then(|end| tail.get(offset..end))
            .ok_or(WireError::Tail { record, offset, length, tail: tail.len() })
    }

    /// Decodes the record at index `record` and returns the instance it is addressed to and the event.
    pub fn record(&self, record: usize) -> Result<(u32, EventRecord<'a>), WireError> {
        let bytes =
            &self.bytes[HEADER_BYTES + record * EVENT_BYTES..HEADER_BYTES + (record + 1) * EVENT_BYTES];
        let outcome = |offset| outcome(u16_at(bytes, offset), record);
        let event = match bytes[0] {
            50 => EventRecord::Start { seed: u64_at(bytes, 5), settings: self.tail(record, 13, 1)? },
            80 => EventRecord::Stop,
            90 => {
                EventRecord::List { kind: list_kind(bytes[9], record)?, servers: self.list_entries(record)? }
            }
            10 => EventRecord::Request(request(bytes)),
            60 => EventRecord::Message { from: u32_at(bytes, 5), bytes: self.tail(record, 9, 1)? },
            40 => EventRecord::ClientDisconnected { request: u32_at(bytes, 5) },
            30 => EventRecord::Probed {
                server: endpoint_at(bytes, 5),
                outcome: outcome(11)?,
                took: u64_at(bytes, 13),
                report: report(bytes, 21),
            },
            100 => EventRecord::AttemptEnded {
                request: u32_at(bytes, 5),
                server: endpoint_at(bytes, 9),
                attempt: bytes[15],
                finished: bytes[16] != 0,
                took: u64_at(bytes, 17),
                outcome: outcome(25)?,
                report: report(bytes, 27),
            },
            20 => EventRecord::StreamStarted {
                request: u32_at(bytes, 5),
                attempt: bytes[9],
                server: endpoint_at(bytes, 10),
                took: u64_at(bytes, 16),
            },
            70 => EventRecord::Timer { token: u32_at(bytes, 5) },
            code => return Err(WireError::UnknownEvent { record, code }),
        };
        Ok((u32_at(bytes, 1), event))
    }

    /// Decodes the server entries that a list record refers to.
    fn list_entries(&self, record: usize) -> Result<Vec<Server>, WireError> {
        self.tail(record, 10, LIST_ENTRY_BYTES)?
            .chunks_exact(LIST_ENTRY_BYTES)
            .map(|entry| {
                Ok(Server {
                    endpoint: endpoint_at(entry, 0),
                    zone: entry[6],
                    kind: u16_at(entry, 7),
                    cell: u16_at(entry, 9),
                    phase: match entry[11] {
                        0 => Phase::Removed,
                        1 => Phase::Ready,
                        2 => Phase::Draining,
                        value => {
                            return Err(WireError::UnknownValue {
                                record,
                                field: "phase",
                                value: value.into(),
                            });
                        }
                    },
                    size: f32_at(entry, 12),
                    started_at: u64_at(entry, 16),
                })
            })
            .collect()
    }
}

fn list_kind(value: u8, record: usize) -> Result<ListKind, WireError> {
    match value {
        0 => Ok(ListKind::Changes),
        1 => Ok(ListKind::Full),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Failed),
        value => Err(WireError::UnknownValue { record, field: "list kind", value: value.into() }),
    }
}

fn outcome(value: u16, record: usize) -> Result<AttemptOutcome, WireError> {
    match value {
        0 => Ok(AttemptOutcome::Ok),
        13 => Ok(AttemptOutcome::Error),
        8 => Ok(AttemptOutcome::Rejected),
        4 => Ok(AttemptOutcome::TimedOut),
        14 => Ok(AttemptOutcome::ConnectFailed),
        10 => Ok(AttemptOutcome::Reset),
        1 => Ok(AttemptOutcome::Cancelled),
        9 => Ok(AttemptOutcome::NotSent),
        value => Err(WireError::UnknownValue { record, field: "outcome code", value: value.into() }),
    }
}

fn request(bytes: &[u8]) -> Request {
    let options = u16_at(bytes, 38);
    Request {
        id: u32_at(bytes, 5),
        class: bytes[9],
        tenant: u32_at(bytes, 10),
        key: u64_at(bytes, 14),
        deadline: u64_at(bytes, 22),
        work_hint: (options & 1 != 0).then(|| u64_at(bytes, 30)),
        is_retry: options & 2 != 0,
        is_write: options & 4 != 0,
        split_position: 0,
    }
}

fn report(bytes: &[u8], offset: usize) -> RawLoadReport {
    let mut values = [0.0; 4];
    for (index, value) in values.iter_mut().enumerate() {
        *value = f32_at(bytes, offset + 1 + 4 * index);
    }
    RawLoadReport { count: bytes[offset], values }
}

impl RawLoadReport {
    /// Assigns the values to the instance's list of report fields, in order. Returns `None` for an empty report and
    /// leaves out values that are not finite.
    pub fn load_report(&self, fields: &[LoadReportField]) -> Option<LoadReport> {
        if self.count == 0 {
            return None;
        }
        let mut report = LoadReport::default();
        for (field, &value) in fields.iter().zip(&self.values[..usize::from(self.count).min(4)]) {
            let value = Some(value).filter(|number| number.is_finite());
            match field {
                LoadReportField::Concurrent => report.concurrent = value,
                LoadReportField::Queued => report.queued = value,
                LoadReportField::Utilisation => report.utilisation = value,
                LoadReportField::ServiceMs => report.service_ms = value,
                LoadReportField::Rate => report.rate = value,
                LoadReportField::ErrorRate => report.error_rate = value,
                LoadReportField::Unknown => {}
            }
        }
        Some(report)
    }
}

/// Encodes the actions of one batch: fixed-size records, then the tail they refer to.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Reply({} records)", self.count)
    }
}

impl Reply {
    /// Appends an action record of `instance`.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let mut out = [0u8; ACTION_BYTES];
        let put = |out: &mut [u8; ACTION_BYTES], offset: usize, bytes: &[u8]| {
            out[offset..offset + bytes.len()].copy_from_slice(bytes);
        };
        let put_endpoint = |out: &mut [u8; ACTION_BYTES], offset: usize, endpoint: &Endpoint| {
            put(out, offset, &endpoint.address);
            put(out, offset + 4, &endpoint.port.to_be_bytes());
        };
        put(&mut out, 1, &instance.to_be_bytes());
        match action {
            Action::Send { request, server, timeout } => {
                out[0] = 100;
                put(&mut out, 5, &request.to_be_bytes());
                put_endpoint(&mut out, 9, server);
                put(&mut out, 15, &timeout.to_be_bytes());
            }
            Action::Refuse { request, retry_after } => {
                out[0] = 40;
                put(&mut out, 5, &request.to_be_bytes());
                put(&mut out, 9, &retry_after.to_be_bytes());
            }
            Action::Fail { request } => {
                out[0] = 10;
                put(&mut out, 5, &request.to_be_bytes());
            }
            Action::Cancel { request, attempt } => {
                out[0] = 20;
                put(&mut out, 5, &request.to_be_bytes());
                out[9] = *attempt;
            }
            Action::Probe { server } => {
                out[0] = 30;
                put_endpoint(&mut out, 5, server);
            }
            Action::SendToPeer { to, bytes } => {
                out[0] = 60;
                put(&mut out, 5, &to.unwrap_or(u32::MAX).to_be_bytes());
                self.put_in_tail(&mut out, 9, bytes);
            }
            Action::Subscribe => {
                out[0] = 80;
                out[5] = 1;
            }
            Action::FetchList => out[0] = 70,
            Action::StartTimer { after, token } => {
                out[0] = 90;
                put(&mut out, 5, &after.to_be_bytes());
                put(&mut out, 13, &token.to_be_bytes());
            }
            Action::Log { text } => {
                out[0] = 120;
                self.put_in_tail(&mut out, 5, text.as_bytes());
            }
        }
        self.records.extend_from_slice(&out);
        self.count += 1;
    }

    /// Appends `bytes` to the tail and writes the offset and length of the reference at `position` in the record.
    fn put_in_tail(&mut self, out: &mut [u8; ACTION_BYTES], position: usize, bytes: &[u8]) {
        out[position..position + 4].copy_from_slice(&(self.tail.len() as u32).to_be_bytes());
        out[position + 4..position + 8].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// Returns the encoded reply (number of actions, length in bytes, records, tail) and clears it for the next batch.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        let length = 8 + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(length);
        out.extend_from_slice(&self.count.to_be_bytes());
        out.extend_from_slice(&(length as u32).to_be_bytes());
        out.append(&mut self.records);
        out.append(&mut self.tail);
        self.count = 0;
        out
    }
}
