//! What no handler answers: a path or method without one, and parameters of a path that are none.
//!
//! It stands round both listeners' handlers, and says too where the connection closes: the
//! framework closes one on which a body was left unread.

use super::problem;
use bergamotvale_core::refusal::{Reason, Refusal};
use xitca_web::WebContext;
use xitca_web::error::Error;
use xitca_web::http::header::{CONNECTION, HeaderValue};
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::service::Service;

/// Tells the caller that no request after this one is read.
pub const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Answers through `service`, or with a problem document where no handler takes the request.
pub async fn settle<S, C>(service: &S, mut ctx: WebContext<'_, C>) -> Result<WebResponse, Error>
where
    S: for<'r> Service<WebContext<'r, C>, Response = WebResponse, Error = Error>,
    C: 'static,
{
    let mut response = match service.call(ctx.reborrow()).await {
        Ok(response) => response,
        Err(error) => {
            let Ok(bare) = Service::call(&error, ctx.reborrow()).await;
            explain(bare)
        }
    };
    if is_unread(&ctx) {
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    Ok(response)
}

fn is_unread<C>(ctx: &WebContext<'_, C>) -> bool {
    !matches!(&*ctx.body(), xitca_web::body::RequestBody::None)
}

/// The framework's answer with a problem document; its status and headers stay.
fn explain(bare: WebResponse) -> WebResponse {
    let status = bare.status();
    let (reason, detail) = match status {
        StatusCode::NOT_FOUND => (Reason::NotFound, "no such path"),
        StatusCode::METHOD_NOT_ALLOWED => (Reason::NotFound, "the path does not take this method"),
        _ => (Reason::Malformed, "malformed path"),
    };
    let mut response = problem::with_status(&Refusal::new(reason, detail), status);
    for (name, value) in bare.headers() {
        response.headers_mut().entry(name).or_insert(value.clone());
    }
    response
}
