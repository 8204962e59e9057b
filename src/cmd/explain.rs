//! `explain`: prints where a relay would send a request now, and why.

use std::{io::Read, net::SocketAddr};

use cyclamengrade_operator::Question;

use crate::{
    cli::{self, Failure, Invocation, read_file},
    print,
};

pub const HELP: &str = "\
Usage: cyclamengrade explain --relay IP:PORT --host HOST
         --path PATH [OPTIONS]

Asks a relay where a request would go now, and why. Nothing
is sent to an upstream, and no slot or token is taken.

  --relay IP:PORT      the relay's metrics_listen
  --host HOST          host of the request
  --path PATH          path of the request
  --method METHOD      method of the request (POST)
  --key-file FILE      file with the key of the request;
                       - for standard input
  --prompt-tokens N    tokens that the request states, or
  --output-tokens N    those of all items of a job

USED   slots in use of all relays / slots; - if another
       relay is the broker
MINE   requests of this relay there
PACE   further requests that its pace allows now
SLOW   time between its events, relative to the others";

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

pub fn run(mut invocation: Invocation) -> Result<(), Failure> {
    let arguments = &mut invocation.arguments;
    let relay: String = arguments.value_from_str("--relay")?;
    let host: String = arguments.value_from_str("--host")?;
    let path: String = arguments.value_from_str("--path")?;
    let method: Option<String> = arguments.opt_value_from_str("--method")?;
    let key_file: Option<String> = arguments.opt_value_from_str("--key-file")?;
    let prompt: Option<u64> = arguments.opt_value_from_str("--prompt-tokens")?;
    let output: Option<u64> = arguments.opt_value_from_str("--output-tokens")?;
    invocation.finish()?;
    let relay: SocketAddr = relay.parse().map_err(|_| {
        Failure::usage(format!("{relay} is not an address; write IP:PORT such as 10.0.0.1:9000"))
    })?;
    let tokens = match (prompt, output) {
        (None, None) => None,
        (Some(prompt), Some(output)) => Some((prompt, output)),
        _ => return Err(Failure::usage("write both --prompt-tokens and --output-tokens")),
    };
    let question = Question::new(host, path).with_tokens(tokens);
    let question = match method {
        Some(method) => question.with_method(method),
        None => question,
    };
    question.check().map_err(Failure::usage)?;
    let key = key_file.as_deref().map(read_key).transpose()?;
    let answer = cli::block_on(cyclamengrade_operator::explain(relay.to_string(), &question, key))?;
    if invocation.json {
        return print::json(&answer);
    }
    print::line(&print::wrap(&answer.to_string()))
}

/// Reads a key. No error quotes it.
fn read_key(path: &str) -> Result<String, Failure> {
    let bytes = if path == STANDARD_INPUT {
        let mut bytes = Vec::new();
        std::io::stdin()
            .read_to_end(&mut bytes)
            .map_err(|cause| Failure::usage(format!("cannot read standard input: {cause}")))?;
        bytes
    } else {
        read_file(path)?
    };
    let invalid = || Failure::usage(format!("{path} does not hold one line with a key"));
    let text = String::from_utf8(bytes).map_err(|_| invalid())?;
    let key = text.trim();
    if key.is_empty() || key.chars().any(char::is_control) {
        return Err(invalid());
    }
    Ok(key.to_owned())
}
