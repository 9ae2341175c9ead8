//! Refusals as problem documents (RFC 9457).

use bergamotvale_core::refusal::{Reason, Refusal};
use serde_json::json;
use xitca_web::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use xitca_web::http::{StatusCode, WebResponse};

const CONTENT: HeaderValue = HeaderValue::from_static("application/problem+json");

/// The response that reports `refusal`, with the status of its reason.
pub fn response(refusal: &Refusal) -> WebResponse {
    with_status(refusal, status(refusal.reason))
}

/// The response that reports `refusal`, with this status instead of the one of its reason.
pub fn with_status(refusal: &Refusal, status: StatusCode) -> WebResponse {
    let document = json!({
        "type": format!("urn:bergamotvale:refusal:{}", refusal.reason),
        "title": refusal.reason.to_string(),
        "status": status.as_u16(),
        "detail": refusal.detail,
        "reason": refusal.reason,
        "ran": refusal.ran,
    });
    let mut response = WebResponse::new(document.to_string().into());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, CONTENT);
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_millis().div_ceil(1000);
        let value = HeaderValue::try_from(seconds.to_string()).expect("digits are a header value");
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Status code of a reason, as listed in `docs/design/callers.md`.
pub fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Malformed | Reason::KeyInStatement => StatusCode::BAD_REQUEST,
        Reason::KeyUnknown | Reason::KeyWithdrawn => StatusCode::UNAUTHORIZED,
        Reason::NotAllowed | Reason::TransactionForeign => StatusCode::FORBIDDEN,
        Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::IdempotencyInProgress | Reason::IdempotencyMismatch => StatusCode::CONFLICT,
        Reason::TransactionLost => StatusCode::GONE,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::StatementFailed => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
        Reason::DeadlineExceeded | Reason::ConnectionLost => StatusCode::GATEWAY_TIMEOUT,
        Reason::QueueTimeout
        | Reason::QueueFull
        | Reason::AuthorityLapsed
        | Reason::Stopping
        | Reason::NoPrimary
        | Reason::ReplicationLag
        | Reason::NotFresh
        | Reason::Superseded
        | Reason::ConnectionRefused
        | Reason::PeerUnreachable
        | Reason::WritesHeld => StatusCode::SERVICE_UNAVAILABLE,
    }
}
