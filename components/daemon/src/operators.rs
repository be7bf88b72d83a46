//! HTTP server for operators.

use std::{net::SocketAddr, sync::Arc};

use actix_web::{App, HttpServer, dev::Server};
use lycheelatch_config::TokenHash;
use lycheelatch_operator::{OperatorApi, OperatorToken, Role};
use lycheelatch_settings::{OperatorRole, OperatorSettings, OperatorTokenSettings};

use crate::StartError;

/// Maximum number of concurrent connections on the operators' port.
const MAX_CONNECTIONS: usize = 256;

/// Binds the operators' port; returns the server and its local address.
pub(crate) fn serve(
    cfg: &OperatorSettings,
    api: Arc<OperatorApi>,
) -> Result<(Server, SocketAddr), StartError> {
    let configure = api.configure();
    let app = move || App::new().configure(configure.clone());
    let listen_error = |source| StartError::Listen { addr: cfg.listen, source };
    let server = HttpServer::new(app)
        .workers(1)
        .max_connections(MAX_CONNECTIONS)
        .disable_signals()
        .bind(cfg.listen)
        .map_err(listen_error)?;
    let addr = server.addrs().first().copied().unwrap_or(cfg.listen);
    Ok((server.run(), addr))
}

/// Converts the operators' tokens from the settings.
///
/// Fails on a malformed token hash.
pub(crate) fn tokens(cfg: &OperatorSettings) -> Result<Vec<OperatorToken>, StartError> {
    cfg.tokens.iter().map(token).collect()
}

fn token(cfg: &OperatorTokenSettings) -> Result<OperatorToken, StartError> {
    let hash = TokenHash::try_from(cfg.hash.clone())
        .map_err(|_| StartError::OperatorToken(cfg.name.clone()))?;
    let role = match cfg.role {
        OperatorRole::Read => Role::Read,
        OperatorRole::Change => Role::Change,
    };
    Ok(OperatorToken { name: cfg.name.clone(), role, hash })
}
