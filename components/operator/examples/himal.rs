//! Prints the configuration document of the example site Himal.
//!
//! Run `cargo run -p cyclamengrade-operator --example himal > config.json` and then
//! `cyclamengrade config plan config.json`.

use std::error::Error;

use cyclamengrade_operator::{Client, Configuration, Deployment, Limit, Model, print};

fn main() -> Result<(), Box<dyn Error>> {
    let document = Configuration::new()
        .with_model("wording", Model::new().with_version("7", "wording/7"))
        .with_deployment("wording-llm", Deployment::model("wording", "7"))
        // Requests are not idempotent: a repeated one would print an artwork twice.
        .with_deployment("print-relay", Deployment::service().with_idempotent(false))
        .with_client(
            "labels",
            Client::new("example-token-labels")
                .with_limit("wording-llm", Limit::new().with_requests_per_s(40.0))
                .with_limit("print-relay", Limit::new().with_concurrent_requests(4)),
        )
        .with_client(
            "archive",
            Client::new("example-token-archive")
                .with_weight(3)
                .with_limit("*", Limit::new().with_requests_per_s(2.0).with_open_jobs(40)),
        )
        .finish()?;
    print!("{}", print(&document)?);
    Ok(())
}
