//! Step that begins interactive transactions on one host and ends them through another.

use super::Outcome;
use super::walkthrough::{LOOM, ORDERS, Walkthrough, insert_statement};
use crate::client::caller::{Operation, Request, Response};

/// Index of the host that begins the transactions.
const BEGIN_HOST: usize = 1;
/// Index of the host that ends the transactions.
const END_HOST: usize = 3;

/// Checks that the row of the committed transaction is on all targets, and that of the transaction
/// that was rolled back on none.
pub(super) async fn commit_elsewhere(walkthrough: &mut Walkthrough) -> Outcome {
    let committed = walkthrough.new_bolt();
    let rolled_back = walkthrough.new_bolt();
    run_transaction(walkthrough, committed, Operation::Commit).await?;
    walkthrough.record_outcome(ORDERS, committed, None);
    run_transaction(walkthrough, rolled_back, Operation::Rollback).await?;
    walkthrough.wait_until_caught_up(ORDERS).await?;
    for target in 0..walkthrough.system.groups[ORDERS].targets().len() {
        let committed_rows = walkthrough.count_rows(ORDERS, target, committed)?;
        let rolled_back_rows = walkthrough.count_rows(ORDERS, target, rolled_back)?;
        if (committed_rows, rolled_back_rows) != (1, 0) {
            let found = format!(
                "{committed_rows} rows of committed bolt {committed}, {rolled_back_rows} of rolled \
                 back bolt {rolled_back}"
            );
            return Err(format!("target {target} has {found}"));
        }
    }
    Ok(format!(
        "begun on host 2 and committed through host 4: bolt {committed} on all targets; rolled \
         back: bolt {rolled_back} on none"
    ))
}

/// Begins a transaction, inserts `bolt` and ends the transaction through another host.
async fn run_transaction(
    walkthrough: &Walkthrough,
    bolt: u64,
    ending: fn(String) -> Operation,
) -> Result<(), String> {
    let begin =
        walkthrough.request(LOOM, Operation::Begin(walkthrough.service_name(ORDERS).to_owned()));
    let begun = send(walkthrough, BEGIN_HOST, &begin).await?;
    let id = begun.transaction.ok_or("the response to begin contains no transaction")?;
    let run = walkthrough.request(LOOM, Operation::Run(id.clone(), insert_statement(bolt)));
    send(walkthrough, BEGIN_HOST, &run).await?;
    let end = walkthrough.request(LOOM, ending(id));
    send(walkthrough, END_HOST, &end).await?;
    Ok(())
}

async fn send(
    walkthrough: &Walkthrough,
    host: usize,
    request: &Request,
) -> Result<Response, String> {
    let result = walkthrough.system.caller(host).send(request).await;
    result.map_err(|failure| format!("transaction on host {}: {failure}", host + 1))
}
