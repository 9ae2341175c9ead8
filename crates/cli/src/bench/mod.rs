//! Open-loop load against a whole system, and what it measured.
//!
//! [`scenario`] says what to run, [`arrival`] draws every operation ahead from a seed, the load
//! generator sends them when they are due, whatever became of the ones before, and writes a
//! [`history`]. [`check`] and [`measure`] judge the history; [`report`] prints it.

pub mod admission;
pub mod check;
pub mod history;
pub mod measure;
