//! Budgets for buffers whose size others choose.

mod budget;
mod reservation;

pub use budget::Budget;
pub use reservation::Reservation;
