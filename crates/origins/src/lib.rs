//! Which service and software version began a stream.
//!
//! What servers of two software versions write does not fit together, and servers don't check it. A stream that its
//! caller takes up again, at any box, may go on only at the version that began it. [`Origins`] holds what a box knows:
//! the origins of single streams, and which versions were listed. The crate does no I/O and reads no clock: time is an
//! argument.

mod answer;
mod history;
mod keepers;
mod origin;
mod origins;
mod record;
mod records;
mod stream;

pub use answer::Answer;
pub use history::History;
pub use keepers::Keepers;
pub use origin::Origin;
pub use origins::Origins;
pub use record::Record;
pub use records::Records;
pub use stream::Stream;

/// Milliseconds on a monotonic clock.
pub type Millis = u64;
