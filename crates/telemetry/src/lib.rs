//! Observability for cleatshelf: numbered log events, metrics and histograms.
//!
//! The crate depends on no other crate of the workspace, and any of them may use it. It is not a
//! logging framework: log lines go through [`log`], metrics through [`metrics`].
//!
//! ```
//! use telemetry::Event;
//! telemetry::emit(Event::BoxStarted, format_args!("name=lansing-1"));
//! assert_eq!(Event::BoxStarted.number(), 100);
//! ```

mod event;
mod json_logger;
mod label_limiter;
mod prometheus;
mod seen_names;

pub use event::{emit, Event};
pub use json_logger::{json_line, JsonLogger};
pub use label_limiter::LabelLimiter;
pub use prometheus::PrometheusRecorder;
pub use seen_names::SeenNames;
