//! Messages between forwarders and planners (Protocol Buffers, proto3). Field numbers are never reused, and unknown
//! fields are
//! skipped, so that adjacent versions interoperate.
//!
//! Bounds on lists and names are checked by the receiver of a message, not here.

use prost::Message;

/// Oldest protocol version that is accepted.
pub const OLDEST_VERSION: u32 = 1;
/// Newest protocol version that is supported.
pub const NEWEST_VERSION: u32 = 1;
/// Largest message in bytes; a full plan of 10,000 servers takes about half of it.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// One message, in either direction.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// The kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Handshake, sent by either side first.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Planner to forwarder: a full plan or a delta.
    #[prost(message, tag = "2")]
    PlanUpdate(PlanUpdate),
    /// Forwarder to planner: a plan update was applied or rejected.
    #[prost(message, tag = "3")]
    PlanAck(PlanAck),
    /// Forwarder to planner: what it observed of its servers.
    #[prost(message, tag = "4")]
    Report(Report),
    /// Operator to planner: asks for the current state of the plan.
    #[prost(message, tag = "5")]
    ExplainRequest(ExplainRequest),
    /// Planner to operator: the answer to an `ExplainRequest`.
    #[prost(message, tag = "6")]
    ExplainResponse(ExplainResponse),
    /// Sent before the connection is closed, for the log of the other side.
    #[prost(message, tag = "7")]
    Refusal(Refusal),
    /// Forwarder to planner: services subscribed to and services no longer needed.
    #[prost(message, tag = "8")]
    Subscribe(Subscribe),
    /// Planner to forwarder: changes of the services that it subscribes to.
    #[prost(message, tag = "9")]
    Update(Update),
    /// Forwarder to planner: which services of an update were applied or rejected.
    #[prost(message, tag = "10")]
    UpdateAck(UpdateAck),
}

impl From<Body> for Frame {
    fn from(body: Body) -> Frame {
        Frame { body: Some(body) }
    }
}

/// The role of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Not stated.
    Unknown = 0,
    /// Forwards traffic.
    Forwarder = 1,
    /// Computes plans for forwarders.
    Planner = 2,
    /// Asks a planner to explain its plan.
    Operator = 3,
}

/// Handshake, the first message of either side.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Oldest protocol version accepted.
    #[prost(uint32, tag = "1")]
    pub oldest: u32,
    /// Newest protocol version supported.
    #[prost(uint32, tag = "2")]
    pub newest: u32,
    /// The role of the sender.
    #[prost(enumeration = "Role", tag = "3")]
    pub role: i32,
    /// The name of the sender.
    #[prost(string, tag = "4")]
    pub name: String,
    /// The installation that the sender belongs to.
    #[prost(string, tag = "5")]
    pub site: String,
    /// Start time of the sender's process, Unix time in milliseconds.
    #[prost(fixed64, tag = "6")]
    pub incarnation: u64,
    /// Zone of a forwarder, as an index into the settings.
    #[prost(uint32, tag = "7")]
    pub zone: u32,
    /// Whether the peer uses subscriptions to services: a forwarder that subscribes or a planner that publishes.
    #[prost(bool, tag = "8")]
    pub services: bool,
}

impl Hello {
    /// The protocol version to use with this peer, or `None` if there is no common one.
    pub fn version(&self) -> Option<u32> {
        let newest = self.newest.min(NEWEST_VERSION);
        (newest >= self.oldest && newest >= OLDEST_VERSION).then_some(newest)
    }
}

/// A full plan or a delta.
#[derive(Clone, PartialEq, Message)]
pub struct PlanUpdate {
    /// The installation that it is for.
    #[prost(string, tag = "1")]
    pub site: String,
    /// Incarnation of the planner that made it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Version of this forwarder's plan once the update is applied.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Version that the delta applies to; 0 for a full plan.
    #[prost(uint64, tag = "4")]
    pub base: u64,
    /// Version of the membership that the plan is computed from.
    #[prost(uint64, tag = "5")]
    pub membership: u64,
    /// Servers that were added or have changed.
    #[prost(message, repeated, tag = "6")]
    pub rows: Vec<ServerRow>,
    /// Servers that are no longer assigned to this forwarder.
    #[prost(string, repeated, tag = "7")]
    pub removed: Vec<String>,
    /// Maximum connections of this forwarder to one server; 0 for no limit.
    #[prost(uint32, tag = "8")]
    pub connections: u32,
    /// This forwarder's shares of tenant quotas that have changed.
    #[prost(message, repeated, tag = "9")]
    pub tenants: Vec<RateShare>,
    /// This forwarder's shares of class limits that have changed.
    #[prost(message, repeated, tag = "10")]
    pub classes: Vec<RateShare>,
    /// Time since the planner's source last confirmed this membership, in milliseconds
    /// ([`crate::list_age::UNCONFIRMED_AGE_MS`] if it never has). Older planners do not state it.
    #[prost(uint64, optional, tag = "11")]
    pub list_age_ms: Option<u64>,
}

/// One server of a plan.
#[derive(Clone, PartialEq, Message)]
pub struct ServerRow {
    /// Server name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Attributes of the server, where they are new or have changed.
    #[prost(message, optional, tag = "2")]
    pub attributes: Option<ServerAttributes>,
    /// Score over all forwarders, quantized by [`crate::grade`].
    #[prost(uint32, tag = "3")]
    pub grade: u32,
    /// Why the server is suspected.
    #[prost(enumeration = "Suspicion", tag = "4")]
    pub suspicion: i32,
    /// Requests per second that this forwarder may send to the server during slow start; absent if not limited.
    #[prost(float, optional, tag = "5")]
    pub slow_start_rate: Option<f32>,
}

/// Why a server is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Suspicion {
    /// It is not suspected.
    None = 0,
    /// It does not accept connections.
    Refuses = 1,
    /// It answers with errors or breaks connections.
    Fails = 2,
    /// Its latency is far above that of the fleet.
    Slow = 3,
}

/// Attributes of a server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerAttributes {
    /// Listening address for each protocol; empty where it does not listen.
    #[prost(string, repeated, tag = "1")]
    pub addresses: Vec<String>,
    /// Its zone.
    #[prost(uint32, tag = "2")]
    pub zone: u32,
    /// Its machine kind.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// Its cell.
    #[prost(uint32, tag = "4")]
    pub cell: u32,
    /// 0 ready, 1 draining, 2 removed.
    #[prost(uint32, tag = "5")]
    pub phase: u32,
    /// Its listed size.
    #[prost(float, tag = "6")]
    pub size: f32,
    /// Start time, Unix time in milliseconds; 0 if it started long ago.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
}

/// A share of a rate.
#[derive(Clone, PartialEq, Message)]
pub struct RateShare {
    /// The tenant or class.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Requests per second.
    #[prost(float, tag = "2")]
    pub rate: f32,
}

/// Acknowledges or rejects a plan update.
#[derive(Clone, PartialEq, Message)]
pub struct PlanAck {
    /// Incarnation of the planner that sent the update.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The version that is acknowledged or rejected.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Why the update was rejected.
    #[prost(enumeration = "RejectReason", tag = "3")]
    pub refused: i32,
}

/// Why an update was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RejectReason {
    /// It was applied.
    Accepted = 0,
    /// It is for another installation.
    OtherSite = 1,
    /// A newer incarnation of the planner is known.
    StaleIncarnation = 2,
    /// It is a delta to a version that is not held; a full plan is needed.
    UnknownBase = 3,
    /// It is computed from an older membership than another planner's.
    StaleMembership = 4,
    /// It contains an invalid value.
    Invalid = 5,
    /// It is of a service that is no longer subscribed to.
    NotSubscribed = 6,
}

/// What a forwarder observed since its last report. Each row replaces the previous one of the same server.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Servers whose values have changed.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<ServerReport>,
    /// Servers that the forwarder no longer uses.
    #[prost(string, repeated, tag = "2")]
    pub dropped: Vec<String>,
    /// Admitted requests per second, by class.
    #[prost(message, repeated, tag = "3")]
    pub classes: Vec<RateShare>,
    /// Admitted requests per second, by tenant.
    #[prost(message, repeated, tag = "4")]
    pub tenants: Vec<RateShare>,
    /// Drains and removals that the forwarder knows of.
    #[prost(message, repeated, tag = "5")]
    pub closed: Vec<ClosedServer>,
    /// Name of the planner that it follows; empty for none.
    #[prost(string, tag = "6")]
    pub following: String,
}

/// What a forwarder observed of one server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerReport {
    /// Server name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Score at this forwarder.
    #[prost(float, tag = "2")]
    pub score: f32,
    /// Requests in flight.
    #[prost(uint32, tag = "3")]
    pub in_flight: u32,
    /// Latency relative to that of the fleet; 1 is average.
    #[prost(float, tag = "4")]
    pub relative_latency: f32,
    /// Fraction of failed attempts, 0 to 1.
    #[prost(float, tag = "5")]
    pub failure_rate: f32,
    /// Whether this forwarder has ejected it.
    #[prost(bool, tag = "6")]
    pub ejected: bool,
    /// Attempt counts so far by outcome, in the order of the decision module.
    #[prost(uint32, repeated, tag = "7")]
    pub outcomes: Vec<u32>,
}

/// A server that accepts no new requests.
#[derive(Clone, PartialEq, Message)]
pub struct ClosedServer {
    /// Server name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Version of the membership that lists it as closed.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    /// Start time of the server process that is meant, Unix time in milliseconds.
    #[prost(uint64, tag = "3")]
    pub started_ms: u64,
    /// Whether it is removed rather than draining.
    #[prost(bool, tag = "4")]
    pub removed: bool,
    /// Epoch of that version as counted by the forwarder, where services are used.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
}

/// Asks a planner to explain its plan.
#[derive(Clone, PartialEq, Message)]
pub struct ExplainRequest {
    /// For this server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// For this class.
    #[prost(string, tag = "2")]
    pub class: String,
    /// For the rollout of this version of the list; 0 for none.
    #[prost(uint64, tag = "3")]
    pub change: u64,
    /// For this service.
    #[prost(string, optional, tag = "4")]
    pub service: Option<String>,
}

/// Answer to an `ExplainRequest`.
#[derive(Clone, PartialEq, Message)]
pub struct ExplainResponse {
    /// Human-readable lines.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// Sent before the connection is closed.
#[derive(Clone, PartialEq, Message)]
pub struct Refusal {
    /// Human-readable reason.
    #[prost(string, tag = "1")]
    pub reason: String,
}

// ---- Subscriptions to services: see `services` ----

/// Changes to the subscriptions of a forwarder. Each interest replaces the previous one in the same service.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    /// Subscriptions that have changed.
    #[prost(message, repeated, tag = "1")]
    pub interests: Vec<Interest>,
    /// Drains and removals known from a later list than the planner's.
    #[prost(message, repeated, tag = "2")]
    pub closed: Vec<ClosedServer>,
    /// The forwarder is moving to another planner; its missing acknowledgements no longer delay a rollout here.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Bytes that the forwarder can receive at once now, stated to a planner that it moves to; 0 if not stated.
    #[prost(uint32, tag = "4")]
    pub allowance: u32,
    /// The subscriptions sent on this connection so far are complete.
    #[prost(bool, tag = "5")]
    pub all: bool,
    /// Versions of the list that it has followed, oldest first, stated to a planner that it moves to.
    #[prost(message, repeated, tag = "6")]
    pub followed: Vec<FollowedVersion>,
}

/// A version of the list that a forwarder has followed; see `services::list_version`.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FollowedVersion {
    /// Epoch as counted by the forwarder.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Version number of the source.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Digest of the full list.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

/// A subscription to one service and the state held of it.
#[derive(Clone, PartialEq, Message)]
pub struct Interest {
    /// The service; empty for the unnamed one.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The subscription is cancelled.
    #[prost(bool, tag = "2")]
    pub unwanted: bool,
    /// Incarnation of the planner whose version is held; 0 if nothing is held.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Version held.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Version of the list that it was computed from.
    #[prost(uint64, tag = "5")]
    pub source: u64,
    /// Digest of the servers held.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// Index of the slice held, out of `slices`; 0 of 0 for none.
    #[prost(uint32, tag = "7")]
    pub slice: u32,
    /// Number of slices; see `slice`.
    #[prost(uint32, tag = "8")]
    pub slices: u32,
    /// Epoch of the version in `source`, as counted by the forwarder.
    #[prost(uint64, tag = "9")]
    pub epoch: u64,
}

/// Changes of the services that a forwarder subscribes to. An update without services is a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The installation that it is for.
    #[prost(string, tag = "1")]
    pub site: String,
    /// Incarnation of the planner that sends it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Version of the list that the planner has applied.
    #[prost(uint64, tag = "3")]
    pub source: u64,
    /// Sequence number on this connection, from 1; 0 if no acknowledgement is needed.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Changed services.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceChanges>,
    /// Further services as a deflated (RFC 1951) [`PackedServices`]: rows of one service compress well.
    #[prost(bytes = "vec", tag = "6")]
    pub packed: Vec<u8>,
    /// Epoch of the version in `source` as counted by the forwarder; 0 until the planner has learned it.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    /// Digest of the full list of that version.
    #[prost(fixed64, tag = "8")]
    pub list_digest: u64,
    /// Time since the planner's source last confirmed the list, in milliseconds
    /// ([`crate::list_age::UNCONFIRMED_AGE_MS`] if it never has). Older planners do not state it.
    #[prost(uint64, optional, tag = "9")]
    pub list_age_ms: Option<u64>,
}

/// Services of an update, before compression.
#[derive(Clone, PartialEq, Message)]
pub struct PackedServices {
    /// The services.
    #[prost(message, repeated, tag = "1")]
    pub services: Vec<ServiceChanges>,
}

/// Why packed services cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PackError {
    /// Not deflated bytes, or more than [`MAX_PACKED_BYTES`] in one pack or [`MAX_MESSAGE_BYTES`] in total after
    /// inflating.
    #[error("its packed bytes cannot be read")]
    Packed,
    /// The inflated bytes cannot be decoded.
    #[error("what was packed cannot be read: {0}")]
    Unreadable(#[from] prost::DecodeError),
}

/// Maximum size of packed services after inflating.
pub const MAX_PACKED_BYTES: usize = 64 << 10;
/// Smaller messages are not worth compressing.
const MIN_PACK_BYTES: usize = 300;
/// Compression level, 0 to 10: the first levels yield half of the gain.
const COMPRESSION_LEVEL: u8 = 3;

/// Compresses a message (RFC 1951).
pub fn deflate(bytes: &[u8]) -> Vec<u8> {
    miniz_oxide::deflate::compress_to_vec(bytes, COMPRESSION_LEVEL)
}

fn inflate(bytes: &[u8]) -> Result<Vec<u8>, PackError> {
    miniz_oxide::inflate::decompress_to_vec_with_limit(bytes, MAX_PACKED_BYTES).map_err(|_| PackError::Packed)
}

impl Update {
    /// Packs the services where that makes the update smaller; services that are packed already are left as they are.
    pub fn pack(&mut self) {
        let (packed, plain) =
            std::mem::take(&mut self.services).into_iter().partition(|c| !c.packed.is_empty());
        let pack = PackedServices { services: plain };
        self.services = packed;
        let bytes = pack.encode_to_vec();
        if (MIN_PACK_BYTES..=MAX_PACKED_BYTES).contains(&bytes.len()) {
            let packed = deflate(&bytes);
            if packed.len() < bytes.len() {
                self.packed = packed;
                return;
            }
        }
        self.services.extend(pack.services);
    }

    /// All services, unpacked.
    pub fn unpacked(&self) -> Result<Vec<ServiceChanges>, PackError> {
        let mut services = Vec::new();
        if !self.packed.is_empty() {
            services = PackedServices::decode(&inflate(&self.packed)?[..])?.services;
        }
        services.extend(self.services.iter().cloned());
        let mut left = MAX_MESSAGE_BYTES;
        for changes in services.iter_mut().filter(|c| !c.packed.is_empty()) {
            let bytes = inflate(&std::mem::take(&mut changes.packed))?;
            left = left.checked_sub(bytes.len()).ok_or(PackError::Packed)?;
            changes.rows.extend(PackedRows::decode(&bytes[..])?.rows);
        }
        Ok(services)
    }
}

/// Changes of one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceChanges {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version that the delta applies to; 0 for a chunk of a full state.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Version held once the last chunk is applied.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Servers that were added or have changed.
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<ServerRow>,
    /// Servers that were removed from the service.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
    /// The position of this chunk in the change to `version`.
    #[prost(enumeration = "Chunk", tag = "6")]
    pub chunk: i32,
    /// Version of the list that last changed the service's servers.
    #[prost(uint64, tag = "7")]
    pub source: u64,
    /// Forwarders of this planner that use the slice.
    #[prost(uint32, tag = "8")]
    pub subscribers: u32,
    /// Digest of the servers held once the last chunk is applied.
    #[prost(fixed64, tag = "9")]
    pub digest: u64,
    /// Index of the slice, out of `slices`.
    #[prost(uint32, tag = "10")]
    pub slice: u32,
    /// Number of slices; see `slice`.
    #[prost(uint32, tag = "11")]
    pub slices: u32,
    /// Further rows as deflated (RFC 1951) [`PackedRows`]: a full state is compressed once for all its receivers.
    #[prost(bytes = "vec", tag = "12")]
    pub packed: Vec<u8>,
}

/// Rows of a service, before compression.
#[derive(Clone, PartialEq, Message)]
pub struct PackedRows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<ServerRow>,
}

/// How a chunk of changes relates to the version of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Chunk {
    /// The last or only chunk of a delta or of a full state: the version is held once it is applied.
    Last = 0,
    /// The first chunk of a full state; the old state stays in use until the last one.
    First = 1,
    /// A further chunk.
    Continued = 2,
    /// Drains and removals sent ahead of their turn, or hints: the version does not change.
    OutOfBand = 3,
    /// The state held equals the planner's by digest: only the version changes.
    Unchanged = 4,
    /// There is no such service.
    Unknown = 5,
    /// A full state in one chunk.
    Full = 6,
}

/// Acknowledges an update and names the services whose changes were rejected.
#[derive(Clone, PartialEq, Message)]
pub struct UpdateAck {
    /// Incarnation of the planner that sent the update.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Sequence number of the update.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Services whose changes were rejected, with the reasons.
    #[prost(message, repeated, tag = "3")]
    pub refused: Vec<RejectedService>,
}

/// A service whose changes were rejected.
#[derive(Clone, PartialEq, Message)]
pub struct RejectedService {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Why the changes were rejected.
    #[prost(enumeration = "RejectReason", tag = "2")]
    pub reason: i32,
}
