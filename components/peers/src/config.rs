//! Settings for communication between nodes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};

use lycheelatch_prelude::{InvalidValue, Name, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

/// Maximum length of a DNS label, in bytes.
const MAX_DNS_LABEL_BYTES: usize = 63;

/// Settings of a node's peer endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PeersConfig {
    /// ID of this node; a replacement node needs a new one.
    pub node: NodeId,
    /// Name of the cluster; nodes of other clusters are rejected.
    pub cluster: Name,
    /// Address of the UDP socket.
    #[serde(default = "default_bind")]
    pub bind: SocketAddr,
    /// Address at which other nodes reach this one; defaults to the bound address.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Availability zone of this node.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Addresses of nodes to join; more may be discovered at run time.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Certificates of this node and of the cluster's authorities.
    pub tls: TlsFiles,
    /// Names that a node's certificate must contain.
    #[serde(default)]
    pub identity: IdentityCheck,
}

/// Certificates and key of a node, in PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificates of the cluster's authorities.
    pub authorities: Pem,
    /// Certificate of this node.
    pub certificate: Pem,
    /// Private key of this node.
    pub key: Pem,
}

/// PEM text, given inline or as a file.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pem {
    /// The text itself.
    Text(String),
    /// Path of a file that contains the text.
    File(PathBuf),
}

impl std::fmt::Debug for Pem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Pem::Text(_) => f.write_str("Text(…)"),
            Pem::File(path) => f.debug_tuple("File").field(path).finish(),
        }
    }
}

/// Names that a node's certificate must contain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdentityCheck {
    /// The cluster and the node; each node has its own certificate.
    #[default]
    Node,
    /// The cluster only; nodes may share a certificate, and the node ID a peer sends is trusted.
    Cluster,
}

impl PeersConfig {
    /// Checks constraints that the types do not enforce.
    ///
    /// # Errors
    /// Fails with the first invalid field.
    pub fn validate(&self) -> Result<(), InvalidValue> {
        check_dns_label("cluster", self.cluster.as_str())?;
        if self.identity == IdentityCheck::Node {
            check_dns_label("node", self.node.as_str())?;
        }
        if self.advertise.is_some_and(|addr| addr.port() == 0 || addr.ip().is_unspecified()) {
            let value = self.advertise.map(|addr| addr.to_string()).unwrap_or_default();
            let reason = "must be an address reachable by other nodes, with a port";
            return Err(InvalidValue::new("advertise", &value, reason));
        }
        if self.advertise.is_none() && self.bind.ip().is_unspecified() {
            let reason = "requires `advertise` because it binds all addresses";
            return Err(InvalidValue::new("bind", &self.bind.to_string(), reason));
        }
        Ok(())
    }
}

/// Checks that `text` is a valid DNS label, so that it can be part of a certificate's name.
pub(crate) fn check_dns_label(field: &str, text: &str) -> Result<(), InvalidValue> {
    let is_plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if text.len() > MAX_DNS_LABEL_BYTES {
        let reason = "must be at most 63 bytes long to be used in a certificate";
        return Err(InvalidValue::new(field, text, reason));
    }
    if text.is_empty() || !text.bytes().all(is_plain) || text.ends_with('-') {
        let reason = "may contain only a-z, 0-9 and inner - to be used in a certificate";
        return Err(InvalidValue::new(field, text, reason));
    }
    Ok(())
}

fn default_bind() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn check_dns_label_invalid_characters_or_length_fail() {
        assert!(check_dns_label("node", "Node-1").is_err());
        assert!(check_dns_label("node", "n_1").is_err());
        assert!(check_dns_label("node", &"n".repeat(64)).is_err());
        assert!(check_dns_label("node", "n-1").is_ok());
    }

    #[test]
    fn debug_pem_omits_text() {
        assert!(!format!("{:?}", Pem::Text("secret".to_owned())).contains("secret"));
    }
}
