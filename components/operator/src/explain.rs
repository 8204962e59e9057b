//! Question to a relay where a request would go now.

use cyclamengrade_explanation::{Answer, Question};

use crate::{
    Error,
    wire::{Call, Server},
};

/// Asks a relay what it would do with a request now. `relay` is the address of its metrics, a host and a port.
/// The key of the request is sent in a header only.
///
/// # Errors
///
/// The question is invalid, or the relay is unreachable or of a build that does not explain.
pub async fn explain(
    relay: impl Into<String>,
    question: &Question,
    key: Option<String>,
) -> Result<Answer, Error> {
    question.check().map_err(Error::Argument)?;
    let server = Server { address: relay.into(), token: key, admin_token: None };
    server.json(Call::get(question.target())).await
}
