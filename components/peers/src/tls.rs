//! Mutual TLS between the nodes of one cluster.

use std::{fs, sync::Arc, time::Duration};

use displaydoc::Display;
use lycheelatch_prelude::{Name, NodeId};
use quinn::{
    IdleTimeout, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    server::WebPkiClientVerifier,
};
use webpki::EndEntityCert;

use crate::{
    authority::{cluster_domain, node_domain},
    config::{IdentityCheck, Pem, TlsFiles},
};

/// ALPN protocol name.
const ALPN: &[u8] = b"lycheelatch-peers/1";
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of concurrent streams opened by a peer, for each stream type.
const MAX_STREAMS: u32 = 256;
/// Size of the datagram send and receive buffers of a connection, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;

/// Error from loading the certificates in the settings.
#[derive(Debug, Display)]
pub enum TlsError {
    /// {field}: failed to read the file {path}: {reason}
    Unreadable {
        /// Name of the setting.
        field: &'static str,
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        reason: String,
    },
    /// {field}: invalid PEM: {reason}
    BadPem {
        /// Name of the setting.
        field: &'static str,
        /// Cause of the failure.
        reason: String,
    },
    /// the certificate is not valid for the name {name}, which the settings require
    WrongName {
        /// The required name.
        name: String,
    },
    /// the certificate or the key is not usable: {reason}
    Unusable {
        /// Cause of the failure.
        reason: String,
    },
}

impl std::error::Error for TlsError {}

/// TLS configuration of both sides of the handshake, and the check of the peer's identity.
pub(crate) struct PeerTls {
    pub(crate) server: quinn::ServerConfig,
    pub(crate) client: quinn::ClientConfig,
    pub(crate) identity: Identity,
}

/// Checks whether a certificate identifies a node.
#[derive(Clone)]
pub(crate) struct Identity {
    cluster: Name,
    check: IdentityCheck,
}

impl Identity {
    /// Returns the DNS name in the certificate of every node of the cluster.
    pub(crate) fn server_name(&self) -> String {
        cluster_domain(&self.cluster)
    }

    /// Returns whether the peer's certificate on `conn` identifies it as `node`.
    pub(crate) fn allows(&self, conn: &quinn::Connection, node: &NodeId) -> bool {
        let chain = conn.peer_identity().and_then(|i| i.downcast::<Vec<CertificateDer<'_>>>().ok());
        let Some(leaf) = chain.as_ref().and_then(|chain| chain.first()) else { return false };
        self.check_names(leaf, node).is_ok()
    }

    fn check_names(&self, leaf: &CertificateDer<'_>, node: &NodeId) -> Result<(), TlsError> {
        check_name(leaf, &cluster_domain(&self.cluster))?;
        match self.check {
            IdentityCheck::Node => check_name(leaf, &node_domain(&self.cluster, node)),
            IdentityCheck::Cluster => Ok(()),
        }
    }
}

impl PeerTls {
    /// Loads the certificates and the key of a node.
    ///
    /// # Errors
    /// Fails if they can't be read, do not match, or do not contain the required names.
    pub(crate) fn new(
        files: &TlsFiles,
        cluster: &Name,
        node: &NodeId,
        check: IdentityCheck,
    ) -> Result<PeerTls, TlsError> {
        let identity = Identity { cluster: cluster.clone(), check };
        let chain = read_certificates("tls.certificate", &files.certificate)?;
        identity.check_names(&chain[0], node)?;
        let mut roots = RootCertStore::empty();
        for cert in read_certificates("tls.authorities", &files.authorities)? {
            roots.add(cert).map_err(|err| bad_pem("tls.authorities", err))?;
        }
        let roots = Arc::new(roots);
        let key = || read_key(&files.key);
        let mut server = server_config(roots.clone(), chain.clone(), key()?)?;
        let mut client = client_config(roots, chain, key()?)?;
        let transport = Arc::new(transport_config());
        server.transport_config(transport.clone());
        client.transport_config(transport);
        Ok(PeerTls { server, client, identity })
    }
}

fn server_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<quinn::ServerConfig, TlsError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(unusable)?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(unusable)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    tls.send_tls13_tickets = 0;
    let tls = QuicServerConfig::try_from(tls).map_err(unusable)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(tls)))
}

fn client_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<quinn::ClientConfig, TlsError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(unusable)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(unusable)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    tls.resumption = rustls::client::Resumption::disabled();
    let tls = QuicClientConfig::try_from(tls).map_err(unusable)?;
    Ok(quinn::ClientConfig::new(Arc::new(tls)))
}

fn transport_config() -> TransportConfig {
    let idle = VarInt::from_u32(IDLE_TIMEOUT.as_millis() as u32);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(idle)))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES)
        .mtu_discovery_config(None);
    transport
}

fn read_certificates(
    field: &'static str,
    pem: &Pem,
) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let text = read(field, pem)?;
    let certs: Vec<_> = CertificateDer::pem_slice_iter(&text)
        .collect::<Result<_, _>>()
        .map_err(|err| bad_pem(field, err))?;
    if certs.is_empty() {
        return Err(bad_pem(field, "contains no certificate"));
    }
    Ok(certs)
}

fn read_key(pem: &Pem) -> Result<PrivateKeyDer<'static>, TlsError> {
    let text = read("tls.key", pem)?;
    PrivateKeyDer::from_pem_slice(&text).map_err(|err| bad_pem("tls.key", err))
}

fn read(field: &'static str, pem: &Pem) -> Result<Vec<u8>, TlsError> {
    let path = match pem {
        Pem::Text(text) => return Ok(text.clone().into_bytes()),
        Pem::File(path) => path,
    };
    fs::read(path).map_err(|err| TlsError::Unreadable {
        field,
        path: path.display().to_string(),
        reason: err.to_string(),
    })
}

fn check_name(leaf: &CertificateDer<'_>, name: &str) -> Result<(), TlsError> {
    let wrong = || TlsError::WrongName { name: name.to_owned() };
    let cert = EndEntityCert::try_from(leaf).map_err(unusable)?;
    let name = ServerName::try_from(name).map_err(|_| wrong())?;
    cert.verify_is_valid_for_subject_name(&name).map_err(|_| wrong())
}

fn bad_pem(field: &'static str, reason: impl ToString) -> TlsError {
    TlsError::BadPem { field, reason: reason.to_string() }
}

fn unusable(reason: impl ToString) -> TlsError {
    TlsError::Unusable { reason: reason.to_string() }
}
