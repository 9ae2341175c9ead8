//! Handlers of the callers' routes: reads, writes and the steps of transactions.

use super::{Context, State, body, request, respond, run_while_connected, stream};
use crate::exec::{self, Caller, Job, forward, permit};
use bergamotvale_core::id::{Time, TransactionId};
use bergamotvale_core::peer::{Outcome, Step};
use bergamotvale_core::refusal::{Reason, Refusal};
use bergamotvale_core::session::Token;
use bergamotvale_core::statement::{Freshness, Statement};
use serde_json::json;
use std::result::Result;
use xitca_web::handler::params::Params;
use xitca_web::http::{StatusCode, WebResponse};

pub(super) async fn read(ctx: &Context<'_>, Params(service): Params<String>) -> WebResponse {
    let host = &ctx.state().host;
    let answer = match request::read_job(ctx, host, &service).await {
        Ok(job) => serve_read(ctx, job).await,
        Err(refusal) => Err(refusal),
    };
    respond(ctx, answer)
}

pub(super) async fn open(ctx: &Context<'_>, Params(route): Params<String>) -> WebResponse {
    let answer = match open_job(ctx, &route) {
        Ok(job) => serve_read(ctx, job).await,
        Err(refusal) => Err(refusal),
    };
    respond(ctx, answer)
}

fn open_job(ctx: &Context<'_>, name: &str) -> Result<Job, Refusal> {
    let host = &ctx.state().host;
    let document = host.document();
    let route = document.routes.get(name);
    let route = route.ok_or_else(|| Refusal::new(Reason::NotFound, "no such route"))?;
    Ok(Job {
        caller: Caller::Open(name.to_owned(), route.account),
        service: route.service,
        statement: Statement { sql: route.sql.clone(), params: Vec::new() },
        token: Token::new(),
        freshness: Freshness::MaxAge(route.max_age),
        idempotency_key: None,
        deadline: request::deadline(ctx.req().headers(), host)?,
    })
}

async fn serve_read(ctx: &Context<'_>, job: Job) -> Result<WebResponse, Refusal> {
    let State { host, callers, .. } = ctx.state();
    permit::verify(host, &job.caller, job.service)?;
    permit::admit(host, &job.caller, job.deadline).await?;
    let (worker, work) = (host.clone(), job.clone());
    let read = async move { exec::read::run(&worker, work).await };
    let (answer, rest) = run_while_connected(ctx, read).await?;
    let Some(rest) = rest else { return Ok(body::response(&answer)) };
    let caller = (callers.clone(), *ctx.req().body().socket_addr());
    let body = stream::body(host.clone(), caller, job, &answer, rest);
    Ok(body::with_headers(WebResponse::new(body), &answer))
}

pub(super) async fn write(ctx: &Context<'_>, Params(service): Params<String>) -> WebResponse {
    let host = &ctx.state().host;
    let answer = match request::read_job(ctx, host, &service).await {
        Ok(job) => serve_write(ctx, job).await,
        Err(refusal) => Err(refusal),
    };
    respond(ctx, answer)
}

async fn serve_write(ctx: &Context<'_>, job: Job) -> Result<WebResponse, Refusal> {
    let host = ctx.state().host.clone();
    permit::verify(&host, &job.caller, job.service)?;
    permit::admit(&host, &job.caller, job.deadline).await?;
    let answer =
        run_while_connected(ctx, async move { exec::write::run(&host, job).await }).await?;
    Ok(body::response(&answer))
}

pub(super) async fn begin(ctx: &Context<'_>, Params(service): Params<String>) -> WebResponse {
    respond(ctx, serve_begin(ctx, &service).await)
}

async fn serve_begin(ctx: &Context<'_>, service: &str) -> Result<WebResponse, Refusal> {
    let host = ctx.state().host.clone();
    if host.is_stopping() {
        return Err(Refusal::new(Reason::Stopping, "this host is stopping"));
    }
    let identity = request::authenticate(ctx, &host)?.identity;
    let service = request::find_service(&host, identity, service)?;
    let deadline = request::deadline(ctx.req().headers(), &host)?;
    request::discard_body(ctx, &host).await?;
    permit::admit(&host, &Caller::Key(identity), deadline).await?;
    let begin = async move { exec::transaction::begin(&host, identity, service, deadline).await };
    let id = run_while_connected(ctx, begin).await?;
    let body = json!({"transaction": format!("{id:016x}")});
    Ok(body::without_rows(StatusCode::CREATED, &body, None))
}

pub(super) async fn run(ctx: &Context<'_>, Params(id): Params<String>) -> WebResponse {
    respond(ctx, serve_run(ctx, &id).await)
}

async fn serve_run(ctx: &Context<'_>, id: &str) -> Result<WebResponse, Refusal> {
    let host = &ctx.state().host;
    let presented = request::authenticate(ctx, host)?;
    let id = parse_transaction_id(id)?;
    let deadline = request::deadline(ctx.req().headers(), host)?;
    let statement = request::read_statement(ctx, host, &presented).await?;
    let caller = Caller::Key(presented.identity);
    permit::admit(host, &caller, deadline).await?;
    let outcome = step(ctx, id, caller, Step::Run(statement), deadline).await?;
    let rows = outcome.result?;
    let mut response = WebResponse::new(body::result(&rows).into());
    response.headers_mut().insert(body::CONTENT_TYPE, body::JSON);
    Ok(response)
}

pub(super) async fn commit(ctx: &Context<'_>, Params(id): Params<String>) -> WebResponse {
    respond(ctx, serve_end(ctx, &id, Step::Commit).await)
}

pub(super) async fn rollback(ctx: &Context<'_>, Params(id): Params<String>) -> WebResponse {
    respond(ctx, serve_end(ctx, &id, Step::Rollback).await)
}

async fn serve_end(ctx: &Context<'_>, id: &str, end: Step) -> Result<WebResponse, Refusal> {
    let host = &ctx.state().host;
    let identity = request::authenticate(ctx, host)?.identity;
    let id = parse_transaction_id(id)?;
    let headers = ctx.req().headers();
    let deadline = request::deadline(headers, host)?;
    request::discard_body(ctx, host).await?;
    let mut token = request::token(headers)?;
    let outcome = step(ctx, id, Caller::Key(identity), end, deadline).await?;
    outcome.advance(&mut token);
    outcome.result?;
    Ok(body::without_rows(StatusCode::OK, &json!({}), Some(&token)))
}

/// Runs a step of a transaction, on this host or on the one that owns the transaction.
async fn step(
    ctx: &Context<'_>,
    id: TransactionId,
    caller: Caller,
    step: Step,
    deadline: Time,
) -> Result<Outcome, Refusal> {
    let host = ctx.state().host.clone();
    let work = async move {
        if exec::transaction::owner(id) == host.settings.host {
            return Ok(exec::transaction::step(&host, id, &caller, step, deadline).await);
        }
        forward::step(&host, id, &caller, step, deadline).await
    };
    run_while_connected(ctx, work).await
}

fn parse_transaction_id(id: &str) -> Result<TransactionId, Refusal> {
    let id = Some(id).filter(|id| id.len() == 16);
    let id = id.and_then(|id| TransactionId::from_str_radix(id, 16).ok());
    id.ok_or_else(|| Refusal::new(Reason::NotFound, "no such transaction"))
}
