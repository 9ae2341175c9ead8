//! Responds to requests that no handler accepts: an unknown path or method, or a path with
//! malformed parameters.
//!
//! Middleware of both listeners. It also adds `connection: close` to a response if the request's
//! body was not read to the end, because the framework then closes the connection.

use super::problem;
use bergamotvale_core::refusal::{Reason, Refusal};
use xitca_web::WebContext;
use xitca_web::error::Error;
use xitca_web::http::header::{CONNECTION, HeaderValue};
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::service::Service;

/// Value of the `connection` header that tells the caller that the connection closes after the
/// response.
pub const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Responds through `service`, or with a problem document if no handler accepts the request.
pub async fn respond<S, C>(service: &S, mut ctx: WebContext<'_, C>) -> Result<WebResponse, Error>
where
    S: for<'r> Service<WebContext<'r, C>, Response = WebResponse, Error = Error>,
    C: 'static,
{
    let mut response = match service.call(ctx.reborrow()).await {
        Ok(response) => response,
        Err(error) => {
            let Ok(bare) = Service::call(&error, ctx.reborrow()).await;
            with_problem(bare)
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

/// The framework's response with a problem document as its body; status and headers are kept.
fn with_problem(bare: WebResponse) -> WebResponse {
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
