//! Wire format of the services that a VM is cut off from.

/// Services whose servers the sender cannot connect to.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct ReachMessage {
    /// Hashes of the services' names.
    #[prost(fixed64, repeated, tag = "1")]
    pub(in crate::gateway) cut_off_services: Vec<u64>,
}
