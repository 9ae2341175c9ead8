//! Executes a parsed command line.

use crate::args::{Access, Command, Invocation, Output, grammar};
use crate::client::operator::Client;
use crate::client::report::{ConfirmedPlan, Service, Target};
use crate::error::{Error, Result};
use crate::{bench, client, explain, output, trial};
use bergamotvale_core::id::{PlanId, TargetId};
use bergamotvale_core::plan::{Intent, State};
use bergamotvale_sessions::status::Status;
use clap_complete::Shell;
use std::path::Path;
use std::time::Duration;

/// Timeout for a confirmed plan to complete.
const PLAN_TIMEOUT: Duration = Duration::from_secs(300);

/// Executes `invocation` and prints its result.
pub async fn run(invocation: Invocation) -> Result<()> {
    let output = invocation.output;
    let access = invocation.access;
    match invocation.command {
        Command::Status => {
            let status = build_client(&access)?.status().await?;
            output::print(output, &status, output::render_status)
        }
        Command::Propose { intent, yes } => propose(&access, output, &intent, yes).await,
        Command::PromoteAway { service, target, yes } => {
            let status = build_client(&access)?.status().await?;
            let found = status.services.iter().find(|known| known.name == service);
            let target =
                found.and_then(|service| choose_successor(service, target)).ok_or_else(|| {
                    Error::Verdict(format!("service {service} has no other healthy target"))
                })?;
            propose(&access, output, &Intent::Promote { service, target }, yes).await
        }
        Command::Confirm { plan, wait } => confirm(&access, output, plan, wait).await,
        Command::Plans(None) => {
            let plans = build_client(&access)?.plans().await?;
            output::print(output, plans.as_slice(), output::render_plans)
        }
        Command::Plans(Some(plan)) => {
            let plan = build_client(&access)?.plan(plan).await?;
            output::print(output, &plan, output::render_plan)
        }
        Command::KeyIssue(account) => {
            let issued = build_client(&access)?.issue_key(&account).await?;
            output::print(output, &issued, output::render_issued)
        }
        Command::KeyWithdraw(key) => {
            let accepted = build_client(&access)?.withdraw_key(key).await?;
            output::print(output, &accepted, |accepted| format!("accepted {accepted}"))
        }
        Command::ConfigPut(file) => {
            let document = read_document(&file)?;
            build_client(&access)?.put_config(document).await
        }
        Command::ConfigShow => {
            let document = build_client(&access)?.config().await?;
            output::print(output, &document, |document| {
                serde_yaml_ng::to_string(document).unwrap_or_else(|_| document.to_string())
            })
        }
        Command::Audit => {
            let audit = build_client(&access)?.audit().await?;
            output::print(output, &audit, output::render_audit)
        }
        Command::LogLevel(level) => build_client(&access)?.set_log_level(&level).await,
        Command::Explain { request, logs } => {
            let timeline = explain::explain(&request, &logs)?;
            output::print(output, timeline.as_slice(), explain::render)
        }
        Command::Sessions => {
            let status = fetch_session_status(&access).await?;
            output::print(output, &status, output::render_sessions)
        }
        Command::Completions(shell) => {
            print_completions(shell);
            Ok(())
        }
        Command::Try { keep } => trial::run(output, keep).await,
        Command::Bench(bench) => bench::run::run(&bench, output).await,
    }
}

/// Requests the state of a session host from its metrics address.
async fn fetch_session_status(access: &Access) -> Result<Status> {
    let url = format!("http://{}/status", access.host);
    let response = client::http().build()?.get(url).send().await?.error_for_status()?;
    Ok(response.json().await?)
}

async fn propose(access: &Access, output: Output, intent: &Intent, yes: bool) -> Result<()> {
    let client = build_client(access)?;
    let plan = client.propose(intent).await?;
    if !yes {
        return output::print(output, &plan, output::render_proposal);
    }
    let confirmed = client.confirm(plan.id).await?;
    wait_and_print(&client, output, confirmed).await
}

/// Returns the primary if it is not `target`, else the other healthy target with the newest data.
fn choose_successor(service: &Service, target: TargetId) -> Option<TargetId> {
    if let Some(primary) = service.primary.filter(|primary| *primary != target) {
        return Some(primary);
    }
    let is_eligible = |other: &&Target| {
        other.target != target && other.healthy && !other.ejected && other.state == "active"
    };
    let replicas = service.targets.iter().filter(is_eligible);
    replicas.min_by_key(|replica| replica.age_ms.unwrap_or(u64::MAX)).map(|other| other.target)
}

async fn confirm(access: &Access, output: Output, plan: PlanId, wait: bool) -> Result<()> {
    let client = build_client(access)?;
    let confirmed = client.confirm(plan).await?;
    if !wait {
        return output::print(output, &confirmed, output::render_confirmed);
    }
    wait_and_print(&client, output, confirmed).await
}

async fn wait_and_print(
    client: &Client,
    output: Output,
    mut confirmed: ConfirmedPlan,
) -> Result<()> {
    let ended = client.wait(confirmed.plan.id, PLAN_TIMEOUT).await;
    if let Ok(plan) = &ended {
        confirmed.plan = plan.clone();
    }
    // A new key is never returned again, so print it even if the plan's outcome is not known.
    if ended.is_ok() || confirmed.issued.is_some() {
        output::print(output, &confirmed, output::render_confirmed)?;
    }
    if ended?.state == State::Failed {
        return Err(Error::Verdict(format!("plan {}", confirmed.plan.id)));
    }
    Ok(())
}

fn build_client(access: &Access) -> Result<Client> {
    let key = read_operator_key(access.key_file.as_deref())?;
    let mut builder = client::http();
    if let Some(ca) = &access.ca {
        builder = builder.tls_certs_only([read_certificate(ca)?]);
    }
    let client = Client::new(builder.build()?, access.host, &key);
    Ok(if access.ca.is_some() { client.with_tls() } else { client })
}

fn read_certificate(file: &Path) -> Result<reqwest::Certificate> {
    let pem = read_file(file)?;
    reqwest::Certificate::from_pem(pem.as_bytes())
        .map_err(|error| Error::Usage(format!("{}: {error}", file.display())))
}

fn read_operator_key(file: Option<&Path>) -> Result<String> {
    let text = match file {
        Some(file) => read_file(file)?,
        None => std::env::var(grammar::KEY_VARIABLE).unwrap_or_default(),
    };
    let key = text.trim();
    if key.is_empty() {
        let variable = grammar::KEY_VARIABLE;
        return Err(Error::Usage(format!("no operator key: give --key-file or set {variable}")));
    }
    Ok(key.to_owned())
}

fn read_document(file: &Path) -> Result<serde_json::Value> {
    let text = read_file(file)?;
    serde_yaml_ng::from_str(&text)
        .map_err(|error| Error::Usage(format!("{}: {error}", file.display())))
}

fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file)
        .map_err(|error| Error::Usage(format!("{}: {error}", file.display())))
}

fn print_completions(shell: Shell) {
    let mut command = grammar::command();
    clap_complete::generate(shell, &mut command, "bergamotvale", &mut std::io::stdout());
}
