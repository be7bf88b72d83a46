//! The cluster's certificate authority, for operators and tests.

use displaydoc::Display;
use lycheelatch_prelude::{InvalidValue, Name, NodeId};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use time::{Duration, OffsetDateTime};

use crate::config::{Pem, TlsFiles, check_dns_label};

/// Time by which certificates are backdated, to tolerate nodes with slow clocks.
const CLOCK_SKEW: Duration = Duration::minutes(5);

/// Error from creating an authority or issuing a certificate.
#[derive(Debug, Display)]
pub enum AuthorityError {
    /// {0}
    Name(InvalidValue),
    /// the authority's key is invalid: {0}
    Key(rcgen::Error),
    /// failed to create the certificate: {0}
    Certificate(rcgen::Error),
}

impl std::error::Error for AuthorityError {}

/// A certificate and its private key, in PEM.
#[derive(Clone)]
pub struct IssuedCertificate {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Issues the certificates of the nodes of one cluster.
pub struct CertificateAuthority {
    cluster: Name,
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Creates an authority with a new key, valid for `days`.
    ///
    /// # Errors
    /// Fails if the cluster's name is not a valid DNS label.
    pub fn generate(cluster: &Name, days: u32) -> Result<CertificateAuthority, AuthorityError> {
        let key = KeyPair::generate().map_err(AuthorityError::Key)?;
        let params = authority_params(cluster, days)?;
        let cert = params.self_signed(&key).map_err(AuthorityError::Certificate)?;
        let issuer = Issuer::new(params, key);
        Ok(CertificateAuthority { cluster: cluster.clone(), certificate: cert.pem(), issuer })
    }

    /// Loads an authority from its certificate and key, both in PEM.
    ///
    /// # Errors
    /// Fails if the key can't be parsed or the cluster's name is not a valid DNS label.
    pub fn load(
        cluster: &Name,
        certificate: &str,
        key: &str,
    ) -> Result<CertificateAuthority, AuthorityError> {
        let key = KeyPair::from_pem(key).map_err(AuthorityError::Key)?;
        let issuer = Issuer::new(authority_params(cluster, 1)?, key);
        let certificate = certificate.to_owned();
        Ok(CertificateAuthority { cluster: cluster.clone(), certificate, issuer })
    }

    /// Returns the authority's certificate in PEM, which every node needs.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate
    }

    /// Returns the authority's private key in PEM, which must not be given to nodes.
    pub fn key_pem(&self) -> String {
        self.issuer.key().serialize_pem()
    }

    /// Issues a certificate for one node, valid for `days`.
    ///
    /// # Errors
    /// Fails if the node's ID is not a valid DNS label.
    pub fn issue(&self, node: &NodeId, days: u32) -> Result<IssuedCertificate, AuthorityError> {
        check_dns_label("node", node.as_str()).map_err(AuthorityError::Name)?;
        let names = vec![cluster_domain(&self.cluster), node_domain(&self.cluster, node)];
        let now = OffsetDateTime::now_utc();
        self.issue_names(node.as_str(), names, now, now + Duration::days(days.into()))
    }

    /// Issues a certificate that all nodes of the cluster may share, valid for `days`.
    ///
    /// # Errors
    /// Fails if the certificate can't be created.
    pub fn issue_shared(&self, days: u32) -> Result<IssuedCertificate, AuthorityError> {
        let names = vec![cluster_domain(&self.cluster)];
        let now = OffsetDateTime::now_utc();
        self.issue_names(self.cluster.as_str(), names, now, now + Duration::days(days.into()))
    }

    /// Issues a certificate for one node that expired a day ago, for tests.
    ///
    /// # Errors
    /// Fails if the certificate can't be created.
    pub fn issue_expired(&self, node: &NodeId) -> Result<IssuedCertificate, AuthorityError> {
        let names = vec![cluster_domain(&self.cluster), node_domain(&self.cluster, node)];
        let end = OffsetDateTime::now_utc() - Duration::days(1);
        self.issue_names(node.as_str(), names, end - Duration::days(1), end)
    }

    /// Returns the TLS settings of a node that uses `issued`.
    pub fn tls(&self, issued: &IssuedCertificate) -> TlsFiles {
        TlsFiles {
            authorities: Pem::Text(self.certificate.clone()),
            certificate: Pem::Text(issued.certificate.clone()),
            key: Pem::Text(issued.key.clone()),
        }
    }

    fn issue_names(
        &self,
        common_name: &str,
        names: Vec<String>,
        start: OffsetDateTime,
        end: OffsetDateTime,
    ) -> Result<IssuedCertificate, AuthorityError> {
        let key = KeyPair::generate().map_err(AuthorityError::Key)?;
        let mut params = CertificateParams::new(names).map_err(AuthorityError::Certificate)?;
        params.distinguished_name.push(DnType::CommonName, common_name);
        params.not_before = start - CLOCK_SKEW;
        params.not_after = end;
        params.use_authority_key_identifier_extension = true;
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let cert = params.signed_by(&key, &self.issuer).map_err(AuthorityError::Certificate)?;
        Ok(IssuedCertificate { certificate: cert.pem(), key: key.serialize_pem() })
    }
}

/// Returns the DNS name in the certificate of every node of the cluster.
pub(crate) fn cluster_domain(cluster: &Name) -> String {
    format!("peers.{cluster}.lycheelatch.internal")
}

/// Returns the DNS name in the certificate of one node.
pub(crate) fn node_domain(cluster: &Name, node: &NodeId) -> String {
    format!("{node}.{}", cluster_domain(cluster))
}

fn authority_params(cluster: &Name, days: u32) -> Result<CertificateParams, AuthorityError> {
    check_dns_label("cluster", cluster.as_str()).map_err(AuthorityError::Name)?;
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, format!("lycheelatch cluster {cluster}"));
    params.not_before = OffsetDateTime::now_utc() - CLOCK_SKEW;
    params.not_after = OffsetDateTime::now_utc() + Duration::days(days.into());
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    Ok(params)
}
