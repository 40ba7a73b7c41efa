//! Kinds of requests to inference engines, by how prefill beside them affects their streams.

/// Kind of a request to an inference engine, which decides the engines that it uses first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamKind {
    /// The gap target is so tight that engines of the usual pace cannot always keep it.
    Tight,
    /// Prefill of long prompts on the same engine would make the stream late.
    Interactive,
    /// Prefill beside the stream does not make it late.
    Other,
}
