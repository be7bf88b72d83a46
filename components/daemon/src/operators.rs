//! The port for operators.

use std::{net::SocketAddr, sync::Arc};

use actix_web::{App, HttpServer, dev::Server};
use lycheelatch_config::TokenHash;
use lycheelatch_operator::{OperatorApi, OperatorToken, Role};
use lycheelatch_settings::{OperatorRole, OperatorSettings, OperatorTokenSettings};

use crate::StartError;

/// Connections that are served at once on the operators' port.
const MAX_CONNECTIONS: usize = 256;

/// A server on the operators' port, and the address that it got.
pub(crate) fn serve(
    cfg: &OperatorSettings,
    api: Arc<OperatorApi>,
) -> Result<(Server, SocketAddr), StartError> {
    let configure = api.configure();
    let app = move || App::new().configure(configure.clone());
    let listen = |source| StartError::Listen { addr: cfg.listen, source };
    let server = HttpServer::new(app)
        .workers(1)
        .max_connections(MAX_CONNECTIONS)
        .disable_signals()
        .bind(cfg.listen)
        .map_err(listen)?;
    let addr = server.addrs().first().copied().unwrap_or(cfg.listen);
    Ok((server.run(), addr))
}

/// Reads the operators' tokens.
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
