//! Tests of session hosts that run as processes over the line-protocol stand-ins.

mod faults;
mod fixture;
mod on_call;
mod path;
mod soak;
