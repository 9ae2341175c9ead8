//! Long results, sent as they come.
//!
//! The body is chunked and its JSON closes only at the end. When a part cannot be had, the
//! connection is cut before the last chunk, so that no caller takes a part for the whole.

use super::body;
use super::gone::{Callers, Request};
use crate::exec::read::ResultStream;
use crate::exec::{Answer, Job};
use crate::shared::Host;
use bergamotvale_core::statement::Rows;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use xitca_web::body::{ResponseBody, StreamDataBody};
use xitca_web::bytes::Bytes;

/// A result under way.
struct Stream {
    host: Arc<Host>,
    callers: Callers,
    address: SocketAddr,
    job: Job,
    rest: Option<ResultStream>,
    _request: Request,
    first: Option<String>,
}

/// The body of a long result.
pub fn body(
    host: Arc<Host>,
    (callers, address): (Callers, SocketAddr),
    job: Job,
    answer: &Answer,
    rest: ResultStream,
) -> ResponseBody {
    let first = Some(body::opening(&answer.rows));
    let _request = callers.request(address);
    let stream = Stream { host, callers, address, job, rest: Some(rest), _request, first };
    let parts = futures::stream::unfold(stream, |mut stream| async move {
        let part = stream.next().await?;
        Some((part, stream))
    });
    ResponseBody::boxed(StreamDataBody::new(parts))
}

impl Stream {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(Bytes::from(first)));
        }
        let mut rest = self.rest.take()?;
        match rest.next_rows(&self.host, &self.job).await {
            Ok((rows, false)) => {
                self.rest = Some(rest);
                Some(Ok(Bytes::from(body::continuation(&rows))))
            }
            Ok((rows, true)) => {
                rest.finish();
                Some(Ok(Bytes::from(closing(&rows))))
            }
            Err(loss) => {
                log::warn!("a result was cut: {loss:?}");
                self.host.metric.count("read.cut");
                self.callers.cut(self.address);
                Some(Err(io::ErrorKind::ConnectionAborted.into()))
            }
        }
    }
}

fn closing(rows: &Rows) -> String {
    format!("{}],\"affected\":{}}}", body::continuation(rows), rows.affected)
}
