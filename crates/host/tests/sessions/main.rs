//! Tests of session hosts that run as processes over the line-protocol stand-ins.

mod catch_up;
mod evacuation;
mod faults;
mod fixture;
mod forwarding;
mod home;
mod on_call;
mod path;
mod restored;
mod soak;
mod stop;
