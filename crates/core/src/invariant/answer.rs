//! Callers get whole answers to their own requests, also while a host stops as planned.

use super::{OpId, Violation, first};
use crate::id::{HostId, Time};
use std::collections::BTreeMap;

/// An answer as its caller received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The request that waited for it.
    pub op: OpId,
    /// The request that it names.
    pub named_op: OpId,
    /// Rows that the target gave.
    pub sent_rows: usize,
    /// Rows that the caller received.
    pub received_rows: usize,
}

/// How a request to a host ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Answered with a result or a refusal.
    Answered,
    /// The answer is missing or incomplete.
    Interrupted,
    /// The connection was not made: the host had nothing of it.
    NotSent,
}

/// A request to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// The request.
    pub op: OpId,
    /// The host.
    pub host: HostId,
    /// When it ended.
    pub ended_at: Time,
    /// How.
    pub completion: Completion,
}

/// Every answer is the whole one to the request that waited for it.
pub fn verify_complete(answers: &[Answer]) -> Result<(), Violation> {
    let is_wrong = |a: &Answer| a.named_op != a.op || a.received_rows != a.sent_rows;
    first(answers, is_wrong, |answer| Violation::WrongAnswer { op: answer.op })
}

/// No request to a host is cut once its planned stop began.
pub fn verify_uninterrupted(
    requests: &[Request],
    stopping: &BTreeMap<HostId, Time>,
) -> Result<(), Violation> {
    let is_cut = |request: &Request| {
        let since = stopping.get(&request.host);
        request.completion == Completion::Interrupted
            && since.is_some_and(|since| request.ended_at >= *since)
    };
    first(requests, is_cut, |request| Violation::InterruptedRequest { op: request.op })
}
