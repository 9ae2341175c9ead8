//! One exchange with a target: its deadline, and what its failure means.

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

/// How an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Loss {
    /// The target answered with an error; its SQLSTATE and text.
    Failed(String, String),
    /// The connection broke.
    ConnectionLost,
    /// No answer came in time.
    TimedOut,
    /// The row of the idempotency key exists already.
    Conflict,
    /// The table of outcomes does not exist.
    NoTable,
    /// The answer cannot go to the caller; the rest of it is still on its way.
    Unusable(Refusal),
}

impl Loss {
    /// Whether it counts against the target's health.
    pub fn is_target_fault(&self) -> bool {
        match self {
            Loss::Failed(code, _) => Failure::new(code).is_target_fault(),
            Loss::ConnectionLost | Loss::TimedOut => true,
            Loss::Conflict | Loss::NoTable | Loss::Unusable(_) => false,
        }
    }

    /// Whether the target says that it is no longer the primary.
    pub fn is_superseded(&self) -> bool {
        matches!(self, Loss::Failed(code, _) if Failure::new(code) == Failure::Superseded)
    }
}

impl From<tokio_postgres::Error> for Loss {
    fn from(error: tokio_postgres::Error) -> Loss {
        match error.as_db_error() {
            Some(error) => Loss::Failed(error.code().code().into(), error.message().into()),
            // A value that does not fit its parameter never left for the target.
            None if std::error::Error::source(&error).is_some_and(is_conversion) => {
                Loss::Failed(CONVERSION.into(), error.to_string())
            }
            None => Loss::ConnectionLost,
        }
    }
}

/// SQLSTATE of a value that does not fit its type.
const CONVERSION: &str = "22P02";

fn is_conversion(source: &(dyn std::error::Error + 'static)) -> bool {
    source.is::<postgres_types::WrongType>()
}

/// Runs an exchange on `lease` until the given time.
///
/// The connection is settled when the whole answer is here, an error of the target included.
pub async fn run<T, E>(
    host: &Host,
    lease: &Lease,
    time: Time,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, Loss>
where
    Loss: From<E>,
{
    lease.start();
    let result = until(host, time, work).await;
    if result.is_ok() || matches!(result, Err(Loss::Failed(..) | Loss::Conflict | Loss::NoTable)) {
        lease.settle();
    }
    result
}

/// Sends `sign` and `work` at once. `sign` asks what a healthy target answers at once, so that a
/// connection that went silent is told from a statement that takes its time.
pub async fn signed<S, T>(
    host: &Host,
    (sign_by, work_by): (Time, Time),
    sign: impl Future<Output = Result<S, tokio_postgres::Error>>,
    work: impl Future<Output = T>,
) -> Result<(S, T), Loss> {
    let (sign, work) = (pin!(sign), pin!(work));
    let deadline = host.clock.instant(sign_by).into();
    // Polled in order: what `sign` sends goes first.
    match tokio::time::timeout_at(deadline, select(sign, work)).await {
        Err(_) => Err(Loss::ConnectionLost),
        Ok(Either::Left((signed, work))) => {
            let signed = signed?;
            let deadline = host.clock.instant(work_by).into();
            let done = tokio::time::timeout_at(deadline, work).await;
            Ok((signed, done.map_err(|_| Loss::TimedOut)?))
        }
        Ok(Either::Right((done, sign))) => Ok((until(host, sign_by, sign).await?, done)),
    }
}

/// Waits for `work` until the given time.
pub async fn until<T, E>(
    host: &Host,
    time: Time,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, Loss>
where
    Loss: From<E>,
{
    let deadline = host.clock.instant(time).into();
    match tokio::time::timeout_at(deadline, work).await {
        Ok(result) => result.map_err(Loss::from),
        Err(_) => Err(Loss::TimedOut),
    }
}

/// Notes how a target did its work, for ejection and for failover.
pub fn worked(host: &Arc<Host>, key: Key, loss: Option<&Loss>) {
    let well = !loss.is_some_and(Loss::is_target_fault);
    let now = host.clock.now();
    host.data.worked(key, well, now);
    match loss {
        Some(Loss::TimedOut) => host.pools.timed_out(key),
        _ => host.pools.worked(now, key, well),
    }
    if loss.is_some_and(Loss::is_superseded) {
        host.pools.superseded(host, key.0);
    }
}

/// The position in two columns.
pub fn position(row: &Row, term: &str, index: &str) -> crate::Result<Position> {
    let number = |column| row.try_get::<_, i64>(column).map(i64::unsigned_abs);
    Ok(Position::new(number(term)?, number(index)?))
}
