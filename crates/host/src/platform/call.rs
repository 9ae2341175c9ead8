//! Sends calls to the platform: each is admitted by the gate, counted, and reported to the gate as
//! a success or a failure.

use super::{Client, HOST_HEADER};
use crate::clock::Clock;
use crate::error::Result;
use bergamotvale_core::store::Gate;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::Serialize;
use std::sync::{Mutex, MutexGuard};

/// Counts of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Reads of rows, objects and the list of hosts that were admitted.
    pub reads: u64,
    /// Admitted writes: transactions, objects and entries of the list of hosts.
    pub writes: u64,
    /// Admitted calls without a response, or with a server error or status 429.
    pub failures: u64,
    /// Calls that the gate did not admit.
    pub refused: u64,
}

/// Gate and counts that all calls of a client share.
pub(super) struct Calls {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    gate: Gate,
    traffic: Traffic,
}

/// An admitted call; dropping it records a failure unless `succeeded` is set.
struct Admission<'a> {
    calls: &'a Calls,
    succeeded: bool,
}

impl Calls {
    pub(super) fn new() -> Calls {
        Calls { clock: Clock::new(), state: Mutex::default() }
    }

    pub(super) fn traffic(&self) -> Traffic {
        self.lock().traffic
    }

    fn admit(&self, write: bool) -> Result<Admission<'_>> {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Err(refusal) = state.gate.admit(now) {
            state.traffic.refused += 1;
            return Err(refusal.into());
        }
        match write {
            true => state.traffic.writes += 1,
            false => state.traffic.reads += 1,
        }
        Ok(Admission { calls: self, succeeded: false })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Drop for Admission<'_> {
    fn drop(&mut self) {
        let now = self.calls.clock.now();
        let mut state = self.calls.lock();
        if self.succeeded {
            state.gate.record_success();
        } else {
            state.gate.record_failure(now);
            state.traffic.failures += 1;
        }
    }
}

impl Client {
    pub(super) async fn read(&self, request: RequestBuilder) -> Result<Response> {
        self.call(request, false).await
    }

    pub(super) async fn write(&self, request: RequestBuilder) -> Result<Response> {
        self.call(request, true).await
    }

    async fn call(&self, request: RequestBuilder, write: bool) -> Result<Response> {
        let mut admission = self.calls.admit(write)?;
        let response = request.header(HOST_HEADER, &self.host).send().await?;
        let status = response.status();
        admission.succeeded = !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS;
        if matches!(status, StatusCode::CONFLICT | StatusCode::NOT_FOUND) {
            return Ok(response);
        }
        Ok(response.error_for_status()?)
    }
}
