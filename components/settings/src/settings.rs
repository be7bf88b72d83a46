//! Settings of a node, and their errors.

use std::{fmt, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use displaydoc::Display;
use lycheelatch_prelude::{InvalidValue, Name, NodeId, OperatorName, RegionName, ZoneName};

use crate::{
    GatewaySettings,
    gateway::read_gateway,
    reader::{Errors, Reader},
};

/// Settings of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Identity of the node; if missing, a new unique one is generated at the start.
    pub node: Option<NodeId>,
    /// Availability zone that the node runs in.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Settings of the callers' port.
    pub callers: CallerSettings,
    /// Settings of the operators' port.
    pub operators: OperatorSettings,
    /// Links to the other nodes; `None` for a node without peers.
    pub peers: Option<PeerSettings>,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Shutdown settings.
    pub stop: StopSettings,
    /// Log settings.
    pub log: LogSettings,
}

/// Settings of the callers' port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Maximum number of open connections per thread.
    pub max_connections: usize,
    /// Time within which a caller must send the head of a request.
    pub head_timeout: Duration,
    /// Maximum size of a request body, for every service, in bytes.
    pub max_body_bytes: u64,
    /// Maximum total size of the responses kept for callers that resume them, in bytes.
    pub max_kept_answer_bytes: u64,
}

/// Settings of the operators' port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Tokens that authenticate operators.
    pub tokens: Vec<OperatorTokenSettings>,
}

/// Token of one operator.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorTokenSettings {
    /// Name recorded in the audit trail.
    pub name: OperatorName,
    /// Permissions of the operator.
    pub role: OperatorRole,
    /// Salted hash of the token, in the form `salt.hash`.
    pub hash: String,
}

impl fmt::Debug for OperatorTokenSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = f.debug_struct("OperatorTokenSettings");
        shown.field("name", &self.name).field("role", &self.role).finish_non_exhaustive()
    }
}

/// Permissions of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorRole {
    /// Read everything.
    Read,
    /// Read and change everything.
    Change,
}

/// Settings of the links to the other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the cluster; connections of nodes of other clusters are rejected.
    pub cluster: Name,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address at which other nodes reach this node.
    pub advertise: SocketAddr,
    /// Addresses of nodes to contact in order to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// File with the cluster's certificate authority, in PEM.
    pub ca_file: PathBuf,
    /// File with the node's certificate, in PEM.
    pub certificate_file: PathBuf,
    /// File with the private key of the node's certificate, in PEM.
    pub key_file: PathBuf,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The key-value service.
    pub key_value: KeyValueSettings,
    /// The instance list.
    pub instances: EndpointSettings,
    /// The cloud API; `None`: reclaims are detected from the instance list only.
    pub cloud: Option<EndpointSettings>,
    /// The weight store.
    pub weights: Option<EndpointSettings>,
}

/// The key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValueSettings {
    /// Address and timeouts.
    pub endpoint: EndpointSettings,
    /// Limit on writes per second, over all nodes.
    pub writes_per_second: u32,
    /// Limit on reads per second, over all nodes.
    pub reads_per_second: u32,
}

/// An HTTP service of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Base URL, such as `http://10.0.0.5:8500`.
    pub url: String,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Poll interval, for a service that is polled.
    pub poll: Duration,
}

/// Shutdown settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopSettings {
    /// Time from the termination signal to the end of the process.
    pub notice: Duration,
}

/// Log settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Most verbose level that is logged.
    pub level: log::LevelFilter,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Error of settings that could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// the settings are not valid JSON: {0}
    Syntax(String),
    /// the settings are invalid: {0:?}
    Invalid(Vec<InvalidValue>),
}

impl std::error::Error for SettingsError {}

impl SettingsError {
    /// Returns one message per error.
    pub fn lines(&self) -> Vec<String> {
        match self {
            SettingsError::Syntax(_) => vec![self.to_string()],
            SettingsError::Invalid(errors) => errors.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Settings of a node of either kind.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeSettings {
    /// A node with the proxy and the operators' API.
    Proxy(Settings),
    /// A gateway to a platform's instances.
    Gateway(GatewaySettings),
}

impl NodeSettings {
    /// Reads settings from JSON.
    ///
    /// Fails with all errors in them at once.
    pub fn from_json(text: &str) -> Result<NodeSettings, SettingsError> {
        let is_gateway = parse_json(text)?.get("gateway").is_some();
        if !is_gateway {
            return Settings::from_json(text).map(NodeSettings::Proxy);
        }
        let read = |mut r: Reader<'_>| {
            let gateway = read_gateway(r.object("gateway"));
            r.finish();
            gateway
        };
        read_checked(text, read).map(NodeSettings::Gateway)
    }
}

impl Settings {
    /// Reads settings from JSON.
    ///
    /// Fails with all errors in them at once.
    pub fn from_json(text: &str) -> Result<Settings, SettingsError> {
        read_checked(text, read_settings)
    }
}

fn parse_json(text: &str) -> Result<serde_json::Value, SettingsError> {
    serde_json::from_str(text).map_err(|err| SettingsError::Syntax(err.to_string()))
}

fn read_checked<T>(
    text: &str,
    read: impl FnOnce(Reader<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    let errors = Errors::default();
    let settings = read(Reader::new("", parse_json(text)?, &errors));
    let errors = errors.into_vec();
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(SettingsError::Invalid(errors)),
    }
}

pub(crate) fn parsed<T: FromStr<Err = InvalidValue>>(text: &str) -> Result<T, String> {
    text.parse().map_err(|err: InvalidValue| err.reason)
}

pub(crate) fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| "must be an IP address and a port, such as 10.0.0.7:8080".to_owned())
}

fn path(text: &str) -> Result<PathBuf, String> {
    if text.is_empty() { Err("must not be empty".to_owned()) } else { Ok(text.into()) }
}

fn url(text: &str) -> Result<String, String> {
    let rest = text.strip_prefix("http://").ok_or("must start with http://")?;
    match rest.trim_end_matches('/') {
        "" => Err("must have a host".to_owned()),
        rest if rest.contains(char::is_whitespace) => Err("must not contain whitespace".to_owned()),
        rest => Ok(format!("http://{rest}")),
    }
}

fn read_settings(mut r: Reader<'_>) -> Option<Settings> {
    let node = r.optional("node", parsed);
    let zone = r.required("zone", parsed);
    let region = r.required("region", parsed);
    let callers = read_callers(r.object("callers"));
    let operators = read_operators(r.object("operators"));
    let peers = r.optional_object("peers").map(read_peers);
    let platform = read_platform(r.object("platform"));
    let stop = read_stop(r.object("stop"));
    let log = read_log(r.object("log"));
    r.finish();
    Some(Settings {
        node,
        zone: zone?,
        region: region?,
        callers: callers?,
        operators: operators?,
        peers: match peers {
            Some(peers) => Some(peers?),
            None => None,
        },
        platform: platform?,
        stop,
        log,
    })
}

fn read_callers(mut r: Reader<'_>) -> Option<CallerSettings> {
    let listen = r.required("listen", address);
    let workers = r.number("workers", 1..=64, 1) as usize;
    let max_connections = r.number("max_connections", 1..=1_000_000, 10_000) as usize;
    let head_timeout = r.duration("head_timeout", Duration::from_secs(5));
    let max_body_bytes = r.size("max_body", 16 << 20);
    let max_kept_answer_bytes = r.size("max_kept_answers", 16 << 20);
    r.finish();
    Some(CallerSettings {
        listen: listen?,
        workers,
        max_connections,
        head_timeout,
        max_body_bytes,
        max_kept_answer_bytes,
    })
}

fn read_operators(mut r: Reader<'_>) -> Option<OperatorSettings> {
    let listen = r.required("listen", address);
    let tokens: Vec<_> = r.objects("tokens").into_iter().map(read_operator_token).collect();
    r.finish();
    Some(OperatorSettings { listen: listen?, tokens: tokens.into_iter().collect::<Option<_>>()? })
}

fn read_operator_token(mut r: Reader<'_>) -> Option<OperatorTokenSettings> {
    let name = r.required("name", parsed);
    let role = r.required("role", |text| match text {
        "read" => Ok(OperatorRole::Read),
        "change" => Ok(OperatorRole::Change),
        _ => Err("must be read or change".to_owned()),
    });
    let hash = r.required("hash", |text| Ok(text.to_owned()));
    r.finish();
    Some(OperatorTokenSettings { name: name?, role: role?, hash: hash? })
}

fn read_peers(mut r: Reader<'_>) -> Option<PeerSettings> {
    let cluster = r.required("cluster", parsed);
    let listen = r.required("listen", address);
    let advertise = r.optional("advertise", address);
    let seeds = r.list("seeds", address);
    let ca_file = r.required("ca_file", path);
    let certificate_file = r.required("certificate_file", path);
    let key_file = r.required("key_file", path);
    r.finish();
    Some(PeerSettings {
        cluster: cluster?,
        listen: listen?,
        advertise: advertise.or(listen)?,
        seeds,
        ca_file: ca_file?,
        certificate_file: certificate_file?,
        key_file: key_file?,
    })
}

fn read_platform(mut r: Reader<'_>) -> Option<PlatformSettings> {
    let key_value = read_key_value(r.object("key_value"));
    let instances = read_endpoint(r.object("instances"));
    let cloud = r.optional_object("cloud").map(read_endpoint);
    let weights = r.optional_object("weights").map(read_endpoint);
    r.finish();
    Some(PlatformSettings {
        key_value: key_value?,
        instances: instances?,
        cloud: cloud.flatten(),
        weights: weights.flatten(),
    })
}

fn read_key_value(mut r: Reader<'_>) -> Option<KeyValueSettings> {
    let writes_per_second = r.number("writes_per_second", 1..=1_000_000, 300) as u32;
    let reads_per_second = r.number("reads_per_second", 1..=1_000_000, 1_500) as u32;
    let endpoint = read_endpoint(r);
    Some(KeyValueSettings { endpoint: endpoint?, writes_per_second, reads_per_second })
}

fn read_endpoint(mut r: Reader<'_>) -> Option<EndpointSettings> {
    let url = r.required("url", url);
    let timeout = r.duration("timeout", Duration::from_secs(2));
    let poll = r.duration("poll", Duration::from_secs(1));
    r.finish();
    Some(EndpointSettings { url: url?, timeout, poll })
}

fn read_stop(mut r: Reader<'_>) -> StopSettings {
    let notice = r.duration("notice", Duration::from_secs(30));
    r.finish();
    StopSettings { notice }
}

pub(crate) fn read_log(mut r: Reader<'_>) -> LogSettings {
    let format = r.optional("format", |text| match text {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err("must be text or json".to_owned()),
    });
    let level = r.optional("level", |text| {
        text.parse().map_err(|_| "must be off, error, warn, info, debug or trace".to_owned())
    });
    r.finish();
    LogSettings {
        format: format.unwrap_or(LogFormat::Text),
        level: level.unwrap_or(log::LevelFilter::Info),
    }
}
