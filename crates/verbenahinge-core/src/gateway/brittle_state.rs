//! What an answer of a backend server says of how many rejections the server bears.

/// Whether a backend server falls over if it has to reject too many requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum BrittleState {
    /// The answer does not tell, as another server has sent it.
    #[default]
    Untold,
    /// The server bears any number of rejections.
    Sound,
    /// The server bears this number of rejections for want of room in a second.
    Brittle(f64),
}
