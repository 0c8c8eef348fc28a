//! Record in the store of the software versions that may have begun streams.

/// Versions of the servers of one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SoftwareRecord {
    /// Known versions.
    #[prost(string, repeated, tag = "1")]
    pub versions: Vec<String>,
    /// Whether servers of unknown versions may have begun streams as well.
    #[prost(bool, tag = "2")]
    pub has_unknown: bool,
    /// Versions whose servers have all left the list.
    #[prost(message, repeated, tag = "3")]
    pub leaving: Vec<LeavingVersion>,
    /// Era of the store in which an instance vouched that no version was lost; [`Self::NO_ERA`] if the writer
    /// does not know that, absent if the store or the build knows no eras.
    #[prost(uint64, optional, tag = "4")]
    pub vouched_era: Option<u64>,
}

impl SoftwareRecord {
    /// Value of `vouched_era` of a record for which nobody has vouched.
    pub const NO_ERA: u64 = u64::MAX;
}

/// Version that leaves the record unless a server of it is listed again.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeavingVersion {
    /// Version; absent if it is unknown.
    #[prost(string, optional, tag = "1")]
    pub version: Option<String>,
    /// Number of this departure, which no other one of the version has.
    #[prost(uint64, tag = "2")]
    pub mark: u64,
}

/// Question which versions began the streams of a request that a client resumes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamQuery {
    /// Number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Hash of the request.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Hash of the id of the attempt that delivered the first event; 0 if it is unknown.
    #[prost(fixed64, tag = "3")]
    pub attempt: u64,
    /// Services of the request's route.
    #[prost(string, repeated, tag = "4")]
    pub services: Vec<String>,
}

/// Answer to a [`StreamQuery`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamAnswer {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Versions at which the instance began such streams.
    #[prost(message, optional, tag = "2")]
    pub versions: Option<SoftwareRecord>,
    /// Versions at which the attempt began its stream; empty if the instance does not know it.
    #[prost(message, optional, tag = "3")]
    pub attempt_versions: Option<SoftwareRecord>,
    /// Whether streams may have begun of which no instance knows any longer.
    #[prost(bool, tag = "4")]
    pub is_incomplete: bool,
    /// Versions at which earlier processes of the instance may have begun such streams.
    #[prost(message, optional, tag = "5")]
    pub earlier_versions: Option<SoftwareRecord>,
    /// Whether the instance has forgotten streams that it began and that may still be resumed.
    #[prost(bool, tag = "6")]
    pub has_overflowed: bool,
}

/// Streams that an instance began at one software version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VersionStreams {
    /// Version; absent if it is unknown.
    #[prost(string, optional, tag = "1")]
    pub version: Option<String>,
    /// Hashes of the requests and of the attempts that began them.
    #[prost(fixed64, repeated, tag = "2")]
    pub keys: Vec<u64>,
}

/// Record of the store's log: streams that an instance began since its last one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamBatch {
    /// Streams, by version.
    #[prost(message, repeated, tag = "1")]
    pub versions: Vec<VersionStreams>,
}

/// Notice of streams whose first events the sender is about to deliver, for the receiver to remember.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamNotice {
    /// Number that the receipt repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The streams.
    #[prost(message, optional, tag = "2")]
    pub streams: Option<StreamBatch>,
}

/// Receipt of a [`StreamNotice`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct StreamReceipt {
    /// Number of the notice.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}
