//! `lycheelatch delete`: removes objects.

use clap::ArgMatches;
use lycheelatch_config::{ObjectKey, ObjectKind};
use lycheelatch_operator::DeleteRequest;
use lycheelatch_prelude::Name;

use super::{change_options, change_table, client};
use crate::{
    CliError, Output,
    cli::{format_of, text},
};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let kind = text(args, "kind").unwrap_or_default();
    let kind = ObjectKind::ALL.into_iter().find(|known| known.plural() == kind);
    let kind = kind.expect("clap allows only known kinds");
    let names = args.get_many::<String>("name").unwrap_or_default();
    let objects = names
        .map(|name| Ok(ObjectKey { kind, name: name.parse::<Name>()? }))
        .collect::<Result<Vec<_>, _>>()
        .map_err(CliError::Argument)?;
    let (id, options) = change_options(args)?;
    let request = DeleteRequest { options, objects };
    let answer = client(args)?.change("/v1/delete", id, &request).await?;
    Ok(Output::done(format_of(args).show(&answer, change_table)))
}
