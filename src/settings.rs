//! Address of the node and token for its operator API.

use std::{fs, path::Path};

use clap::ArgMatches;
use lycheelatch_prelude::InvalidValue;
use serde::Deserialize;

use crate::CliError;

/// Contents of the settings file of the command line.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SettingsFile {
    /// Address of a node's operator port, such as `http://10.0.0.7:9090`.
    server: Option<String>,
    /// File that holds the operator's token.
    token_file: Option<String>,
}

/// Address of the node and token for its operator API.
#[derive(Clone)]
pub(crate) struct ClientSettings {
    pub(crate) server: String,
    pub(crate) token: String,
}

impl ClientSettings {
    /// Reads the settings from flags and the environment, then from the settings file.
    ///
    /// Fails if the server or the token is missing, or a file can't be read.
    pub(crate) fn from_args(matches: &ArgMatches) -> Result<ClientSettings, CliError> {
        let file = match matches.get_one::<String>("settings") {
            Some(path) => read_settings(path)?,
            None => SettingsFile::default(),
        };
        let server = matches.get_one::<String>("server").cloned().or(file.server);
        let server = check_server(&server.ok_or(CliError::NoServer)?)?;
        let token_file = matches.get_one::<String>("token-file").cloned().or(file.token_file);
        let token = match (matches.get_one::<String>("token"), token_file) {
            (Some(token), _) => token.clone(),
            (None, Some(path)) => read_file(&path)?,
            (None, None) => return Err(CliError::NoToken),
        };
        Ok(ClientSettings { server, token: token.trim().to_owned() })
    }
}

fn read_settings(path: &str) -> Result<SettingsFile, CliError> {
    serde_json::from_str(&read_file(path)?).map_err(|err| CliError::Invalid {
        path: path.to_owned(),
        errors: vec![InvalidValue::new("settings", "", err.to_string())],
    })
}

fn check_server(server: &str) -> Result<String, CliError> {
    let is_http = server.strip_prefix("http://").is_some_and(|host| !host.is_empty());
    if !is_http {
        let reason = "must be an address such as http://10.0.0.7:9090";
        return Err(CliError::Argument(InvalidValue::new("server", server, reason)));
    }
    Ok(server.trim_end_matches('/').to_owned())
}

/// Reads a file as text.
pub(crate) fn read_file(path: &str) -> Result<String, CliError> {
    fs::read_to_string(path)
        .map_err(|err| CliError::File { path: Path::new(path).to_owned(), reason: err.to_string() })
}
