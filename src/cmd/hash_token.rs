//! `lycheelatch hash-token`: prints the salted hash of a token, for files that must not contain
//! the token itself.

use std::io::Read;

use clap::ArgMatches;
use lycheelatch_config::{TokenHash, TokenId};
use lycheelatch_prelude::InvalidValue;
use serde::Serialize;

use super::read_text;
use crate::{CliError, Output, cli::output_format};

/// Minimum length of a token, in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Output of the subcommand.
#[derive(Serialize)]
struct HashedToken {
    hash: TokenHash,
    id: TokenId,
}

pub(super) fn run(args: &ArgMatches, stdin: &mut dyn Read) -> Result<Output, CliError> {
    let text = read_text("-", stdin)?;
    let token = text.trim();
    if token.len() < MIN_TOKEN_BYTES {
        let reason = "must be at least 16 bytes long";
        return Err(CliError::Argument(InvalidValue::new("token", "(hidden)", reason)));
    }
    let hash = TokenHash::new(token);
    let hashed = HashedToken { id: hash.id(), hash };
    let table = |hashed: &HashedToken| format!("{}\n", String::from(hashed.hash.clone()));
    Ok(Output::success(output_format(args).render(&hashed, table)))
}
