//! Prints results on standard output, as tables or as one JSON document.

use crate::args::Output;
use crate::client::report::{Audit, ConfirmedPlan, IssuedKey, Status};
use crate::error::{Error, Result};
use bergamotvale_core::plan::{Intent, Plan};
use bergamotvale_sessions::status as sessions;
use serde::Serialize;
use std::fmt::Write;
use std::io::Write as _;

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Prints `result` as JSON, or as the text that `render` returns for [`Output::Human`].
pub fn print<T>(output: Output, result: &T, render: fn(&T) -> String) -> Result<()>
where
    T: Serialize + ?Sized,
{
    let text = match output {
        Output::Human => render(result),
        Output::Json => json(result)?,
    };
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{}", text.trim_end())?;
    Ok(())
}

/// Formats `value` as indented JSON.
pub fn json<T: Serialize + ?Sized>(value: &T) -> Result<String> {
    serde_json::to_string_pretty(value).map_err(|error| Error::Io(error.into()))
}

/// Formats `rows` as left-aligned columns under `header`, without trailing spaces.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let widths = column_widths(header, rows);
    let mut text = format_line(header.iter().copied(), &widths);
    for row in rows {
        text.push_str(&format_line(row.iter().map(String::as_str), &widths));
    }
    text
}

fn column_widths(header: &[&str], rows: &[Vec<String>]) -> Vec<usize> {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    widths
}

fn format_line<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.zip(widths) {
        text.push_str(cell);
        let padding = width - cell.chars().count() + COLUMN_GAP;
        text.push_str(&" ".repeat(padding));
    }
    format!("{}\n", text.trim_end())
}

/// Renders a host's view of the fleet: a summary and tables of hosts, targets and accounts.
pub fn render_status(status: &Status) -> String {
    let mut text = render_summary(status);
    text.push('\n');
    text.push_str(&render_members(status));
    text.push('\n');
    text.push_str(&render_targets(status));
    text.push('\n');
    text.push_str(&render_accounts(status));
    text
}

/// Renders the state of a session host: a summary and tables of groups, targets and accounts.
pub fn render_sessions(status: &sessions::Status) -> String {
    let lease = if status.lease.held { "held" } else { "lapsed" };
    let ready = if status.ready { "ready" } else { "not ready" };
    let proof_age = text_or_dash(status.lease.proof_age_ms.map(|age| format!("{age} ms")));
    let mut text = format!(
        "host {} in {}, {ready}, {} sessions, configuration {}\n\
         lease {lease} at revision {}, proof {proof_age} old, {} hosts\n\n",
        status.host,
        status.domain,
        status.sessions,
        status.version,
        status.lease.revision,
        status.members.len(),
    );
    text.push_str(&render_session_groups(status));
    text.push('\n');
    text.push_str(&render_session_targets(status));
    text.push('\n');
    text.push_str(&render_session_accounts(status));
    text
}

fn text_or_dash(value: Option<String>) -> String {
    value.unwrap_or_else(|| "-".to_owned())
}

fn render_session_groups(status: &sessions::Status) -> String {
    let row = |(service, group): (&String, &sessions::GroupState)| {
        let state = if group.established { "leads" } else { "promoting" };
        vec![
            service.clone(),
            group.primary.clone(),
            state.to_owned(),
            group.fence.to_string(),
            group.term.to_string(),
            text_or_dash(group.position.clone()),
        ]
    };
    let rows: Vec<_> = status.groups.iter().map(row).collect();
    table(&["SERVICE", "PRIMARY", "STATE", "FENCE", "TERM", "POSITION"], &rows)
}

fn render_session_targets(status: &sessions::Status) -> String {
    let row = |(name, target): (&String, &sessions::TargetState)| {
        let state = if target.leaving { "leaving" } else { target.view.as_str() };
        vec![
            name.clone(),
            target.service.clone(),
            state.to_owned(),
            target.position.clone(),
            format!("{}/{}", target.connections, target.connection_limit),
            target.running.to_string(),
        ]
    };
    let rows: Vec<_> = status.targets.iter().map(row).collect();
    table(&["TARGET", "SERVICE", "STATE", "POSITION", "CONNECTIONS", "RUNNING"], &rows)
}

fn render_session_accounts(status: &sessions::Status) -> String {
    let row = |(name, account): (&String, &sessions::AccountState)| {
        vec![
            name.clone(),
            account.rate.to_string(),
            format!("{:.1}", account.rate_part),
            format!("{:.1}", account.burst_part),
        ]
    };
    let rows: Vec<_> = status.accounts.iter().map(row).collect();
    table(&["ACCOUNT", "RATE", "RATE HERE", "BURST HERE"], &rows)
}

fn render_summary(status: &Status) -> String {
    let authority = if status.authority.held { "held" } else { "lapsed" };
    let by = status.authority.by.as_deref().unwrap_or("nobody");
    let mut text = String::new();
    let _ = writeln!(text, "host {} incarnation {}", status.host, status.incarnation);
    let _ = writeln!(text, "configuration {}, authority {authority} by {by}", status.version);
    let change = &status.change;
    let _ =
        writeln!(text, "accepted {}, in force everywhere: {}", change.accepted, change.in_force);
    text
}

fn render_members(status: &Status) -> String {
    let rows: Vec<_> = status
        .members
        .iter()
        .map(|member| {
            vec![
                member.host.to_string(),
                member.incarnation.to_string(),
                member.version.to_string(),
                if member.leaving { "leaving" } else { "live" }.to_owned(),
                value_or_dash(member.last_heard_ms),
            ]
        })
        .collect();
    table(&["HOST", "INCARNATION", "VERSION", "STATE", "HEARD MS AGO"], &rows)
}

fn render_targets(status: &Status) -> String {
    let mut rows = Vec::new();
    for service in &status.services {
        for target in &service.targets {
            let is_primary = service.primary == Some(target.target);
            let role = if is_primary { "primary" } else { "replica" };
            rows.push(vec![
                service.name.clone(),
                target.target.to_string(),
                target.role.clone().unwrap_or_else(|| role.to_owned()),
                service.term.to_string(),
                target.state.clone(),
                health_label(target.healthy, target.ejected).to_owned(),
                value_or_dash(target.age_ms),
                plain_text(&target.applied),
            ]);
        }
    }
    let header = ["SERVICE", "TARGET", "ROLE", "TERM", "STATE", "HEALTH", "AGE MS", "APPLIED"];
    table(&header, &rows)
}

fn health_label(healthy: bool, ejected: bool) -> &'static str {
    match (healthy, ejected) {
        (_, true) => "ejected",
        (true, false) => "good",
        (false, false) => "failing",
    }
}

fn render_accounts(status: &Status) -> String {
    let rows: Vec<_> = status
        .accounts
        .iter()
        .map(|account| {
            vec![
                account.name.clone(),
                account.rate.to_string(),
                account.burst.to_string(),
                format!("{:.1}", account.held_rate),
                format!("{:.1}", account.held_burst),
            ]
        })
        .collect();
    table(&["ACCOUNT", "RATE", "BURST", "HELD RATE", "HELD BURST"], &rows)
}

/// Renders a plan with its intent and a table of its steps.
pub fn render_plan(plan: &Plan) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "plan {} ({}), from version {}", plan.id, plan.state, plan.version);
    let _ = writeln!(out, "intent: {}", format_intent(&plan.intent));
    if let Some(operator) = &plan.confirmed_by {
        let _ = writeln!(out, "confirmed by {operator}");
    }
    let rows: Vec<_> = plan
        .steps
        .iter()
        .map(|step| {
            vec![
                step.number.to_string(),
                step.state.to_string(),
                step.command.clone(),
                step.touches.clone(),
                step.check.clone(),
                step.detail.clone(),
            ]
        })
        .collect();
    out.push_str(&table(&["STEP", "STATE", "COMMAND", "TOUCHES", "CHECK", "DETAIL"], &rows));
    out
}

/// Renders a confirmed plan with the key that it issued, if any.
pub fn render_confirmed(confirmed: &ConfirmedPlan) -> String {
    let key = confirmed.issued.as_ref().map(render_issued).unwrap_or_default();
    format!("{}{key}", render_plan(&confirmed.plan))
}

/// Renders a new key, which the host returns only once.
pub fn render_issued(issued: &IssuedKey) -> String {
    format!("key {}\n{}\nIt is not shown again.\n", issued.key_id, issued.key)
}

/// Formats an intent like the command line that states it.
fn format_intent(intent: &Intent) -> String {
    match intent {
        Intent::Promote { service, target } => format!("promote {service} {target}"),
        Intent::DrainTarget { service, target } => format!("drain target {service} {target}"),
        Intent::RestoreTarget { service, target } => {
            format!("drain target {service} {target} --restore")
        }
        Intent::DrainHost { host } => format!("drain host {host}"),
        Intent::Rotate { account, key_id } => format!("rotate {account} {key_id}"),
        Intent::Rate { account, rate, burst } => {
            format!("rate {account} --rate {rate} --burst {burst}")
        }
    }
}

/// Renders a plan that is not confirmed yet, with the command that confirms it.
pub fn render_proposal(proposal: &Plan) -> String {
    format!(
        "{}\nNothing has changed. To carry it out: bergamotvale confirm {}\n",
        render_plan(proposal),
        proposal.id
    )
}

/// Renders a table of plans without their steps.
pub fn render_plans(plans: &[Plan]) -> String {
    let rows: Vec<_> = plans
        .iter()
        .map(|plan| {
            vec![
                plan.id.to_string(),
                plan.state.to_string(),
                plan.version.to_string(),
                plan.confirmed_by.clone().unwrap_or_default(),
                format_intent(&plan.intent),
            ]
        })
        .collect();
    table(&["PLAN", "STATE", "VERSION", "CONFIRMED BY", "INTENT"], &rows)
}

/// Renders the audit log as a table.
pub fn render_audit(audit: &Audit) -> String {
    let rows: Vec<_> = audit
        .entries
        .iter()
        .map(|entry| {
            vec![
                plain_text(&entry.at),
                entry.operator.clone(),
                entry.action.clone(),
                value_or_dash(entry.plan),
                entry.outcome.clone(),
            ]
        })
        .collect();
    table(&["AT", "OPERATOR", "ACTION", "PLAN", "OUTCOME"], &rows)
}

fn value_or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Formats a JSON string without quotes, and any other value as JSON.
fn plain_text(value: &serde_json::Value) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None => value.to_string(),
    }
}
