//! Counts the requests that are being served, so that a graceful stop knows when all are answered.

use super::State;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use xitca_web::WebContext;
use xitca_web::service::Service;

/// Time between two looks whether all requests are answered.
const PERIOD: Duration = Duration::from_millis(10);
/// Time for the last answers to leave after their handlers have ended.
const FLUSH: Duration = Duration::from_millis(50);

/// Number of requests that are being served.
#[derive(Clone, Default)]
pub struct Serving {
    count: Arc<AtomicUsize>,
}

/// A request that is being served, until dropped.
pub struct Served {
    count: Arc<AtomicUsize>,
}

impl Serving {
    /// None yet.
    pub fn new() -> Serving {
        Serving::default()
    }

    /// One more request.
    pub fn begin(&self) -> Served {
        self.count.fetch_add(1, Ordering::SeqCst);
        Served { count: self.count.clone() }
    }

    /// Waits until every request is answered, at most for `timeout`; says whether it is so.
    pub async fn idle(&self, timeout: Duration) -> bool {
        let idle = async {
            while self.count.load(Ordering::SeqCst) > 0 {
                tokio::time::sleep(PERIOD).await;
            }
            tokio::time::sleep(FLUSH).await;
        };
        tokio::time::timeout(timeout, idle).await.is_ok()
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a request from its headers to those of its answer.
pub(super) async fn counted<S, Res, Err>(
    service: &S,
    ctx: WebContext<'_, State>,
) -> Result<Res, Err>
where
    S: for<'r> Service<WebContext<'r, State>, Response = Res, Error = Err>,
{
    let _served = ctx.state().serving.begin();
    service.call(ctx).await
}
