//! `lycheelatch delete`: removes objects.

use clap::ArgMatches;
use lycheelatch_config::{ObjectKey, ObjectKind};
use lycheelatch_operator::DeleteRequest;
use lycheelatch_prelude::Name;

use super::{change_options, client, format_change};
use crate::{
    CliError, Output,
    cli::{output_format, string_arg},
};

pub(super) async fn run(args: &ArgMatches) -> Result<Output, CliError> {
    let kind = string_arg(args, "kind").unwrap_or_default();
    let kind = ObjectKind::ALL.into_iter().find(|known| known.plural() == kind);
    let kind = kind.expect("clap allows only known kinds");
    let names = args.get_many::<String>("name").unwrap_or_default();
    let objects = names
        .map(|name| Ok(ObjectKey { kind, name: name.parse::<Name>()? }))
        .collect::<Result<Vec<_>, _>>()
        .map_err(CliError::Argument)?;
    let (id, options) = change_options(args)?;
    let request = DeleteRequest { options, objects };
    let response = client(args)?.change("/v1/delete", id, &request).await?;
    Ok(Output::success(output_format(args).render(&response, format_change)))
}
