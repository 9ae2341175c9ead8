//! Open-loop load against a whole system, and what it measured.
//!
//! [`scenario`] says what to run, [`arrival`] draws every operation ahead from a seed, [`load`]
//! sends them when they are due, whatever became of the ones before, and writes a [`history`].
//! [`check`] and [`measure`] judge the history, [`report`] and [`html`] show it; [`run`] does all of it.

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
