//! Certificates of the listeners: read, checked, made into what serves them.

use super::Fault;
use rustls::ServerConfig;
use rustls::crypto::aws_lc_rs;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The one protocol that is agreed on.
const HTTP_1_1: &[u8] = b"http/1.1";

/// Certificates of the listeners.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tls {
    /// The callers' listener.
    pub callers: Option<Identity>,
    /// The operators' listener.
    pub operators: Option<Identity>,
}

/// Files of a TLS identity, PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
}

/// Which of the two files cannot serve, and why.
enum Unfit {
    /// The certificate chain.
    Certificate(String),
    /// The private key.
    Key(String),
}

impl Tls {
    /// What the callers' listener serves with.
    pub fn for_callers(&self) -> Result<Option<Arc<ServerConfig>>, Fault> {
        serve(self.callers.as_ref(), ["tls.callers.certificate", "tls.callers.key"])
    }

    /// What the operators' listener serves with.
    pub fn for_operators(&self) -> Result<Option<Arc<ServerConfig>>, Fault> {
        serve(self.operators.as_ref(), ["tls.operators.certificate", "tls.operators.key"])
    }
}

/// Says whether the files of `tls` can serve.
pub(super) fn verify(tls: &Tls) -> Result<(), Fault> {
    tls.for_callers()?;
    tls.for_operators().map(drop)
}

/// What a listener serves TLS with; `fields` are those of certificate and key.
fn serve(
    identity: Option<&Identity>,
    fields: [&'static str; 2],
) -> Result<Option<Arc<ServerConfig>>, Fault> {
    let Some(identity) = identity else { return Ok(None) };
    let (field, reason) = match load(identity) {
        Ok(config) => return Ok(Some(config)),
        Err(Unfit::Certificate(reason)) => (fields[0], reason),
        Err(Unfit::Key(reason)) => (fields[1], reason),
    };
    Err(Fault::Field { field, reason, line: None })
}

fn load(identity: &Identity) -> Result<Arc<ServerConfig>, Unfit> {
    let chain = chain(&identity.certificate).map_err(Unfit::Certificate)?;
    let key = PrivateKeyDer::from_pem_file(&identity.key)
        .map_err(|error| Unfit::Key(unreadable(&identity.key, &error)))?;
    let provider = Arc::new(aws_lc_rs::default_provider());
    let versions =
        ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
    let builder = versions.map_err(|error| Unfit::Certificate(error.to_string()))?;
    // What fails here is the match of the two, or a key of a kind that is not known.
    let config = builder.with_no_client_auth().with_single_cert(chain, key);
    let mut config = config.map_err(|error| Unfit::Key(format!("does not fit: {error}")))?;
    config.alpn_protocols = vec![HTTP_1_1.to_vec()];
    Ok(Arc::new(config))
}

fn chain(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    let chain: Vec<_> = certificates.map_err(|error| unreadable(path, &error))?;
    match chain.is_empty() {
        true => Err(format!("{} holds no certificate", path.display())),
        false => Ok(chain),
    }
}

fn unreadable(path: &Path, error: &rustls::pki_types::pem::Error) -> String {
    format!("{} cannot be read: {error}", path.display())
}
