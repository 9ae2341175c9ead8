//! A caller's request, read from headers and body.

use super::{Context, body};
use crate::auth;
use crate::shared::Host;
use bergamotvale_core::id::{AccountId, ServiceId, Time};
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::Statement;
use std::pin::pin;
use std::time::Duration;
use xitca_web::body::BodyExt;
use xitca_web::http::HeaderMap;

/// A request that may be run.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Client account of the key that came with it.
    pub account: AccountId,
    /// Service that it is for.
    pub service: ServiceId,
    /// Its statement.
    pub statement: Statement,
    /// What its session has seen.
    pub token: Token,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// Reads and checks a request for the service called `name`.
pub async fn parse(ctx: &Context<'_>, host: &Host, name: &str) -> Result<Request, Refusal> {
    let document = host.document();
    let headers = ctx.req().headers();
    let presented = text(headers, "authorization")?.and_then(|v| v.strip_prefix("Bearer "));
    let presented = presented.ok_or_else(|| Refusal::new(Reason::KeyUnknown, "no key"))?;
    let identity =
        auth::identify(&document, presented).map_err(|r| Refusal::new(r, "the key is refused"))?;
    let service = document.service_named(name);
    let service = service.ok_or_else(|| Refusal::new(Reason::NotFound, "no such service"))?;
    let allowed = document.accounts.get(&identity.account);
    if !allowed.is_some_and(|account| account.services.contains(&service)) {
        return Err(Refusal::new(Reason::NotAllowed, "the client account may not use it"));
    }
    let token = match text(headers, "bergamotvale-session")? {
        Some(token) => token.parse().map_err(|_| malformed("session token"))?,
        None => Token::new(),
    };
    let deadline = host.clock.now() + timeout(headers, host)?;
    let body = read_body(ctx, host.settings.limits.body).await?;
    let statement = body::statement(&body).map_err(|e| Refusal::new(Reason::Malformed, e))?;
    Ok(Request { account: identity.account, service, statement, token, deadline })
}

fn timeout(headers: &HeaderMap, host: &Host) -> Result<Duration, Refusal> {
    let timeouts = &host.settings.timeouts;
    let Some(stated) = text(headers, "bergamotvale-timeout")? else { return Ok(timeouts.request) };
    let stated = humantime::parse_duration(stated).map_err(|_| malformed("timeout"))?;
    Ok(stated.min(timeouts.request_ceiling))
}

async fn read_body(ctx: &Context<'_>, limit: usize) -> Result<Vec<u8>, Refusal> {
    let mut body = pin!(std::mem::take(&mut *ctx.body_borrow_mut()));
    let mut bytes = Vec::new();
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk.map_err(|_| malformed("body"))?;
        if bytes.len() + chunk.len() > limit {
            return Err(Refusal::new(Reason::TooLarge, format!("body over {limit} bytes")));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| malformed("header"))
}

fn malformed(what: &str) -> Refusal {
    Refusal::new(Reason::Malformed, format!("malformed {what}"))
}
