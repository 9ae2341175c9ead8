//! Checks that callers receive complete answers to their own requests, also during a graceful stop.

use super::{OpId, Violation, check_each};
use crate::id::{HostId, Time};
use std::collections::BTreeMap;

/// An answer as its caller received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Request whose caller received the answer.
    pub op: OpId,
    /// Request that the answer names.
    pub named_op: OpId,
    /// Number of rows that the target sent.
    pub sent_rows: usize,
    /// Number of rows that the caller received.
    pub received_rows: usize,
}

/// How a request to a host ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The caller received a result or a refusal.
    Answered,
    /// The request was sent and its answer is missing or incomplete.
    Interrupted,
    /// No connection was established, so the host received no part of the request.
    NotSent,
}

/// A request to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request.
    pub op: OpId,
    /// Host that it was sent to.
    pub host: HostId,
    /// Time at which its caller saw it end.
    pub ended_at: Time,
    /// How it ended.
    pub completion: Completion,
}

/// Checks that every answer is complete and names the request whose caller received it.
pub fn verify_complete(answers: &[Answer]) -> Result<(), Violation> {
    let is_wrong = |a: &Answer| a.named_op != a.op || a.received_rows != a.sent_rows;
    check_each(answers, is_wrong, |answer| Violation::WrongAnswer { op: answer.op })
}

/// Checks that no request to a host is interrupted after the host's graceful stop began; `stopping`
/// holds the time at which each stop began.
pub fn verify_uninterrupted(
    requests: &[Request],
    stopping: &BTreeMap<HostId, Time>,
) -> Result<(), Violation> {
    let is_interrupted = |request: &Request| {
        let since = stopping.get(&request.host);
        request.completion == Completion::Interrupted
            && since.is_some_and(|since| request.ended_at >= *since)
    };
    check_each(requests, is_interrupted, |request| Violation::InterruptedRequest { op: request.op })
}
