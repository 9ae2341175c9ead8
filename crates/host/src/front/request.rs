//! Reads a caller's request: authenticates the key, parses the headers, and reads and checks the
//! statement in the body.

use super::{Context, body};
use crate::auth::{self, Identity};
use crate::exec::{Caller, Job, permit};
use crate::settings::Defect;
use crate::shared::Host;
use bergamotvale_core::id::{ServiceId, Time};
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::{Freshness, Statement};
use bergamotvale_core::{idempotency, sql};
use std::pin::Pin;
use std::time::Duration;
use xitca_web::body::BodyExt;
use xitca_web::http::HeaderMap;

const AUTHORIZATION: &str = "authorization";
const SESSION: &str = "bergamotvale-session";
const MAX_AGE: &str = "bergamotvale-max-age";
const TIMEOUT: &str = "bergamotvale-timeout";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// An authenticated key, with its text as the caller presented it.
pub struct PresentedKey {
    /// Id of the key and its client account.
    pub identity: Identity,
    text: String,
}

/// Authenticates the key of a request.
///
/// Checks the size of the headers first, and that this host may act on its configuration.
pub fn authenticate(ctx: &Context<'_>, host: &Host) -> Result<PresentedKey, Refusal> {
    let headers = ctx.req().headers();
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size > host.settings.limits.headers {
        let detail = format!("headers over {} bytes", host.settings.limits.headers);
        return Err(Refusal::new(Reason::TooLarge, detail));
    }
    permit::verify_authority(host)?;
    let presented = header_text(headers, AUTHORIZATION)?.and_then(|v| v.strip_prefix("Bearer "));
    let presented = presented.ok_or_else(|| Refusal::new(Reason::KeyUnknown, "no key"))?;
    let ignores_withdrawal = host.settings.policy.defects.contains(&Defect::IgnoreWithdrawal);
    let identify = if ignores_withdrawal { auth::identify_ignoring_state } else { auth::identify };
    let identity = identify(&host.document(), presented)
        .map_err(|reason| Refusal::new(reason, "the key is refused"))?;
    Ok(PresentedKey { identity, text: presented.to_owned() })
}

/// The service with this name, if the client account may use it.
pub fn find_service(host: &Host, identity: Identity, name: &str) -> Result<ServiceId, Refusal> {
    let document = host.document();
    let service = document.service_named(name);
    let service = service.ok_or_else(|| Refusal::new(Reason::NotFound, "no such service"))?;
    let account = document.accounts.get(&identity.account);
    if !account.is_some_and(|account| account.services.contains(&service)) {
        return Err(Refusal::new(Reason::NotAllowed, "the client account may not use it"));
    }
    Ok(service)
}

/// Reads and checks a request with a statement for the service with this name.
pub async fn read_job(ctx: &Context<'_>, host: &Host, name: &str) -> Result<Job, Refusal> {
    let presented = authenticate(ctx, host)?;
    let service = find_service(host, presented.identity, name)?;
    let headers = ctx.req().headers();
    let deadline = deadline(headers, host)?;
    let token = token(headers)?;
    let freshness = freshness(headers)?;
    let idempotency_key = idempotency_key(headers)?;
    let statement = read_statement(ctx, host, &presented).await?;
    let caller = Caller::Key(presented.identity);
    Ok(Job { caller, service, statement, token, freshness, idempotency_key, deadline })
}

/// Reads the statement in the body and checks it: its size, that it does not contain the presented
/// key, and its syntax.
pub async fn read_statement(
    ctx: &Context<'_>,
    host: &Host,
    presented: &PresentedKey,
) -> Result<Statement, Refusal> {
    let limits = &host.settings.limits;
    let body = read_body(ctx, limits.body).await?;
    let statement = body::parse_statement(&body).map_err(|e| Refusal::new(Reason::Malformed, e))?;
    if statement.sql.len() > limits.statement {
        let detail = format!("statement over {} bytes", limits.statement);
        return Err(Refusal::new(Reason::TooLarge, detail));
    }
    let secret = auth::secret(&presented.text).unwrap_or(&presented.text);
    if sql::contains_secret(&statement, secret) {
        let detail = "the statement contains the key that came with it";
        return Err(Refusal::new(Reason::KeyInStatement, detail));
    }
    sql::verify(&statement.sql)?;
    Ok(statement)
}

/// Token of the caller's session; an empty one if the header is absent.
pub fn token(headers: &HeaderMap) -> Result<Token, Refusal> {
    match header_text(headers, SESSION)? {
        Some(token) => token.parse().map_err(|_| malformed(SESSION)),
        None => Ok(Token::new()),
    }
}

/// Deadline of the request: the timeout that the caller states, up to the ceiling, or the default.
pub fn deadline(headers: &HeaderMap, host: &Host) -> Result<Time, Refusal> {
    let timeouts = &host.settings.timeouts;
    let stated = header_duration(headers, TIMEOUT)?.unwrap_or(timeouts.request);
    Ok(host.clock.now() + stated.min(timeouts.request_ceiling))
}

fn freshness(headers: &HeaderMap) -> Result<Freshness, Refusal> {
    let age = header_duration(headers, MAX_AGE)?;
    Ok(age.map_or(Freshness::Session, Freshness::MaxAge))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(key) = header_text(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    idempotency::verify(key)?;
    Ok(Some(key.to_owned()))
}

fn header_duration(headers: &HeaderMap, name: &str) -> Result<Option<Duration>, Refusal> {
    let Some(stated) = header_text(headers, name)? else { return Ok(None) };
    humantime::parse_duration(stated).map(Some).map_err(|_| malformed(name))
}

/// Reads and ignores the body of a request that needs none.
pub async fn discard_body(ctx: &Context<'_>, host: &Host) -> Result<(), Refusal> {
    read_body(ctx, host.settings.limits.body).await.map(drop)
}

async fn read_body(ctx: &Context<'_>, max_bytes: usize) -> Result<Vec<u8>, Refusal> {
    let mut body = std::mem::take(&mut *ctx.body_borrow_mut());
    let mut bytes = Vec::new();
    while let Some(chunk) = Pin::new(&mut body).data().await {
        let chunk = chunk.map_err(|_| malformed("body"))?;
        if bytes.len() + chunk.len() > max_bytes {
            // Put the rest back: the connection closes if the body is left unread.
            *ctx.body_borrow_mut() = body;
            return Err(Refusal::new(Reason::TooLarge, format!("body over {max_bytes} bytes")));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed(name));
    }
    value.to_str().map(Some).map_err(|_| malformed(name))
}

fn malformed(what: &str) -> Refusal {
    Refusal::new(Reason::Malformed, format!("malformed {what}"))
}
