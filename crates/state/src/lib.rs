//! Core types that the other crates build on: clock, names, error kinds and the
//! replicated document with its state machine.

mod block_codec;
mod block_rows;
pub mod blocks;
pub mod clock;
pub mod command;
pub mod digest;
pub mod document;
pub mod error;
pub mod intents;
pub mod machine;
pub mod moves;
pub mod name;
pub mod routing;
pub mod sheet;

pub use clock::{Clock, Millis};
pub use error::{Answer, ErrorKind, Outcome};
pub use name::Name;
