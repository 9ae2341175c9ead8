//! An interactive transaction that begins on one host and commits through another.

use super::Outcome;
use super::story::{LOOM, ORDERS, Story, insert};
use crate::client::caller::{Operation, Request, Response};

/// Host that begins.
const FIRST: usize = 1;
/// Host that commits.
const SECOND: usize = 3;

pub(super) async fn commit_elsewhere(story: &mut Story) -> Outcome {
    let committed = story.new_bolt();
    let rolled_back = story.new_bolt();
    end(story, committed, Operation::Commit).await?;
    story.note(ORDERS, committed, None);
    end(story, rolled_back, Operation::Rollback).await?;
    story.wait_until_same(ORDERS).await?;
    for target in 0..story.system.groups[ORDERS].targets().len() {
        let kept = story.rows(ORDERS, target, committed)?;
        let gone = story.rows(ORDERS, target, rolled_back)?;
        if (kept, gone) != (1, 0) {
            let seen = format!("{kept} rows of {committed} and {gone} of {rolled_back}");
            return Err(format!("target {target} has {seen}"));
        }
    }
    Ok(format!(
        "begun on host 2 and committed through host 4: bolt {committed} on all targets; rolled \
         back: bolt {rolled_back} on none"
    ))
}

/// Begins, inserts and ends through another host.
async fn end(story: &Story, bolt: u64, how: fn(String) -> Operation) -> Result<(), String> {
    let begin = story.request(LOOM, Operation::Begin(story.service_name(ORDERS).to_owned()));
    let begun = send(story, FIRST, &begin).await?;
    let id = begun.transaction.ok_or("begin answered no transaction")?;
    let run = story.request(LOOM, Operation::Run(id.clone(), insert(bolt)));
    send(story, FIRST, &run).await?;
    let end = story.request(LOOM, how(id));
    send(story, SECOND, &end).await?;
    Ok(())
}

async fn send(story: &Story, host: usize, request: &Request) -> Result<Response, String> {
    let result = story.system.caller(host).send(request).await;
    result.map_err(|failure| format!("transaction on host {}: {failure}", host + 1))
}
