//! The load bench: runs an open-loop load against a whole system and reports what it measured.
//!
//! A [`scenario`] describes the run. [`arrival`] generates all operations in advance from a seed,
//! and [`load`] sends each at its due time, regardless of the outcomes of earlier ones, and records
//! a [`history`]. [`fault`] injects the scenario's faults meanwhile. [`check`] and [`measure`]
//! evaluate the history, [`report`] and [`html`] render the results, and [`run`] combines these
//! steps. [`cost`] measures the overhead of hosts instead.

pub mod admission;
pub mod arrival;
pub mod balancer;
pub mod check;
pub mod cost;
pub mod fault;
pub mod final_rows;
pub mod history;
pub mod html;
pub mod load;
pub mod measure;
pub mod phase;
pub mod plot;
pub mod progress;
pub mod report;
pub mod run;
pub mod scenario;
pub mod session;
pub mod variant;
