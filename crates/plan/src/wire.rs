//! The messages between forwarders and planners (Protocol Buffers, proto3). Numbers of fields are never used twice;
//! a field that is not known is skipped, so that neighbouring versions understand each other.
//!
//! Bounds on lists and names are checked where a message is taken in, not here.

use prost::Message;

/// The oldest version of these messages that is understood.
pub const OLDEST_VERSION: u32 = 1;
/// The newest version that is spoken.
pub const NEWEST_VERSION: u32 = 1;
/// Longest message in bytes: a whole plan of 10,000 boxes has about half of that.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// One message, either way.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What it is.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// What a message is.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First word of either side.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Planner to forwarder: a plan, or changes to it.
    #[prost(message, tag = "2")]
    PlanUpdate(PlanUpdate),
    /// Forwarder to planner: a part was taken in, or not.
    #[prost(message, tag = "3")]
    PlanAck(PlanAck),
    /// Forwarder to planner: what it has met.
    #[prost(message, tag = "4")]
    Report(Report),
    /// Anybody to a planner: what does the plan say?
    #[prost(message, tag = "5")]
    ExplainRequest(ExplainRequest),
    /// A planner's answer to that.
    #[prost(message, tag = "6")]
    ExplainResponse(ExplainResponse),
    /// Last word before the connection is closed, for the other side's log.
    #[prost(message, tag = "7")]
    Refusal(Refusal),
    /// Forwarder to planner: the services that it uses, and those that it uses no longer.
    #[prost(message, tag = "8")]
    Subscribe(Subscribe),
    /// Planner to forwarder: what has changed in the services that it uses.
    #[prost(message, tag = "9")]
    Update(Update),
    /// Forwarder to planner: an update was taken in, service by service, or not.
    #[prost(message, tag = "10")]
    UpdateAck(UpdateAck),
}

impl From<Body> for Frame {
    fn from(body: Body) -> Frame {
        Frame { body: Some(body) }
    }
}

/// What a peer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Not said.
    Unknown = 0,
    /// Moves traffic.
    Forwarder = 1,
    /// Decides where it goes.
    Planner = 2,
    /// Asks what a plan says.
    Operator = 3,
}

/// First word of either side.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Oldest version understood.
    #[prost(uint32, tag = "1")]
    pub oldest: u32,
    /// Newest version spoken.
    #[prost(uint32, tag = "2")]
    pub newest: u32,
    /// What it is.
    #[prost(enumeration = "Role", tag = "3")]
    pub role: i32,
    /// Its name.
    #[prost(string, tag = "4")]
    pub name: String,
    /// The installation that it belongs to.
    #[prost(string, tag = "5")]
    pub site: String,
    /// When this life of it began, Unix time in milliseconds.
    #[prost(fixed64, tag = "6")]
    pub incarnation: u64,
    /// A forwarder's zone, by its place in the settings.
    #[prost(uint32, tag = "7")]
    pub zone: u32,
    /// This peer goes by services: a forwarder that subscribes, a planner that lets it.
    #[prost(bool, tag = "8")]
    pub services: bool,
}

impl Hello {
    /// The version that both sides speak, if there is one.
    pub fn version(&self) -> Option<u32> {
        let newest = self.newest.min(NEWEST_VERSION);
        (newest >= self.oldest && newest >= OLDEST_VERSION).then_some(newest)
    }
}

/// A plan, or changes to one.
#[derive(Clone, PartialEq, Message)]
pub struct PlanUpdate {
    /// The installation it is for.
    #[prost(string, tag = "1")]
    pub site: String,
    /// The life of the planner that made it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The version of this forwarder's plan that results.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The version that these changes are to; 0 for a whole plan.
    #[prost(uint64, tag = "4")]
    pub base: u64,
    /// The version of the membership that it is made from.
    #[prost(uint64, tag = "5")]
    pub membership: u64,
    /// Boxes that are new or have changed.
    #[prost(message, repeated, tag = "6")]
    pub rows: Vec<ServerRow>,
    /// Boxes that are no longer this forwarder's.
    #[prost(string, repeated, tag = "7")]
    pub removed: Vec<String>,
    /// Connections that this forwarder may hold to one box; 0 for no limit.
    #[prost(uint32, tag = "8")]
    pub connections: u32,
    /// This forwarder's part of tenants' shares, where it has changed.
    #[prost(message, repeated, tag = "9")]
    pub tenants: Vec<RateShare>,
    /// This forwarder's part of classes' limits, where it has changed.
    #[prost(message, repeated, tag = "10")]
    pub classes: Vec<RateShare>,
}

/// One box of a plan.
#[derive(Clone, PartialEq, Message)]
pub struct ServerRow {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Who it is, where that is new.
    #[prost(message, optional, tag = "2")]
    pub attributes: Option<ServerAttributes>,
    /// Its accomplishment over all forwarders, see [`crate::grade`].
    #[prost(uint32, tag = "3")]
    pub grade: u32,
    /// Why it is suspected.
    #[prost(enumeration = "Suspicion", tag = "4")]
    pub suspicion: i32,
    /// Requests a second that this forwarder may send it while it is cold; absent where nothing is said.
    #[prost(float, optional, tag = "5")]
    pub slow_start_rate: Option<f32>,
}

/// Why a box is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Suspicion {
    /// It is not.
    None = 0,
    /// It takes no connections.
    Refuses = 1,
    /// It answers with errors or breaks connections.
    Fails = 2,
    /// It is far slower than the others.
    Slow = 3,
}

/// Who a box is.
#[derive(Clone, PartialEq, Message)]
pub struct ServerAttributes {
    /// Where it listens, by wire; empty where it does not.
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
    /// 0 ready, 1 draining, 2 gone.
    #[prost(uint32, tag = "5")]
    pub phase: u32,
    /// Its listed size.
    #[prost(float, tag = "6")]
    pub size: f32,
    /// When it started, Unix time in milliseconds; 0 when long ago.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
}

/// A part of a rate.
#[derive(Clone, PartialEq, Message)]
pub struct RateShare {
    /// Whose: a tenant or a class.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Requests a second.
    #[prost(float, tag = "2")]
    pub rate: f32,
}

/// A part was taken in, or not.
#[derive(Clone, PartialEq, Message)]
pub struct PlanAck {
    /// The planner's life that it answers.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The version that it answers.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Why it was not taken in.
    #[prost(enumeration = "RejectReason", tag = "3")]
    pub refused: i32,
}

/// Why a part was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RejectReason {
    /// It was.
    Accepted = 0,
    /// It is for another installation.
    OtherSite = 1,
    /// Its planner has begun a newer life since.
    StaleIncarnation = 2,
    /// It changes a version that is not held: the whole is wanted.
    UnknownBase = 3,
    /// It is made from an older membership than what others have told.
    StaleMembership = 4,
    /// It holds something that makes no sense.
    Invalid = 5,
    /// It is of a service that is not wanted any longer.
    NotSubscribed = 6,
}

/// What a forwarder has met since its last report. Each row replaces the one before.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Boxes whose figures have changed.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<ServerReport>,
    /// Boxes that it no longer uses.
    #[prost(string, repeated, tag = "2")]
    pub dropped: Vec<String>,
    /// Requests a second that it lets in, by class.
    #[prost(message, repeated, tag = "3")]
    pub classes: Vec<RateShare>,
    /// Requests a second that it lets in, by tenant.
    #[prost(message, repeated, tag = "4")]
    pub tenants: Vec<RateShare>,
    /// Drains and leavings that it knows of by itself.
    #[prost(message, repeated, tag = "5")]
    pub closed: Vec<ClosedServer>,
    /// The planner that it follows; empty for none.
    #[prost(string, tag = "6")]
    pub following: String,
}

/// What a forwarder has met of one box.
#[derive(Clone, PartialEq, Message)]
pub struct ServerReport {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Accomplishment at this forwarder.
    #[prost(float, tag = "2")]
    pub score: f32,
    /// Requests out to it.
    #[prost(uint32, tag = "3")]
    pub in_flight: u32,
    /// Its answer times against the fleet's; 1 is usual.
    #[prost(float, tag = "4")]
    pub relative_latency: f32,
    /// Share of failures, 0 to 1.
    #[prost(float, tag = "5")]
    pub failure_rate: f32,
    /// Out of use at this forwarder.
    #[prost(bool, tag = "6")]
    pub ejected: bool,
    /// Endings of attempts so far, in the decision module's order.
    #[prost(uint32, repeated, tag = "7")]
    pub outcomes: Vec<u32>,
}

/// Word that a box takes nothing new.
#[derive(Clone, PartialEq, Message)]
pub struct ClosedServer {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The version of the membership that says so.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    /// The life of the box that it is about: when it started, Unix time in milliseconds.
    #[prost(uint64, tag = "3")]
    pub started_ms: u64,
    /// It has left altogether.
    #[prost(bool, tag = "4")]
    pub removed: bool,
    /// The epoch of that version as the forwarder counts them, where services are spoken of.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
}

/// What does the plan say?
#[derive(Clone, PartialEq, Message)]
pub struct ExplainRequest {
    /// Of this box.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Of this class.
    #[prost(string, tag = "2")]
    pub class: String,
    /// Of this change of the list, by its version: where it is in force; 0 for none.
    #[prost(uint64, tag = "3")]
    pub change: u64,
    /// Of this service.
    #[prost(string, optional, tag = "4")]
    pub service: Option<String>,
}

/// A planner's answer.
#[derive(Clone, PartialEq, Message)]
pub struct ExplainResponse {
    /// Lines for people.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// Last word before the connection is closed.
#[derive(Clone, PartialEq, Message)]
pub struct Refusal {
    /// Why, for people.
    #[prost(string, tag = "1")]
    pub reason: String,
}

// ---- Services by subscription: see `services` ----

/// The services that a forwarder uses, and those that it uses no longer. Each interest replaces the one before in the
/// same service.
#[derive(Clone, PartialEq, Message)]
pub struct Subscribe {
    /// What has changed of its interests.
    #[prost(message, repeated, tag = "1")]
    pub interests: Vec<Interest>,
    /// Drains and leavings that it knows of by a later list than its planner's.
    #[prost(message, repeated, tag = "2")]
    pub closed: Vec<ClosedServer>,
    /// It goes to another planner: nothing of it lags here any longer.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Bytes that it takes at once now, for a planner that it comes to; 0 where it does not say.
    #[prost(uint32, tag = "4")]
    pub allowance: u32,
    /// What was said on this connection so far is all that it wants.
    #[prost(bool, tag = "5")]
    pub all: bool,
    /// Versions of the list that it has followed, oldest first, for a planner that it comes to.
    #[prost(message, repeated, tag = "6")]
    pub followed: Vec<FollowedVersion>,
}

/// A version of the list that a forwarder has followed; see `services::list_version`.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FollowedVersion {
    /// Its epoch, as the forwarder counts them.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The source's number.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The digest of the whole list.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
}

/// A forwarder's interest in one service, and what it holds of it.
#[derive(Clone, PartialEq, Message)]
pub struct Interest {
    /// The service; empty for the one that has no name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// It is no longer wanted.
    #[prost(bool, tag = "2")]
    pub unwanted: bool,
    /// The planner's life whose version is held; 0 where nothing is.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The version held.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// The version of the list that it was made from.
    #[prost(uint64, tag = "5")]
    pub source: u64,
    /// The digest of the servers held.
    #[prost(fixed64, tag = "6")]
    pub digest: u64,
    /// Which slice of the service is held, of how many; 0 of 0 for none.
    #[prost(uint32, tag = "7")]
    pub slice: u32,
    /// See `slice`.
    #[prost(uint32, tag = "8")]
    pub slices: u32,
    /// The epoch of the version in `source`, as the forwarder counts them.
    #[prost(uint64, tag = "9")]
    pub epoch: u64,
}

/// What has changed in the services that a forwarder uses. One without services says that all stands.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The installation it is for.
    #[prost(string, tag = "1")]
    pub site: String,
    /// The life of the planner that says it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The version of the list that the planner goes by.
    #[prost(uint64, tag = "3")]
    pub source: u64,
    /// Its number on this connection, from 1; 0 for one that needs no acknowledgement.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// The services.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceChanges>,
    /// Further services as one [`PackedServices`], deflated (RFC 1951): servers of a service are much alike.
    #[prost(bytes = "vec", tag = "6")]
    pub packed: Vec<u8>,
    /// The epoch of the version in `source`, as the forwarder counts them; 0 as long as the planner has not heard how.
    #[prost(uint64, tag = "7")]
    pub epoch: u64,
    /// The digest of the whole list of that version.
    #[prost(fixed64, tag = "8")]
    pub list_digest: u64,
}

/// What an update carries, to be packed.
#[derive(Clone, PartialEq, Message)]
pub struct PackedServices {
    /// The services.
    #[prost(message, repeated, tag = "1")]
    pub services: Vec<ServiceChanges>,
}

/// Why packed services cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PackError {
    /// No deflated bytes, or more than [`MAX_PACKED_BYTES`] of one pack or [`MAX_MESSAGE_BYTES`] of all once they are whole again.
    #[error("its packed bytes cannot be read")]
    Packed,
    /// What was packed is no message.
    #[error("what was packed cannot be read: {0}")]
    Unreadable(#[from] prost::DecodeError),
}

/// Most bytes that packed services may have.
pub const MAX_PACKED_BYTES: usize = 64 << 10;
/// Less is not worth packing.
const LEAST_PACK: usize = 300;
/// Of the levels 0 to 10: half of the gain is in the first ones.
const PACK_LEVEL: u8 = 3;

/// Deflates a message.
pub fn deflate(bytes: &[u8]) -> Vec<u8> {
    miniz_oxide::deflate::compress_to_vec(bytes, PACK_LEVEL)
}

fn inflate(bytes: &[u8]) -> Result<Vec<u8>, PackError> {
    miniz_oxide::inflate::decompress_to_vec_with_limit(bytes, MAX_PACKED_BYTES).map_err(|_| PackError::Packed)
}

impl Update {
    /// Packs its services where that makes it shorter; those that are packed already stay as they are.
    pub fn pack(&mut self) {
        let (packed, plain) =
            std::mem::take(&mut self.services).into_iter().partition(|c| !c.packed.is_empty());
        let pack = PackedServices { services: plain };
        self.services = packed;
        let bytes = pack.encode_to_vec();
        if (LEAST_PACK..=MAX_PACKED_BYTES).contains(&bytes.len()) {
            let packed = deflate(&bytes);
            if packed.len() < bytes.len() {
                self.packed = packed;
                return;
            }
        }
        self.services.extend(pack.services);
    }

    /// All of its services as they were before they were packed.
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

/// What has changed in one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceChanges {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version that these build on; 0 where a whole begins or goes on.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// The version that is held once the last piece is taken in.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Servers that are new or have changed.
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<ServerRow>,
    /// Servers that have left the service.
    #[prost(string, repeated, tag = "5")]
    pub removed: Vec<String>,
    /// How these stand to the version.
    #[prost(enumeration = "Chunk", tag = "6")]
    pub chunk: i32,
    /// The version of the list that last changed the service's servers.
    #[prost(uint64, tag = "7")]
    pub source: u64,
    /// Forwarders of this planner that use the slice.
    #[prost(uint32, tag = "8")]
    pub subscribers: u32,
    /// The digest of the servers that are held once the last piece is taken in.
    #[prost(fixed64, tag = "9")]
    pub digest: u64,
    /// Which slice of the service this is, of how many.
    #[prost(uint32, tag = "10")]
    pub slice: u32,
    /// See `slice`.
    #[prost(uint32, tag = "11")]
    pub slices: u32,
    /// Further rows as [`PackedRows`], deflated (RFC 1951): a whole is packed once for all who get it.
    #[prost(bytes = "vec", tag = "12")]
    pub packed: Vec<u8>,
}

/// PackedRows of a service, to be packed.
#[derive(Clone, PartialEq, Message)]
pub struct PackedRows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<ServerRow>,
}

/// How changes of a service stand to its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Chunk {
    /// The last or only piece: the version is held once it is taken in.
    Last = 0,
    /// The first piece of a whole; what is held stands until the last one.
    First = 1,
    /// A further piece.
    Continued = 2,
    /// Drains and leavings ahead of their turn, or hints: they move no version.
    OutOfBand = 3,
    /// What is held is what the planner has, by its digest: only the version is new.
    Unchanged = 4,
    /// There is no such service.
    Unknown = 5,
    /// A whole in one piece.
    Full = 6,
}

/// An update was taken in, service by service, or not.
#[derive(Clone, PartialEq, Message)]
pub struct UpdateAck {
    /// The planner's life that it answers.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The number of the update.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Services whose changes were not taken in, and why.
    #[prost(message, repeated, tag = "3")]
    pub refused: Vec<RejectedService>,
}

/// ServiceChanges of a service that were not taken in.
#[derive(Clone, PartialEq, Message)]
pub struct RejectedService {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Why not.
    #[prost(enumeration = "RejectReason", tag = "2")]
    pub reason: i32,
}
