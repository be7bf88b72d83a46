//! Definition of the command line and access to its arguments.

use clap::{Arg, ArgAction, ArgMatches, Command, ValueHint, builder::PossibleValuesParser};
use clap_complete::Shell;
use lycheelatch_prelude::InvalidValue;

use crate::{CliError, output::Format};

/// Object kinds accepted by the `kind` arguments.
const KINDS: [&str; 3] = ["services", "workspaces", "rules"];

/// Builds the command line definition.
pub fn command() -> Command {
    Command::new("lycheelatch")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Reads and changes the configuration of lycheelatch, and looks at its nodes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands([
            apply(),
            get(),
            delete(),
            diff(),
            history(),
            audit(),
            Command::new("status").about("Shows a node and what it knows of the others"),
            route(),
            drain(),
            check(),
            Command::new("hash-token")
                .about("Reads a token from the standard input and shows its salted hash"),
            Command::new("version").about("Shows the version of this program and of the node"),
            explain(),
            rollout(),
            completions(),
        ])
}

fn global_args() -> Vec<Arg> {
    vec![
        Arg::new("server")
            .long("server")
            .env("LYCHEELATCH_SERVER")
            .value_name("URL")
            .help("Operator port of any node, such as http://10.0.0.7:9090")
            .global(true),
        Arg::new("token")
            .long("token")
            .env("LYCHEELATCH_TOKEN")
            .hide_env_values(true)
            .hide(true)
            .help("Operator's token; better given by the environment or a file")
            .global(true),
        Arg::new("token-file")
            .long("token-file")
            .env("LYCHEELATCH_TOKEN_FILE")
            .value_name("FILE")
            .value_hint(ValueHint::FilePath)
            .help("File that holds the operator's token")
            .global(true),
        Arg::new("settings")
            .long("settings")
            .env("LYCHEELATCH_SETTINGS")
            .value_name("FILE")
            .value_hint(ValueHint::FilePath)
            .help("JSON file with the fields server and token_file")
            .global(true),
        Arg::new("output")
            .long("output")
            .short('o')
            .value_parser(["table", "json"])
            .default_value("table")
            .help("Form of the output")
            .global(true),
    ]
}

fn change_args() -> [Arg; 3] {
    [
        Arg::new("expect-revision")
            .long("expect-revision")
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .help("Change only if this is the latest revision"),
        Arg::new("dry-run")
            .long("dry-run")
            .action(ArgAction::SetTrue)
            .help("Only show what would change"),
        Arg::new("change-id")
            .long("change-id")
            .value_name("ID")
            .help("Identity of an earlier call whose outcome is unknown"),
    ]
}

fn file_arg() -> Arg {
    Arg::new("file")
        .long("file")
        .short('f')
        .value_name("FILE")
        .value_hint(ValueHint::FilePath)
        .help("Configuration file in JSON; - reads the standard input")
}

fn page_args() -> [Arg; 2] {
    [
        Arg::new("before")
            .long("before")
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .help("Show only changes before this revision"),
        Arg::new("limit")
            .long("limit")
            .value_name("NUMBER")
            .value_parser(clap::value_parser!(u64).range(1..=200))
            .default_value("50")
            .help("Most changes to show"),
    ]
}

fn kind_arg() -> Arg {
    Arg::new("kind").value_name("KIND").value_parser(PossibleValuesParser::new(KINDS))
}

fn name_arg() -> Arg {
    Arg::new("name").value_name("NAME")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Adds the objects of a file, or replaces those of the same names")
        .arg(file_arg().required(true))
        .args(change_args())
}

fn get() -> Command {
    Command::new("get")
        .about("Shows objects as they are in force at the node")
        .arg(kind_arg().help("Only objects of this kind"))
        .arg(name_arg().help("Only objects of this name"))
}

fn delete() -> Command {
    Command::new("delete")
        .about("Removes objects")
        .arg(kind_arg().required(true).help("Kind of the objects"))
        .arg(name_arg().required(true).num_args(1..).help("Names of the objects"))
        .args(change_args())
}

fn diff() -> Command {
    let revision = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .conflicts_with("file")
    };
    Command::new("diff")
        .about("Shows what a file would change, or what differs between two revisions")
        .arg(file_arg().required_unless_present("from"))
        .arg(revision("from").requires("to").help("The earlier revision"))
        .arg(revision("to").requires("from").help("The later revision"))
}

fn history() -> Command {
    Command::new("history").about("Lists the changes, newest first").args(page_args())
}

fn audit() -> Command {
    Command::new("audit")
        .about("Shows who changed what, newest first")
        .args(page_args())
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("OPERATOR")
                .help("Only changes by this operator"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(PossibleValuesParser::new(KINDS))
                .requires("name")
                .help("Only changes of the object of this kind and name"),
        )
        .arg(
            Arg::new("name")
                .long("name")
                .requires("kind")
                .help("Only changes of the object of this kind and name"),
        )
}

fn route() -> Command {
    Command::new("route")
        .about("Explains where a request would go, and why")
        .arg(Arg::new("service").value_name("SERVICE").required(true))
        .arg(
            Arg::new("labels")
                .long("labels")
                .value_name("KEY=VALUE,…")
                .help("Labels of the request"),
        )
        .arg(
            Arg::new("workspace")
                .long("workspace")
                .value_name("WORKSPACE")
                .help("Workspace of the request"),
        )
}

fn drain() -> Command {
    Command::new("drain")
        .about("Lets the node, or an upstream, finish its requests and take no new ones")
        .arg(
            Arg::new("upstream")
                .long("upstream")
                .value_name("UPSTREAM")
                .help("Drains this upstream and not the node"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a configuration file or a node's settings file, without a node")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .required(true)
                .help("File to check; - reads the standard input"),
        )
        .arg(
            Arg::new("as")
                .long("as")
                .value_parser(["configuration", "settings"])
                .help("What the file is; without it, its fields decide"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows the life of one request out of nodes' logs")
        .arg(Arg::new("request").value_name("REQUEST").required(true).help("Id of the request"))
        .arg(logs_arg())
        .arg(
            Arg::new("why")
                .long("why")
                .action(ArgAction::SetTrue)
                .help("Show the cause of how it ended, in one line"),
        )
}

fn logs_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_hint(ValueHint::FilePath)
        .num_args(0..)
        .help("Logs of any number of nodes; without one, the standard input")
}

fn rollout() -> Command {
    let service = || Arg::new("service").value_name("SERVICE").required(true);
    Command::new("rollout")
        .about("Shows the latest roll-outs out of nodes' logs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            Command::new("list").about("Lists the services and their roll-outs").arg(logs_arg()),
            Command::new("show")
                .about("Shows the state of a service's roll-out, with counts by version")
                .args([service().help("Name of the service"), logs_arg()]),
            Command::new("explain")
                .about("Shows the course of a service's roll-out and why it ended so")
                .args([service().help("Name of the service"), logs_arg()]),
        ])
}

fn completions() -> Command {
    Command::new("completions")
        .about("Writes completions for a shell")
        .arg(Arg::new("shell").required(true).value_parser(clap::value_parser!(Shell)))
}

/// Returns the output format selected by `--output`.
pub(crate) fn output_format(matches: &ArgMatches) -> Format {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Format::Json,
        _ => Format::Table,
    }
}

/// Returns a string argument.
pub(crate) fn string_arg(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<String>(name).cloned()
}

/// Returns a numeric argument, formatted as a query parameter.
pub(crate) fn number_arg(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one::<u64>(name).map(u64::to_string)
}

/// Parses a string argument.
///
/// Fails if the value is invalid.
pub(crate) fn parse_arg<T>(matches: &ArgMatches, name: &str) -> Result<Option<T>, CliError>
where
    T: std::str::FromStr<Err = InvalidValue>,
{
    let Some(value) = matches.get_one::<String>(name) else { return Ok(None) };
    value.parse().map(Some).map_err(CliError::Argument)
}
