//! Prints the configuration document of the example site Tessiture.
//!
//! Run `cargo run -p cyclamengrade-operator --example tessiture > config.json` and then
//! `cyclamengrade config plan config.json`.

use std::error::Error;

use cyclamengrade_operator::{Client, Configuration, Deployment, Fencing, Limit, Model, print};

fn main() -> Result<(), Box<dyn Error>> {
    let document = Configuration::new()
        .with_model(
            "telaio",
            Model::new()
                .with_version("2026-09", "telaio/2026-09")
                .with_version("2026-11", "telaio/2026-11"),
        )
        .with_deployment(
            "telaio-lm",
            Deployment::model("telaio", "2026-11")
                .with_adapter("labels")
                .with_fencing(Fencing::Checked)
                .with_targets_ms(2_000, 79),
        )
        // Requests are not idempotent: a repeated one would place an order in the warehouse twice.
        .with_deployment("magazzino-app", Deployment::service().with_idempotent(false))
        .with_client(
            "confirmations",
            Client::new("example-token-confirmations")
                .with_weight(4)
                .with_limit("telaio-lm", Limit::new().with_requests_per_s(60.0))
                .with_limit("magazzino-app", Limit::new().with_concurrent_requests(8)),
        )
        .with_client(
            "catalogue",
            Client::new("example-token-catalogue").with_limit(
                "*",
                Limit::new()
                    .with_requests_per_s(10.0)
                    .with_concurrent_requests(20)
                    .with_open_jobs(4),
            ),
        )
        .finish()?;
    print!("{}", print(&document)?);
    Ok(())
}
