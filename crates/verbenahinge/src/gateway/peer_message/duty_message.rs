//! Wire format of the holder of the lease for duties, and of the time of day.

/// Holder of the lease as the sender knows it, and the sender's time of day.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(in crate::gateway) struct DutyMessage {
    /// Address of the VM; 0 if the sender knows none.
    #[prost(fixed32, tag = "1")]
    pub(in crate::gateway) holder: u32,
    /// Fencing token of the holder.
    #[prost(uint64, tag = "2")]
    pub(in crate::gateway) number: u64,
    /// Time since the VM is known to have held the lease.
    #[prost(uint32, tag = "3")]
    pub(in crate::gateway) age_ms: u32,
    /// Time of day of the sender, in microseconds since the start of 1970.
    #[prost(fixed64, tag = "4")]
    pub(in crate::gateway) unix_us: u64,
    /// Reports of windows before this one may have been sent.
    #[prost(uint64, tag = "5")]
    pub(in crate::gateway) attempted_until: u64,
}
