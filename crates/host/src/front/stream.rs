//! Streams long results to the caller.
//!
//! The body is chunked, and its JSON is complete only with the last chunk. If reading the result
//! fails, the connection is closed before the last chunk, so that no caller takes a truncated
//! result for a whole one.

use super::body;
use super::connection::{Callers, Request};
use crate::exec::read::ResultStream;
use crate::exec::{Answer, Job};
use crate::shared::Host;
use bergamotvale_core::statement::Rows;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use xitca_web::body::{ResponseBody, StreamDataBody};
use xitca_web::bytes::Bytes;

/// A result that is being sent.
struct Stream {
    host: Arc<Host>,
    callers: Callers,
    address: SocketAddr,
    job: Job,
    rest: Option<ResultStream>,
    _request: Request,
    opening: Option<String>,
}

/// The body of a long result: the rows of `answer`, then the parts that `rest` reads.
pub fn body(
    host: Arc<Host>,
    (callers, address): (Callers, SocketAddr),
    job: Job,
    answer: &Answer,
    rest: ResultStream,
) -> ResponseBody {
    let opening = Some(body::opening(&answer.rows));
    let _request = callers.start_request(address);
    let stream = Stream { host, callers, address, job, rest: Some(rest), _request, opening };
    let chunks = futures::stream::unfold(stream, |mut stream| async move {
        let chunk = stream.next().await?;
        Some((chunk, stream))
    });
    ResponseBody::boxed(StreamDataBody::new(chunks))
}

impl Stream {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(opening) = self.opening.take() {
            return Some(Ok(Bytes::from(opening)));
        }
        let mut rest = self.rest.take()?;
        match rest.next_rows(&self.host, &self.job).await {
            Ok((rows, false)) => {
                self.rest = Some(rest);
                Some(Ok(Bytes::from(body::continuation(&rows))))
            }
            Ok((rows, true)) => {
                rest.finish();
                Some(Ok(Bytes::from(last_part(&rows))))
            }
            Err(error) => {
                log::warn!(
                    "cannot read the rest of a result: {error:?}; closing the caller's connection"
                );
                self.host.metric.count("read.cut");
                self.callers.abort(self.address);
                Some(Err(io::ErrorKind::ConnectionAborted.into()))
            }
        }
    }
}

fn last_part(rows: &Rows) -> String {
    format!("{}],\"affected\":{}}}", body::continuation(rows), rows.affected)
}
