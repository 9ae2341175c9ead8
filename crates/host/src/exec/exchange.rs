//! One exchange with a target: its deadline, and what its failure means.

use crate::shared::Host;
use bergamotvale_core::id::Time;
use bergamotvale_core::refusal::Refusal;
use bergamotvale_core::sqlstate::Failure;
use std::future::Future;

/// How an exchange failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Loss {
    /// The target answered with an error; its SQLSTATE and text.
    Failed(String, String),
    /// The connection broke.
    ConnectionLost,
    /// No answer came in time.
    TimedOut,
    /// The answer cannot go to the caller; the rest of it is still on its way.
    Unusable(Refusal),
}

impl Loss {
    /// Whether it counts against the target's health.
    pub fn is_target_fault(&self) -> bool {
        match self {
            Loss::Failed(code, _) => Failure::new(code).is_target_fault(),
            Loss::ConnectionLost | Loss::TimedOut => true,
            Loss::Unusable(_) => false,
        }
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

/// Waits for `work` until the given time.
pub async fn until<T>(
    host: &Host,
    time: Time,
    work: impl Future<Output = Result<T, tokio_postgres::Error>>,
) -> Result<T, Loss> {
    let deadline = host.clock.instant(time).into();
    match tokio::time::timeout_at(deadline, work).await {
        Ok(result) => result.map_err(Loss::from),
        Err(_) => Err(Loss::TimedOut),
    }
}
