//! What cleatshelf tells its operators: numbered log events, metrics and histograms.
//!
//! It knows nothing of requests, boxes or files; every other crate calls it. It isn't a logging
//! framework: lines go through [`log`], figures through [`metrics`].
//!
//! ```
//! use telemetry::Event;
//! telemetry::emit(Event::BoxStarted, format_args!("name=lansing-1"));
//! assert_eq!(Event::BoxStarted.number(), 100);
//! ```

mod event;
mod lines;
mod once;
mod scrape;
mod series;

pub use event::{emit, Event};
pub use lines::{line, Lines};
pub use once::Once;
pub use scrape::Scrape;
pub use series::Series;
