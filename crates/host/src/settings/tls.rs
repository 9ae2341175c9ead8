//! TLS of the listeners: loads certificates and keys, and builds the server configurations.

use super::Fault;
use rustls::ServerConfig;
use rustls::crypto::aws_lc_rs;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The only application protocol that ALPN offers.
const HTTP_1_1: &[u8] = b"http/1.1";

/// Certificates of the listeners; a listener without one serves plain HTTP.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tls {
    /// Identity of the callers' listener.
    pub callers: Option<Identity>,
    /// Identity of the operators' listener.
    pub operators: Option<Identity>,
}

/// PEM files of a TLS identity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// File of the certificate chain.
    pub certificate: PathBuf,
    /// File of the private key.
    pub key: PathBuf,
}

/// Why one of the two files cannot be used.
enum LoadError {
    /// The certificate chain.
    Certificate(String),
    /// The private key.
    Key(String),
}

impl Tls {
    /// TLS configuration of the callers' listener; `None` for plain HTTP.
    pub fn callers_config(&self) -> Result<Option<Arc<ServerConfig>>, Fault> {
        server_config(self.callers.as_ref(), ["tls.callers.certificate", "tls.callers.key"])
    }

    /// TLS configuration of the operators' listener; `None` for plain HTTP.
    pub fn operators_config(&self) -> Result<Option<Arc<ServerConfig>>, Fault> {
        server_config(self.operators.as_ref(), ["tls.operators.certificate", "tls.operators.key"])
    }
}

/// Checks that the files of `tls` load.
pub(super) fn verify(tls: &Tls) -> Result<(), Fault> {
    tls.callers_config()?;
    tls.operators_config().map(drop)
}

/// TLS configuration of a listener; `fields` are the setting names of certificate and key, for
/// errors.
fn server_config(
    identity: Option<&Identity>,
    fields: [&'static str; 2],
) -> Result<Option<Arc<ServerConfig>>, Fault> {
    let Some(identity) = identity else { return Ok(None) };
    let (field, reason) = match load(identity) {
        Ok(config) => return Ok(Some(config)),
        Err(LoadError::Certificate(reason)) => (fields[0], reason),
        Err(LoadError::Key(reason)) => (fields[1], reason),
    };
    Err(Fault::Field { field, reason, line: None })
}

fn load(identity: &Identity) -> Result<Arc<ServerConfig>, LoadError> {
    let chain = load_chain(&identity.certificate).map_err(LoadError::Certificate)?;
    let key = PrivateKeyDer::from_pem_file(&identity.key)
        .map_err(|error| LoadError::Key(read_error(&identity.key, &error)))?;
    let provider = Arc::new(aws_lc_rs::default_provider());
    let versions =
        ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = versions.map_err(|error| LoadError::Certificate(error.to_string()))?;
    // This fails if the key does not match the certificate or is of an unsupported type.
    let config = builder.with_no_client_auth().with_single_cert(chain, key);
    let mut config = config.map_err(|error| {
        LoadError::Key(format!(
            "does not match the certificate, or one of the two cannot be used: {error}"
        ))
    })?;
    config.alpn_protocols = vec![HTTP_1_1.to_vec()];
    Ok(Arc::new(config))
}

fn load_chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    let chain: Vec<_> = certificates.map_err(|error| read_error(path, &error))?;
    match chain.is_empty() {
        true => Err(format!("{} holds no certificate", path.display())),
        false => Ok(chain),
    }
}

fn read_error(path: &Path, error: &rustls::pki_types::pem::Error) -> String {
    format!("{} cannot be read: {error}", path.display())
}
