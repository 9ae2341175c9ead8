//! One exchange with a target: runs it up to a deadline, classifies its failure and records the
//! outcome for ejection and failover.

use crate::shared::Host;
use crate::target::{Key, Lease};
use bergamotvale_core::id::Time;
use bergamotvale_core::log::Position;
use bergamotvale_core::refusal::Refusal;
use bergamotvale_core::sqlstate::Failure;
use futures::future::{Either, select};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use tokio_postgres::Row;

/// Why an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The target answered with an error; its SQLSTATE and text.
    Failed(String, String),
    /// The connection broke or is silent.
    ConnectionLost,
    /// The response did not arrive by the deadline.
    TimedOut,
    /// A row for the idempotency key exists already.
    Conflict,
    /// The table of outcomes does not exist.
    NoTable,
    /// The response cannot be passed to the caller, or the caller is no longer authorized. The
    /// rest of the response may still be in flight on the connection.
    Unusable(Refusal),
}

impl Error {
    /// Whether the failure counts against the target's health.
    pub fn is_target_fault(&self) -> bool {
        match self {
            Error::Failed(code, _) => Failure::new(code).is_target_fault(),
            Error::ConnectionLost | Error::TimedOut => true,
            Error::Conflict | Error::NoTable | Error::Unusable(_) => false,
        }
    }

    /// Whether the target reported that it is no longer the primary.
    pub fn is_superseded(&self) -> bool {
        matches!(self, Error::Failed(code, _) if Failure::new(code) == Failure::Superseded)
    }
}

impl From<tokio_postgres::Error> for Error {
    fn from(error: tokio_postgres::Error) -> Error {
        match error.as_db_error() {
            Some(error) => Error::Failed(error.code().code().into(), error.message().into()),
            // A parameter that could not be encoded: nothing was sent to the target.
            None if std::error::Error::source(&error).is_some_and(is_conversion) => {
                Error::Failed(CONVERSION.into(), error.to_string())
            }
            None => Error::ConnectionLost,
        }
    }
}

/// SQLSTATE of a value that is not valid for its type.
const CONVERSION: &str = "22P02";

fn is_conversion(source: &(dyn std::error::Error + 'static)) -> bool {
    source.is::<postgres_types::WrongType>()
}

/// Runs an exchange on `lease` up to `deadline`.
///
/// The connection is clean again only if the complete response has arrived, which includes an
/// error response of the target.
pub async fn run<T, E>(
    host: &Host,
    lease: &Lease,
    deadline: Time,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, Error>
where
    Error: From<E>,
{
    lease.start_exchange();
    let result = with_deadline(host, deadline, work).await;
    if result.is_ok() || matches!(result, Err(Error::Failed(..) | Error::Conflict | Error::NoTable))
    {
        lease.finish_exchange();
    }
    result
}

/// Sends `probe` and `work` in one round trip.
///
/// A healthy target responds to `probe` immediately, which distinguishes a silent connection
/// (no response to either by `probe_by`: [`Error::ConnectionLost`]) from a slow statement (a
/// response to `probe`, but none to `work` by `work_by`: [`Error::TimedOut`]).
pub async fn run_with_probe<S, T>(
    host: &Host,
    (probe_by, work_by): (Time, Time),
    probe: impl Future<Output = Result<S, tokio_postgres::Error>>,
    work: impl Future<Output = T>,
) -> Result<(S, T), Error> {
    let (probe, work) = (pin!(probe), pin!(work));
    let deadline = host.clock.instant(probe_by).into();
    // `select` polls in order, so `probe` is sent first.
    match tokio::time::timeout_at(deadline, select(probe, work)).await {
        Err(_) => Err(Error::ConnectionLost),
        Ok(Either::Left((probed, work))) => {
            let probed = probed?;
            let deadline = host.clock.instant(work_by).into();
            let done = tokio::time::timeout_at(deadline, work).await;
            Ok((probed, done.map_err(|_| Error::TimedOut)?))
        }
        Ok(Either::Right((done, probe))) => Ok((with_deadline(host, probe_by, probe).await?, done)),
    }
}

/// Waits for `work` up to `deadline`.
pub async fn with_deadline<T, E>(
    host: &Host,
    deadline: Time,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, Error>
where
    Error: From<E>,
{
    let deadline = host.clock.instant(deadline).into();
    match tokio::time::timeout_at(deadline, work).await {
        Ok(result) => result.map_err(Error::from),
        Err(_) => Err(Error::TimedOut),
    }
}

/// Records the outcome of an exchange with a target, as input for ejection and failover.
pub fn record_work(host: &Arc<Host>, key: Key, failure: Option<&Error>) {
    let succeeded = !failure.is_some_and(Error::is_target_fault);
    let now = host.clock.now();
    host.data.record_work(key, succeeded, now);
    match failure {
        Some(Error::TimedOut) => host.pools.record_timeout(key),
        _ => host.pools.record_work(now, key, succeeded),
    }
    if failure.is_some_and(Error::is_superseded) {
        host.pools.record_superseded(host, key.0);
    }
}

/// Reads a log position from the columns `term` and `index`.
pub fn position(row: &Row, term: &str, index: &str) -> crate::Result<Position> {
    let number = |column| row.try_get::<_, i64>(column).map(i64::unsigned_abs);
    Ok(Position::new(number(term)?, number(index)?))
}
