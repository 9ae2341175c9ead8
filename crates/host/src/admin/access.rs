//! Authenticates operators: checks keys of the form `op_<name>_<secret>` against the salted digests
//! in the settings.

use super::Fault;
use crate::auth;
use crate::settings::Operator;
use subtle::ConstantTimeEq;
use xitca_web::http::HeaderMap;
use xitca_web::http::header::AUTHORIZATION;

const PREFIX: &str = "Bearer op_";

/// Name of the operator whose key is in `headers`. The digests are compared in constant time.
pub(super) fn identify(operators: &[Operator], headers: &HeaderMap) -> Result<String, Fault> {
    let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let presented = value.and_then(|value| value.strip_prefix(PREFIX));
    let (name, secret) =
        presented.and_then(|text| text.split_once('_')).ok_or(Fault::Unauthorized)?;
    let operator = operators.iter().find(|operator| operator.name == name);
    let operator = operator.ok_or(Fault::Unauthorized)?;
    let digest = auth::digest(&operator.salt, secret);
    match bool::from(digest.as_bytes().ct_eq(operator.digest.as_bytes())) {
        true => Ok(operator.name.clone()),
        false => Err(Fault::Unauthorized),
    }
}
